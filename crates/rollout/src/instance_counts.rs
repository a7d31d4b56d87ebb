//! The strata of one instance, cut from its sums.

use corianderway_model::InstanceId;

use crate::tally::Report;
use crate::tally::RouteTally;

/// What was taken from one instance.
#[derive(Clone, Debug)]
pub(crate) struct Source {
    pub(crate) instance: InstanceId,
    sequence: u64,
    // The counts at the end of the last stratum, sorted by route.
    closed: Vec<RouteTally>,
}

impl Source {
    /// An instance of which nothing was taken yet.
    pub(crate) fn empty(report: &Report) -> Self {
        Self {
            instance: report.instance.clone(),
            sequence: 0,
            closed: Vec::new(),
        }
    }

    /// An instance that is first heard of: its first report counts from zero,
    /// a later one shows where to begin.
    pub(crate) fn first(report: &Report) -> Self {
        if report.sequence <= 1 {
            return Self::empty(report);
        }
        Self {
            instance: report.instance.clone(),
            sequence: report.sequence,
            closed: report.routes.clone(),
        }
    }

    /// Counts from zero again, as the instance does when a trial begins.
    pub(crate) fn begin(&mut self) {
        self.closed.clear();
    }

    /// Whether a report goes beyond those taken before; notes that it was.
    pub(crate) fn is_new(&mut self, report: &Report) -> bool {
        let new = report.sequence > self.sequence;
        self.sequence = self.sequence.max(report.sequence);
        new
    }

    /// Closes the stratum of a route if it tells enough.
    pub(crate) fn close(&mut self, tally: &RouteTally) -> Option<RouteTally> {
        let found = self.closed.binary_search_by(|r| r.route.cmp(&tally.route));
        let fresh = match found {
            Ok(at) => tally.since(&self.closed[at]),
            Err(_) => tally.clone(),
        };
        if !fresh
            .stratum(|tally| (tally.total, tally.failed))
            .is_complete()
        {
            return None;
        }
        match found {
            Ok(at) => self.closed[at] = tally.clone(),
            Err(at) => self.closed.insert(at, tally.clone()),
        }
        Some(fresh)
    }
}
