//! The states, events, guards and actions of `charts/server.yaml`.

use corianderway_chart::Chart;
use serde::Deserialize;

/// The text of the state chart of a backend server.
pub const SERVER_CHART: &str = include_str!("../charts/server.yaml");

/// The chart of a backend server.
pub(crate) type Lifecycle = Chart<State, Event, Guard, Action>;

/// The state of a backend server, as seen by this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// New or back in use after a fault; its weight grows over several seconds.
    Cold,
    /// In use at full weight.
    Warm,
    /// In use at a lower weight, since it fails more than its peers or reports
    /// that it is failing.
    Suspect,
    /// Out of use for the length of a hold, since it failed too often.
    Ejected,
    /// Refused a connection; out of use until a probe connects.
    Refusing,
    /// Leaving; finishes its requests and gets no new ones.
    Draining,
    /// Absent from the instance list, with no requests in flight.
    Gone,
}

impl State {
    /// Returns whether a backend server in this state may get new requests.
    pub const fn is_usable(self) -> bool {
        matches!(self, Self::Cold | Self::Warm | Self::Suspect)
    }

    /// Returns the name of the state in the chart, for log lines.
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

/// An observation of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Event {
    /// It was already in service when this instance started.
    Established,
    /// Its health endpoint reported that it is healthy.
    ReportHealthy,
    /// Its health endpoint reported that it is failing.
    ReportFailing,
    /// The instance list or its health endpoint announced that it is leaving.
    Leaving,
    /// A drain plan now covers it.
    DrainPlanned,
    /// No drain plan covers it any longer.
    DrainCancelled,
    /// It refused a connection.
    Refused,
    /// A probe connected to it after it refused a connection.
    ProbePassed,
    /// It answered a request.
    Succeeded,
    /// It failed a request.
    Failed,
    /// The usable share of its pool is below the minimum.
    CapacityLow,
    /// Time has passed.
    Tick,
}

/// A condition on the state that is kept for a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// A request of this instance succeeded there within the last seconds.
    RecentSuccess,
    /// The evidence suffices for an ejection, and its peers can serve the
    /// requests without it.
    Ejectable,
    /// It fails more often than its peers, or its last health report was failing.
    Suspicious,
    /// The ramp of its weight is complete.
    Ramped,
    /// The hold has not yet ended.
    HoldActive,
    /// A source other than a drain plan announced that it is leaving.
    LeaveAnnounced,
    /// It refused a connection, and no probe has connected since.
    ConnectionRefused,
    /// It is absent from the instance list, and no request of this instance is
    /// in flight there.
    AbsentAndIdle,
}

/// A change to the state that is kept for a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Action {
    /// Starts a hold, and doubles the length of the next one.
    StartHold,
    /// Starts the ramp of its weight.
    StartRamp,
    /// Clears its failure rate and its failing health reports.
    ClearEvidence,
    /// Resets the length of the next hold to the minimum.
    ResetHold,
    /// Records that its leaving was announced, which is never undone.
    RecordLeave,
    /// Records that it refused a connection.
    RecordRefused,
    /// Records that a probe connected.
    ClearRefused,
}
