//! The sequential analysis of a new version, from the counts of all instances.
//!
//! Its input is the [`Report`]s of the instances. Its output is the fault of the
//! new version, if one is shown, and whether the version is proven: shown to be
//! worse than the old one by less than the margin. Each answer has a bound on its
//! error probability that holds however often it is asked for.

use std::time::Duration;

use corianderway_model::RouteName;
use corianderway_model::SortedMap;
use corianderway_model::Time;

use crate::comparison::Comparison;
use crate::evidence::Evidence;
use crate::evidence::Fault;
use crate::evidence::FaultKind;
use crate::instance_counts::InstanceCounts;
use crate::tally::Report;
use crate::tally::RouteTally;
use crate::tally::Tally;

/// The maximum probability that a version which is no worse is condemned, over a
/// whole move.
pub const CONDEMN_ALPHA: f64 = 0.001;
/// The maximum probability that a version which is no worse is suspected, over a
/// whole move.
pub const SUSPECT_ALPHA: f64 = 0.05;
/// The maximum probability that a version which is worse by the margin leaves the
/// trial.
pub const PASS_ALPHA: f64 = 0.02;
/// The same for each step after the trial; each step needs evidence of its own.
pub const STEP_ALPHA: f64 = 0.2;

/// The fraction of a pass's error probability that the test itself may use. The
/// rest covers the estimate of the old version's failure rate.
const TEST_FRACTION: f64 = 0.5;
/// The minimum of the old version's answers from which its latency quantile is
/// estimated.
const MIN_TAIL_ANSWERS: u64 = 100;
/// The fraction of the old version's answers that count as slow.
const TAIL_FRACTION: f64 = 0.05;

/// The parameters of an analysis, derived from the move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnalysisParams {
    /// The excess over the old version's failure rate that counts as a fault.
    pub margin: f64,
    /// The time from the start of the move to its deadline.
    pub span: Duration,
    /// When cold starts are over; latency is compared only from then on.
    pub warm: Time,
}

/// The analysis of two versions that run side by side.
///
/// Reports may arrive in any order, more than once, or not at all: they carry
/// cumulative counts, and each request is counted at most once.
#[derive(Clone, Debug)]
pub struct Analysis {
    params: AnalysisParams,
    // Sorted by instance.
    instances: Vec<InstanceCounts>,
    comparison: Comparison<RouteName>,
    // The old version's counts on each route, from which its slow answers are defined.
    old: SortedMap<RouteName, Tally>,
    evidence: Evidence,
}

impl Analysis {
    /// Creates an analysis without data.
    pub fn new(params: AnalysisParams, now: Time) -> Self {
        Self {
            params,
            instances: Vec::new(),
            comparison: Comparison::new(params.margin, params.span, now),
            old: SortedMap::default(),
            evidence: Evidence::default(),
        }
    }

    /// Restarts the comparison; keeps which reports of each instance were applied.
    pub fn restart(&mut self, params: AnalysisParams, now: Time) {
        let mut instances = std::mem::take(&mut self.instances);
        instances.iter_mut().for_each(InstanceCounts::restart);
        *self = Self::new(params, now);
        self.instances = instances;
    }

    /// Applies the counts of this instance, which need no sequence number.
    pub fn apply_own(&mut self, now: Time, own: &Report) {
        let index = self.instance_index(own, InstanceCounts::empty);
        self.apply_tallies(now, index, own);
    }

    /// Applies a report; an old or repeated one changes nothing.
    ///
    /// If the first report received of an instance isn't the first that it sent,
    /// the counts in it serve as a baseline, and only later requests are used.
    pub fn apply(&mut self, now: Time, report: &Report) {
        let index = self.instance_index(report, InstanceCounts::from_report);
        if self.instances[index].accept(report) {
            self.apply_tallies(now, index, report);
        }
    }

    fn instance_index(
        &mut self,
        report: &Report,
        make: impl Fn(&Report) -> InstanceCounts,
    ) -> usize {
        let instance = &report.instance;
        match self
            .instances
            .binary_search_by(|s| s.instance.cmp(instance))
        {
            Ok(index) => index,
            Err(index) => {
                self.instances.insert(index, make(report));
                index
            }
        }
    }

    fn apply_tallies(&mut self, now: Time, index: usize, report: &Report) {
        for tally in &report.routes {
            if let Some(fresh) = self.instances[index].next_stratum(tally) {
                self.compare(now, &fresh);
            }
        }
    }

    /// Returns the fault that is certain enough for a rollback.
    pub fn condemned(&self) -> Option<Fault> {
        self.fault(CONDEMN_ALPHA)
    }

    /// Returns the fault that is likely enough to stop the share's growth.
    pub fn suspected(&self) -> Option<Fault> {
        self.fault(SUSPECT_ALPHA)
    }

    /// Returns whether the version is proven over all routes together, with at most
    /// this error probability.
    pub fn is_proven(&self, alpha: f64) -> bool {
        self.comparison.log_ratio() >= required_log_ratio(alpha)
    }

    /// Returns whether the version is proven on each route, with at most this error
    /// probability.
    pub fn is_each_route_proven(&self, alpha: f64) -> bool {
        self.comparison.min_route_log_ratio() >= required_log_ratio(alpha)
    }

    /// Discards what proves the version, as after a step of the share.
    pub fn restart_non_inferiority(&mut self) {
        self.comparison.restart_non_inferiority();
    }

    /// Returns a summary of the evidence.
    pub fn evidence(&self) -> Evidence {
        Evidence {
            proof: self.comparison.log_ratio(),
            doubt: self.comparison.log_e_value(),
            fault: self.suspected(),
            ..self.evidence.clone()
        }
    }

    fn compare(&mut self, now: Time, fresh: &RouteTally) {
        self.sum(fresh);
        let warm = now >= self.params.warm;
        let route = &fresh.route;
        let old = self.old.get_or_insert_with(route.clone(), Tally::default);
        let slow_bucket = slow_bucket(old).filter(|_| warm);
        old.merge(&fresh.old);
        let errors = fresh.stratum(|t| (t.total, t.failed));
        self.comparison
            .update(now, route, FaultKind::Errors, errors);
        if let Some(bucket) = slow_bucket {
            let slow = fresh.stratum(|t| (t.answered(), t.above(bucket)));
            self.comparison
                .update(now, route, FaultKind::Slowness, slow);
        }
    }

    fn sum(&mut self, fresh: &RouteTally) {
        self.evidence.old_total += fresh.old.total;
        self.evidence.old_failed += fresh.old.failed;
        self.evidence.new_total += fresh.new.total;
        self.evidence.new_failed += fresh.new.failed;
    }

    fn fault(&self, alpha: f64) -> Option<Fault> {
        let (kind, route) = self.comparison.fault(alpha)?;
        let route = route.cloned();
        Some(Fault { kind, route })
    }
}

// Returns the bucket above which an answer is slow, once the old version has
// answered often enough.
fn slow_bucket(old: &Tally) -> Option<u8> {
    let known = old.answered() >= MIN_TAIL_ANSWERS;
    known.then(|| old.tail_bucket(TAIL_FRACTION)).flatten()
}

// Returns the log likelihood ratio from which on a version counts as proven.
fn required_log_ratio(alpha: f64) -> f64 {
    -(alpha * TEST_FRACTION).ln()
}
