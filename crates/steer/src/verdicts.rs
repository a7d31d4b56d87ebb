//! Failures that may be those of a backend server's death, not of its version.
//!
//! A connection that broke or an answer that never came counts against the
//! version of a server only if the server turns out to live: a failure domain
//! that loses power says nothing about the software in it.

use std::time::Duration;

use corianderway_model::RouteName;
use corianderway_model::ServerId;
use corianderway_model::Service;
use corianderway_model::Time;
use corianderway_model::Version;

use crate::evidence::Answer;

/// How long a failure waits for a sign of its server: three of the platform's
/// heartbeats, after which the entry of a dead one is gone.
const OPEN: Duration = Duration::from_millis(4_500);

/// How one request went at a version of its service.
#[derive(Clone, Debug)]
pub(crate) struct Observation {
    pub(crate) service: Service,
    pub(crate) version: Version,
    /// The hash of the server's name.
    pub(crate) server: u32,
    pub(crate) route: RouteName,
    /// How long it took, in milliseconds.
    pub(crate) took: f64,
    pub(crate) answer: Answer,
}

/// The failures that wait for a sign of their servers, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Verdicts(Vec<(Time, ServerId, Observation)>);

impl Verdicts {
    /// Holds a failure back.
    pub(crate) fn hold(&mut self, now: Time, server: ServerId, failure: Observation) {
        self.0.push((now, server, failure));
    }

    /// Drops the failures of a server that is dead.
    pub(crate) fn drop_dead(&mut self, server: &ServerId) {
        self.0.retain(|row| row.1 != *server);
    }

    /// Gives back the failures of a server that lives.
    pub(crate) fn take_alive(&mut self, server: &ServerId) -> Vec<Observation> {
        self.take(|row| row.1 == *server)
    }

    /// Gives back the failures of which nothing was learnt in time.
    pub(crate) fn take_undecided(&mut self, now: Time) -> Vec<Observation> {
        self.take(|row| now.since(row.0) >= OPEN)
    }

    fn take(
        &mut self,
        wanted: impl Fn(&(Time, ServerId, Observation)) -> bool,
    ) -> Vec<Observation> {
        let (taken, kept) = std::mem::take(&mut self.0).into_iter().partition(wanted);
        self.0 = kept;
        let taken: Vec<_> = taken;
        taken.into_iter().map(|row| row.2).collect()
    }
}
