//! Quarantine of requests that crash the backend servers which run them.
//!
//! A connection that breaks during a request, together with a failed attempt to
//! connect to the same server soon after it, counts as a crash of that server
//! by the request's signature. Crashes are shared with other instances. A
//! signature with crashes of several servers is quarantined; an answer to it
//! clears them.

use std::time::Duration;

use corianderway_model::SortedMap;
use corianderway_model::Time;

/// Number of crashed servers from which on a signature is quarantined.
const QUARANTINE_CRASHES: usize = 3;

/// Time after which a crash is forgotten.
const CRASH_TTL: Duration = Duration::from_mins(10);

/// Time after an answer to a request in which no crash is attributed to its
/// signature.
const CLEARED_TTL: Duration = Duration::from_secs(5);

/// Time between a broken connection and a failed attempt to connect within
/// which the server counts as crashed.
const CRASH_WINDOW: Duration = Duration::from_secs(2);

/// Maximum number of signatures; beyond it the oldest is dropped.
const MAX_SIGNATURES: usize = 512;

/// Maximum number of signatures in a digest.
const MAX_REPORTED: usize = 8;

/// The crashes of backend servers by request signature.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    rows: SortedMap<u64, SignatureCrashes>,
    // Broken connections of servers that may have crashed: signature, server,
    // time.
    broken: Vec<(u64, u32, Time)>,
}

/// The servers that requests with one signature crashed.
#[derive(Debug)]
struct SignatureCrashes {
    updated: Time,
    // Hashes of crashed servers, as observed by this instance and as reported
    // by others.
    observed: Vec<u32>,
    reported: Vec<u32>,
    // When a request with the signature was last answered.
    answered: Option<Time>,
}

impl Crashes {
    /// Records that a connection broke while it carried a request.
    pub(crate) fn connection_broke(&mut self, now: Time, signature: u64, server: u32) {
        self.broken.push((signature, server, now));
    }

    /// Records a failed attempt to connect: recent broken connections to the
    /// server count as crashes.
    pub(crate) fn unreachable(&mut self, now: Time, server: u32) {
        let (of_server, rest) = std::mem::take(&mut self.broken)
            .into_iter()
            .partition::<Vec<_>, _>(|row| row.1 == server);
        self.broken = rest;
        for (signature, server, at) in of_server {
            if now.since(at) < CRASH_WINDOW {
                self.record(now, signature, server, |row| &mut row.observed);
            }
        }
    }

    /// Records an answer to a request, which clears its signature.
    pub(crate) fn answered(&mut self, now: Time, signature: u64) {
        if let Some(row) = self.rows.get_mut(&signature) {
            row.answered = Some(now);
            row.observed.clear();
            row.reported.clear();
        } else {
            self.broken.retain(|row| row.0 != signature);
        }
    }

    /// Returns whether requests with the signature are quarantined.
    pub(crate) fn is_quarantined(&self, signature: u64) -> bool {
        let row = self.rows.get(&signature);
        row.is_some_and(|row| {
            let reported = row.reported.iter().filter(|s| !row.observed.contains(s));
            row.observed.len() + reported.count() >= QUARANTINE_CRASHES
        })
    }

    /// Returns the latest crashes observed by this instance, for the digest.
    pub(crate) fn report(&self) -> Vec<(u64, Vec<u32>)> {
        let observed = self.rows.iter().filter(|(_, row)| !row.observed.is_empty());
        let mut rows: Vec<_> = observed.collect();
        rows.sort_by_key(|(_, row)| std::cmp::Reverse(row.updated));
        let latest = rows.into_iter().take(MAX_REPORTED);
        latest.map(|(s, row)| (*s, row.observed.clone())).collect()
    }

    /// Adds crashes that other instances report.
    pub(crate) fn merge(&mut self, now: Time, reported: &[(u64, Vec<u32>)]) {
        for (signature, servers) in reported {
            for server in servers {
                self.record(now, *signature, *server, |row| &mut row.reported);
            }
        }
    }

    /// Drops crashes and broken connections that are too old.
    pub(crate) fn expire(&mut self, now: Time) {
        self.rows
            .retain(|_, row| now.since(row.updated) < CRASH_TTL);
        self.broken.retain(|row| now.since(row.2) < CRASH_WINDOW);
    }

    fn record(
        &mut self,
        now: Time,
        signature: u64,
        server: u32,
        list: impl Fn(&mut SignatureCrashes) -> &mut Vec<u32>,
    ) {
        let row = self
            .rows
            .get_or_insert_with(signature, || SignatureCrashes {
                updated: now,
                observed: Vec::new(),
                reported: Vec::new(),
                answered: None,
            });
        if row.answered.is_some_and(|at| now.since(at) < CLEARED_TTL) {
            return;
        }
        let list = list(row);
        if !list.contains(&server) {
            list.push(server);
            row.updated = now;
        }
        if self.rows.len() > MAX_SIGNATURES {
            let oldest = self.rows.iter().min_by_key(|row| row.1.updated);
            if let Some(oldest) = oldest.map(|row| *row.0) {
                self.rows.remove(&oldest);
            }
        }
    }
}
