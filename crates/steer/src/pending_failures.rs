//! Failures that may be due to a backend server's death rather than to its
//! version.
//!
//! A broken connection or a missing answer counts against a server's version
//! only if the server turns out to be alive. A power loss in a failure domain
//! says nothing about the software there.

use std::time::Duration;

use corianderway_model::RouteName;
use corianderway_model::ServerId;
use corianderway_model::Service;
use corianderway_model::Time;
use corianderway_model::Version;

use crate::evidence::RequestResult;

/// The time after which a failure counts although its server gave no sign of
/// life. It covers three of the platform's heartbeats, after which a dead
/// server's entry is gone.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(4_500);

/// The result of one request, with the service, version, server and route that
/// it concerns.
#[derive(Clone, Debug)]
pub(crate) struct Observation {
    pub(crate) service: Service,
    pub(crate) version: Version,
    /// The hash of the server's name.
    pub(crate) server_hash: u32,
    pub(crate) route: RouteName,
    /// The duration of the request, in milliseconds.
    pub(crate) elapsed_ms: f64,
    pub(crate) result: RequestResult,
}

/// Failures whose server is not yet known to be alive or dead, oldest first.
#[derive(Debug, Default)]
pub(crate) struct PendingFailures(Vec<(Time, ServerId, Observation)>);

impl PendingFailures {
    /// Adds a failure until its server is known to be alive or dead.
    pub(crate) fn hold(&mut self, now: Time, server: ServerId, failure: Observation) {
        self.0.push((now, server, failure));
    }

    /// Discards the failures of a dead server.
    pub(crate) fn discard(&mut self, server: &ServerId) {
        self.0.retain(|row| row.1 != *server);
    }

    /// Removes and returns the failures of a live server.
    pub(crate) fn release(&mut self, server: &ServerId) -> Vec<Observation> {
        self.remove_where(|row| row.1 == *server)
    }

    /// Removes and returns the failures that have waited for
    /// [`LIVENESS_TIMEOUT`].
    pub(crate) fn release_expired(&mut self, now: Time) -> Vec<Observation> {
        self.remove_where(|row| now.since(row.0) >= LIVENESS_TIMEOUT)
    }

    /// Returns the requests that no server answered in time.
    pub(crate) fn slow(&self) -> impl Iterator<Item = &Observation> {
        let rows = self.0.iter().map(|row| &row.2);
        rows.filter(|observation| observation.result == RequestResult::Slow)
    }

    fn remove_where(
        &mut self,
        predicate: impl Fn(&(Time, ServerId, Observation)) -> bool,
    ) -> Vec<Observation> {
        let (removed, kept) = std::mem::take(&mut self.0).into_iter().partition(predicate);
        self.0 = kept;
        let removed: Vec<_> = removed;
        removed.into_iter().map(|row| row.2).collect()
    }
}
