//! Detection of requests that crash the backend servers that run them.
//!
//! A request is identified by a signature, a hash over its method, path and body
//! or its idempotency key. It becomes a suspect when it was in flight at a backend
//! server that crashed, and is cleared when it completes. It is refused when it
//! was in flight at enough crashes, and neither coincidence nor another suspect
//! in flight at the same crashes explains them. Suspects run one at a time, so
//! that the next crash separates the cause from the requests beside it.

use std::time::Duration;

use corianderway_model::ServerId;
use corianderway_model::Time;
use serde::Deserialize;
use serde::Serialize;

// Number of crashes after which a request is refused if no other one was at all of them.
const MIN_CRASHES_SOLE: usize = 2;
// Number of crashes after which a request is refused even if others were at all of them.
const MIN_CRASHES_SHARED: usize = 5;
// Minimum share of the crashes in the window that a refused request was at.
const MIN_SHARE_SOLE: f64 = 0.6;
const MIN_SHARE_SHARED: f64 = 0.5;
// The window around the last crash that a request was at. Only crashes in it
// count. It extends past that crash so that the loss of a region, with many
// crashes at once, refuses no request.
const WINDOW_BEFORE: Duration = Duration::from_mins(1);
const WINDOW_AFTER: Duration = Duration::from_secs(10);
// Reports of a crash of the same backend server are one crash within this time.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(5);
// A suspect that runs for longer no longer blocks the other suspects.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);
// How long a request is refused after its last crash while it was at only
// `MIN_CRASHES_SOLE` of them. It is short since that can be a coincidence.
const SHORT_REFUSAL: Duration = Duration::from_secs(30);
// The time between crashes up to which they may have one cause that is no request, and how
// long a request is refused after them. Then one runs at a time.
const COMMON_CAUSE_SPAN: Duration = Duration::from_secs(1);
const COMMON_CAUSE_REFUSAL: Duration = Duration::from_secs(10);
// How long a request is refused after more crashes, and how long crashes and
// clearances are kept.
const CRASH_TTL: Duration = Duration::from_mins(10);
// Limits of the memory, about 1 MB in all. The signatures are those of one crash.
const MAX_CRASHES: usize = 128;
const MAX_SIGNATURES: usize = 512;
const MAX_CLEARED: usize = 1024;

/// A crash of a backend server, with the requests in flight there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The backend server that crashed.
    pub server: ServerId,
    /// Signatures of the requests that the reporting instance had in flight there.
    pub signatures: Vec<u64>,
}

/// A message between instances about suspected requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Suspicion {
    /// A backend server crashed.
    Died(Crash),
    /// A suspected request completed.
    Cleared(u64),
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is not a suspect, or it is the one suspect that runs now.
    Run,
    /// It is a suspect, and another suspect or a copy of it runs now; call
    /// [`Quarantine::admit`] again later.
    Wait,
    /// It was in flight at too many crashes, and must not run.
    Refuse,
}

/// The suspected and the refused requests that one instance knows.
///
/// The refused requests follow from the recorded crashes and clearances, not from
/// the order in which reports of them arrived.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    // Sorted by time.
    crashes: Vec<Record>,
    // The signatures in any of `crashes`, sorted.
    suspects: Vec<u64>,
    // Times of clearance, sorted by signature.
    cleared: Vec<(u64, Time)>,
    // Ends of refusals, sorted by signature.
    refused: Vec<(u64, Time)>,
    // The suspect that runs now, and the time it was admitted.
    trial: Option<(u64, Time)>,
}

#[derive(Clone, Debug)]
struct Record {
    server: ServerId,
    at: Time,
    // Sorted.
    signatures: Vec<u64>,
}

impl Quarantine {
    /// Creates a quarantine without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides whether a request may run.
    ///
    /// A suspect that may run blocks the other suspects until
    /// [`release`](Self::release) or [`record_completion`](Self::record_completion) is called for
    /// it, but no longer than a time limit.
    pub fn admit(&mut self, signature: u64, now: Time) -> Verdict {
        if self.is_refused(signature, now) {
            return Verdict::Refuse;
        }
        if !self.is_suspected(signature) {
            return Verdict::Run;
        }
        if self
            .trial
            .is_some_and(|(_, at)| now.since(at) < TRIAL_TIMEOUT)
        {
            return Verdict::Wait;
        }
        self.trial = Some((signature, now));
        Verdict::Run
    }

    /// Records that a request ended without a complete response.
    pub fn release(&mut self, signature: u64) {
        self.trial = self.trial.filter(|(running, _)| *running != signature);
    }

    /// Returns whether a request is refused.
    pub fn is_refused(&self, signature: u64, now: Time) -> bool {
        let at = self.refused.binary_search_by_key(&signature, |r| r.0);
        at.is_ok_and(|at| now < self.refused[at].1)
    }

    /// Returns whether a request was in flight at a crash and has not completed
    /// since.
    pub fn is_suspected(&self, signature: u64) -> bool {
        self.suspects.binary_search(&signature).is_ok()
    }

    /// Records a crash that this instance observed, and returns the message for
    /// the other instances.
    ///
    /// Don't call it for a planned stop, or when only one connection broke.
    pub fn record_crash(&mut self, crash: Crash, now: Time) -> Suspicion {
        for signature in &crash.signatures {
            self.release(*signature);
        }
        self.add(&crash, now);
        Suspicion::Died(crash)
    }

    /// Records that a request got a complete response. If it was suspected, this
    /// returns the message for the other instances.
    pub fn record_completion(&mut self, signature: u64, now: Time) -> Option<Suspicion> {
        self.release(signature);
        if !self.is_suspected(signature) {
            return None;
        }
        self.clear(signature, now);
        Some(Suspicion::Cleared(signature))
    }

