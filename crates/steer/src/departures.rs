//! The starts of backend servers that left the list, which an older copy of the store may list
//! again.

use std::time::Duration;

use corianderway_model::Era;
use corianderway_model::Time;

use crate::listing::ServerEntry;

/// Time for which a departure is remembered. An older copy lacks some seconds, and the store
/// may be away for longer before it returns.
const DEPARTURE_TTL: Duration = Duration::from_mins(5);

/// The start of a server that left the list.
#[derive(Clone, Copy, Debug)]
struct Departure {
    start: u32,
    // The sequence number of its latest report.
    report: u64,
    // The era of the list that it left.
    era: Era,
    at: Time,
}

/// The latest departures, and the era of the store.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    rows: Vec<Departure>,
    era: Era,
}

impl Departures {
    /// Begins an era of the store.
    pub(crate) fn enter_era(&mut self, era: Era) {
        self.era = era;
    }

    /// Records that a start of a server left the list, or was replaced by a later one.
    pub(crate) fn record(&mut self, now: Time, listed: &ServerEntry) {
        self.rows.push(Departure {
            start: listed.incarnation().start,
            report: listed.report_sequence,
            era: self.era,
            at: now,
        });
    }

    /// Returns whether an entry of a later era says no more than was known when its server
    /// left.
    pub(crate) fn covers(&self, listed: &ServerEntry) -> bool {
        self.rows.iter().any(|left| {
            left.era < listed.revision.era
                && left.report >= listed.report_sequence
                && left.start == listed.incarnation().start
        })
    }

    /// Forgets the departures that are too long ago.
    pub(crate) fn expire(&mut self, now: Time) {
        self.rows.retain(|left| now.since(left.at) < DEPARTURE_TTL);
    }
}
