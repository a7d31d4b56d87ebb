//! The requests that an instance holds open.

use std::sync::Arc;
use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Priority;
use corianderway_model::Replay;
use corianderway_model::ServerId;
use corianderway_model::Service;
use corianderway_model::Time;
use corianderway_model::Version;
use serde::Deserialize;

use crate::choice::Choice;
use crate::choice::Lack;
use crate::event::Outcome;
use crate::event::Query;
use crate::plan::AccountTerms;
use crate::plan::Route;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// The chart file of a request.
pub const REQUEST_CHART: &str = include_str!("../charts/edge-request.yaml");

/// The checked chart of a request.
pub(crate) type RequestChart = Chart<State, Signal, Guard, Effect>;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum State {
    Received,
    Asking,
    Waiting,
    Sent,
    Orphaned,
    Done,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    /// Key, rate and route admit it.
    Admitted,
    /// Its client account's rate may admit it, if the relay lends a token.
    Unpaid,
    /// It is refused, for the reason at hand.
    Refused,
    /// No backend server has room for it.
    Full,
    /// A backend server may have room.
    Free,
    /// A whole answer came.
    Answered,
    /// The attempt ended without an answer.
    Failed,
    /// Its time is over.
    Late,
    /// Its caller went away.
    Left,
}

/// What decides between two branches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// It may run more than once.
    Idempotent,
    /// Another attempt can do no harm and has budget, server and time.
    MayRetry,
    /// The relay may be asked once more.
    MayAsk,
}

/// What is done on the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    /// Ask the relay for a token.
    Ask,
    /// Count what it brings to its service.
    Count,
    /// Choose a backend server and send the request there.
    Send,
    /// Wait for room.
    Wait,
    /// Stop the attempt that runs.
    Cancel,
    /// Count the end of the attempt for its backend server.
    Settle,
    /// Give the caller the answer.
    Deliver,
    /// Tell the caller of the refusal.
    Refuse,
    /// Note that the caller left.
    NoteDeparture,
}

/// One open request.
#[derive(Debug)]
pub(crate) struct Open {
    pub(crate) query: Query,
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Arc<AccountTerms>>,
    pub(crate) service: Service,
    pub(crate) state: State,
    pub(crate) received: Time,
    /// The moment after which nothing is awaited.
    pub(crate) deadline: Time,
    /// The moment after which it no longer waits for a token, or for room.
    pub(crate) wait_until: Option<Time>,
    /// Why no backend server had room when one was last looked for.
    pub(crate) lack: Option<Lack>,
    /// How often a token was asked for.
    pub(crate) asks: u32,
    /// The backend servers it was sent to.
    pub(crate) tried: Vec<ServerId>,
    /// Attempts that may have run.
    pub(crate) runs: u32,
    /// The attempt that runs.
    pub(crate) attempt: Option<Attempt>,
    /// How the last attempt ended.
    pub(crate) outcome: Option<Outcome>,
    /// Whether an answer of a backend server is at hand.
    pub(crate) answered: bool,
    /// The refusal to be told, once one is decided.
    pub(crate) refusal: Option<Refusal>,
}

/// One attempt at a backend server.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) version: Version,
    pub(crate) choice: Choice,
}

impl Open {
    /// Its priority: the client account's goes before the route's.
    pub(crate) fn priority(&self) -> Priority {
        let own = self.account.as_ref().and_then(|terms| terms.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Whether it may run more than once.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.replay == Replay::Idempotent
    }

    /// The refusal for a reason; true also after an attempt that may have run.
    pub(crate) fn refuse(&self, reason: Reason) -> Refusal {
        Refusal {
            reason,
            may_have_run: self.runs > 0,
            retry_after: None,
        }
    }

    /// When its time is over, waiting or sent.
    pub(crate) fn expiry(&self) -> Time {
        match (self.state, self.wait_until) {
            (State::Asking | State::Waiting, Some(until)) => until.min(self.deadline),
            _ => self.deadline,
        }
    }

    /// The time that it has left.
    pub(crate) fn left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }
}
