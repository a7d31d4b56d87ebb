//! The statistical tests of one scope: the whole service or one route.

use std::time::Duration;

use corianderway_model::Time;

use crate::evidence::FaultKind;
use crate::inferiority::InferiorityTest;
use crate::non_inferiority::NonInferiorityTest;
use crate::sample::Stratum;

/// The margin for slow answers, as a multiple of the margin for failures. An answer
/// is slow if it falls into the tail of the old version's latency.
const SLOW_MARGIN_FACTOR: f64 = 2.0;

/// The tests of one scope for each kind of fault.
///
/// Each kind has its own margin; requests of one kind leave the other kind's tests
/// as they are.
#[derive(Clone, Debug)]
pub(crate) struct ScopeTests {
    errors: Tests,
    slowness: Tests,
}

/// Both tests for one kind of fault.
#[derive(Clone, Debug)]
struct Tests {
    inferiority: InferiorityTest,
    non_inferiority: NonInferiorityTest,
}

impl ScopeTests {
    pub(crate) fn new(margin: f64, span: Duration, start: Time) -> Self {
        let tests = |margin| Tests {
            inferiority: InferiorityTest::new(margin, span, start),
            non_inferiority: NonInferiorityTest::new(margin),
        };
        Self {
            errors: tests(margin),
            slowness: tests(margin * SLOW_MARGIN_FACTOR),
        }
    }

    pub(crate) fn update(&mut self, now: Time, kind: FaultKind, stratum: Stratum) {
        let tests = match kind {
            FaultKind::Errors => &mut self.errors,
            FaultKind::Slowness => &mut self.slowness,
        };
        tests.inferiority.update(now, stratum);
        tests.non_inferiority.update(stratum);
    }

    /// Returns the kind of fault that is shown with at most this error probability,
    /// and that is more than negligible.
    pub(crate) fn fault(&self, alpha: f64) -> Option<FaultKind> {
        let shown =
            |t: &Tests| t.inferiority.log_e_value() >= -alpha.ln() && t.inferiority.is_relevant();
        if shown(&self.errors) {
            return Some(FaultKind::Errors);
        }
        shown(&self.slowness).then_some(FaultKind::Slowness)
    }

    /// Returns the log likelihood ratio for non-inferiority, the lower one of the kinds.
    pub(crate) fn log_ratio(&self) -> f64 {
        let errors = self.errors.non_inferiority.log_ratio();
        errors.min(self.slowness.non_inferiority.log_ratio())
    }

    /// Returns the log e-value for inferiority, the higher one of the kinds.
    pub(crate) fn log_e_value(&self) -> f64 {
        let errors = self.errors.inferiority.log_e_value();
        errors.max(self.slowness.inferiority.log_e_value())
    }

    pub(crate) fn restart_non_inferiority(&mut self) {
        self.errors.non_inferiority.restart();
        self.slowness.non_inferiority.restart();
    }
}
