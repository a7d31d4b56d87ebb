//! The requests that wait for room, in one line for each service. The verdicts are those of
//! [`shortage`](crate::shortage).

use std::time::Duration;

use corianderway_model::Priority;
use corianderway_model::Service;
use corianderway_model::SortedMap;
use corianderway_model::Time;
use rand::Rng as _;

use crate::claim::Claim;
use crate::claim::ClaimChart;
use crate::event::Action;
use crate::event::RequestId;
use crate::note::Severity;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::request::OpenRequest;
use crate::request::Signal;
use crate::request::State;
use crate::server::millis;
use crate::service_time::Warmth;
use crate::shortage;
use crate::shortage::Line;
use crate::shortage::Verdict;
use crate::steer::Steer;

/// Maximum number of a service's requests that are retried at once.
const MAX_RETRIED_AT_ONCE: usize = 64;

/// The same at a sweep, of those in a row that find no room.
const MAX_FAILED_AT_SWEEP: usize = 16;

/// Requests in a row that find no room after which the others aren't retried until the next
/// sweep.
const MAX_FAILED_IN_ROW: usize = 2;

/// Weight of requests without a client account, in requests per second.
const NO_ACCOUNT_WEIGHT: f64 = 100.0;

/// Name under which requests without a client account wait.
const NO_ACCOUNT: &str = "-";

/// The lines, by service.
#[derive(Debug)]
pub(crate) struct WaitingQueues {
    chart: ClaimChart,
    lines: SortedMap<Service, Line>,
}

impl WaitingQueues {
    pub(crate) fn new(chart: ClaimChart) -> Self {
        Self {
            chart,
            lines: SortedMap::default(),
        }
    }

    // Decides on a request that finds no room.
    fn judge(&mut self, now: Time, service: &Service, claim: &Claim) -> Verdict {
        let line = self
            .lines
            .get_or_insert_with(service.clone(), Line::default);
        line.judge(&self.chart, now, claim)
    }

    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.lines.iter().map(|row| row.1.len()).sum()
    }

    /// Records that a request was sent to a server.
    pub(crate) fn start(&mut self, now: Time, service: &Service, id: RequestId) {
        if let Some(line) = self.lines.get_mut(service) {
            line.start(now, id);
        }
    }

    /// Removes a request that has ended.
    pub(crate) fn remove(&mut self, service: &Service, id: RequestId) {
        if let Some(line) = self.lines.get_mut(service) {
            line.remove(id);
        }
    }

    /// Returns whether a request may take only room that others leave idle.
    pub(crate) fn is_deferred(&self, now: Time, service: &Service, id: RequestId) -> bool {
        let line = self.lines.get(service);
        line.is_some_and(|line| line.is_deferred(now, id))
    }

    /// Returns whether a request waits.
    pub(crate) fn waits(&self, service: &Service, id: RequestId) -> bool {
        let line = self.lines.get(service);
        line.is_some_and(|line| line.since(id).is_some())
    }

    fn line(&mut self, service: &Service) -> &mut Line {
        self.lines
            .get_or_insert_with(service.clone(), Line::default)
    }
}

impl Steer {
    /// Lets a request wait until a backend server has room. Returns the event that follows at
    /// once if it can't start in time.
    pub(crate) fn enqueue(
        &mut self,
        now: Time,
        open: &mut OpenRequest,
        out: &mut Vec<Action>,
    ) -> Option<Signal> {
        let held = open.wait_until.filter(|until| now < *until);
        if held.is_some() && self.queues.waits(&open.service, open.query.id) {
            return None;
        }
        let claim = self.claim(now, open)?;
        let is_new = !self.queues.waits(&open.service, claim.id);
        let Verdict::Wait(until) = self.queues.judge(now, &open.service, &claim) else {
            open.refusal = Some(self.refuse_for_room(now, open));
            return Some(Signal::Refused);
        };
        let line = self.queues.line(&open.service);
        let displaced = line.displaced(now);
        let state = line.explain(now);
        open.wait_until = open.wait_until.max(Some(until));
        if is_new {
            let note = self
                .note(Severity::Routine, "waits", open)
                .with("rank", rank_name(claim.priority))
                .with("returned", claim.returned)
                .with("work_ms", claim.work.as_millis())
                .with("until_ms", until.since(now).as_millis())
                .with("line", state);
            out.push(Action::Log(note));
        }
        let displaced = displaced?;
        if displaced == open.query.id {
            open.refusal = Some(self.refuse_for_room(now, open));
            return Some(Signal::Refused);
        }
        if let Some(mut other) = self.requests.remove(&displaced) {
            out.push(Action::Log(self.note(
                Severity::Notable,
                "displaced",
                &other,
            )));
            other.refusal = Some(self.refuse_for_room(now, &other));
            self.advance(now, other, Signal::Refused, out);
        }
        None
    }

