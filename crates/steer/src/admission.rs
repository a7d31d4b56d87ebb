//! Admission of a request: readiness, route, stop, key, quarantine and rate, in
//! this order.

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Access;
use corianderway_model::Time;

use crate::event::Action;
use crate::event::CallerRequest;
use crate::hash;
use crate::listing::Member;
use crate::note::Note;
use crate::note::Severity;
use crate::plan::AccountTerms;
use crate::plan::Plan;
use crate::plan::Route;
use crate::quota::RateCheck;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::request::OpenRequest;
use crate::request::Signal;
use crate::request::State;
use crate::server::millis;
use crate::service_time::Warmth;
use crate::steer::Steer;
use crate::suspect::Verdict;

/// Retry delay of a caller whose instance is not ready.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// Retry delay of a caller whose instance is stopping.
const STOPPING_RETRY: Duration = Duration::from_millis(50);

/// Timeout of a request for which neither caller nor route sets one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// The result of a successful admission.
struct Admitted {
    route: Arc<Route>,
    account: Option<Arc<AccountTerms>>,
    // Whether the relay must still lend a token.
    needs_token: bool,
    // Whether it is a trial of a quarantined signature.
    is_trial: bool,
}

impl Steer {
    /// Admits or refuses a caller's request.
    pub(crate) fn receive(&mut self, now: Time, query: CallerRequest, out: &mut Vec<Action>) {
        self.quotas.count();
        let admitted = match self.admit(now, &query) {
            Ok(admitted) => admitted,
            Err(refusal) => {
                self.refuse_at_admission(&query, refusal, out);
                return;
            }
        };
        let Admitted {
            route,
            account,
            needs_token,
            is_trial,
        } = admitted;
        let timeout = time_limit(&query, &route);
        let service = self.round_robin.next(&route.name, &route.targets);
        let mut open = OpenRequest {
            service,
            state: State::Received,
            received: now,
            deadline: self
                .stop_end()
                .map_or(now + timeout, |end| end.min(now + timeout)),
            wait_until: None,
            full_cause: None,
            returned: false,
            is_trial,
            token_requests: 0,
            tried: Vec::new(),
            possible_runs: 0,
            chosen: None,
            sent: Time::ZERO,
            attempt: None,
            outcome: None,
            answered: false,
            refusal: None,
            query,
            route,
            account,
        };
        open.returned = self.recognise(now, &open);
        if is_trial {
            let signature = open.query.signature;
            let rank = self.trial_rank(now, signature);
            self.crashes.begin_trial(now, signature, rank);
            self.urgent = true;
        }
        let signal = if needs_token {
            Signal::TokenNeeded
        } else {
            Signal::Admitted
        };
        self.advance(now, open, signal, out);
    }

    /// Counts an admitted request for the retry budget and the offered load of
    /// its service.
    pub(crate) fn count_admitted(&mut self, now: Time, open: &OpenRequest) {
        self.record_first_attempt(now, &open.service);
        // A caller that comes back offers the same work once.
        if open.returned {
            return;
        }
        let target_latency = millis(open.route.target_latency);
        let service_times = &self.fleet.service_times;
        let work = service_times.expected(&open.route.name, target_latency, Warmth::Known);
        self.workload.count(&open.service, work / 1_000.0);
    }

    fn admit(&mut self, now: Time, query: &CallerRequest) -> Result<Admitted, Refusal> {
        let Some(plan) = self.plan.clone().filter(|_| self.is_informed()) else {
            return Err(Refusal::not_run(Reason::NotReady).with_retry_after(NOT_READY_RETRY));
        };
        let route = plan.route(&query.host, &query.path);
        let route = route.ok_or_else(|| self.refuse_unknown(Reason::UnknownRoute))?;
        if !self.may_begin(now, route, time_limit(query, route)) {
            return Err(Refusal::not_run(Reason::Stopping).with_retry_after(STOPPING_RETRY));
        }
        let account = self.check_key(&plan, route, query)?;
        let rank = || self.trial_rank(now, query.signature);
        let verdict = self.crashes.verdict(now, query.signature, rank);
        if let Verdict::Refuse(wait) = verdict {
            let refusal = Refusal::not_run(Reason::Quarantined);
            return Err(wait.map_or(refusal, |wait| refusal.with_retry_after(wait)));
        }
        let check = account.as_ref().map_or(RateCheck::Passed, |terms| {
            self.quotas.admit(now, &terms.account)
        });
        let needs_token = match check {
            RateCheck::Passed => false,
            RateCheck::NeedsToken => true,
            RateCheck::RetryAfter(wait) => {
                return Err(Refusal::not_run(Reason::OverRate).with_retry_after(wait))
            }
        };
        Ok(Admitted {
            route: Arc::clone(route),
            account,
            needs_token,
            is_trial: verdict == Verdict::Try,
        })
    }

    // Returns the number of instances that should try a quarantined request before this one.
    fn trial_rank(&self, now: Time, signature: u64) -> u32 {
        let rank = |member: &Member| {
            let name = hash::of(member.entry.id.as_str().as_bytes());
            hash::rank(signature, name)
        };
        let own = rank(self.members.me());
        let others = self.members.serving(now);
        others.filter(|member| rank(member) > own).count() as u32
    }

    fn check_key(
        &self,
        plan: &Plan,
        route: &Route,
        query: &CallerRequest,
    ) -> Result<Option<Arc<AccountTerms>>, Refusal> {
        if route.access == Access::Open || !plan.is_keyed() {
            return Ok(None);
        }
        let holder = query.key.as_ref().and_then(|key| plan.key_account(key));
        let holder = holder.ok_or_else(|| self.refuse_unknown(Reason::UnknownKey))?;
        Ok(Some(Arc::clone(holder)))
    }

    // Refuses an unknown route or key. Without a current view of the store the
    // instance can't rule out that it exists, so the caller is told to retry.
    fn refuse_unknown(&self, reason: Reason) -> Refusal {
        if self.is_behind() {
            Refusal::not_run(Reason::Behind).with_retry_after(NOT_READY_RETRY)
        } else {
            Refusal::not_run(reason)
        }
    }

    fn refuse_at_admission(&self, query: &CallerRequest, refusal: Refusal, out: &mut Vec<Action>) {
        let mut note = Note::new(Severity::Notable, "refused")
            .for_request(&query.trace)
            .with("reason", refusal.reason.as_str())
            .with("status", refusal.status())
            .with("host", &query.host)
            .with("config", self.plan.as_ref().map_or(0, |p| p.version()));
        if refusal.reason == Reason::Quarantined {
            note = note.with("signature", format!("{:016x}", query.signature));
        }
        let plan = self.plan.as_ref();
        let key = query.key.as_ref();
        let holder = plan.and_then(|plan| plan.key_account(key?));
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

// Returns how long the caller and the route wait for the answer.
fn time_limit(query: &CallerRequest, route: &Route) -> Duration {
    let allowed = query.time_limit.unwrap_or(DEFAULT_TIMEOUT);
    route.timeout.map_or(allowed, |limit| limit.min(allowed))
}
