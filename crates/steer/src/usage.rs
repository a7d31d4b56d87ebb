//! The attempts that began to run at backend servers, for the usage reports.
//!
//! An attempt counts for its client account when it is sent, and is taken back if its end
//! shows that the backend server did not run it.

use corianderway_model::Account;
use corianderway_model::Time;

use crate::event::Action;
use crate::event::Outcome;
use crate::request::OpenRequest;
use crate::steer::Steer;

/// A change of the number of attempts that a client account's requests have caused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptCount {
    /// The client account.
    pub account: Account,
    /// When the attempt was sent.
    pub sent: Time,
    /// 1 for an attempt that was sent, -1 for one that turned out not to have run.
    pub change: i64,
}

/// The changes since the last sweep.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    changes: Vec<AttemptCount>,
}

impl Steer {
    /// Counts an attempt that is sent.
    pub(crate) fn count_sent(&mut self, now: Time, open: &mut OpenRequest) {
        open.sent = now;
        self.count_usage(open, 1);
    }

    /// Takes the outcome of the attempt that ends, and takes the attempt back if it did not
    /// run.
    pub(crate) fn take_outcome(&mut self, open: &mut OpenRequest) -> Outcome {
        let outcome = open.take_outcome();
        if !outcome.may_have_run() {
            self.count_usage(open, -1);
        }
        outcome
    }

    /// Passes the changes on.
    pub(crate) fn pass_usage(&mut self, out: &mut Vec<Action>) {
        if !self.usage.changes.is_empty() {
            out.push(Action::CountAttempts(std::mem::take(
                &mut self.usage.changes,
            )));
        }
    }

    fn count_usage(&mut self, open: &OpenRequest, change: i64) {
        let Some(terms) = open.account.as_ref().filter(|_| self.bounds.count_attempts) else {
            return;
        };
        self.usage.changes.push(AttemptCount {
            account: terms.account.clone(),
            sent: open.sent,
            change,
        });
    }
}
