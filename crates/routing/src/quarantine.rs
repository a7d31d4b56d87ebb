//! Recognising the request that crashes the backend servers which run it.
//!
//! A request is known by a signature, a hash over its method, path and body or
//! its idempotency key. It is suspected when it was in flight at a backend
//! server that died, cleared when it completes, and refused when it was at
//! enough deaths that chance and company do not explain. Suspects run one at a
//! time, so that the next death tells the guilty one from those beside it.

use std::time::Duration;

use corianderway_model::ServerId;
use corianderway_model::Time;
use serde::Deserialize;
use serde::Serialize;

// Deaths that condemn a request which is alone in having been at all of them.
const ALONE_DEATHS: usize = 2;
// Deaths that condemn a request whatever was beside it.
const SHARED_DEATHS: usize = 5;
// Of the deaths around, a request must have been at this part.
const ALONE_PART: f64 = 0.6;
const SHARED_PART: f64 = 0.5;
// Deaths count together when they lie this close before a request's latest,
const BEFORE: Duration = Duration::from_mins(1);
// or this close after it, so that the loss of a region condemns nobody.
const AFTER: Duration = Duration::from_secs(10);
// A backend server that dies again after this time is a death of its own.
const REPEAT: Duration = Duration::from_secs(5);
// A trial run that has not ended by then no longer holds up the others.
const TRIAL: Duration = Duration::from_secs(2);
// How long a request is refused after its last death while it was at the fewest
// that condemn, so that chance costs an innocent little.
const PROBATION: Duration = Duration::from_secs(30);
// How long it is refused after more, and how long a death counts.
const HOLD: Duration = Duration::from_mins(10);
// Bounds of the memory: about 1 MB in all.
const MOST_CRASHES: usize = 128;
const MOST_SIGNATURES: usize = 512;
const MOST_CLEARED: usize = 1024;

/// A death of a backend server, with the requests in flight there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The backend server.
    pub server: ServerId,
    /// The signatures of the requests that the reporting instance had there.
    pub signatures: Vec<u64>,
}

/// What instances tell each other of suspected requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Suspicion {
    /// A backend server died.
    Died(Crash),
    /// A suspected request completed.
    Cleared(u64),
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it, or it is the one suspect that runs now.
    Run,
    /// It is suspected, and another suspect or a copy of it runs now; ask again.
    Wait,
    /// It was at too many deaths; it is not run.
    Refuse,
}

/// The suspected and the refused requests that one instance knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    // In the order of their times.
    deaths: Vec<Death>,
    // The signatures at any death, sorted.
    suspects: Vec<u64>,
    // Sorted by signature.
    cleared: Vec<(u64, Time)>,
    refused: Vec<(u64, Time)>,
    // The suspect that runs now, and since when.
    trial: Option<(u64, Time)>,
}

#[derive(Clone, Debug)]
struct Death {
    server: ServerId,
    at: Time,
    // Sorted.
    signatures: Vec<u64>,
}

impl Quarantine {
    /// Makes one that suspects nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Says whether a request may run; a suspect that may holds up the others
    /// until [`release`](Self::release) or [`complete`](Self::complete).
    pub fn admit(&mut self, signature: u64, now: Time) -> Verdict {
        if self.is_refused(signature, now) {
            return Verdict::Refuse;
        }
        if !self.is_suspected(signature) {
            return Verdict::Run;
        }
        if self.trial.is_some_and(|(_, at)| now.since(at) < TRIAL) {
            return Verdict::Wait;
        }
        self.trial = Some((signature, now));
        Verdict::Run
    }

    /// Notes that a request ended without a whole answer.
    pub fn release(&mut self, signature: u64) {
        self.trial = self.trial.filter(|(running, _)| *running != signature);
    }

    /// Whether a request is refused.
    pub fn is_refused(&self, signature: u64, now: Time) -> bool {
        let at = self.refused.binary_search_by_key(&signature, |r| r.0);
        at.is_ok_and(|at| now < self.refused[at].1)
    }

    /// Whether a request was in flight at a death and has not completed since.
    pub fn is_suspected(&self, signature: u64) -> bool {
        self.suspects.binary_search(&signature).is_ok()
    }

    /// Notes that this instance saw a backend server die; gives what to tell
    /// the other instances.
    ///
    /// A planned stop and a mere cut of one connection are no deaths.
    pub fn crash(&mut self, crash: Crash, now: Time) -> Suspicion {
        for signature in &crash.signatures {
            self.release(*signature);
        }
        self.add(&crash, now);
        Suspicion::Died(crash)
    }

    /// Notes that a request got its whole answer; gives what to tell the other
    /// instances, if it was suspected.
    pub fn complete(&mut self, signature: u64, now: Time) -> Option<Suspicion> {
        self.release(signature);
        if !self.is_suspected(signature) {
            return None;
        }
        self.clear(signature, now);
        Some(Suspicion::Cleared(signature))
    }

