//! Requests that crash the backend servers which run them.

use std::time::Duration;

use corianderway_model::Sorted;
use corianderway_model::Time;

/// Backend servers that must have died with a request before it is refused.
const DEATHS: usize = 3;

/// How long a death counts.
const MEMORY: Duration = Duration::from_mins(10);

/// A request that was answered this lately is not what a server died of.
const CLEARED: Duration = Duration::from_secs(5);

/// A server that can't be reached this soon after a connection to it broke
/// is taken to have died then.
const PROOF: Duration = Duration::from_secs(2);

/// Signatures remembered; the oldest give way.
const MOST: usize = 512;

/// Signatures told to the other instances in one digest.
const TOLD: usize = 8;

/// The signatures of requests at which backend servers died.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    rows: Sorted<u64, Row>,
    // Broken connections whose servers may have died: signature, server, when.
    broken: Vec<(u64, u32, Time)>,
}

#[derive(Debug)]
struct Row {
    at: Time,
    // The hashes of the servers that died, as seen here and as told.
    seen: Vec<u32>,
    told: Vec<u32>,
    answered: Option<Time>,
}

impl Crashes {
    /// Notes that a connection broke while it carried a request.
    pub(crate) fn broke(&mut self, now: Time, signature: u64, server: u32) {
        self.broken.push((signature, server, now));
    }

    /// Notes that a server can't be reached: what broke there lately died with it.
    pub(crate) fn unreachable(&mut self, now: Time, server: u32) {
        let (mine, rest) = std::mem::take(&mut self.broken)
            .into_iter()
            .partition::<Vec<_>, _>(|row| row.1 == server);
        self.broken = rest;
        for (signature, server, at) in mine {
            if now.since(at) < PROOF {
                self.note(now, signature, server, |row| &mut row.seen);
            }
        }
    }

    /// Notes that a request was answered.
    pub(crate) fn answered(&mut self, now: Time, signature: u64) {
        if let Some(row) = self.rows.get_mut(&signature) {
            row.answered = Some(now);
            row.seen.clear();
            row.told.clear();
        } else {
            self.broken.retain(|row| row.0 != signature);
        }
    }

    /// Whether a request must not run again.
    pub(crate) fn condemns(&self, signature: u64) -> bool {
        let row = self.rows.get(&signature);
        row.is_some_and(|row| {
            let told = row.told.iter().filter(|s| !row.seen.contains(s));
            row.seen.len() + told.count() >= DEATHS
        })
    }

    /// The deaths seen here, to tell the other instances.
    pub(crate) fn tell(&self) -> Vec<(u64, Vec<u32>)> {
        let seen = self.rows.iter().filter(|(_, row)| !row.seen.is_empty());
        let mut rows: Vec<_> = seen.collect();
        rows.sort_by_key(|(_, row)| std::cmp::Reverse(row.at));
        let latest = rows.into_iter().take(TOLD);
        latest.map(|(s, row)| (*s, row.seen.clone())).collect()
    }

    /// Takes what another instance saw.
    pub(crate) fn merge(&mut self, now: Time, told: &[(u64, Vec<u32>)]) {
        for (signature, servers) in told {
            for server in servers {
                self.note(now, *signature, *server, |row| &mut row.told);
            }
        }
    }

    /// Forgets what is too old.
    pub(crate) fn expire(&mut self, now: Time) {
        self.rows.retain(|_, row| now.since(row.at) < MEMORY);
        self.broken.retain(|row| now.since(row.2) < PROOF);
    }

    fn note(
        &mut self,
        now: Time,
        signature: u64,
        server: u32,
        list: impl Fn(&mut Row) -> &mut Vec<u32>,
    ) {
        let row = self.rows.get_or(signature, || Row {
            at: now,
            seen: Vec::new(),
            told: Vec::new(),
            answered: None,
        });
        if row.answered.is_some_and(|at| now.since(at) < CLEARED) {
            return;
        }
        let list = list(row);
        if !list.contains(&server) {
            list.push(server);
            row.at = now;
        }
        if self.rows.len() > MOST {
            let oldest = self.rows.iter().min_by_key(|row| row.1.at);
            if let Some(oldest) = oldest.map(|row| *row.0) {
                self.rows.remove(&oldest);
            }
        }
    }
}
