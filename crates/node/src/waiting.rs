//! Requests that wait: for quota of their client account, or for a slot of a service.

use std::time::Duration;

use corianderway_limits::FairQueue;
use corianderway_limits::Limit;
use corianderway_limits::QueuedRequest;
use corianderway_limits::Tokens;
use corianderway_limits::Verdict;
use corianderway_model::Account;
use corianderway_model::Priority;
use corianderway_model::Service;
use corianderway_model::Time;
use corianderway_routing::Verdict as Suspect;

use crate::chart::Signal;
use crate::event::Action;
use crate::event::RequestId;
use crate::node::Node;
use crate::open::Open;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// Requests that wait for quota on one instance.
const QUOTA_WAITERS: usize = 1_024;

/// Requests that wait for slots of one service on one instance.
const SLOT_WAITERS: usize = 256;

/// How long a request waits for rate: as long as a loan of it takes to come.
const QUOTA_WAIT: Duration = Duration::from_millis(400);

/// Requests of one service that are tried in one go.
const TRIED_AT_ONCE: usize = 64;

/// Where requests wait.
#[derive(Debug, Default)]
pub(crate) struct Rooms {
    // In the order of arrival.
    quota: Vec<(Priority, RequestId)>,
    // Sorted by service.
    slots: Vec<(Service, FairQueue<RequestId>)>,
}

impl Node {
    /// Asks whether a request may run: it must not be one that crashes backend
    /// servers, and its client account must have rate left.
    pub(crate) fn admit(&mut self, now: Time, open: &mut Open, again: bool) -> Signal {
        match self.suspicion(now, open) {
            Suspect::Run => (),
            Suspect::Wait => {
                let refusal = open.refuse(Reason::Overloaded);
                open.refusal = Some(refusal.retry_after(QUOTA_WAIT));
                return Signal::Short;
            }
            Suspect::Refuse => {
                open.refusal = Some(open.refuse(Reason::Quarantined));
                return Signal::Refused;
            }
        }
        if open.rated {
            return Signal::Granted;
        }
        let limit = Limit::Rate(open.contract.account.clone());
        let verdict = if again {
            self.quota.retry(now, &limit, Tokens::ONE)
        } else {
            self.quota.admit(now, &limit, Tokens::ONE)
        };
        match verdict {
            Verdict::Admitted => {
                open.rated = true;
                open.give_up = None;
                Signal::Granted
            }
            Verdict::Refused { .. } => {
                self.quarantine.release(open.query.digest);
                let refusal = open.refuse(self.rate_reason());
                open.refusal = Some(refusal.retry_after(QUOTA_WAIT));
                Signal::Short
            }
        }
    }

    /// Lets a request wait until quota can have come from the peers.
    pub(crate) fn wait_for_quota(&mut self, now: Time, open: &mut Open) -> Result<(), Refusal> {
        let told = open.refusal.unwrap_or(open.refuse(Reason::Overloaded));
        let refusal = told.retry_after(QUOTA_WAIT);
        if self.rooms.quota.len() >= QUOTA_WAITERS {
            return Err(refusal);
        }
        // A region fills and empties within seconds; a rate that is spent stays so.
        let wait = if open.rated {
            open.deadline.since(now) / 2
        } else {
            QUOTA_WAIT.min(open.deadline.since(now))
        };
        open.give_up.get_or_insert(now + wait);
        open.refusal = Some(refusal);
        self.rooms.quota.push((open.route.priority, open.query.id));
        Ok(())
    }

    /// Lets a request wait for a slot of its service.
    pub(crate) fn wait_for_slot(&mut self, now: Time, open: &Open) {
        let left = open.deadline.since(now);
        let waiting = QueuedRequest {
            account: open.contract.account.clone(),
            weight: open.contract.rate,
            priority: open.route.priority,
            // The other half is for running it.
            deadline: now + left / 2,
            item: open.query.id,
        };
        let displaced = self.room(&open.route.service).push(waiting);
        if let Some(id) = displaced {
            self.displaced.push(id);
        }
    }

