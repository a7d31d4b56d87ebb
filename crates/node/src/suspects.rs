//! Identifies requests that crash backend servers.
//!
//! A request whose connection broke shortly before its backend server was lost is a
//! suspect. Suspects run one at a time. A request that was in flight at too many
//! crashes is quarantined, that is, refused. Instances share what they observe.

use std::time::Duration;

use corianderway_model::ServerId;
use corianderway_model::Time;
use corianderway_routing::Crash;
use corianderway_routing::Suspicion;
use corianderway_routing::Verdict;

use crate::event::Action;
use crate::event::PollResult;
use crate::message::Message;
use crate::node::Node;
use crate::open::OpenRequest;
use crate::record::Record;

/// The time after a broken attempt in which the loss of its server is attributed to it.
const CRASH_WINDOW: Duration = Duration::from_secs(3);

/// The maximum number of broken attempts that are tracked; the oldest is dropped.
const MAX_TRACKED_ATTEMPTS: usize = 1_024;

/// An attempt whose connection to its backend server broke.
#[derive(Clone, Debug)]
pub(crate) struct BrokenAttempt {
    server: ServerId,
    signature: u64,
    at: Time,
}

impl Node {
    /// Whether a request may run, given the backend servers that were lost.
    pub(crate) fn suspect_verdict(&mut self, now: Time, open: &OpenRequest) -> Verdict {
        self.quarantine.admit(open.query.digest, now)
    }

    /// Tracks an attempt whose connection broke, and checks whether its backend server
    /// is still reachable.
    pub(crate) fn track_broken_attempt(
        &mut self,
        now: Time,
        open: &mut OpenRequest,
        out: &mut Vec<Action>,
    ) {
        let handle = open
            .ticket
            .as_ref()
            .map(corianderway_routing::Ticket::server);
        let Some(server) = handle.and_then(|handle| self.fleet.server(handle)) else {
            return;
        };
        let (id, addr) = (server.id().clone(), server.addr());
        if self.broken_attempts.len() == MAX_TRACKED_ATTEMPTS {
            self.broken_attempts.remove(0);
        }
        self.broken_attempts.push(BrokenAttempt {
            server: id.clone(),
            signature: open.query.digest,
            at: now,
        });
        open.checked_server = Some(id.clone());
        out.push(Action::Probe { server: id, addr });
    }

    /// Processes the loss of a backend server: the attempts that recently broke there
    /// become suspects.
    pub(crate) fn handle_lost_server(
        &mut self,
        now: Time,
        report: &PollResult,
        out: &mut Vec<Action>,
    ) {
        self.broken_attempts
            .retain(|attempt| now.since(attempt.at) < CRASH_WINDOW);
        let of_server = |attempt: &mut BrokenAttempt| attempt.server == report.server;
        let signatures: Vec<u64> = self
            .broken_attempts
            .extract_if(.., of_server)
            .map(|attempt| attempt.signature)
            .collect();
        if signatures.is_empty() {
            return;
        }
        out.push(Action::Log(Record::Other {
            event: "server-lost",
            detail: format!("{} requests={}", report.server, signatures.len()).into(),
        }));
        let crash = Crash {
            server: report.server.clone(),
            signatures,
        };
        let suspicion = self.quarantine.record_crash(crash, now);
        self.broadcast(&Message::Suspicion(suspicion), out);
    }

    /// Records the end of a request. One that received its entire response is no longer
    /// a suspect.
    pub(crate) fn record_end(
        &mut self,
        now: Time,
        open: &OpenRequest,
        complete: bool,
        out: &mut Vec<Action>,
    ) {
        let signature = open.query.digest;
        if !complete {
            self.quarantine.release(signature);
            return;
        }
        if let Some(cleared) = self.quarantine.record_completion(signature, now) {
            self.broadcast(&Message::Suspicion(cleared), out);
        }
    }

    /// Merges the suspicion that another instance reported.
    pub(crate) fn merge_suspicion(&mut self, now: Time, suspicion: &Suspicion) {
        self.quarantine.merge(suspicion, Duration::ZERO, now);
    }
}
