//! The queues of requests that wait for quota of their client account or for a slot of
//! a service.

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
use corianderway_routing::Verdict as SuspectVerdict;

use crate::chart::Signal;
use crate::event::Action;
use crate::event::RequestId;
use crate::node::Node;
use crate::open::OpenRequest;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// The maximum number of requests that wait for quota on one instance.
const MAX_QUOTA_WAITERS: usize = 1_024;

/// The maximum number of requests that wait for a slot of one service on one instance.
const MAX_SLOT_WAITERS: usize = 256;

/// The time that a request waits for its client account's rate, and the delay after
/// which refused callers are told to retry. It is the time that a loan from another
/// instance needs to arrive.
const QUOTA_TIMEOUT: Duration = Duration::from_millis(400);

/// The maximum number of queued requests of one service that are dispatched in one
/// pass.
const MAX_DISPATCHED: usize = 64;

/// The queues of waiting requests.
///
/// They hold only the numbers of requests; the requests themselves stay in the table of
/// open requests. A number whose request has ended is skipped.
#[derive(Debug, Default)]
pub(crate) struct WaitQueues {
    // In order of arrival.
    quota: Vec<(Priority, RequestId)>,
    // Sorted by service.
    slots: Vec<(Service, FairQueue<RequestId>)>,
}

impl Node {
    /// Checks that a request is not held back as a suspect in crashes of backend
    /// servers and that its client account has rate left.
    ///
    /// Returns the signal for the request's chart. Unless that is [`Signal::Granted`],
    /// the refusal is recorded in `open`. `is_retry` marks a request that was refused
    /// before and has waited.
    pub(crate) fn admit(&mut self, now: Time, open: &mut OpenRequest, is_retry: bool) -> Signal {
        match self.suspect_verdict(now, open) {
            SuspectVerdict::Run => (),
            SuspectVerdict::Wait => {
                let refusal = open.refuse(Reason::Overloaded);
                open.refusal = Some(refusal.retry_after(QUOTA_TIMEOUT));
                return Signal::Deferred;
            }
            SuspectVerdict::Refuse => {
                open.refusal = Some(open.refuse(Reason::Quarantined));
                return Signal::Refused;
            }
        }
        if open.rate_admitted {
            return Signal::Granted;
        }
        let limit = Limit::Rate(open.contract.account.clone());
        let verdict = if is_retry {
            self.quota.retry(now, &limit, Tokens::ONE)
        } else {
            self.quota.admit(now, &limit, Tokens::ONE)
        };
        match verdict {
            Verdict::Admitted => {
                open.rate_admitted = true;
                open.quota_deadline = None;
                Signal::Granted
            }
            Verdict::Refused { .. } => {
                self.quarantine.release(open.query.digest);
                let refusal = open.refuse(self.rate_reason());
                open.refusal = Some(refusal.retry_after(QUOTA_TIMEOUT));
                Signal::Deferred
            }
        }
    }

    /// Queues a request until quota can have arrived from another instance.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the queue is full.
    pub(crate) fn wait_for_quota(
        &mut self,
        now: Time,
        open: &mut OpenRequest,
    ) -> Result<(), Refusal> {
        let current = open.refusal.unwrap_or(open.refuse(Reason::Overloaded));
        let refusal = current.retry_after(QUOTA_TIMEOUT);
        if self.wait_queues.quota.len() >= MAX_QUOTA_WAITERS {
            return Err(refusal);
        }
        // The capacity of a region frees up within seconds, so a longer wait is worthwhile;
        // an exhausted rate stays exhausted.
        let wait = if open.rate_admitted {
            open.deadline.since(now) / 2
        } else {
            QUOTA_TIMEOUT.min(open.deadline.since(now))
        };
        open.quota_deadline.get_or_insert(now + wait);
        open.refusal = Some(refusal);
        self.wait_queues
            .quota
            .push((open.route.priority, open.query.id));
        Ok(())
    }

    /// Queues a request for a slot of its service. The queue may push out another
    /// request.
    pub(crate) fn wait_for_slot(&mut self, now: Time, open: &OpenRequest) {
        let left = open.deadline.since(now);
        let waiting = QueuedRequest {
            account: open.contract.account.clone(),
            weight: open.contract.rate,
            priority: open.route.priority,
            // The other half of the time left is for running the request.
            deadline: now + left / 2,
            item: open.query.id,
        };
        let displaced = self.slot_queue(&open.route.service).push(waiting);
        if let Some(id) = displaced {
            self.displaced.push(id);
        }
    }

