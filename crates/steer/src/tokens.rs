//! Tokens of client accounts that instances request from the relay of their failure
//! domain, and the replies of the relay.

use std::collections::VecDeque;
use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;

use crate::digest::Message;
use crate::digest::TokenReply;
use crate::digest::TokenRequest;
use crate::event::Action;
use crate::event::RequestId;
use crate::hash;
use crate::quota::Lender;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::relay::Role;
use crate::request::OpenRequest;
use crate::request::Signal;
use crate::request::State;
use crate::steer::Steer;

/// How long the reply to each request for one token is awaited. The first is several
/// round trips within a failure domain, after which the datagram may be lost. The last
/// leaves time for one that waits behind a large answer on a slow link.
const REPLY_TIMEOUTS: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(90)];

/// How long a request waits until a relay is known: after a start a relay collects
/// digests for 0.4 s, and one of its next two summaries arrives.
const RELAY_WAIT_LIMIT: Duration = Duration::from_millis(700);

/// The delay before a retry that is reported to a caller if no relay answered: by then
/// another instance of the failure domain is the relay.
const UNANSWERED_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How long a loan is remembered: until no repeated request for it can arrive.
const LOAN_MEMORY: Duration = Duration::from_millis(500);

/// The maximum number of loans that are remembered.
const MAX_LOANS: usize = 1_024;

/// The latest loans of this instance as a relay, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Loans(VecDeque<(Time, InstanceId, u64)>);

impl Loans {
    fn contains(&self, now: Time, asked: &TokenRequest) -> bool {
        let recent = self.0.iter().rev();
        let mut recent = recent.take_while(|loan| now.since(loan.0) < LOAN_MEMORY);
        recent.any(|loan| loan.1 == asked.from && loan.2 == asked.request)
    }

    fn record(&mut self, now: Time, asked: &TokenRequest) {
        if self.0.len() == MAX_LOANS {
            self.0.pop_front();
        }
        self.0.push_back((now, asked.from.clone(), asked.request));
    }
}

impl OpenRequest {
    /// Returns whether a token may be asked for once more.
    pub(crate) fn may_ask(&self, now: Time) -> bool {
        let more = match self.token_requests {
            0 => now.since(self.received) < RELAY_WAIT_LIMIT,
            sent => (sent as usize) < REPLY_TIMEOUTS.len(),
        };
        more && now < self.deadline
    }
}

impl Steer {
    /// Returns who lends tokens to this instance.
    pub(crate) fn lender(&self, now: Time) -> Lender {
        let relay = self.members.relay(now, self.last_unanswered);
        match relay {
            Some(id) if *id == self.members.me().entry.id => {
                if self.relay.role == Role::Relaying {
                    Lender::Own
                } else {
                    Lender::Unavailable
                }
            }
            Some(_) => Lender::Other,
            None => Lender::Unavailable,
        }
    }

    /// Asks the relay for a token for a request. If this instance is the relay, returns
    /// the outcome at once.
    pub(crate) fn ask_token(
        &mut self,
        now: Time,
        open: &mut OpenRequest,
        out: &mut Vec<Action>,
    ) -> Option<Signal> {
        let sent = open.token_requests as usize;
        let timeout = REPLY_TIMEOUTS[sent.min(REPLY_TIMEOUTS.len() - 1)];
        open.wait_until = Some(now + timeout);
        let terms = open.account.as_ref()?;
        let account = hash::short(terms.account.as_str());
        if self.lender(now) == Lender::Own {
            let lent = self.quotas.lend(now, account);
            return Some(apply_outcome(open, lent.err()));
        }
        let relay = self.members.relay(now, self.last_unanswered)?;
        let to = self.members.domain_peer(relay)?;
        open.token_requests += 1;
        let message = Message::TokenRequest(TokenRequest {
            from: self.members.me().entry.id.clone(),
            request: open.query.id.0,
            account,
        });
        out.push(Action::Send { to, message });
        None
    }

    /// Answers an instance's request for a token, if this instance is its relay.
    pub(crate) fn answer_token_request(
        &mut self,
        now: Time,
        token_request: &TokenRequest,
        out: &mut Vec<Action>,
    ) {
        let Some(to) = self.members.domain_peer(&token_request.from) else {
            return;
        };
        if self.lender(now) != Lender::Own {
            return;
        }
        // A request that is repeated since its reply is late must not take two tokens.
        let lent = if self.loans.contains(now, token_request) {
            Ok(())
        } else {
            self.quotas.lend(now, token_request.account)
        };
        if lent.is_ok() {
            self.loans.record(now, token_request);
        }
        let wait_ms = lent.err().map(|wait| wait.as_millis() as u32);
        let (request, account) = (token_request.request, token_request.account);
        let message = Message::TokenReply(TokenReply {
            request,
            account,
            wait_ms,
        });
        out.push(Action::Send { to, message });
    }

    /// Applies the relay's answer to the request that waits for it.
    pub(crate) fn apply_token_reply(
        &mut self,
        now: Time,
        reply: &TokenReply,
        out: &mut Vec<Action>,
    ) {
        let wait = reply.wait_ms.map(|ms| Duration::from_millis(u64::from(ms)));
        if let Some(wait) = wait {
            self.quotas.deny(now, reply.account, wait);
        }
        let id = RequestId(reply.request);
        let is_waiting = |open: &OpenRequest| open.state == State::Asking;
        if !self.requests.get(&id).is_some_and(is_waiting) {
            return;
        }
        let Some(mut open) = self.requests.remove(&id) else {
            return;
        };
        let signal = apply_outcome(&mut open, wait);
        self.advance(now, open, signal, out);
    }

    /// Returns the refusal of a request for whose token no relay answered. If one was
    /// asked, this instance keeps its whole quota until the next summary of its domain.
    pub(crate) fn give_up_asking(&mut self, now: Time, open: &OpenRequest) -> Refusal {
        if open.token_requests > 0 {
            self.last_unanswered = now;
            self.update_quotas(now);
        }
        Refusal::not_run(Reason::OverRate).with_retry_after(UNANSWERED_RETRY_DELAY)
    }
}

// Applies the outcome of a request for a token: lent, or to be retried after `wait`.
fn apply_outcome(open: &mut OpenRequest, wait: Option<Duration>) -> Signal {
    open.wait_until = None;
    match wait {
        None => Signal::Admitted,
        Some(wait) => {
            open.refusal = Some(Refusal::not_run(Reason::OverRate).with_retry_after(wait));
            Signal::Refused
        }
    }
}
