//! Failures that may be due to a backend server's death rather than to its
//! version.
//!
//! A broken connection or a missing answer counts against a server's version
//! only if the server turns out to be alive. A power loss in a failure domain
//! says nothing about the software there.
//!
//! A server that is listed with a later start has died with its failures. They
//! are discarded if a server of the same failure domain that runs something else
//! has died as well; otherwise the version may have crashed its server.

use std::time::Duration;

use corianderway_model::Backend;
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

/// The time in which servers that lost power together are listed again.
const RESTART_SPREAD: Duration = Duration::from_secs(1);

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

/// A failure whose cause is not yet known.
#[derive(Debug)]
struct PendingFailure {
    at: Time,
    server: ServerId,
    // When a later start of the server was listed, if one was.
    died: Option<Time>,
    observation: Observation,
}

/// Failures whose server is not yet known to be alive or dead, oldest first, and
/// the recent deaths of servers.
#[derive(Debug, Default)]
pub(crate) struct PendingFailures {
    rows: Vec<PendingFailure>,
    deaths: Vec<(Time, Backend)>,
}

impl PendingFailures {
    /// Adds a failure until its server is known to be alive or dead.
    ///
    /// `is_listed` says whether the start of the server that had it is still the
    /// one that is listed.
    pub(crate) fn hold(
        &mut self,
        now: Time,
        server: ServerId,
        is_listed: bool,
        observation: Observation,
    ) {
        self.rows.push(PendingFailure {
            at: now,
            server,
            died: (!is_listed).then_some(now),
            observation,
        });
    }

    /// Records that a later start of a server was listed.
    pub(crate) fn record_death(&mut self, now: Time, server: Backend) {
        let rows = self.rows.iter_mut();
        for row in rows.filter(|row| row.server == server.id) {
            row.died.get_or_insert(now);
        }
        self.deaths.push((now, server));
    }

    /// Discards the failures of a dead server.
    pub(crate) fn discard(&mut self, server: &ServerId) {
        self.rows.retain(|row| row.server != *server);
    }

    /// Removes and returns the failures of a live server, without those of its
    /// earlier starts.
    pub(crate) fn release(&mut self, server: &ServerId) -> Vec<Observation> {
        self.remove_where(|row| row.server == *server && row.died.is_none())
    }

    /// Removes and returns the failures that have waited for
    /// [`LIVENESS_TIMEOUT`], and those of dead servers that may have died of their
    /// version.
    pub(crate) fn release_expired(&mut self, now: Time) -> Vec<Observation> {
        let deaths = std::mem::take(&mut self.deaths);
        let (due, kept) = std::mem::take(&mut self.rows)
            .into_iter()
            .partition::<Vec<_>, _>(|row| match row.died {
                Some(died) => now.since(died) >= RESTART_SPREAD,
                None => now.since(row.at) >= LIVENESS_TIMEOUT,
            });
        self.rows = kept;
        let is_common = |row: &PendingFailure| row.died.is_some() && is_common(&deaths, row);
        let due = due.into_iter().filter(|row| !is_common(row));
        let released = due.map(|row| row.observation).collect();
        self.deaths = deaths;
        self.deaths
            .retain(|death| now.since(death.0) < LIVENESS_TIMEOUT);
        released
    }

    /// Returns the requests that no server answered in time.
    pub(crate) fn slow(&self) -> impl Iterator<Item = &Observation> {
        let rows = self.rows.iter().filter(|row| row.died.is_none());
        let rows = rows.map(|row| &row.observation);
        rows.filter(|observation| observation.result == RequestResult::Slow)
    }

    fn remove_where(&mut self, predicate: impl Fn(&PendingFailure) -> bool) -> Vec<Observation> {
        let (removed, kept) = std::mem::take(&mut self.rows)
            .into_iter()
            .partition::<Vec<_>, _>(predicate);
        self.rows = kept;
        removed.into_iter().map(|row| row.observation).collect()
    }
}

// Returns whether a server that runs something else died in the failure domain of the server
// that had the failure.
fn is_common(deaths: &[(Time, Backend)], failure: &PendingFailure) -> bool {
    let own = deaths.iter().find(|death| death.1.id == failure.server);
    own.is_some_and(|(_, own)| {
        let runs = |server: &Backend| (server.service.clone(), server.version.clone());
        let mut near = deaths.iter().filter(|row| row.1.domain == own.domain);
        near.any(|row| runs(&row.1) != runs(own))
    })
}
