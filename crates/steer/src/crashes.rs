//! Quarantine of requests that crash the backend servers which run them.
//!
//! A connection that breaks during a request counts as a crash of the server by
//! the request's signature if the server accepts no connections soon after it,
//! or is listed again with a later start. Each start of a server counts as a
//! server of its own. A signature with several crashes is quarantined; an answer
//! to it clears them.
//!
//! Instances tell each other of all crashes that they know, with their age, so
//! that an instance that starts learns of them, and so that they are forgotten
//! everywhere at about the same time, however often they are passed on.

use std::time::Duration;

use corianderway_model::SortedMap;
use corianderway_model::Time;

use crate::digest::KnownCrashes;

/// Number of crashes from which on a signature is quarantined.
const QUARANTINE_CRASHES: usize = 3;

/// Time after which a crash is forgotten.
const CRASH_TTL: Duration = Duration::from_mins(10);

/// Time after an answer to a request in which no crash is attributed to its
/// signature.
const CLEARED_TTL: Duration = Duration::from_secs(5);

/// Time between a broken connection and a failed attempt to connect within
/// which the server counts as crashed.
const CRASH_WINDOW: Duration = Duration::from_secs(2);

/// The same between a broken connection and the entry of a later start.
const RESTART_WINDOW: Duration = Duration::from_secs(10);

/// Maximum number of broken connections that are remembered; beyond it the
/// oldest is dropped.
const MAX_BROKEN: usize = 512;

/// Maximum number of signatures; beyond it the oldest is dropped.
const MAX_SIGNATURES: usize = 512;

/// Maximum number of signatures in a message.
const MAX_REPORTED: usize = 8;

/// Maximum number of starts that a message tells of one signature. Any of them
/// may be known already, so it exceeds the number that leads to quarantine.
const MAX_REPORTED_STARTS: usize = 2 * QUARANTINE_CRASHES;

/// The crashes of backend servers by request signature.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    rows: SortedMap<u64, SignatureCrashes>,
    // Broken connections of servers that may have crashed, the oldest first.
    broken: Vec<BrokenConnection>,
    // The changes since they were last taken.
    changes: Vec<CrashChange>,
}

/// Who observed a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Witness {
    Here,
    Other,
}

/// A change of what is known of one signature, for the log.
#[derive(Debug)]
pub(crate) struct CrashChange {
    pub(crate) signature: u64,
    /// The number of known crashes.
    pub(crate) crashes: usize,
    pub(crate) quarantined: bool,
    pub(crate) why: &'static str,
}

/// A start of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Incarnation {
    /// The hash of the server's id.
    pub(crate) server: u32,
    /// The hash of the id and the time of the start.
    pub(crate) start: u32,
}

/// A connection that broke while it carried a request.
#[derive(Clone, Copy, Debug)]
struct BrokenConnection {
    signature: u64,
    to: Incarnation,
    at: Time,
}

/// The starts of servers that requests with one signature crashed.
#[derive(Debug)]
struct SignatureCrashes {
    // When the latest crash is forgotten. The crash itself may have happened before
    // the origin of this process's clock.
    expires: Time,
    // Hashes of crashed starts, as observed by this instance and as reported by
    // others.
    observed: Vec<u32>,
    reported: Vec<u32>,
    // When a request with the signature was last answered.
    answered: Option<Time>,
}

impl Crashes {
    /// Records that a connection broke while it carried a request.
    pub(crate) fn connection_broke(&mut self, now: Time, signature: u64, to: Incarnation) {
        if self.broken.len() == MAX_BROKEN {
            self.broken.remove(0);
        }
        let at = now;
        self.broken.push(BrokenConnection { signature, to, at });
    }

    /// Records a failed attempt to connect: recent broken connections to the
    /// server count as crashes. Returns whether there were any.
    pub(crate) fn unreachable(&mut self, now: Time, server: u32) -> bool {
        self.confirm(now, "unreachable", |row| {
            row.to.server == server && now.since(row.at) < CRASH_WINDOW
        })
    }

    /// Records that a start of a server was listed: recent broken connections to
    /// an earlier one count as crashes. Returns whether there were any.
    pub(crate) fn started(&mut self, now: Time, start: Incarnation) -> bool {
        self.confirm(now, "started-again", |row| {
            row.to.server == start.server && row.to.start != start.start
        })
    }

    // Counts the broken connections for which `crashed` is true as crashes.
    fn confirm(
        &mut self,
        now: Time,
        why: &'static str,
        crashed: impl Fn(&BrokenConnection) -> bool,
    ) -> bool {
        let (crashed, rest) = std::mem::take(&mut self.broken)
            .into_iter()
            .partition::<Vec<_>, _>(crashed);
        self.broken = rest;
        for row in &crashed {
            let start = row.to.start;
            if self.record(now, CRASH_TTL, row.signature, start, Witness::Here) {
                self.note_change(row.signature, why);
            }
        }
        !crashed.is_empty()
    }

    /// Records an answer to a request, which clears its signature.
    pub(crate) fn answered(&mut self, now: Time, signature: u64) {
        if let Some(row) = self.rows.get_mut(&signature) {
            row.answered = Some(now);
            let had_crashes = !row.observed.is_empty() || !row.reported.is_empty();
            row.observed.clear();
            row.reported.clear();
            if had_crashes {
                self.note_change(signature, "answered");
            }
        }
        self.broken.retain(|row| row.signature != signature);
    }

