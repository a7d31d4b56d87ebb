//! The closed sets that `charts/server.yaml` names.

use corianderway_chart::Chart;
use serde::Deserialize;

/// The state chart of a backend server, as text.
pub const SERVER_CHART: &str = include_str!("../charts/server.yaml");

/// The chart of a backend server.
pub(crate) type Lifecycle = Chart<State, Event, Guard, Action>;

/// What this instance thinks of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// New or back from a fault; its share of the work grows slowly.
    Cold,
    /// In full use.
    Warm,
    /// In use at a lower weight.
    Suspect,
    /// Out of use until a hold has passed.
    Ejected,
    /// Refused a connection; out of use until a probe connects.
    Refusing,
    /// Leaving; finishes what it has and gets nothing new.
    Draining,
    /// Left.
    Gone,
}

impl State {
    /// Whether a backend server in this state may get new work.
    pub const fn is_usable(self) -> bool {
        matches!(self, Self::Cold | Self::Warm | Self::Suspect)
    }

    /// The state as it stands in the chart, for log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Cold => "cold",
            Self::Warm => "warm",
            Self::Suspect => "suspect",
            Self::Ejected => "ejected",
            Self::Refusing => "refusing",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// What a source says of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Event {
    /// It was in service before this instance started.
    Established,
    /// Its health endpoint says that it is well.
    ReportHealthy,
    /// Its health endpoint says that it is not well.
    ReportFailing,
    /// The instance list or its health endpoint says that it leaves.
    Leaving,
    /// A drain plan covers it.
    Planned,
    /// The drain plan that covered it was withdrawn.
    Reinstated,
    /// It refused a connection.
    Refused,
    /// A probe connected after a refusal.
    ProbePassed,
    /// It answered a request.
    Succeeded,
    /// It failed a request.
    Failed,
    /// Too few others are left to carry the work.
    Recalled,
    /// Time has passed.
    Tick,
}

/// A condition on the record of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// A request of this instance succeeded there a moment ago.
    Vouched,
    /// The evidence is enough to eject, and the rest can carry the work.
    Condemned,
    /// The evidence speaks against it, but not enough to eject.
    Doubtful,
    /// It served long enough to be in full use.
    Ramped,
    /// The hold has not passed.
    Held,
    /// A source other than a drain plan said that it leaves.
    Marked,
    /// It refused a connection, and no probe has connected since.
    Shut,
    /// The instance list no longer has it, and nothing is in flight there.
    Departed,
}

/// A change to the record of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Action {
    /// Sets the time until which it stays out of use, doubled at each repeat.
    Hold,
    /// Restarts the growth of its weight.
    Ramp,
    /// Drops the evidence against it.
    Clear,
    /// Resets the hold to its shortest.
    Forgive,
    /// Notes that it is leaving for good.
    Mark,
    /// Notes that it refused a connection.
    Shut,
    /// Notes that a probe connected.
    Reopen,
}