    /// Merges a message from another instance that is `age` old.
    ///
    /// The result doesn't depend on repeats or on the order of arrival.
    pub fn merge(&mut self, suspicion: &Suspicion, age: Duration, now: Time) {
        let age = u64::try_from(age.as_nanos()).unwrap_or(u64::MAX);
        let at = Time::from_nanos(now.as_nanos().saturating_sub(age));
        match suspicion {
            Suspicion::Died(crash) => self.add(crash, at),
            Suspicion::Cleared(signature) => self.clear(*signature, at),
        }
    }

    /// Removes crashes and clearances that have expired.
    ///
    /// Call it every few seconds.
    pub fn expire(&mut self, now: Time) {
        self.crashes.retain(|c| now.since(c.at) < CRASH_TTL);
        self.cleared.retain(|(_, at)| now.since(*at) < CRASH_TTL);
        self.recompute();
    }

    /// Iterates over the signatures that are refused.
    pub fn refused(&self, now: Time) -> impl Iterator<Item = u64> + '_ {
        let refused = self.refused.iter().filter(move |(_, until)| now < *until);
        refused.map(|(signature, _)| *signature)
    }

    fn add(&mut self, crash: &Crash, at: Time) {
        let signatures = crash.signatures.iter().copied();
        let signatures = signatures.filter(|s| !self.is_cleared_since(*s, at));
        let uncleared: Vec<_> = signatures.collect();
        let index = self.find_or_insert(&crash.server, at);
        let record = &mut self.crashes[index];
        record.signatures.extend(uncleared);
        record.signatures.sort_unstable();
        record.signatures.dedup();
        record.signatures.truncate(MAX_SIGNATURES);
        self.recompute();
    }

    // Returns the index of a crash, and adds the crash if it is new. Several
    // instances may report the same crash with different signatures.
    fn find_or_insert(&mut self, server: &ServerId, at: Time) -> usize {
        let is_same =
            |c: &Record| c.at.since(at) < SAME_CRASH_WINDOW && at.since(c.at) < SAME_CRASH_WINDOW;
        let known = self
            .crashes
            .iter()
            .position(|c| c.server == *server && is_same(c));
        known.unwrap_or_else(|| {
            if self.crashes.len() == MAX_CRASHES {
                self.crashes.remove(0);
            }
            let index = self.crashes.partition_point(|c| c.at <= at);
            let record = Record {
                server: server.clone(),
                at,
                signatures: Vec::new(),
            };
            self.crashes.insert(index, record);
            index
        })
    }

    // Recomputes `refused` and `suspects` from `crashes` alone, so that they don't
    // depend on the order in which reports arrived.
    fn recompute(&mut self) {
        let signatures = self.crashes.iter().flat_map(|c| &c.signatures);
        let mut all: Vec<u64> = signatures.copied().collect();
        all.sort_unstable();
        let repeated = all.chunk_by(|a, b| a == b);
        let repeated = repeated.filter(|run| run.len() >= MIN_CRASHES_SOLE);
        let refused = repeated.filter_map(|run| Some((run[0], self.refused_until(run[0])?)));
        self.refused = refused.collect();
        all.dedup();
        self.suspects = all;
    }

    fn refused_until(&self, signature: u64) -> Option<Time> {
        let involved = || self.crashes.iter().filter(|c| c.contains(signature));
        let last = involved().next_back()?.at;
        let in_window =
            |c: &&Record| last.since(c.at) < WINDOW_BEFORE && c.at.since(last) < WINDOW_AFTER;
        let count = involved().filter(in_window).count();
        let total = self.crashes.iter().filter(in_window).count();
        let share = count as f64 / total as f64;
        let sole =
            count >= MIN_CRASHES_SOLE && share >= MIN_SHARE_SOLE && self.is_sole_suspect(signature);
        let shared = count >= MIN_CRASHES_SHARED && share >= MIN_SHARE_SHARED;
        let first = involved().find(in_window)?.at;
        let duration = if last.since(first) < COMMON_CAUSE_SPAN {
            COMMON_CAUSE_REFUSAL
        } else if count <= MIN_CRASHES_SOLE {
            SHORT_REFUSAL
        } else {
            CRASH_TTL
        };
        (sole || shared).then(|| last + duration)
    }

    // Returns whether no other suspect was at every crash that this one was at.
    fn is_sole_suspect(&self, signature: u64) -> bool {
        let mut involved = self.crashes.iter().filter(|c| c.contains(signature));
        let Some(first) = involved.next() else {
            return false;
        };
        let rest: Vec<_> = involved.collect();
        let mut others = first.signatures.iter().filter(|s| **s != signature);
        !others.any(|other| rest.iter().all(|c| c.contains(*other)))
    }

    fn clear(&mut self, signature: u64, at: Time) {
        for record in self.crashes.iter_mut().filter(|c| c.at <= at) {
            record.signatures.retain(|s| *s != signature);
        }
        match self.cleared.binary_search_by_key(&signature, |c| c.0) {
            Ok(index) => self.cleared[index].1 = self.cleared[index].1.max(at),
            Err(index) => self.cleared.insert(index, (signature, at)),
        }
        if self.cleared.len() > MAX_CLEARED {
            let oldest = (0..self.cleared.len()).min_by_key(|at| self.cleared[*at].1);
            oldest.map(|at| self.cleared.remove(at));
        }
        self.recompute();
    }

    fn is_cleared_since(&self, signature: u64, at: Time) -> bool {
        let index = self.cleared.binary_search_by_key(&signature, |c| c.0);
        index.is_ok_and(|index| self.cleared[index].1 >= at)
    }
}

impl Record {
    fn contains(&self, signature: u64) -> bool {
        self.signatures.binary_search(&signature).is_ok()
    }
}