    /// Whether requests of a service wait already, so that a new one may not pass them.
    pub(crate) fn is_crowded(&self, service: &Service) -> bool {
        let found = self.rooms.slots.binary_search_by(|row| row.0.cmp(service));
        found.is_ok_and(|at| !self.rooms.slots[at].1.is_empty())
    }

    /// Tries the waiting requests again, and refuses those whose time is over.
    pub(crate) fn serve_waiting(&mut self, now: Time, out: &mut Vec<Action>) {
        self.refuse_displaced(now, out);
        self.serve_quota(now, out);
        let services: Vec<Service> = self.rooms.slots.iter().map(|row| row.0.clone()).collect();
        for service in services {
            self.expire_slots(now, &service, out);
            self.serve_slots(now, &service, out);
        }
    }

    /// Gives free slots of a service to the requests that wait for them.
    pub(crate) fn serve_slots(&mut self, now: Time, service: &Service, out: &mut Vec<Action>) {
        for _ in 0..TRIED_AT_ONCE {
            let Some(id) = self.room(service).pop(now) else {
                return;
            };
            let Some(open) = self.requests.take(id) else {
                continue;
            };
            self.advance(now, open, Signal::Free, out);
            if self.requests.is_queued(id) {
                return;
            }
        }
    }

    /// Notes how long a request held its slot.
    pub(crate) fn note_hold(&mut self, now: Time, open: &Open) {
        if let Some(since) = open.forwarded {
            let account = &open.contract.account;
            let held = now.since(since);
            self.room(&open.route.service)
                .record_hold_time(account, held);
        }
    }

    // Without quota of its own an instance can't say that an account is above its rate.
    fn rate_reason(&self) -> Reason {
        if self.has_quota() {
            Reason::RateExceeded
        } else {
            Reason::RateUnchecked
        }
    }

    fn serve_quota(&mut self, now: Time, out: &mut Vec<Action>) {
        // A client account that is refused once is not asked for again in this pass.
        let mut spent: Vec<Account> = Vec::new();
        let mut waiting = std::mem::take(&mut self.rooms.quota);
        waiting.sort_by_key(|row| row.0);
        for (priority, id) in waiting {
            let Some(mut open) = self.requests.take(id) else {
                continue;
            };
            let account = open.contract.account.clone();
            if open.give_up.is_none_or(|at| now >= at) {
                self.advance(now, open, Signal::Refused, out);
            } else if spent.contains(&account) {
                self.requests.insert(open);
                self.rooms.quota.push((priority, id));
            } else {
                let signal = self.admit(now, &mut open, true);
                if signal == Signal::Short {
                    self.requests.insert(open);
                    self.rooms.quota.push((priority, id));
                } else {
                    self.advance(now, open, signal, out);
                }
                if self.requests.is_waiting(id) {
                    spent.push(account);
                }
            }
        }
    }

    fn expire_slots(&mut self, now: Time, service: &Service, out: &mut Vec<Action>) {
        let mut late = Vec::new();
        self.room(service).expire(now, &mut late);
        for id in late {
            if let Some(open) = self.requests.take(id) {
                self.turn_back(now, open, Reason::Overloaded, out);
            }
        }
    }

    fn refuse_displaced(&mut self, now: Time, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.displaced) {
            if let Some(open) = self.requests.take(id) {
                self.turn_back(now, open, Reason::Overloaded, out);
            }
        }
    }

    fn turn_back(&mut self, now: Time, mut open: Open, reason: Reason, out: &mut Vec<Action>) {
        let refusal = open.refuse(reason);
        open.refusal = Some(refusal.retry_after(QUOTA_WAIT));
        self.advance(now, open, Signal::Refused, out);
    }

    fn room(&mut self, service: &Service) -> &mut FairQueue<RequestId> {
        let found = self.rooms.slots.binary_search_by(|row| row.0.cmp(service));
        let at = found.unwrap_or_else(|at| {
            let room = (service.clone(), FairQueue::new(SLOT_WAITERS));
            self.rooms.slots.insert(at, room);
            at
        });
        &mut self.rooms.slots[at].1
    }
}
