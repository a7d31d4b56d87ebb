//! The phases, signals, guards and effects of a version move, as the chart
//! `edge-move` names them.

use corianderway_chart::Chart;
use serde::Deserialize;

use crate::listing::Progress;

/// The YAML source of the chart `edge-move`.
pub const MOVE_CHART: &str = include_str!("../charts/edge-move.yaml");

/// The parsed and checked chart `edge-move`.
pub(crate) type MoveChart = Chart<Phase, Signal, Guard, Effect>;

/// The phase of a version move, a state of the chart.
///
/// Instances exchange it as its position in this list, so the order is fixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Phase {
    Canary,
    Full,
    Finished,
    Completed,
    RolledBack,
}

/// An event of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    /// The periodic timer fired.
    Tick,
    /// Another instance sends all requests to the target.
    PeerFull,
    /// Another instance reports that the old version has no requests left.
    PeerFinished,
    /// The store, or another instance that learned it from there, reports that
    /// the target took over.
    Completed,
    /// The store or another instance reports that the target was withdrawn.
    Withdrawn,
}

/// A condition of a branch in the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// The target's answers show a fault.
    FaultFound,
    /// The target seems sound, it may receive all requests until the deadline
    /// or the time for a takeover runs out, and this instance is the leader.
    MayTakeOver,
    /// Too little time is left before the deadline for a takeover.
    TooLate,
    /// The deadline has passed, and the target is suspect or not proven.
    Unproven,
    /// The target is proven, the old version has no requests left or the
    /// deadline is near, and this instance is the leader.
    MayFinish,
}

/// An action of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    /// Records the start of the takeover, and judges the target by its answers
    /// from then on.
    StartTakeover,
}

impl Phase {
    /// Returns the name of the phase for logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Canary => "canary",
            Self::Full => "full",
            Self::Finished => "finished",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }

    /// Returns the progress that the store should record for a move in this
    /// phase.
    pub(crate) fn progress(self) -> Progress {
        match self {
            Self::Canary | Self::Full => Progress::Running,
            Self::Finished | Self::Completed => Progress::Completed,
            Self::RolledBack => Progress::RolledBack,
        }
    }

    /// Returns the signal for an instance when another one reports this phase.
    pub(crate) fn peer_signal(self) -> Option<Signal> {
        match self {
            Self::Canary => None,
            Self::Full => Some(Signal::PeerFull),
            Self::Finished => Some(Signal::PeerFinished),
            Self::Completed => Some(Signal::Completed),
            Self::RolledBack => Some(Signal::Withdrawn),
        }
    }

    /// Returns the phase at a position of the list, if there is one.
    pub(crate) fn from_number(number: u8) -> Option<Self> {
        let all = [
            Self::Canary,
            Self::Full,
            Self::Finished,
            Self::Completed,
            Self::RolledBack,
        ];
        all.get(usize::from(number)).copied()
    }
}
