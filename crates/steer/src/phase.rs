//! The phases of a move to another version, as its chart names them.

use corianderway_chart::Chart;
use serde::Deserialize;

use crate::listing::Progress;

/// The chart file of a move.
pub const MOVE_CHART: &str = include_str!("../charts/edge-move.yaml");

/// The checked chart of a move.
pub(crate) type MoveChart = Chart<Phase, Signal, Guard, Effect>;

/// How far a move has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Phase {
    Canary,
    Full,
    Finished,
    Completed,
    RolledBack,
}

/// What happens to a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    /// Time passed.
    Tick,
    /// Another instance gives the target everything.
    PeerFull,
    /// Another instance says that the old version has nothing left to do.
    PeerFinished,
    /// The store, or another instance that knows from it, says that the target
    /// took over.
    Completed,
    /// The store or another instance says that the target was found bad.
    Withdrawn,
}

/// What decides between two branches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// The answers of the target show a fault.
    Bad,
    /// Nothing speaks against the target, it may get everything until the
    /// deadline, and this instance leads.
    Due,
    /// The deadline is too near for a takeover.
    Overdue,
    /// The deadline has passed, and the target is suspect or not proven.
    Unsettled,
    /// The target is proven, and the old version has nothing left to do or the
    /// deadline is near, and this instance leads.
    Drained,
}

/// What is done on the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    /// Note when the takeover began, and judge it by its own answers.
    Mark,
}

impl Phase {
    /// The phase as text for logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Canary => "canary",
            Self::Full => "full",
            Self::Finished => "finished",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }

    /// What the store is to say of a move in this phase.
    pub(crate) fn progress(self) -> Progress {
        match self {
            Self::Canary | Self::Full => Progress::Running,
            Self::Finished | Self::Completed => Progress::Completed,
            Self::RolledBack => Progress::RolledBack,
        }
    }

    /// What it means for an instance that another one is in this phase.
    pub(crate) fn signal(self) -> Option<Signal> {
        match self {
            Self::Canary => None,
            Self::Full => Some(Signal::PeerFull),
            Self::Finished => Some(Signal::PeerFinished),
            Self::Completed => Some(Signal::Completed),
            Self::RolledBack => Some(Signal::Withdrawn),
        }
    }

    /// The phase of a number, if there is one.
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
