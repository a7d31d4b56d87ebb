//! The queues of requests that wait for room, one for each service.

use std::time::Duration;

use corianderway_limits::FairQueue;
use corianderway_limits::QueuedRequest;
use corianderway_model::Service;
use corianderway_model::SortedMap;
use corianderway_model::Time;

use crate::event::Action;
use crate::event::RequestId;
use crate::refusal::Reason;
use crate::request::OpenRequest;
use crate::request::Signal;
use crate::request::State;
use crate::steer::Steer;

/// Maximum number of requests that wait for one service.
const MAX_WAITING: usize = 256;

/// Maximum wait, as a share of the route's target latency. A request that would wait
/// longer is better retried at another instance.
const MAX_WAIT_SHARE: f64 = 0.125;

/// Maximum number of a service's requests that are retried at once.
const MAX_RETRIED_AT_ONCE: usize = 64;

/// Weight of requests without a client account, in requests per second.
const NO_ACCOUNT_WEIGHT: f64 = 100.0;

/// Name under which requests without a client account queue.
const NO_ACCOUNT: &str = "-";

/// The queues, by service.
#[derive(Debug, Default)]
pub(crate) struct WaitingQueues(SortedMap<Service, FairQueue<RequestId>>);

impl WaitingQueues {
    /// Returns the number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.0.iter().map(|row| row.1.len()).sum()
    }
}

impl Steer {
    /// Queues a request until a backend server has room. Returns the event that follows at
    /// once if the queue has no place for it.
    pub(crate) fn enqueue(
        &mut self,
        now: Time,
        open: &mut OpenRequest,
        out: &mut Vec<Action>,
    ) -> Option<Signal> {
        let span = open.route.target_latency.mul_f64(MAX_WAIT_SHARE);
        let until = *open.wait_until.get_or_insert(now + span);
        let account = open.account.as_ref().map(|terms| terms.account.clone());
        let account = account.or_else(|| NO_ACCOUNT.try_into().ok())?;
        let rate = open.account.as_ref().and_then(|terms| terms.rate);
        let waiting = QueuedRequest {
            account,
            weight: rate.unwrap_or(NO_ACCOUNT_WEIGHT).max(1.0),
            priority: open.priority(),
            deadline: until,
            item: open.query.id,
        };
        let queue = self
            .queues
            .0
            .get_or_insert_with(open.service.clone(), || FairQueue::new(MAX_WAITING));
        // Requests whose wait is over must not take the places of others.
        queue.expire(now, &mut Vec::new());
        let dropped = queue.push(waiting)?;
        if dropped == open.query.id {
            open.refusal = Some(open.refusal_for(Reason::Overloaded));
            return Some(Signal::Refused);
        }
        if let Some(mut other) = self.requests.remove(&dropped) {
            other.refusal = Some(other.refusal_for(Reason::Overloaded));
            self.advance(now, other, Signal::Refused, out);
        }
        None
    }

    /// Retries the waiting requests of all services.
    pub(crate) fn retry_all_waiting(&mut self, now: Time, out: &mut Vec<Action>) {
        let services: Vec<Service> = self.queues.0.iter().map(|row| row.0.clone()).collect();
        for service in services {
            self.retry_waiting(now, &service, out);
        }
    }

    /// Retries the waiting requests of a service.
    ///
    /// A request that still finds no room doesn't block the others, which may
    /// concern other objects.
    pub(crate) fn retry_waiting(&mut self, now: Time, service: &Service, out: &mut Vec<Action>) {
        let Some(queue) = self.queues.0.get_mut(service) else {
            return;
        };
        // The requests themselves end by their own time.
        queue.expire(now, &mut Vec::new());
        let mut next = Vec::new();
        while next.len() < MAX_RETRIED_AT_ONCE {
            match queue.pop(now) {
                Some(id) => next.push(id),
                None => break,
            }
        }
        for id in next {
            let waits = self.requests.get(&id).map(|open| open.state);
            if waits == Some(State::Waiting) {
                if let Some(open) = self.requests.remove(&id) {
                    self.advance(now, open, Signal::RoomFreed, out);
                }
            }
        }
    }

    /// Ends the requests whose current state has timed out.
    pub(crate) fn expire_requests(&mut self, now: Time, out: &mut Vec<Action>) {
        let expired: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, open)| open.expiry() <= now)
            .map(|row| *row.0)
            .collect();
        for id in expired {
            let Some(mut open) = self.requests.remove(&id) else {
                continue;
            };
            let refusal = match open.state {
                State::Asking if open.may_ask(now) => None,
                State::Asking if now < open.deadline => Some(self.give_up_asking(now, &open)),
                State::Waiting => Some(open.refusal_for(Reason::Overloaded)),
                State::Received
                | State::Asking
                | State::Choosing
                | State::Sent
                | State::Orphaned
                | State::Done => Some(open.refusal_for(Reason::TimedOut)),
            };
            open.refusal = refusal;
            self.advance(now, open, Signal::TimedOut, out);
        }
    }

    /// Returns the retry delay for a request that found no room.
    pub(crate) fn retry_after(open: &OpenRequest) -> Duration {
        open.route.target_latency.mul_f64(2.0 * MAX_WAIT_SHARE)
    }
}
