//! Requests that wait for the check of a backend server whose connection broke.
//!
//! Until the check has ended, nobody knows whether the request crashed the server. If it
//! did, the other instances must hear of it before the request is sent again, by this
//! instance or, after its answer, by the caller.

use std::time::Duration;

use corianderway_model::ServerId;
use corianderway_model::Time;

use crate::chart::Signal;
use crate::event::Action;
use crate::event::PollResult;
use crate::event::RequestId;
use crate::node::Node;
use crate::open::OpenRequest;

/// The time that a request waits for the check of its backend server.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// The time in which the report of a crash arrives at the other instances.
const REPORT_TIME: Duration = Duration::from_millis(100);

/// A request that waits for the check of a backend server.
#[derive(Clone, Debug)]
pub(crate) struct PendingCheck {
    id: RequestId,
    server: ServerId,
    /// When the request goes on.
    until: Time,
    /// Whether the server is lost.
    lost: bool,
}

impl Node {
    /// Lets a request wait until its backend server was checked. Returns the signal to go
    /// on if no check is due.
    pub(crate) fn await_check(&mut self, now: Time, open: &mut OpenRequest) -> Option<Signal> {
        let Some(server) = open.checked_server.take() else {
            return Some(Signal::Checked);
        };
        // The other half of the time left is for running the request.
        let timeout = CHECK_TIMEOUT.min(open.deadline.since(now) / 2);
        self.pending_checks.push(PendingCheck {
            id: open.query.id,
            server,
            until: now + timeout,
            lost: false,
        });
        None
    }

    /// Applies the result of a poll to the requests that wait for it.
    pub(crate) fn end_checks(&mut self, now: Time, report: &PollResult, out: &mut Vec<Action>) {
        // A poll that began before the crash may have got a part of its answers.
        let works = report.reached && report.healthy.is_some() && report.load.is_some();
        let of_server = |check: &&mut PendingCheck| check.server == report.server;
        for check in self.pending_checks.iter_mut().filter(of_server) {
            if works {
                check.until = now;
            } else if !report.reached && !check.lost {
                check.lost = true;
                check.until = now + REPORT_TIME;
            }
        }
        self.resume_checked(now, out);
    }

    /// Lets the requests go on whose wait is over.
    pub(crate) fn resume_checked(&mut self, now: Time, out: &mut Vec<Action>) {
        let is_due = |check: &mut PendingCheck| now >= check.until;
        let due: Vec<_> = self.pending_checks.extract_if(.., is_due).collect();
        for check in due {
            if let Some(open) = self.requests.take(check.id) {
                self.advance(now, open, Signal::Checked, out);
            }
        }
    }
}
