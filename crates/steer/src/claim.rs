//! One request that waits for room, and the rate at which such requests start.

use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Account;
use corianderway_model::Priority;
use corianderway_model::Time;
use serde::Deserialize;

use crate::event::RequestId;

/// The state chart of a request that waits for room, as YAML.
pub const CLAIM_CHART: &str = include_str!("../charts/edge-claim.yaml");

pub(crate) type ClaimChart = Chart<State, Signal, Guard, Effect>;

/// Maximum wait without an expectation of a start, as a share of the route's target
/// latency. A request that would wait longer is better retried at another instance.
const BLIND_WAIT_SHARE: f64 = 0.125;

/// Factor on the expected work that must fit into the target latency: work takes longer
/// beside a queue, and an answer just after the objective has lost most of its worth.
const IN_TIME_MARGIN: f64 = 1.25;

/// Worth of a late answer, as a share of the worth of one within the target latency.
const LATE_WORTH: f64 = 0.2;

/// Factor on the worth from one priority to the next higher one.
const RANK_FACTOR: f64 = 2.0;

/// Share of the ends of running requests that are taken for starts of waiting ones until
/// those are measured. Other instances take the room of the rest.
const ENDS_SHARE: f64 = 0.5;

/// Time in which the weight of a start in a rate falls to 37%.
const RATE_SPAN: Duration = Duration::from_secs(1);

/// Weight of recent starts from which on a rate is known.
const MIN_STARTS: f64 = 0.5;

/// Why a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum State {
    Blind,
    Expected,
    Trial,
    Refused,
}

/// An event in the chart of a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    /// No server has room for it.
    Judged,
}

/// A condition of a branch of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// It is expected to start in time.
    Fits,
    /// Late requests start so rarely that it could not start before its deadline.
    Hopeless,
    /// A further trial may begin.
    MayTry,
    /// Its trial has not ended.
    InTrial,
    /// An eighth of its objective has not passed.
    IsShort,
}

/// An action of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    /// Begins a time without trials.
    FailTrial,
}

/// A request that waits for room.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) id: RequestId,
    pub(crate) account: Account,
    /// The account's rate, in requests per second.
    pub(crate) weight: f64,
    pub(crate) priority: Priority,
    /// When it began to wait.
    pub(crate) since: Time,
    pub(crate) received: Time,
    pub(crate) target: Duration,
    pub(crate) deadline: Time,
    /// Expected time at a server.
    pub(crate) work: Duration,
    /// Requests of the service that run for this instance.
    pub(crate) running: usize,
    /// Whether it may wait beyond an eighth of its objective.
    pub(crate) may_wait: bool,
    /// Whether its caller was told to come back and did.
    pub(crate) returned: bool,
}

/// Whether a request can still be answered within the target latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    InTime,
    Late,
}

/// The rate of recent starts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StartRate {
    weight: f64,
    updated: Time,
}

impl Claim {
    /// Returns the latest start for an answer within the target latency.
    pub(crate) fn latest(&self, kind: Kind) -> Time {
        let (end, work) = match kind {
            Kind::InTime => {
                let end = self.deadline.min(self.received + self.target);
                (end, self.work.mul_f64(IN_TIME_MARGIN))
            }
            Kind::Late => (self.deadline, self.work),
        };
        Time::ZERO + end.since(Time::ZERO).saturating_sub(work)
    }

    /// Returns whether it can still be in time.
    pub(crate) fn kind(&self, now: Time) -> Kind {
        if now <= self.latest(Kind::InTime) {
            Kind::InTime
        } else {
            Kind::Late
        }
    }

    /// Returns the time in which as many requests start as the running ones make room for.
    pub(crate) fn time_by_ends(&self, count: usize) -> Option<Duration> {
        let ends = self.running as f64 * ENDS_SHARE;
        (ends > 0.0).then(|| self.work.mul_f64(count as f64 / ends))
    }

    /// Returns until when it may wait without an expectation.
    pub(crate) fn blind_until(&self) -> Time {
        self.since + self.target.mul_f64(BLIND_WAIT_SHARE)
    }

    /// Returns the worth that a start now saves for each slot-second.
    ///
    /// A caller that has come back does not come again, so it counts as in time.
    pub(crate) fn worth_rate(&self, now: Time) -> f64 {
        let worth = match self.kind(now) {
            Kind::InTime => 1.0,
            Kind::Late if self.returned => 1.0,
            Kind::Late if now <= self.latest(Kind::Late) => LATE_WORTH,
            Kind::Late => 0.0,
        };
        let rank = match self.priority {
            Priority::Urgent => RANK_FACTOR,
            Priority::Normal => 1.0,
            Priority::Deferrable => RANK_FACTOR.recip(),
        };
        worth * rank / self.work.as_secs_f64().max(0.001)
    }
}

impl StartRate {
    /// Returns the weight of recent starts.
    pub(crate) fn weight(&self, now: Time) -> f64 {
        let passed = now.since(self.updated).as_secs_f64() / RATE_SPAN.as_secs_f64();
        self.weight * (-passed).exp()
    }

    /// Returns the rate of the starts of both kinds.
    pub(crate) fn plus(self, other: Self, now: Time) -> Self {
        Self {
            weight: self.weight(now) + other.weight(now),
            updated: now,
        }
    }

    /// Records a start.
    pub(crate) fn record(&mut self, now: Time) {
        *self = Self {
            weight: self.weight(now) + 1.0,
            updated: now,
        };
    }

    /// Returns the time in which `count` requests start.
    pub(crate) fn time_for(&self, now: Time, count: usize) -> Option<Duration> {
        let weight = self.weight(now);
        (weight >= MIN_STARTS).then(|| RATE_SPAN.mul_f64(count as f64 / weight))
    }
}
