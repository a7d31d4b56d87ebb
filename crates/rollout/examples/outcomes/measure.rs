//! The size of a run, the faults beside the new version, and the results.

use std::ops::Range;
use std::time::Duration;

use corianderway_rollout::State;

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// The number of instances.
    pub instances: usize,
    /// Requests a second, over all instances.
    pub rate: f64,
    /// The time from the start of the move to its deadline.
    pub deadline: Duration,
}

/// Faults of the platform, of messages and of instances.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// When the platform answers no call, in seconds since the start.
    pub outage: Range<f64>,
    /// The fraction of the platform's answers to writes that are lost.
    pub lost_answers: f64,
    /// The fraction of the messages between instances that are lost.
    pub lost_messages: f64,
    /// Whether each instance has only itself in its list of live ones, so that all write.
    pub all_write: bool,
    /// The instance that writes this state dies before it gets the answer.
    pub killed_writer: Option<State>,
}

/// The results of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Run {
    /// Whether the new version has taken over.
    pub finished: bool,
    /// Whether the new version was rolled back.
    pub withdrawn: bool,
    /// Seconds from the start to the end.
    pub secs: f64,
    /// Requests at the new version.
    pub new: u64,
    /// Requests that the fault has affected.
    pub exposed: u64,
    /// Requests at the new version that began after the first stop.
    pub after_stop: u64,
    /// Seconds from the first request that the fault has affected to the first stop.
    pub reaction: f64,
    /// Writes sent to the platform.
    pub writes: u64,
    /// Revisions that the platform has stored, the first one included.
    pub revisions: usize,
    /// The largest share of any instance before the end.
    pub max_share: f64,
}
