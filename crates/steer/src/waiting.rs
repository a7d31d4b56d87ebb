//! Requests that wait for room at the backend servers of a service.

use std::time::Duration;

use corianderway_limits::FairQueue;
use corianderway_limits::QueuedRequest;
use corianderway_model::Service;
use corianderway_model::Sorted;
use corianderway_model::Time;

use crate::event::Action;
use crate::event::RequestId;
use crate::refusal::Reason;
use crate::request::Open;
use crate::request::Signal;
use crate::request::State;
use crate::steer::Steer;

/// Requests that wait for one service.
const WAITERS: usize = 256;

/// How long a request waits here, as a part of its objective: what waits
/// longer had better be tried at another instance.
const WAIT_PART: f64 = 0.125;

/// Requests of one service that are tried in one go.
const TRIED_AT_ONCE: usize = 64;

/// The weight of a request of no client account.
const PLAIN_WEIGHT: f64 = 100.0;

/// The name under which requests of no client account wait.
const NO_ACCOUNT: &str = "-";

/// Where requests wait, by service.
#[derive(Debug, Default)]
pub(crate) struct Rooms(Sorted<Service, FairQueue<RequestId>>);

impl Steer {
    /// Lets a request wait for room.
    pub(crate) fn wait(&mut self, now: Time, open: &mut Open) {
        let span = open.route.objective.mul_f64(WAIT_PART);
        let until = *open.wait_until.get_or_insert(now + span);
        let account = open.account.as_ref().map(|terms| terms.account.clone());
        let Some(account) = account.or_else(|| NO_ACCOUNT.try_into().ok()) else {
            return;
        };
        let rate = open.account.as_ref().and_then(|terms| terms.rate);
        let waiting = QueuedRequest {
            account,
            weight: rate.unwrap_or(PLAIN_WEIGHT).max(1.0),
            priority: open.priority(),
            deadline: until,
            item: open.query.id,
        };
        let queue = self
            .rooms
            .0
            .get_or(open.service.clone(), || FairQueue::new(WAITERS));
        // What is displaced expires with its own time.
        queue.push(waiting);
    }

    /// Tries the waiting requests again.
    pub(crate) fn serve_waiting(&mut self, now: Time, out: &mut Vec<Action>) {
        let services: Vec<Service> = self.rooms.0.iter().map(|row| row.0.clone()).collect();
        for service in services {
            self.serve_room(now, &service, out);
        }
    }

    /// Tries the requests that wait for a service again.
    ///
    /// One that still finds no room does not hold up the others, which may
    /// concern other objects.
    pub(crate) fn serve_room(&mut self, now: Time, service: &Service, out: &mut Vec<Action>) {
        let Some(queue) = self.rooms.0.get_mut(service) else {
            return;
        };
        let mut next = Vec::new();
        while next.len() < TRIED_AT_ONCE {
            match queue.pop(now) {
                Some(id) => next.push(id),
                None => break,
            }
        }
        for id in next {
            let waits = self.requests.get(&id).map(|open| open.state);
            if waits == Some(State::Waiting) {
                if let Some(open) = self.requests.remove(&id) {
                    self.advance(now, open, Signal::Free, out);
                }
            }
        }
    }

    /// Ends the requests whose time is over.
    pub(crate) fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        let late: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, open)| open.expiry() <= now)
            .map(|row| *row.0)
            .collect();
        for id in late {
            let Some(mut open) = self.requests.remove(&id) else {
                continue;
            };
            // An attempt that is stopped may have run.
            open.runs += u32::from(open.attempt.is_some());
            let refusal = match open.state {
                State::Asking if open.may_ask(now) => None,
                State::Asking if now < open.deadline => Some(self.give_up_asking(now, &open)),
                State::Waiting => Some(open.refuse(Reason::Overloaded)),
                State::Received | State::Asking | State::Sent | State::Orphaned | State::Done => {
                    Some(open.refuse(Reason::TimedOut))
                }
            };
            open.refusal = refusal;
            self.advance(now, open, Signal::Late, out);
        }
    }

    /// When a request that found no room should come back.
    pub(crate) fn retry_after(open: &Open) -> Duration {
        open.route.objective.mul_f64(2.0 * WAIT_PART)
    }
}
