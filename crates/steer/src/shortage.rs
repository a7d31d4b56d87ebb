//! Which requests wait when a service has too little room, for how long, and in which
//! order they start.
//!
//! A [`Line`] measures how fast its requests start. A request waits while that leaves time
//! for its work; the one whose delay loses most worth for each slot-second starts first.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::time::Duration;

use corianderway_model::Account;
use corianderway_model::SortedMap;
use corianderway_model::Time;

use crate::claim::Claim;
use crate::claim::ClaimChart;
use crate::claim::Effect;
use crate::claim::Guard;
use crate::claim::Kind;
use crate::claim::Signal;
use crate::claim::StartRate;
use crate::claim::State;
use crate::event::RequestId;

/// Maximum number of requests that wait for one service.
const MAX_WAITING: usize = 256;

/// Retry delay where no rate of starts is known, as a share of the route's target latency.
const RETRY_SHARE: f64 = 0.25;

/// Maximum retry delay, as a share of the time left: callers honour no longer one.
const MAX_RETRY_SHARE: f64 = 0.3;

/// By how much a retry delay exceeds the expected time at the most, as a share of it.
const RETRY_SPREAD: f64 = 0.5;

/// Time limit from which on a request may wait by expectation, in target latencies.
const PATIENT_LIMIT: u32 = 4;

/// Utilization of a region up to which its shortages pass. Beyond it those that wait long take
/// the room of later ones that could be in time.
const PASSING_UTILIZATION: f64 = 0.85;

/// Factor on the expected wait that must fit into the time left.
const WAIT_MARGIN: f64 = 2.0;

/// Maximum wait by the expectation to be in time, as a share of the target latency: the work
/// may take longer than expected.
const MAX_IN_TIME_WAIT_SHARE: f64 = 0.25;

/// Requests that may wait at once to find out whether late ones start.
const MAX_TRIALS: usize = 8;

/// Time without trials after one that failed; each further one doubles it.
const TRIAL_PAUSE: Duration = Duration::from_secs(2);

/// Largest number of doublings.
const MAX_TRIAL_DOUBLINGS: u32 = 3;

/// Each so many starts one goes to the request that has waited longest, of those that can be
/// in time and are not of the highest priority if there are any.
const STARTS_PER_OLDEST: u64 = 5;

/// Requests by which an account may be served ahead of its share.
const MAX_LEAD_REQUESTS: f64 = 2.0;

/// Maximum number of callers that are expected to come back.
const MAX_RETURNS: usize = 512;

/// How long after its delay a caller that comes back is recognised.
const RETURN_WINDOW: Duration = Duration::from_secs(1);

/// What happens to a request that finds no room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Verdict {
    /// It waits until then at the latest.
    Wait(Time),
    /// It can't start in time.
    Refuse,
}

/// When a request is expected to start.
#[derive(Clone, Copy, Debug)]
struct Outlook {
    // The expected start with a margin, if it is early enough.
    start: Option<Time>,
    hopeless: bool,
    trial_end: Time,
}

/// A caller that was told to come back.
#[derive(Clone, Debug)]
struct Return {
    due: Time,
    signature: u64,
    account: Account,
}

/// The requests of one service that wait for room at an instance.
#[derive(Debug, Default)]
pub(crate) struct Line {
    claims: Vec<Claim>,
    states: SortedMap<RequestId, State>,
    // Slot time that accounts have had, over their rates; sorted by account.
    shares: SortedMap<Account, f64>,
    // The share below which no account counts, so that room that nobody else wanted is
    // forgotten.
    floor: f64,
    in_time: StartRate,
    late: StartRate,
    // Until when nothing is tried, and the number of trials in a row that failed.
    trial_pause: (Time, u32),
    starts: u64,
    returns: Vec<Return>,
}

impl Line {
    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns since when a request waits.
    pub(crate) fn since(&self, id: RequestId) -> Option<Time> {
        let claim = self.claims.iter().find(|claim| claim.id == id)?;
        Some(claim.since)
    }

    /// Decides on a request that finds no room. One that waits already is judged again.
    pub(crate) fn judge(&mut self, chart: &ClaimChart, now: Time, claim: &Claim) -> Verdict {
        let known = self.states.get(&claim.id).copied();
        let state = known.unwrap_or(chart.initial());
        let outlook = self.outlook(now, claim, state);
        let blind = claim.blind_until();
        let step = chart.step(state, Signal::Judged, |guard| match guard {
            Guard::Fits => outlook.start.is_some(),
            Guard::Hopeless => outlook.hopeless,
            Guard::MayTry => claim.may_wait && now < outlook.trial_end && self.may_try(now),
            Guard::InTrial => now < outlook.trial_end,
            Guard::IsShort => now < blind,
        });
        for effect in step.actions {
            match effect {
                Effect::FailTrial => self.fail_trial(now),
            }
        }
        let until = match step.to {
            State::Expected => outlook.start.unwrap_or(now).max(blind),
            State::Trial => outlook.trial_end,
            State::Blind => blind,
            State::Refused => {
                self.remove(claim.id);
                return Verdict::Refuse;
            }
        };
        if known.is_none() {
            self.claims.push(claim.clone());
        }
        self.states.insert(claim.id, step.to);
        Verdict::Wait(until)
    }

