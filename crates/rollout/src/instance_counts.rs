//! The counts of one instance, divided into strata.
//!
//! A report holds cumulative counts; a stratum is the difference of two reports.

use corianderway_model::InstanceId;

use crate::tally::Report;
use crate::tally::RouteTally;

/// The counts of one instance that were used so far.
#[derive(Clone, Debug)]
pub(crate) struct InstanceCounts {
    pub(crate) instance: InstanceId,
    sequence: u64,
    // The cumulative counts at the end of the last stratum, sorted by route.
    used: Vec<RouteTally>,
}

impl InstanceCounts {
    /// Creates the state of an instance of which no count was used yet.
    pub(crate) fn empty(report: &Report) -> Self {
        Self {
            instance: report.instance.clone(),
            sequence: 0,
            used: Vec::new(),
        }
    }

    /// Creates the state of an instance whose first report was received.
    ///
    /// The first report that an instance sends is counted from zero; the counts of a
    /// later one are the baseline.
    pub(crate) fn from_report(report: &Report) -> Self {
        if report.sequence <= 1 {
            return Self::empty(report);
        }
        Self {
            instance: report.instance.clone(),
            sequence: report.sequence,
            used: report.routes.clone(),
        }
    }

    /// Counts from zero again, as when a trial begins.
    pub(crate) fn restart(&mut self) {
        self.used.clear();
    }

    /// Returns whether a report is newer than all before, and records its sequence
    /// number.
    pub(crate) fn accept(&mut self, report: &Report) -> bool {
        let new = report.sequence > self.sequence;
        self.sequence = self.sequence.max(report.sequence);
        new
    }

    /// Ends the stratum of a route and returns it, if it is complete.
    pub(crate) fn next_stratum(&mut self, tally: &RouteTally) -> Option<RouteTally> {
        let found = self.used.binary_search_by(|r| r.route.cmp(&tally.route));
        let fresh = match found {
            Ok(at) => tally.since(&self.used[at]),
            Err(_) => tally.clone(),
        };
        if !fresh
            .stratum(|tally| (tally.total, tally.failed))
            .is_complete()
        {
            return None;
        }
        match found {
            Ok(at) => self.used[at] = tally.clone(),
            Err(at) => self.used.insert(at, tally.clone()),
        }
        Some(fresh)
    }
}
