//! The size of a run, what goes wrong in it, and how it went.

use std::ops::Range;
use std::time::Duration;

use corianderway_rollout::State;

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub instances: usize,
    /// Requests a second, over all instances.
    pub rate: f64,
    pub deadline: Duration,
}

/// What goes wrong beside the new version.
#[derive(Clone, Debug, Default)]
pub struct Trouble {
    /// When the platform takes no call, in seconds.
    pub outage: Range<f64>,
    /// The part of the platform's answers that is lost after a write.
    pub lost: f64,
    /// The part of the messages between instances that is lost.
    pub dropped: f64,
    /// Whether each instance takes itself for the only one, so that all write.
    pub alone: bool,
    /// The instance that writes this state dies before it learns of it.
    pub killer: Option<State>,
}

/// How a run went.
#[derive(Clone, Copy, Debug, Default)]
pub struct Run {
    pub finished: bool,
    pub withdrawn: bool,
    /// Seconds from the start to the end.
    pub secs: f64,
    /// Requests at the new version.
    pub new: u64,
    /// Requests that met the fault.
    pub met: u64,
    /// Requests at the new version that began after the first stop.
    pub after: u64,
    /// Seconds from the first request that met the fault to the first stop.
    pub reaction: f64,
    /// Writes asked of the platform, and those that it took.
    pub writes: u64,
    pub revisions: usize,
    /// The largest share of any instance before the end.
    pub most: f64,
}
