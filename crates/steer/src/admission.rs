//! The admission of a request: route, key, crashes and rate.

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Access;
use corianderway_model::Time;

use crate::event::Action;
use crate::event::Query;
use crate::note::Note;
use crate::note::Weight;
use crate::pace::Warmth;
use crate::plan::AccountTerms;
use crate::plan::Plan;
use crate::plan::Route;
use crate::quota::Grant;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::request::Open;
use crate::request::Signal;
use crate::request::State;
use crate::server::millis;
use crate::steer::Steer;

/// When a caller should come back to an instance that is not ready.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// When a caller should come back after its instance has begun to stop.
const STOPPING_RETRY: Duration = Duration::from_millis(50);

/// The time that a caller is given that names none, on a route without one.
const ALLOWED: Duration = Duration::from_secs(10);

/// What the admission of a request found.
struct Admitted {
    route: Arc<Route>,
    account: Option<Arc<AccountTerms>>,
    // Whether a token is still to be lent.
    unpaid: bool,
}

impl Steer {
    /// Takes a request of a caller.
    pub(crate) fn receive(&mut self, now: Time, query: Query, out: &mut Vec<Action>) {
        self.quotas.count();
        let admitted = match self.admit(now, &query) {
            Ok(admitted) => admitted,
            Err(refusal) => {
                self.turn_away(&query, refusal, out);
                return;
            }
        };
        let Admitted {
            route,
            account,
            unpaid,
        } = admitted;
        let allowed = query.allowed.unwrap_or(ALLOWED);
        let limit = route
            .timeout
            .map_or(allowed, |timeout| timeout.min(allowed));
        let service = self.splits.next(&route.name, &route.targets);
        let open = Open {
            service,
            state: State::Received,
            received: now,
            deadline: self
                .stop_end()
                .map_or(now + limit, |end| end.min(now + limit)),
            wait_until: None,
            lack: None,
            asks: 0,
            tried: Vec::new(),
            runs: 0,
            attempt: None,
            outcome: None,
            answered: false,
            refusal: None,
            query,
            route,
            account,
        };
        let signal = if unpaid {
            Signal::Unpaid
        } else {
            Signal::Admitted
        };
        self.advance(now, open, signal, out);
    }

    /// Counts an admitted request for the retry budget and the load of its service.
    pub(crate) fn count_in(&mut self, now: Time, open: &Open) {
        self.budget(&open.service).record_attempt(now);
        let objective = millis(open.route.objective);
        let paces = &self.fleet.paces;
        let work = paces.expect(&open.route.name, objective, Warmth::Known);
        self.workload.count(&open.service, work / 1_000.0);
    }

    fn admit(&mut self, now: Time, query: &Query) -> Result<Admitted, Refusal> {
        let Some(plan) = self.plan.clone().filter(|_| self.is_informed()) else {
            return Err(Refusal::not_run(Reason::NotReady).after(NOT_READY_RETRY));
        };
        let route = plan.route(&query.host, &query.path);
        let route = route.ok_or_else(|| self.unknown(Reason::UnknownRoute))?;
        if !self.may_begin(now, route) {
            return Err(Refusal::not_run(Reason::Stopping).after(STOPPING_RETRY));
        }
        let account = self.check_key(&plan, route, query)?;
        if self.crashes.condemns(query.signature) {
            return Err(Refusal::not_run(Reason::Quarantined));
        }
        let grant = account
            .as_ref()
            .map_or(Grant::Yes, |terms| self.quotas.admit(now, &terms.account));
        let unpaid = match grant {
            Grant::Yes => false,
            Grant::Ask => true,
            Grant::After(wait) => return Err(Refusal::not_run(Reason::OverRate).after(wait)),
        };
        Ok(Admitted {
            route: Arc::clone(route),
            account,
            unpaid,
        })
    }

    fn check_key(
        &self,
        plan: &Plan,
        route: &Route,
        query: &Query,
    ) -> Result<Option<Arc<AccountTerms>>, Refusal> {
        if route.access == Access::Open || !plan.is_keyed() {
            return Ok(None);
        }
        let holder = query.key.as_ref().and_then(|key| plan.holder(key));
        let holder = holder.ok_or_else(|| self.unknown(Reason::UnknownKey))?;
        Ok(Some(Arc::clone(holder)))
    }

    // An instance that may be behind can't say that something does not exist.
    fn unknown(&self, reason: Reason) -> Refusal {
        if self.is_behind() {
            Refusal::not_run(Reason::Behind).after(NOT_READY_RETRY)
        } else {
            Refusal::not_run(reason)
        }
    }

    fn turn_away(&self, query: &Query, refusal: Refusal, out: &mut Vec<Action>) {
        let mut note = Note::new(Weight::Notable, "refused")
            .about(&query.trace)
            .with("reason", refusal.reason.as_str())
            .with("status", refusal.status())
            .with("host", &query.host)
            .with("config", self.plan.as_ref().map_or(0, |p| p.version()));
        let plan = self.plan.as_ref();
        let key = query.key.as_ref();
        let holder = plan.and_then(|plan| plan.holder(key?));
        if let Some(terms) = holder {
            note = note
                .with("account", &terms.account)
                .with("quota", self.quotas.explain(&terms.account));
        }
        out.push(Action::Log(note));
        let id = query.id;
        out.push(Action::Refuse { id, refusal });
    }
}