    /// Merges what another instance told, `age` after it was noted there.
    ///
    /// Repeats and any order of arrival lead to the same state.
    pub fn merge(&mut self, suspicion: &Suspicion, age: Duration, now: Time) {
        let age = u64::try_from(age.as_nanos()).unwrap_or(u64::MAX);
        let at = Time::from_nanos(now.nanos().saturating_sub(age));
        match suspicion {
            Suspicion::Died(crash) => self.add(crash, at),
            Suspicion::Cleared(signature) => self.clear(*signature, at),
        }
    }

    /// Forgets what is too old to count; call it every few seconds.
    pub fn expire(&mut self, now: Time) {
        self.deaths.retain(|d| now.since(d.at) < HOLD);
        self.cleared.retain(|(_, at)| now.since(*at) < HOLD);
        self.judge();
    }

    /// The signatures that are refused.
    pub fn refused(&self, now: Time) -> impl Iterator<Item = u64> + '_ {
        let refused = self.refused.iter().filter(move |(_, until)| now < *until);
        refused.map(|(signature, _)| *signature)
    }

    fn add(&mut self, crash: &Crash, at: Time) {
        let signatures = crash.signatures.iter().copied();
        let signatures = signatures.filter(|s| !self.is_cleared_since(*s, at));
        let fresh: Vec<_> = signatures.collect();
        let place = self.place_of_death(&crash.server, at);
        let death = &mut self.deaths[place];
        death.signatures.extend(fresh);
        death.signatures.sort_unstable();
        death.signatures.dedup();
        death.signatures.truncate(MOST_SIGNATURES);
        self.judge();
    }

    // Instances that saw the same death add their signatures to one.
    fn place_of_death(&mut self, server: &ServerId, at: Time) -> usize {
        let near = |d: &Death| d.at.since(at) < REPEAT && at.since(d.at) < REPEAT;
        let known = self
            .deaths
            .iter()
            .position(|d| d.server == *server && near(d));
        known.unwrap_or_else(|| {
            if self.deaths.len() == MOST_CRASHES {
                self.deaths.remove(0);
            }
            let place = self.deaths.partition_point(|d| d.at <= at);
            let death = Death {
                server: server.clone(),
                at,
                signatures: Vec::new(),
            };
            self.deaths.insert(place, death);
            place
        })
    }

    // Works out the refused from the deaths alone, so that the order in which
    // reports arrive doesn't matter.
    fn judge(&mut self) {
        let signatures = self.deaths.iter().flat_map(|d| &d.signatures);
        let mut all: Vec<u64> = signatures.copied().collect();
        all.sort_unstable();
        let repeated = all.chunk_by(|a, b| a == b);
        let repeated = repeated.filter(|run| run.len() >= ALONE_DEATHS);
        let judged = repeated.filter_map(|run| Some((run[0], self.refused_until(run[0])?)));
        self.refused = judged.collect();
        all.dedup();
        self.suspects = all;
    }

    fn refused_until(&self, signature: u64) -> Option<Time> {
        let with = || self.deaths.iter().filter(|d| d.has(signature));
        let last = with().next_back()?.at;
        let is_near = |d: &&Death| last.since(d.at) < BEFORE && d.at.since(last) < AFTER;
        let count = with().filter(is_near).count();
        let around = self.deaths.iter().filter(is_near).count();
        let part = count as f64 / around as f64;
        let alone = count >= ALONE_DEATHS && part >= ALONE_PART && self.is_alone(signature);
        let shared = count >= SHARED_DEATHS && part >= SHARED_PART;
        let hold = if count > ALONE_DEATHS {
            HOLD
        } else {
            PROBATION
        };
        (alone || shared).then(|| last + hold)
    }

    // Whether no other suspect was at every death that this one was at.
    fn is_alone(&self, signature: u64) -> bool {
        let mut with = self.deaths.iter().filter(|d| d.has(signature));
        let Some(first) = with.next() else {
            return false;
        };
        let rest: Vec<_> = with.collect();
        let mut others = first.signatures.iter().filter(|s| **s != signature);
        !others.any(|other| rest.iter().all(|d| d.has(*other)))
    }

    fn clear(&mut self, signature: u64, at: Time) {
        for death in self.deaths.iter_mut().filter(|d| d.at <= at) {
            death.signatures.retain(|s| *s != signature);
        }
        match self.cleared.binary_search_by_key(&signature, |c| c.0) {
            Ok(place) => self.cleared[place].1 = self.cleared[place].1.max(at),
            Err(place) => self.cleared.insert(place, (signature, at)),
        }
        if self.cleared.len() > MOST_CLEARED {
            let oldest = (0..self.cleared.len()).min_by_key(|at| self.cleared[*at].1);
            oldest.map(|at| self.cleared.remove(at));
        }
        self.judge();
    }

    fn is_cleared_since(&self, signature: u64, at: Time) -> bool {
        let place = self.cleared.binary_search_by_key(&signature, |c| c.0);
        place.is_ok_and(|place| self.cleared[place].1 >= at)
    }
}

impl Death {
    fn has(&self, signature: u64) -> bool {
        self.signatures.binary_search(&signature).is_ok()
    }
}