    /// Whether requests of a service are queued, which a new one may not overtake.
    pub(crate) fn has_queue(&self, service: &Service) -> bool {
        let found = self
            .wait_queues
            .slots
            .binary_search_by(|row| row.0.cmp(service));
        found.is_ok_and(|at| !self.wait_queues.slots[at].1.is_empty())
    }

    /// Retries the waiting requests, and refuses those whose time to wait is over.
    pub(crate) fn retry_waiting(&mut self, now: Time, out: &mut Vec<Action>) {
        self.refuse_displaced(now, out);
        self.retry_quota(now, out);
        let services: Vec<Service> = self
            .wait_queues
            .slots
            .iter()
            .map(|row| row.0.clone())
            .collect();
        for service in services {
            self.expire_queued(now, &service, out);
            self.dispatch_queued(now, &service, out);
        }
    }

    /// Dispatches the queued requests of a service until no slot is free.
    pub(crate) fn dispatch_queued(&mut self, now: Time, service: &Service, out: &mut Vec<Action>) {
        for _ in 0..MAX_DISPATCHED {
            let Some(id) = self.slot_queue(service).pop(now) else {
                return;
            };
            let Some(open) = self.requests.take(id) else {
                continue;
            };
            self.advance(now, open, Signal::SlotFreed, out);
            if self.requests.is_queued(id) {
                return;
            }
        }
    }

    /// Records how long a request held its slot.
    pub(crate) fn record_slot_time(&mut self, now: Time, open: &OpenRequest) {
        if let Some(since) = open.forwarded_at {
            let account = &open.contract.account;
            let held = now.since(since);
            self.slot_queue(&open.route.service)
                .record_hold_time(account, held);
        }
    }

    // An instance without a quota cannot tell whether an account exceeds its rate.
    fn rate_reason(&self) -> Reason {
        if self.has_quota() {
            Reason::RateExceeded
        } else {
            Reason::RateUnchecked
        }
    }

    fn retry_quota(&mut self, now: Time, out: &mut Vec<Action>) {
        // Client accounts that were refused in this pass; their other requests are not
        // checked.
        let mut exhausted: Vec<Account> = Vec::new();
        let mut waiting = std::mem::take(&mut self.wait_queues.quota);
        waiting.sort_by_key(|row| row.0);
        for (priority, id) in waiting {
            let Some(mut open) = self.requests.take(id) else {
                continue;
            };
            let account = open.contract.account.clone();
            if open.quota_deadline.is_none_or(|at| now >= at) {
                self.advance(now, open, Signal::Refused, out);
            } else if exhausted.contains(&account) {
                self.requests.insert(open);
                self.wait_queues.quota.push((priority, id));
            } else {
                let signal = self.admit(now, &mut open, true);
                if signal == Signal::Deferred {
                    self.requests.insert(open);
                    self.wait_queues.quota.push((priority, id));
                } else {
                    self.advance(now, open, signal, out);
                }
                if self.requests.is_waiting(id) {
                    exhausted.push(account);
                }
            }
        }
    }

    fn expire_queued(&mut self, now: Time, service: &Service, out: &mut Vec<Action>) {
        let mut expired = Vec::new();
        self.slot_queue(service).expire(now, &mut expired);
        for id in expired {
            if let Some(open) = self.requests.take(id) {
                self.refuse_open(now, open, Reason::Overloaded, out);
            }
        }
    }

    fn refuse_displaced(&mut self, now: Time, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.displaced) {
            if let Some(open) = self.requests.take(id) {
                self.refuse_open(now, open, Reason::Overloaded, out);
            }
        }
    }

    fn refuse_open(
        &mut self,
        now: Time,
        mut open: OpenRequest,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        let refusal = open.refuse(reason);
        open.refusal = Some(refusal.retry_after(QUOTA_TIMEOUT));
        self.advance(now, open, Signal::Refused, out);
    }

    fn slot_queue(&mut self, service: &Service) -> &mut FairQueue<RequestId> {
        let found = self
            .wait_queues
            .slots
            .binary_search_by(|row| row.0.cmp(service));
        let at = found.unwrap_or_else(|at| {
            let queue = (service.clone(), FairQueue::new(MAX_SLOT_WAITERS));
            self.wait_queues.slots.insert(at, queue);
            at
        });
        &mut self.wait_queues.slots[at].1
    }
}
