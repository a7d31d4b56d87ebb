//! Requests that crash backend servers: suspected, tried one at a time, refused.

use std::time::Duration;

use corianderway_model::ServerId;
use corianderway_model::Time;
use corianderway_routing::Crash;
use corianderway_routing::Suspicion;
use corianderway_routing::Verdict;

use crate::event::Action;
use crate::event::Report;
use crate::message::Message;
use crate::node::Node;
use crate::open::Open;
use crate::record::Record;

/// How long after a cut a lost server still counts as the cause of it.
const CUT_SPAN: Duration = Duration::from_secs(3);

/// Cuts that are remembered.
const CUTS: usize = 1_024;

/// A request whose connection to a backend server broke.
#[derive(Clone, Debug)]
pub(crate) struct Cut {
    server: ServerId,
    signature: u64,
    at: Time,
}

impl Node {
    /// Whether a request may run, as far as lost backend servers tell.
    pub(crate) fn suspicion(&mut self, now: Time, open: &Open) -> Verdict {
        self.quarantine.admit(open.query.digest, now)
    }

    /// Notes that the connection of a request to a backend server broke, and
    /// finds out whether the server is still there.
    pub(crate) fn note_cut(&mut self, now: Time, open: &Open, out: &mut Vec<Action>) {
        let handle = open
            .ticket
            .as_ref()
            .map(corianderway_routing::Ticket::server);
        let Some(server) = handle.and_then(|handle| self.fleet.server(handle)) else {
            return;
        };
        let (id, addr) = (server.id().clone(), server.addr());
        if self.cuts.len() == CUTS {
            self.cuts.remove(0);
        }
        self.cuts.push(Cut {
            server: id.clone(),
            signature: open.query.digest,
            at: now,
        });
        out.push(Action::Probe { server: id, addr });
    }

    /// Takes a report of a server that can't be reached: those that were cut
    /// off there may have crashed it.
    pub(crate) fn note_lost(&mut self, now: Time, report: &Report, out: &mut Vec<Action>) {
        self.cuts.retain(|cut| now.since(cut.at) < CUT_SPAN);
        let of_server = |cut: &mut Cut| cut.server == report.server;
        let signatures: Vec<u64> = self
            .cuts
            .extract_if(.., of_server)
            .map(|cut| cut.signature)
            .collect();
        if signatures.is_empty() {
            return;
        }
        out.push(Action::Log(Record::Note {
            event: "server-lost",
            detail: format!("{} requests={}", report.server, signatures.len()).into(),
        }));
        let crash = Crash {
            server: report.server.clone(),
            signatures,
        };
        let suspicion = self.quarantine.record_crash(crash, now);
        self.tell_all(&Message::Suspicion(suspicion), out);
    }

    /// Notes the end of a request: a whole answer clears it.
    pub(crate) fn note_end(&mut self, now: Time, open: &Open, whole: bool, out: &mut Vec<Action>) {
        let signature = open.query.digest;
        if !whole {
            self.quarantine.release(signature);
            return;
        }
        if let Some(cleared) = self.quarantine.record_completion(signature, now) {
            self.tell_all(&Message::Suspicion(cleared), out);
        }
    }

    /// Takes what another instance noted.
    pub(crate) fn take_suspicion(&mut self, now: Time, suspicion: &Suspicion) {
        self.quarantine.merge(suspicion, Duration::ZERO, now);
    }
}
