//! The counts of attempts, by instance, account and window.

use corianderway_model::Account;
use corianderway_model::InstanceId;
use corianderway_model::SortedMap;
use serde::Deserialize;
use serde::Serialize;

/// An instance and one of its runs.
pub type Source = (InstanceId, u64);

/// Attempts of one client account in one window: more that began, or, below zero, that turned
/// out not to have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The client account.
    pub account: Account,
    /// The wall-clock time at which it was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// The change of the count.
    pub change: i64,
}

/// The count of one account in one window at one instance: the number of attempts that began
/// to run.
///
/// It is written as a list, since traffic between failure domains is expensive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry(u64, Account, i64);

impl Entry {
    /// Returns the window.
    pub fn window(&self) -> u64 {
        self.0
    }
}

/// The counts of one run of one instance.
#[derive(Clone, Debug, Default)]
struct Counts {
    // The version up to which all changes are known.
    through: u64,
    rows: SortedMap<(u64, Account), (i64, u64)>,
}

/// The counts of all runs of instances that are known here.
#[derive(Clone, Debug, Default)]
pub struct Book {
    sources: SortedMap<Source, Counts>,
}

impl Book {
    /// Changes a count of this instance's own.
    pub fn count(&mut self, source: &Source, window: u64, account: Account, change: i64) {
        let counts = self.counts_mut(source);
        counts.through += 1;
        let row = counts
            .rows
            .get_or_insert_with((window, account), Default::default);
        *row = (row.0 + change, counts.through);
    }

    /// Applies counts as of the version `through`: all those that changed after the version
    /// that is known here, and maybe others.
    pub fn merge(
        &mut self,
        source: &Source,
        entries: impl IntoIterator<Item = Entry>,
        through: u64,
    ) {
        let counts = self.counts_mut(source);
        if through <= counts.through {
            return;
        }
        counts.through = through;
        for Entry(window, account, count) in entries {
            counts.rows.insert((window, account), (count, through));
        }
    }

    /// Returns the counts of a source that changed after a version, at most `limit` of them,
    /// the earliest changes first, and the version up to which they are complete.
    pub fn changes(&self, source: &Source, after: u64, limit: usize) -> (Vec<Entry>, u64) {
        let Some(counts) = self.sources.get(source) else {
            return (Vec::new(), 0);
        };
        let changed = counts.rows.iter().filter(|row| row.1 .1 > after);
        let entry = |row: (&(u64, Account), &(i64, u64))| {
            let ((window, account), (count, version)) = row;
            (*version, Entry(*window, account.clone(), *count))
        };
        let mut entries: Vec<(u64, Entry)> = changed.map(entry).collect();
        entries.sort_by_key(|entry| entry.0);
        let fits = entries.len() <= limit;
        entries.truncate(limit);
        let last = entries.last().map_or(after, |entry| entry.0);
        let through = if fits { counts.through } else { last };
        (entries.into_iter().map(|entry| entry.1).collect(), through)
    }

    /// Returns the version up to which the counts of a source are known.
    pub fn through(&self, source: &Source) -> u64 {
        self.sources.get(source).map_or(0, |counts| counts.through)
    }

    /// Returns the sum over all sources for each account in a window, without zeros.
    pub fn total(&self, window: u64) -> Vec<(Account, u64)> {
        let mut totals: SortedMap<Account, i64> = SortedMap::default();
        for (_, counts) in self.sources.iter() {
            let rows = counts.rows.iter().filter(|row| row.0 .0 == window);
            for ((_, account), (count, _)) in rows {
                *totals.get_or_insert_with(account.clone(), || 0) += count;
            }
        }
        let totals = totals.iter().filter(|row| *row.1 > 0);
        totals
            .map(|(account, count)| (account.clone(), *count as u64))
            .collect()
    }

    /// Forgets the windows up to `settled`, and sources other than `own` that have no counts
    /// left and aren't among those `known`.
    pub fn forget(&mut self, settled: u64, mut known: impl FnMut(&Source) -> bool) {
        self.sources.retain(|source, counts| {
            counts.rows.retain(|key, _| key.0 > settled);
            known(source) || !counts.rows.is_empty()
        });
    }

    fn counts_mut(&mut self, source: &Source) -> &mut Counts {
        self.sources
            .get_or_insert_with(source.clone(), Counts::default)
    }
}