    // Returns what a request claims of the room of its service.
    fn claim(&self, now: Time, open: &OpenRequest) -> Option<Claim> {
        let terms = open.account.as_ref();
        let account = terms.map(|terms| terms.account.clone());
        let target = open.route.target_latency;
        let object = open.query.object.filter(|_| open.route.sticky);
        let prepared = object.is_none_or(|object| self.fleet.is_prepared(&open.service, object));
        let warmth = if prepared {
            Warmth::Known
        } else {
            Warmth::Likely
        };
        let service_times = &self.fleet.service_times;
        let work = service_times.expected(&open.route.name, millis(target), warmth);
        let line = self.queues.lines.get(&open.service);
        Some(Claim {
            id: open.query.id,
            account: account.or_else(|| NO_ACCOUNT.try_into().ok())?,
            weight: terms
                .and_then(|terms| terms.rate)
                .unwrap_or(NO_ACCOUNT_WEIGHT)
                .max(1.0),
            priority: open.priority(),
            since: line
                .and_then(|line| line.since(open.query.id))
                .unwrap_or(now),
            received: open.received,
            target,
            deadline: open.deadline,
            work: Duration::from_secs_f64(work / 1_000.0),
            running: self.fleet.running(&open.service),
            may_wait: self.objective_left(now, open).is_some(),
            returned: open.returned,
        })
    }

    /// Returns whether a request may wait although it has been sent to a server before.
    pub(crate) fn may_wait_again(&self, now: Time, open: &OpenRequest) -> bool {
        open.possible_runs == 0 && self.objective_left(now, open).is_some()
    }

    /// Returns the time left to the objective of a request that may wait beyond it.
    pub(crate) fn objective_left(&self, now: Time, open: &OpenRequest) -> Option<Duration> {
        let is_patient = self.bounds.long_waits
            && is_patient(open)
            && shortage::is_passing(self.fleet.utilization(&open.service));
        is_patient.then(|| (open.received + open.route.target_latency).since(now))
    }

    /// Creates the refusal of a request that gets no room.
    pub(crate) fn refuse_for_room(&mut self, now: Time, open: &OpenRequest) -> Refusal {
        let refusal = open.refusal_for(Reason::Overloaded);
        let delay = self.retry_after(now, open);
        if refusal.may_have_run {
            return refusal;
        }
        refusal.with_retry_after(delay)
    }

    /// Returns the retry delay for a request that found no room.
    pub(crate) fn retry_after(&mut self, now: Time, open: &OpenRequest) -> Duration {
        let draw = self.rng.random();
        let Some(claim) = self.claim(now, open) else {
            return Duration::ZERO;
        };
        let line = self.queues.line(&open.service);
        line.retry_after(now, &claim, open.query.signature, draw)
    }

    /// Returns whether a request comes back when its caller was told to.
    pub(crate) fn recognise(&mut self, now: Time, open: &OpenRequest) -> bool {
        let account = open.account.as_ref().map(|terms| terms.account.clone());
        let account = account.or_else(|| NO_ACCOUNT.try_into().ok());
        let line = self.queues.lines.get_mut(&open.service);
        let known = line.zip(account);
        known.is_some_and(|(line, account)| line.recognise(now, open.query.signature, &account))
    }

    /// Retries the waiting requests of all services.
    pub(crate) fn retry_all_waiting(&mut self, now: Time, out: &mut Vec<Action>) {
        let services: Vec<Service> = self.queues.lines.iter().map(|row| row.0.clone()).collect();
        for service in services {
            self.retry_line(now, &service, MAX_FAILED_AT_SWEEP, out);
        }
    }

    /// Retries the waiting requests of a service.
    ///
    /// A request that still finds no room doesn't block the next ones, which may
    /// concern other objects.
    pub(crate) fn retry_waiting(&mut self, now: Time, service: &Service, out: &mut Vec<Action>) {
        self.retry_line(now, service, MAX_FAILED_IN_ROW, out);
    }

    fn retry_line(&mut self, now: Time, service: &Service, most: usize, out: &mut Vec<Action>) {
        let Some(line) = self.queues.lines.get(service) else {
            return;
        };
        let mut failed = 0;
        for id in line.order(now).into_iter().take(MAX_RETRIED_AT_ONCE) {
            if failed >= most {
                return;
            }
            let Some(open) = self.requests.remove(&id) else {
                continue;
            };
            // Those that wait an eighth are few.
            let is_patient = self.objective_left(now, &open).is_some();
            self.advance(now, open, Signal::RoomFreed, out);
            let state = self.requests.get(&id).map(|open| open.state);
            failed = match state {
                Some(State::Sent) => 0,
                _ => failed + usize::from(is_patient),
            };
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
            if open.state == State::Waiting && self.keeps_place(now, &mut open) {
                self.requests.insert(id, open);
                continue;
            }
            let refusal = match open.state {
                State::Asking if open.may_ask(now) => None,
                State::Asking if now < open.deadline => Some(self.give_up_asking(now, &open)),
                State::Waiting => Some(self.refuse_for_room(now, &open)),
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

    // Extends the wait of a request that can't be in time any more if it may still be late.
    fn keeps_place(&mut self, now: Time, open: &mut OpenRequest) -> bool {
        if now >= open.deadline {
            return false;
        }
        let Some(claim) = self.claim(now, open) else {
            return false;
        };
        match self.queues.judge(now, &open.service, &claim) {
            Verdict::Wait(until) if until > now => {
                open.wait_until = Some(until);
                true
            }
            Verdict::Wait(_) | Verdict::Refuse => false,
        }
    }
}

fn is_patient(open: &OpenRequest) -> bool {
    let limit = open.deadline.since(open.received);
    shortage::is_patient(limit, open.route.target_latency)
}

fn rank_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Urgent => "urgent",
        Priority::Normal => "normal",
        Priority::Deferrable => "deferrable",
    }
}
