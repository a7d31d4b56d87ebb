//! The standing of an instance's floors, stepped through the chart.

use crate::chart;
use crate::chart::Change;
use crate::chart::Guard;
use crate::chart::Order;
use crate::chart::QuotaChart;
use crate::chart::Standing;

/// What the floors of this instance are computed from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Use {
    /// No floor.
    Nothing,
    /// The lesser of the floors in this epoch and the one before.
    Least,
    /// The floor in this epoch.
    Floor,
}

/// The facts that the chart's guards ask for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Facts {
    pub(crate) absent: bool,
    pub(crate) stale: bool,
    pub(crate) ripe: bool,
}

#[derive(Debug)]
pub(crate) struct Floors {
    chart: QuotaChart,
    standing: Standing,
    basis: Use,
    // Counts changes of what the floors are computed from.
    generation: u64,
}

impl Floors {
    pub(crate) fn new() -> Self {
        let chart = chart::load();
        Self {
            standing: chart.initial(),
            chart,
            basis: Use::Nothing,
            generation: 0,
        }
    }

    pub(crate) fn standing(&self) -> Standing {
        self.standing
    }

    pub(crate) fn basis(&self) -> Use {
        self.basis
    }

    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    pub(crate) fn change(&mut self, change: Change, facts: Facts) {
        let step = self.chart.step(self.standing, change, |guard| match guard {
            Guard::Absent => facts.absent,
            Guard::Stale => facts.stale,
            Guard::Ripe => facts.ripe,
        });
        self.standing = step.to;
        for order in step.actions {
            self.basis = match order {
                Order::Stop => Use::Nothing,
                Order::UseLeast => Use::Least,
                Order::UseFloor => Use::Floor,
            };
            self.generation += 1;
        }
    }
}