    /// Returns whether requests with the signature are quarantined.
    pub(crate) fn is_quarantined(&self, signature: u64) -> bool {
        self.count(signature) >= QUARANTINE_CRASHES
    }

    /// Returns the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<CrashChange> {
        std::mem::take(&mut self.changes)
    }

    // Returns the number of known crashes of a signature.
    fn count(&self, signature: u64) -> usize {
        self.rows.get(&signature).map_or(0, |row| {
            let reported = row.reported.iter().filter(|s| !row.observed.contains(s));
            row.observed.len() + reported.count()
        })
    }

    fn note_change(&mut self, signature: u64, why: &'static str) {
        self.changes.push(CrashChange {
            signature,
            crashes: self.count(signature),
            quarantined: self.is_quarantined(signature),
            why,
        });
    }

    /// Returns the latest crashes observed by this instance, for the digest.
    pub(crate) fn report(&self) -> Vec<(u64, Vec<u32>)> {
        let observed = self.rows.iter().filter(|(_, row)| !row.observed.is_empty());
        let mut rows: Vec<_> = observed.collect();
        rows.sort_by_key(|(_, row)| std::cmp::Reverse(row.expires));
        let latest = rows.into_iter().take(MAX_REPORTED);
        latest.map(|(s, row)| (*s, row.observed.clone())).collect()
    }

    /// Returns the latest crashes that are known, for messages.
    pub(crate) fn known(&self, now: Time) -> Vec<KnownCrashes> {
        let known = self.rows.iter().map(|(signature, row)| {
            let starts = row.observed.iter().chain(&row.reported);
            KnownCrashes {
                signature: *signature,
                age_s: CRASH_TTL.saturating_sub(row.expires.since(now)).as_secs() as u32 + 1,
                starts: starts.copied().collect(),
            }
        });
        merge_known(known)
    }

    /// Adds crashes that other instances observed, and those that they know.
    ///
    /// Earlier builds tell only the former, whose age is unknown.
    pub(crate) fn merge(
        &mut self,
        now: Time,
        observed: &[(u64, Vec<u32>)],
        known: &[KnownCrashes],
    ) {
        for row in known {
            let left = CRASH_TTL.saturating_sub(Duration::from_secs(u64::from(row.age_s)));
            for start in row.starts.iter().filter(|_| !left.is_zero()) {
                self.learn(now, left, row.signature, *start);
            }
        }
        let is_aged = |signature: &u64| known.iter().any(|row| row.signature == *signature);
        for (signature, starts) in observed.iter().filter(|row| !is_aged(&row.0)) {
            for start in starts {
                self.learn(now, CRASH_TTL, *signature, *start);
            }
        }
    }

    /// Drops crashes and broken connections that are too old.
    pub(crate) fn expire(&mut self, now: Time) {
        self.rows.retain(|_, row| now < row.expires);
        self.broken.retain(|row| now.since(row.at) < RESTART_WINDOW);
    }

    fn learn(&mut self, now: Time, left: Duration, signature: u64, start: u32) {
        let before = self.count(signature);
        self.record(now, left, signature, start, Witness::Other);
        if self.count(signature) > before {
            self.note_change(signature, "reported");
        }
    }

    // Records a crash that is forgotten after `left`; returns whether it was not known.
    fn record(
        &mut self,
        now: Time,
        left: Duration,
        signature: u64,
        start: u32,
        witness: Witness,
    ) -> bool {
        let expires = now + left;
        let row = self
            .rows
            .get_or_insert_with(signature, || SignatureCrashes {
                expires,
                observed: Vec::new(),
                reported: Vec::new(),
                answered: None,
            });
        let is_cleared = |answered: Time| {
            // The crash happened before the answer, or an attempt that began before it.
            expires <= answered + CRASH_TTL || now.since(answered) < CLEARED_TTL
        };
        if row.answered.is_some_and(is_cleared) {
            return false;
        }
        let list = match witness {
            Witness::Here => &mut row.observed,
            Witness::Other => &mut row.reported,
        };
        let is_new = !list.contains(&start);
        if is_new {
            list.push(start);
            row.expires = row.expires.max(expires);
        }
        if self.rows.len() > MAX_SIGNATURES {
            let oldest = self.rows.iter().min_by_key(|row| row.1.expires);
            if let Some(oldest) = oldest.map(|row| *row.0) {
                self.rows.remove(&oldest);
            }
        }
        is_new
    }
}

/// Merges what is known of crashes, up to the size of a message; the latest ones are kept.
pub(crate) fn merge_known(rows: impl Iterator<Item = KnownCrashes>) -> Vec<KnownCrashes> {
    let mut merged: SortedMap<u64, KnownCrashes> = SortedMap::default();
    for row in rows.filter(|row| !row.starts.is_empty()) {
        let known = merged.get_or_insert_with(row.signature, || KnownCrashes {
            starts: Vec::new(),
            ..row
        });
        known.age_s = known.age_s.min(row.age_s);
        known.starts.extend(row.starts);
        known.starts.sort_unstable();
        known.starts.dedup();
        known.starts.truncate(MAX_REPORTED_STARTS);
    }
    let mut merged: Vec<_> = merged.iter().map(|row| row.1.clone()).collect();
    merged.sort_by_key(|row| row.age_s);
    merged.truncate(MAX_REPORTED);
    merged
}