    /// Removes and returns the request that costs least to refuse, if too many wait.
    pub(crate) fn displaced(&mut self, now: Time) -> Option<RequestId> {
        if self.claims.len() <= MAX_WAITING {
            return None;
        }
        let last = *self.order(now).last()?;
        self.remove(last);
        Some(last)
    }

    /// Returns the waiting requests, the next to start first.
    pub(crate) fn order(&self, now: Time) -> Vec<RequestId> {
        let least = self.least_share();
        let rows = self.claims.iter().map(|claim| {
            let last = claim.latest(claim.kind(now));
            let ties = (Reverse(claim.returned), last, claim.id);
            (self.is_ahead(claim, least), claim.worth_rate(now), ties)
        });
        let mut rows: Vec<_> = rows.collect();
        rows.sort_by(|a, b| {
            (a.0.cmp(&b.0))
                .then(b.1.total_cmp(&a.1))
                .then(a.2.cmp(&b.2))
        });
        let mut ids: Vec<RequestId> = rows.iter().map(|row| row.2 .2).collect();
        if (self.starts + 1).is_multiple_of(STARTS_PER_OLDEST) {
            let highest = self.claims.iter().map(|claim| claim.priority).min();
            let is_highest = |claim: &Claim| Some(claim.priority) == highest;
            let is_late = |claim: &Claim| claim.kind(now) == Kind::Late;
            let key = |claim: &&Claim| (is_late(claim), is_highest(claim), claim.since);
            let oldest = self.claims.iter().min_by_key(key);
            let at = oldest.and_then(|oldest| ids.iter().position(|id| *id == oldest.id));
            ids[..at.map_or(0, |at| at + 1)].rotate_right(usize::from(at.is_some()));
        }
        ids
    }

    /// Returns whether a waiting request may take only room that others leave idle: it is late,
    /// and its caller may still come back.
    pub(crate) fn is_deferred(&self, now: Time, id: RequestId) -> bool {
        let claim = self.claims.iter().find(|claim| claim.id == id);
        claim
            .is_some_and(|claim| claim.may_wait && !claim.returned && claim.kind(now) == Kind::Late)
    }

    /// Records that a request was sent to a server.
    pub(crate) fn start(&mut self, now: Time, id: RequestId) {
        let Some(at) = self.claims.iter().position(|claim| claim.id == id) else {
            return;
        };
        self.floor = self.least_share();
        let claim = self.claims.swap_remove(at);
        self.states.remove(&id);
        self.starts += 1;
        match claim.kind(now) {
            Kind::InTime => self.in_time.record(now),
            Kind::Late => {
                self.late.record(now);
                self.trial_pause = (now, 0);
            }
        }
        let share = self.share(&claim.account) + claim.work.as_secs_f64() / claim.weight;
        self.shares.insert(claim.account, share);
        let floor = self.floor;
        self.shares.retain(|_, share| *share > floor);
    }

    /// Removes a request that no longer waits.
    pub(crate) fn remove(&mut self, id: RequestId) {
        if self.states.remove(&id).is_some() {
            self.claims.retain(|claim| claim.id != id);
        }
    }

    /// Returns when the caller of a refused request should come back, and expects it then.
    ///
    /// `draw`, from 0 to 1, spreads the returns. Those that were told earlier are ahead.
    pub(crate) fn retry_after(
        &mut self,
        now: Time,
        claim: &Claim,
        signature: u64,
        draw: f64,
    ) -> Duration {
        let blind = claim.target.mul_f64(RETRY_SHARE);
        // Where a shortage lasts, a later return is no better and can't be in time.
        if !claim.may_wait {
            return blind;
        }
        self.returns.retain(|told| now < told.due + RETURN_WINDOW);
        let due = self.returns.iter().filter(|told| now < told.due).count();
        let starts = self.in_time.plus(self.late, now);
        let expected = starts.time_for(now, self.claims.len() + due + 1);
        let most = claim.deadline.since(now).mul_f64(MAX_RETRY_SHARE);
        let spread = 1.0 + draw * RETRY_SPREAD;
        let delay = expected.unwrap_or(blind).max(blind).mul_f64(spread);
        // The cap is spread too, or all that reach it would come back at once.
        let delay = delay.min(most.mul_f64(spread / (1.0 + RETRY_SPREAD)));
        if self.returns.len() < MAX_RETURNS {
            self.returns.push(Return {
                due: now + delay,
                signature,
                account: claim.account.clone(),
            });
        }
        delay
    }

