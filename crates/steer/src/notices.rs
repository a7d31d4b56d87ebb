//! What becomes known of a backend server beside the outcome of an attempt: what it says of
//! itself with an answer, and whether it still accepts connections.

use corianderway_model::ServerId;
use corianderway_model::Time;

use crate::event::Action;
use crate::event::RequestId;
use crate::event::ServerNotice;
use crate::hash;
use crate::note::Note;
use crate::note::Severity;
use crate::steer::Steer;

impl Steer {
    /// Applies what a backend server says of itself with the answer to a request.
    pub(crate) fn apply_notice(
        &mut self,
        now: Time,
        id: RequestId,
        notice: ServerNotice,
        out: &mut Vec<Action>,
    ) {
        let attempt = self
            .requests
            .get(&id)
            .and_then(|open| open.attempt.as_ref());
        let Some((server, start)) = attempt.map(|a| (a.server.clone(), a.start)) else {
            return;
        };
        if let ServerNotice::Pause(span) = notice {
            let note = Note::new(Severity::Notable, "server-paused")
                .with("server", &server)
                .with("for_ms", span.as_millis());
            out.push(Action::Log(note));
        }
        self.fleet.apply_notice(now, &server, start, notice);
    }

    /// Handles the end of a backend server's check.
    pub(crate) fn server_checked(&mut self, now: Time, server: &ServerId, reachable: bool) {
        if !reachable {
            self.urgent |= self.crashes.unreachable(now, hash::short(server.as_str()));
        }
    }
}
