//! The tests of one scope: the whole service or one route.

use std::time::Duration;

use corianderway_model::Time;

use crate::evidence::FaultKind;
use crate::inferiority::Doubt;
use crate::non_inferiority::Proof;
use crate::sample::Stratum;

/// How many margins more answers may fall into the old version's slow tail.
const SLOW_MARGINS: f64 = 2.0;

/// The tests for each kind of fault.
#[derive(Clone, Debug)]
pub(crate) struct Scope {
    errors: Tests,
    slowness: Tests,
}

#[derive(Clone, Debug)]
struct Tests {
    doubt: Doubt,
    proof: Proof,
}

impl Scope {
    pub(crate) fn new(margin: f64, span: Duration, start: Time) -> Self {
        let tests = |margin| Tests {
            doubt: Doubt::new(margin, span, start),
            proof: Proof::new(margin),
        };
        Self {
            errors: tests(margin),
            slowness: tests(margin * SLOW_MARGINS),
        }
    }

    pub(crate) fn take(&mut self, now: Time, kind: FaultKind, stratum: Stratum) {
        let tests = match kind {
            FaultKind::Errors => &mut self.errors,
            FaultKind::Slowness => &mut self.slowness,
        };
        tests.doubt.take(now, stratum);
        tests.proof.take(stratum);
    }

    /// The kind of fault shown to this error probability.
    pub(crate) fn fault(&self, error: f64) -> Option<FaultKind> {
        let shown = |tests: &Tests| tests.doubt.evidence() >= -error.ln() && tests.doubt.matters();
        if shown(&self.errors) {
            return Some(FaultKind::Errors);
        }
        shown(&self.slowness).then_some(FaultKind::Slowness)
    }

    /// The weaker of the proofs for both kinds.
    pub(crate) fn proof(&self) -> f64 {
        let errors = self.errors.proof.gained();
        errors.min(self.slowness.proof.gained())
    }

    /// The stronger of the doubts for both kinds.
    pub(crate) fn doubt(&self) -> f64 {
        let errors = self.errors.doubt.evidence();
        errors.max(self.slowness.doubt.evidence())
    }

    pub(crate) fn restart_proof(&mut self) {
        self.errors.proof.restart();
        self.slowness.proof.restart();
    }
}