    /// Returns whether a request comes back when it was told to; it does so only once.
    pub(crate) fn recognise(&mut self, now: Time, signature: u64, account: &Account) -> bool {
        let at = self.returns.iter().position(|told| {
            told.signature == signature
                && told.account == *account
                && told.due <= now
                && now < told.due + RETURN_WINDOW
        });
        at.map(|at| self.returns.swap_remove(at)).is_some()
    }

    /// Returns the state of the line, for the log.
    pub(crate) fn explain(&self, now: Time) -> String {
        format!(
            "waiting:{}/in-time:{:.1}/late:{:.1}/returns:{}",
            self.claims.len(),
            self.in_time.weight(now),
            self.late.weight(now),
            self.returns.len(),
        )
    }

    fn outlook(&self, now: Time, claim: &Claim, state: State) -> Outlook {
        let latest = claim.latest(Kind::Late);
        let mut outlook = Outlook {
            start: None,
            hopeless: false,
            trial_end: (claim.since + claim.target).min(latest),
        };
        if !claim.may_wait {
            return outlook;
        }
        // One that was expected to start keeps its place while it still can.
        let margin = match state {
            State::Expected => 1.0,
            State::Blind | State::Trial | State::Refused => WAIT_MARGIN,
        };
        let count = self.ahead(now, claim) + 1;
        let late = self.late.time_for(now, count);
        outlook.start = late.and_then(|span| fitting(now, span.mul_f64(margin), latest));
        // It could not even start in half of the expected time.
        outlook.hopeless = late.is_some_and(|span| now + span.mul_f64(0.5) > latest);
        if claim.kind(now) == Kind::InTime {
            let measured = self.in_time.time_for(now, count);
            let expected = measured.or_else(|| claim.time_by_ends(count));
            let most = claim.since + claim.target.mul_f64(MAX_IN_TIME_WAIT_SHARE);
            let latest = claim.latest(Kind::InTime).min(most);
            let start = expected.and_then(|span| fitting(now, span.mul_f64(margin), latest));
            outlook.start = start.or(outlook.start);
        }
        outlook
    }

    // Returns whether a further request may wait to find out whether late ones start.
    fn may_try(&self, now: Time) -> bool {
        let trials = self.states.iter().filter(|row| *row.1 == State::Trial);
        now >= self.trial_pause.0 && trials.count() < MAX_TRIALS
    }

    // Several that began together fail as one.
    fn fail_trial(&mut self, now: Time) {
        let (until, failures) = self.trial_pause;
        if now >= until {
            let span = TRIAL_PAUSE * 2_u32.pow(failures.min(MAX_TRIAL_DOUBLINGS));
            self.trial_pause = (now + span, failures + 1);
        }
    }

    // Returns the number of requests that start before this one.
    fn ahead(&self, now: Time, claim: &Claim) -> usize {
        let least = self.least_share();
        let own = (self.is_ahead(claim, least), claim.worth_rate(now));
        let last = claim.latest(claim.kind(now));
        let before = |other: &&Claim| {
            let order = self.is_ahead(other, least).cmp(&own.0);
            let order = order.then(own.1.total_cmp(&other.worth_rate(now)));
            let order = order.then(other.latest(other.kind(now)).cmp(&last));
            other.id != claim.id && order == Ordering::Less
        };
        self.claims.iter().filter(before).count()
    }

    // Returns whether the account has been served much more than the others that wait.
    fn is_ahead(&self, claim: &Claim, least: f64) -> bool {
        let lead = self.share(&claim.account) - least;
        lead > MAX_LEAD_REQUESTS * claim.work.as_secs_f64() / claim.weight
    }

    fn share(&self, account: &Account) -> f64 {
        let share = self.shares.get(account).copied();
        share.map_or(self.floor, |share| share.max(self.floor))
    }

    // Returns the smallest share of an account that waits.
    fn least_share(&self) -> f64 {
        let shares = self.claims.iter().map(|claim| self.share(&claim.account));
        shares.reduce(f64::min).unwrap_or(self.floor)
    }
}

/// Returns whether a time limit leaves room to wait beyond the target latency.
pub(crate) fn is_patient(limit: Duration, target: Duration) -> bool {
    limit >= target * PATIENT_LIMIT
}

/// Returns whether shortages pass in a region that is utilized by its callers to this share.
pub(crate) fn is_passing(utilization: f64) -> bool {
    utilization < PASSING_UTILIZATION
}

// Returns the end of the span if it is no later than `latest`.
fn fitting(now: Time, span: Duration, latest: Time) -> Option<Time> {
    (now + span <= latest).then_some(now + span)
}
