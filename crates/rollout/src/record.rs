//! The record of a version move, as the platform stores it.

use std::sync::Arc;

use corianderway_model::Service;
use corianderway_model::Version;
use corianderway_model::VersionPolicy;
use serde::Deserialize;
use serde::Serialize;
use snafu::ensure;

use crate::error::DeadlineSnafu;
use crate::error::Error;
use crate::error::RangeSnafu;
use crate::error::SameVersionSnafu;
use crate::evidence::Evidence;
use crate::move_chart::Effect;
use crate::move_chart::Guard;
use crate::move_chart::MoveChart;
use crate::move_chart::State;
use crate::move_chart::Trigger;
use crate::schedule;
use crate::share::Share;

/// An operator's request for a move.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The service.
    pub service: Service,
    /// The old version.
    pub from: Version,
    /// The new version.
    pub to: Version,
    /// The wall clock, in milliseconds since the Unix epoch.
    pub wall: u64,
    /// The policy of the contract.
    pub policy: VersionPolicy,
    /// The operator's name.
    pub who: Arc<str>,
}

/// A version move: the object `moves/<service>` of the platform.
///
/// Each change makes a new revision. The state, the share and the fields from
/// `changed` on differ between revisions, the others don't.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// The service.
    pub service: Service,
    /// The old version.
    pub from: Version,
    /// The new version.
    pub to: Version,
    /// The state of the move.
    pub state: State,
    /// The share of requests for the new version, in parts per million.
    pub share: Share,
    /// The contract's share, the maximum of the trial, in parts per million.
    pub limit: Share,
    /// The excess over the old version's failure rate that counts as a fault.
    pub margin: f64,
    /// The start, in milliseconds since the Unix epoch.
    pub started: u64,
    /// The latest end, in milliseconds since the Unix epoch.
    pub deadline: u64,
    /// The last change of state or share, in milliseconds since the Unix epoch.
    pub changed: u64,
    /// Who wrote this revision.
    pub who: Arc<str>,
    /// The number of this revision, from 1.
    pub revision: u64,
    /// The evidence that the writer had.
    pub evidence: Evidence,
}

/// The identity of one move, which is the same in all its revisions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MoveKey {
    /// The service.
    pub service: Service,
    /// The new version.
    pub to: Version,
    /// The start, in milliseconds since the Unix epoch.
    pub started: u64,
}

/// The conditions that the guards of the move chart check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Conditions {
    /// Whether the new version is proven at the current share.
    pub proven: bool,
}

/// The writer of a revision, the time and the evidence.
#[derive(Clone, Debug, PartialEq)]
pub struct Author {
    /// The instance or operator.
    pub who: Arc<str>,
    /// The wall clock, in milliseconds since the Unix epoch.
    pub wall: u64,
    /// The evidence that the writer has.
    pub evidence: Evidence,
}

impl Move {
    /// Returns the identity of the move.
    pub fn key(&self) -> MoveKey {
        MoveKey {
            service: self.service.clone(),
            to: self.to.clone(),
            started: self.started,
        }
    }

    /// Returns whether the move has ended.
    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Done | State::Withdrawn)
    }

    /// Returns the next revision after a trigger, or `None` if the chart has no change
    /// for it.
    pub fn advance(
        &self,
        chart: &MoveChart,
        trigger: Trigger,
        conditions: Conditions,
        author: Author,
    ) -> Option<Self> {
        let step = chart.step(self.state, trigger, |guard| self.holds(guard, conditions));
        if step.to == self.state && step.actions.is_empty() {
            return None;
        }
        let share = step
            .actions
            .iter()
            .fold(self.share, |share, effect| match effect {
                Effect::SetTrial => self.limit,
                Effect::Raise => schedule::next_share(share),
                Effect::Finish => Share::ONE,
                Effect::SetZero => Share::ZERO,
            });
        Some(Self {
            state: step.to,
            share,
            changed: author.wall,
            who: author.who,
            revision: self.revision + 1,
            evidence: author.evidence,
            ..self.clone()
        })
    }

    fn holds(&self, guard: Guard, conditions: Conditions) -> bool {
        match guard {
            Guard::Proven => conditions.proven,
            Guard::Complete => conditions.proven && self.share >= schedule::LAST_SHARE,
            Guard::Raised => self.share > self.limit,
        }
    }
}

impl TryFrom<Plan> for Move {
    type Error = Error;

    fn try_from(plan: Plan) -> Result<Self, Error> {
        let service = plan.service.as_str();
        let version = plan.to.as_str();
        ensure!(plan.from != plan.to, SameVersionSnafu { service, version });
        let span = plan.policy.deadline.as_millis() as u64;
        ensure!(span > 0, DeadlineSnafu { service });
        check_range(service, "share", plan.policy.share)?;
        check_range(service, "margin", plan.policy.margin)?;
        Ok(Self {
            state: State::Planned,
            share: Share::ZERO,
            limit: Share::from_ratio(plan.policy.share),
            margin: plan.policy.margin,
            started: plan.wall,
            deadline: plan.wall + span,
            changed: plan.wall,
            who: plan.who,
            revision: 1,
            evidence: Evidence::default(),
            service: plan.service,
            from: plan.from,
            to: plan.to,
        })
    }
}

fn check_range(service: &str, field: &'static str, value: f64) -> Result<(), Error> {
    let remedy = "a ratio above 0, at most 0.5";
    let fits = value > 0.0 && value <= 0.5;
    ensure!(
        fits,
        RangeSnafu {
            service,
            field,
            value,
            remedy
        }
    );
    Ok(())
}
