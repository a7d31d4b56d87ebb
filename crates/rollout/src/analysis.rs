//! The judgement on a new version, from the reports of all instances.

use std::time::Duration;

use corianderway_model::RouteName;
use corianderway_model::Sorted;
use corianderway_model::Time;

use crate::comparison::Comparison;
use crate::evidence::Evidence;
use crate::evidence::Fault;
use crate::evidence::FaultKind;
use crate::instance_counts::Source;
use crate::tally::Report;
use crate::tally::RouteTally;
use crate::tally::Tally;

/// The probability of condemning a version that is no worse, over a whole move.
pub const CONDEMN_ERROR: f64 = 0.001;
/// The probability of holding a version that is no worse, over a whole move.
pub const SUSPECT_ERROR: f64 = 0.05;
/// The probability of passing a version that is worse by the margin.
pub const PASS_ERROR: f64 = 0.02;
/// The same for each later step, which needs its own evidence.
pub const STEP_ERROR: f64 = 0.2;

/// The part of the error of passing that the test itself may use; the rest is
/// left for estimating the old version's ratio.
const TEST_PART: f64 = 0.5;
/// Answers of the old version before its tail is known.
const TAIL_SAMPLES: u64 = 100;
/// The tail of the old version's latency that counts as slow.
const TAIL: f64 = 0.05;

/// What the judgement needs to know of a move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// The ratio above the old version's that counts as a fault.
    pub margin: f64,
    /// The time from the start of the move to its deadline.
    pub span: Duration,
    /// From when on slowness counts, after cold starts.
    pub warm: Time,
}

/// Compares two versions that run side by side.
///
/// Reports may come in any order, repeatedly, or not at all.
#[derive(Clone, Debug)]
pub struct Judge {
    terms: Terms,
    // Sorted by instance.
    sources: Vec<Source>,
    comparison: Comparison<RouteName>,
    // What the old version did on each route, for the tail of its latency.
    old: Sorted<RouteName, Tally>,
    evidence: Evidence,
}

impl Judge {
    /// Makes a judge that has seen nothing.
    pub fn new(terms: Terms, now: Time) -> Self {
        Self {
            terms,
            sources: Vec::new(),
            comparison: Comparison::new(terms.margin, terms.span, now),
            old: Sorted::default(),
            evidence: Evidence::default(),
        }
    }

    /// Begins the comparison: forgets the counts, but not who has reported.
    pub fn begin(&mut self, terms: Terms, now: Time) {
        let mut sources = std::mem::take(&mut self.sources);
        sources.iter_mut().for_each(Source::begin);
        *self = Self::new(terms, now);
        self.sources = sources;
    }

    /// Takes in the counts of this instance, without a report.
    pub fn take_own(&mut self, now: Time, own: &Report) {
        let at = self.source_at(own, Source::empty);
        self.take_tallies(now, at, own);
    }

    /// Takes in a report; an old or repeated one changes nothing.
    ///
    /// Of an instance that is first heard of in the middle of its work, only
    /// what it counts from here on is used.
    pub fn take(&mut self, now: Time, report: &Report) {
        let at = self.source_at(report, Source::first);
        if self.sources[at].is_new(report) {
            self.take_tallies(now, at, report);
        }
    }

    fn source_at(&mut self, report: &Report, make: impl Fn(&Report) -> Source) -> usize {
        let instance = &report.instance;
        match self.sources.binary_search_by(|s| s.instance.cmp(instance)) {
            Ok(at) => at,
            Err(at) => {
                self.sources.insert(at, make(report));
                at
            }
        }
    }

    fn take_tallies(&mut self, now: Time, at: usize, report: &Report) {
        for tally in &report.routes {
            if let Some(fresh) = self.sources[at].close(tally) {
                self.judge(now, &fresh);
            }
        }
    }

    /// The fault that is certain enough to take the version back.
    pub fn condemned(&self) -> Option<Fault> {
        self.fault(CONDEMN_ERROR)
    }

    /// The fault that is likely enough to stop growth.
    pub fn suspected(&self) -> Option<Fault> {
        self.fault(SUSPECT_ERROR)
    }

    /// Whether the service as a whole is proven to this error probability.
    pub fn is_proven(&self, error: f64) -> bool {
        self.comparison.proof() >= needed(error)
    }

    /// Whether each route is proven to this error probability.
    pub fn is_each_proven(&self, error: f64) -> bool {
        self.comparison.least_proof() >= needed(error)
    }

    /// Asks for new proof, as after a step of the share.
    pub fn restart_proof(&mut self) {
        self.comparison.restart_proof();
    }

    /// Sums up what was seen.
    pub fn evidence(&self) -> Evidence {
        Evidence {
            proof: self.comparison.proof(),
            doubt: self.comparison.doubt(),
            fault: self.suspected(),
            ..self.evidence.clone()
        }
    }

    fn judge(&mut self, now: Time, fresh: &RouteTally) {
        self.sum(fresh);
        let warm = now >= self.terms.warm;
        let route = &fresh.route;
        let old = self.old.get_or(route.clone(), Tally::default);
        let tail = tail(old).filter(|_| warm);
        old.merge(&fresh.old);
        let errors = fresh.stratum(|t| (t.total, t.failed));
        self.comparison.take(now, route, FaultKind::Errors, errors);
        if let Some(bucket) = tail {
            let slow = fresh.stratum(|t| (t.answered(), t.above(bucket)));
            self.comparison.take(now, route, FaultKind::Slowness, slow);
        }
    }

    fn sum(&mut self, fresh: &RouteTally) {
        self.evidence.old_total += fresh.old.total;
        self.evidence.old_failed += fresh.old.failed;
        self.evidence.new_total += fresh.new.total;
        self.evidence.new_failed += fresh.new.failed;
    }

    fn fault(&self, error: f64) -> Option<Fault> {
        let (kind, route) = self.comparison.fault(error)?;
        let route = route.cloned();
        Some(Fault { kind, route })
    }
}

// The bucket above which an answer is slow, once the old version's are known.
fn tail(old: &Tally) -> Option<u8> {
    let known = old.answered() >= TAIL_SAMPLES;
    known.then(|| old.tail_bucket(TAIL)).flatten()
}

// The log likelihood ratio that passes a version.
fn needed(error: f64) -> f64 {
    -(error * TEST_PART).ln()
}
