//! The start of an attempt: the choice of its backend server, and the sending.

use std::time::Duration;

use corianderway_model::ServerId;
use corianderway_model::Time;
use rand::Rng as _;

use crate::choice::Blocked;
use crate::choice::Choice;
use crate::choice::Criteria;
use crate::choice::FullCause;
use crate::event::Action;
use crate::note::Severity;
use crate::refusal::Reason;
use crate::request::Attempt;
use crate::request::OpenRequest;
use crate::request::Signal;
use crate::server::millis;
use crate::service_time::Warmth;
use crate::steer::Steer;
use crate::version_filter::VersionFilter;

/// Factor on the remaining time of the request that builds an object's state,
/// for which another request for the object waits.
const BUILD_WAIT_FACTOR: f64 = 1.5;

/// How long the choice of a backend server holds until the request is sent. What an instance
/// learns of the server meanwhile, such as that it leaves, reaches it later if it is behind
/// with its work. Opening a connection may take most of this time.
const CHOICE_VALIDITY: Duration = Duration::from_millis(800);

/// By how much the time to come back exceeds the servers' pause at the most, as a share of it,
/// so that callers don't come back at once.
const PAUSE_SPREAD: f64 = 0.5;

impl Steer {
    /// Chooses the backend server of the next attempt. Returns the event that follows.
    pub(crate) fn choose_next(&mut self, now: Time, open: &mut OpenRequest) -> Signal {
        let choice = match self.choose(now, open) {
            Ok(choice) => choice,
            Err(Blocked::Paused(span)) => {
                let delay = span.mul_f64(1.0 + self.rng.random::<f64>() * PAUSE_SPREAD);
                let refusal = open.refusal_for(Reason::Overloaded);
                open.refusal = Some(refusal.with_retry_after(delay));
                return Signal::Refused;
            }
            Err(blocked) => {
                let may_wait = open.tried.is_empty() || self.may_wait_again(now, open);
                return on_blocked(now, open, blocked, may_wait);
            }
        };
        let Some(server) = self.fleet.server(&choice.server) else {
            return on_blocked(now, open, Blocked::NoServer, false);
        };
        let addr = server.listed.backend.addr;
        let attempt = Attempt {
            server: choice.server.clone(),
            start: server.listed.incarnation(),
            version: server.listed.backend.version.clone(),
            choice,
        };
        open.chosen = Some((attempt, addr));
        Signal::Chosen
    }

    /// Sends the request to the chosen backend server. Returns the event that follows if there
    /// is none.
    pub(crate) fn forward(
        &mut self,
        now: Time,
        open: &mut OpenRequest,
        out: &mut Vec<Action>,
    ) -> Option<Signal> {
        let Some((attempt, addr)) = open.chosen.take() else {
            return Some(Signal::Failed);
        };
        self.queues.start(now, &open.service, open.query.id);
        let (id, choice, version) = (open.query.id, &attempt.choice, &attempt.version);
        self.shifts.count(now, choice.remote);
        self.moves.record_sent(&open.service, version);
        let object = open.query.object.filter(|_| open.route.sticky);
        let builds = object.filter(|_| matches!(choice.warmth, Warmth::Likely | Warmth::Unknown));
        self.fleet
            .begin(now, &choice.server, id, choice.expected(), builds);
        let target_latency = millis(open.route.target_latency);
        self.fleet
            .service_times
            .record_sent(now, &open.route.name, target_latency, choice.warmth);
        let note = self
            .note(Severity::Routine, "sent", open)
            .with("attempt", open.tried.len() + 1)
            .with("object", object.map_or(0, |hash| hash as u32))
            .with("server", &choice.server)
            .with("version", version)
            .with("choice", choice)
            .with("left_ms", open.time_left(now).as_millis());
        out.push(Action::Log(note));
        open.tried.push(choice.server.clone());
        out.push(Action::Forward {
            id,
            server: choice.server.clone(),
            addr,
            account: open.account.as_ref().map(|terms| terms.account.clone()),
            deadline: open.deadline,
            begin_by: now + CHOICE_VALIDITY,
            once: !open.is_idempotent(),
        });
        open.attempt = Some(attempt);
        self.count_sent(now, open);
        None
    }

    /// Recalls the requests that were sent to a server and may not have reached it.
    pub(crate) fn recall(&self, server: &ServerId, out: &mut Vec<Action>) {
        let attempts = self.requests.iter().filter_map(|(id, open)| {
            let attempt = open.attempt.as_ref()?;
            (attempt.server == *server).then_some(*id)
        });
        out.extend(attempts.map(Action::Recall));
    }

    fn choose(&mut self, now: Time, open: &OpenRequest) -> Result<Choice, Blocked> {
        let object = open.query.object.filter(|_| open.route.sticky);
        let fleet = &self.fleet;
        // Without a usual time of the route, no answer can be compared.
        let measured = fleet.service_times.is_measured(&open.route.name);
        let comparable = |version: &_| match object {
            _ if !measured => Some(false),
            object => object.map(|object| fleet.has_object(&open.service, version, object)),
        };
        let draw = self.rng.random();
        // One that waits long is drawn once, or the version that has room would get it in the
        // end, whatever its share.
        let waits = self.queues.waits(&open.service, open.query.id);
        let version_filter = if waits && self.objective_left(now, open).is_some() {
            self.moves.later_filter(now, &open.service, draw)
        } else {
            self.moves
                .version_filter(now, &open.service, draw, comparable)
        };
        let first = self.choose_within(now, open, &version_filter);
        let fallback = self.moves.fallback(now, &open.service, &version_filter);
        match (first, fallback) {
            (Err(_), Some(version_filter)) => self.choose_within(now, open, &version_filter),
            (first, _) => first,
        }
    }

    fn choose_within(
        &mut self,
        now: Time,
        open: &OpenRequest,
        version_filter: &VersionFilter,
    ) -> Result<Choice, Blocked> {
        let region_rule = self.shifts.region_rule(now);
        let account = open.account.as_ref();
        let criteria = Criteria {
            route: &open.route,
            servers: self.fleet.servers_of(&open.service),
            object: open.query.object.filter(|_| open.route.sticky),
            tried: &open.tried,
            regions: [
                &open.route.regions,
                account.map_or(&[], |terms| terms.regions.as_slice()),
            ],
            version_filter,
            placement: self.fleet.placement(&open.service),
            time_left: open.time_left(now),
            region_rule,
            objective_left: self.objective_left(now, open),
            deferred: self.queues.is_deferred(now, &open.service, open.query.id),
            draw: self.rng.random(),
        };
        self.fleet.choose(now, &criteria)
    }
}

// Returns the event that follows when no backend server is chosen, and sets the
// wait or the refusal.
fn on_blocked(now: Time, open: &mut OpenRequest, blocked: Blocked, may_wait: bool) -> Signal {
    let reason = match blocked {
        Blocked::Building(span) => {
            // Waiting for the state gives a faster answer than building it at
            // another server.
            let until = (now + span.mul_f64(BUILD_WAIT_FACTOR)).min(open.deadline);
            open.wait_until = open.wait_until.max(Some(until));
            open.full_cause = Some(FullCause::NotCached);
            return Signal::Full;
        }
        Blocked::Full(cause) => {
            open.full_cause = Some(cause);
            if may_wait {
                return Signal::Full;
            }
            Reason::Overloaded
        }
        Blocked::Paused(_) => Reason::Overloaded,
        Blocked::NoServer => Reason::NoServer,
        Blocked::TooLate => Reason::TimedOut,
    };
    open.refusal = Some(open.refusal_for(reason));
    Signal::Refused
}
