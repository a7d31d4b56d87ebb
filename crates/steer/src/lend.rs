//! Tokens of client accounts that the relay of a failure domain lends.

use std::time::Duration;

use corianderway_model::Time;

use crate::digest::Ask;
use crate::digest::Lend;
use crate::digest::Message;
use crate::event::Action;
use crate::event::RequestId;
use crate::hash;
use crate::quota::Lender;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::relay::Role;
use crate::request::Open;
use crate::request::Signal;
use crate::request::State;
use crate::steer::Steer;

/// How long an answer of the relay is awaited: several times the way there and
/// back within a failure domain.
const ANSWER: Duration = Duration::from_millis(30);

/// How often a token is asked for: a datagram may be lost.
const ASKS: u32 = 2;

/// How long a request waits for a relay that is not known yet: after a start
/// one gathers digests for 0.4 s, and is heard within two summaries.
const RELAY_AWAITED: Duration = Duration::from_millis(700);

/// When a caller should come back whose token nobody could lend: another
/// instance of the failure domain relays by then.
const UNANSWERED_RETRY: Duration = Duration::from_millis(500);

impl Open {
    /// Whether a token may be asked for once more.
    pub(crate) fn may_ask(&self, now: Time) -> bool {
        let more = match self.asks {
            0 => now.since(self.received) < RELAY_AWAITED,
            asks => asks < ASKS,
        };
        more && now < self.deadline
    }
}

impl Steer {
    /// Who lends to this instance.
    pub(crate) fn lender(&self, now: Time) -> Lender {
        let relay = self.members.relay(now, self.unanswered);
        match relay {
            Some(id) if *id == self.members.me().entry.id => {
                if self.relay.role == Role::Relaying {
                    Lender::Own
                } else {
                    Lender::Nobody
                }
            }
            Some(_) => Lender::Other,
            None => Lender::Nobody,
        }
    }

    /// Asks the relay for a token for a request; this instance may be it.
    pub(crate) fn ask(
        &mut self,
        now: Time,
        open: &mut Open,
        out: &mut Vec<Action>,
    ) -> Option<Signal> {
        open.wait_until = Some(now + ANSWER);
        let terms = open.account.as_ref()?;
        let account = hash::short(terms.account.as_str());
        if self.lender(now) == Lender::Own {
            let lent = self.quotas.lend(now, account);
            return Some(pay(open, lent.err()));
        }
        let relay = self.members.relay(now, self.unanswered)?;
        let to = self.members.sibling(relay)?;
        open.asks += 1;
        let message = Message::Ask(Ask {
            from: self.members.me().entry.id.clone(),
            request: open.query.id.0,
            account,
        });
        out.push(Action::Send { to, message });
        None
    }

    /// Answers an instance that asks for a token.
    pub(crate) fn lend(&mut self, now: Time, ask: &Ask, out: &mut Vec<Action>) {
        let Some(to) = self.members.sibling(&ask.from) else {
            return;
        };
        if self.lender(now) != Lender::Own {
            return;
        }
        let lent = self.quotas.lend(now, ask.account);
        let wait_ms = lent.err().map(|wait| wait.as_millis() as u32);
        let (request, account) = (ask.request, ask.account);
        let message = Message::Lend(Lend {
            request,
            account,
            wait_ms,
        });
        out.push(Action::Send { to, message });
    }

    /// Takes what the relay answered.
    pub(crate) fn take_lent(&mut self, now: Time, lend: &Lend, out: &mut Vec<Action>) {
        let wait = lend.wait_ms.map(|ms| Duration::from_millis(u64::from(ms)));
        if let Some(wait) = wait {
            self.quotas.deny(now, lend.account, wait);
        }
        let id = RequestId(lend.request);
        let asking = |open: &Open| open.state == State::Asking;
        if !self.requests.get(&id).is_some_and(asking) {
            return;
        }
        let Some(mut open) = self.requests.remove(&id) else {
            return;
        };
        let signal = pay(&mut open, wait);
        self.advance(now, open, signal, out);
    }

    /// The refusal of a request whose token no relay answered for; the share is
    /// this instance's own until the relay is heard again.
    pub(crate) fn give_up_asking(&mut self, now: Time, open: &Open) -> Refusal {
        if open.asks > 0 {
            self.unanswered = now;
            self.share_quotas(now);
        }
        Refusal::not_run(Reason::OverRate).after(UNANSWERED_RETRY)
    }
}

// Goes on with a request for which a token is lent, or none before a time.
fn pay(open: &mut Open, wait: Option<Duration>) -> Signal {
    open.wait_until = None;
    match wait {
        None => Signal::Admitted,
        Some(wait) => {
            open.refusal = Some(Refusal::not_run(Reason::OverRate).after(wait));
            Signal::Refused
        }
    }
}
