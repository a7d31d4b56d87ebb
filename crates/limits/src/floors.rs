//! The state of an instance's floors, driven by the chart.

use crate::chart;
use crate::chart::FloorAction;
use crate::chart::FloorEvent;
use crate::chart::FloorStatus;
use crate::chart::Guard;
use crate::chart::QuotaChart;

/// What the floors of this instance are computed from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FloorBasis {
    /// No floor.
    Zero,
    /// The smaller of the floors in this epoch and the previous one.
    Minimum,
    /// The floor in this epoch.
    Current,
}

/// Inputs of the chart's guards.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Facts {
    pub(crate) not_member: bool,
    pub(crate) lease_expired: bool,
    pub(crate) exclusive: bool,
}

/// The state of the chart and the action that it took last.
#[derive(Debug)]
pub(crate) struct FloorState {
    chart: QuotaChart,
    standing: FloorStatus,
    basis: FloorBasis,
    // Incremented when the floors must be recomputed.
    generation: u64,
}

impl FloorState {
    pub(crate) fn new() -> Self {
        let chart = chart::load();
        Self {
            standing: chart.initial(),
            chart,
            basis: FloorBasis::Zero,
            generation: 0,
        }
    }

    pub(crate) fn standing(&self) -> FloorStatus {
        self.standing
    }

    pub(crate) fn basis(&self) -> FloorBasis {
        self.basis
    }

    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    pub(crate) fn apply(&mut self, event: FloorEvent, facts: Facts) {
        let step = self.chart.step(self.standing, event, |guard| match guard {
            Guard::NotMember => facts.not_member,
            Guard::LeaseExpired => facts.lease_expired,
            Guard::Exclusive => facts.exclusive,
        });
        self.standing = step.to;
        for action in step.actions {
            self.basis = match action {
                FloorAction::Disable => FloorBasis::Zero,
                FloorAction::UseMinFloor => FloorBasis::Minimum,
                FloorAction::UseFloor => FloorBasis::Current,
            };
            self.generation += 1;
        }
    }
}
