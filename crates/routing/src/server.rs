//! The record of one backend server: evidence, load and weight.

use std::net::SocketAddr;
use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::FailureDomain;
use corianderway_model::Region;
use corianderway_model::ServerId;
use corianderway_model::Service;
use corianderway_model::Time;
use corianderway_model::Version;

use crate::lifecycle::Action;
use crate::lifecycle::Guard;
use crate::lifecycle::State;
use crate::load::decay;
use crate::load::Load;

/// Time in which the weight of a cold backend server grows to one.
pub(crate) const RAMP: Duration = Duration::from_secs(10);

const FIRST_WEIGHT: f64 = 0.1;
const SUSPECT_WEIGHT: f64 = 0.25;
const FIRST_HOLD: Duration = Duration::from_secs(2);
const LONGEST_HOLD: Duration = Duration::from_mins(1);
// A success this recent outweighs failing health reports.
const VOUCH: Duration = Duration::from_secs(3);
const FAILURE_GAIN: f64 = 0.15;
const DOUBTFUL_EXCESS: f64 = 0.3;
const CONDEMNED_FAILURES: f64 = 0.55;
const CONDEMNED_REPORTS: u32 = 3;
const RISE_GAIN: f64 = 0.3;
const FALL_GAIN: f64 = 0.1;
// Requests of one instance at a backend server, over its slots.
const MOST_OWN: f64 = 2.0;
// A report counts up to this many times the slots.
const MOST_REPORTED: f64 = 4.0;
// After this time without an answer a latency counts half.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(5);

/// A backend server as this instance sees it.
#[derive(Clone, Debug)]
pub struct Server {
    pub(crate) backend: Backend,
    pub(crate) state: State,
    pub(crate) group: u32,
    pub(crate) pool: u32,
    pub(crate) load: Load,
    pub(crate) weight: f64,
    pub(crate) latency: f64,
    pub(crate) misses: u32,
    pub(crate) missing: bool,
    pub(crate) listed: Time,
    touched: Time,
    pub(crate) failures: f64,
    reports: u32,
    vouched: Option<Time>,
    ramp: Time,
    hold: Duration,
    until: Time,
    marked: bool,
    shut: bool,
}

/// The rest of a backend server's pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peers {
    // Whether they can carry the work without it.
    pub(crate) spare: bool,
    // The mean of their failures.
    pub(crate) failures: f64,
}

impl Server {
    pub(crate) fn new(backend: Backend, state: State, place: (u32, u32), now: Time) -> Self {
        let (group, pool) = place;
        let mut server = Self {
            backend,
            state,
            group,
            pool,
            load: Load::new(),
            weight: 0.0,
            latency: 0.0,
            misses: 0,
            missing: false,
            listed: now,
            touched: now,
            failures: 0.0,
            reports: 0,
            vouched: None,
            ramp: now,
            hold: FIRST_HOLD,
            until: now,
            marked: false,
            shut: false,
        };
        server.refresh(1.0, now);
        server
    }

    /// The identity.
    pub fn id(&self) -> &ServerId {
        &self.backend.id
    }

    /// Where it takes requests.
    pub fn addr(&self) -> SocketAddr {
        self.backend.addr
    }

    /// The service it runs.
    pub fn service(&self) -> &Service {
        &self.backend.service
    }

    /// The version it runs.
    pub fn version(&self) -> &Version {
        &self.backend.version
    }

    /// Its region.
    pub fn region(&self) -> &Region {
        &self.backend.region
    }

    /// Its failure domain.
    pub fn domain(&self) -> &FailureDomain {
        &self.backend.domain
    }

    /// What this instance thinks of it.
    pub fn state(&self) -> State {
        self.state
    }

    /// Requests of this instance in flight there.
    pub fn in_flight(&self) -> u32 {
        self.load.own
    }

    /// The part of full work that it gets, 0 to 1.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// The latency expected of it, in seconds; zero when nothing was measured.
    pub fn latency(&self) -> f64 {
        self.latency
    }

    // Whether a row of the instance list describes this run of it.
    pub(crate) fn is_same(&self, row: &Backend) -> bool {
        let known = &self.backend;
        known.addr == row.addr
            && known.service == row.service
            && known.version == row.version
            && known.region == row.region
    }

    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.backend.slots.max(1))
    }

    // Requests of all instances after one more, over the slots in use.
    pub(crate) fn fill(&self) -> f64 {
        (self.load.total() + 1.0) / (self.slots() * self.weight)
    }

    // Whether this instance alone fills every slot and a queue as long.
    pub(crate) fn is_full(&self) -> bool {
        f64::from(self.load.own) >= MOST_OWN * self.slots()
    }

    pub(crate) fn holds(&self, guard: Guard, now: Time, peers: &Peers) -> bool {
        match guard {
            Guard::Vouched => self.is_vouched(now),
            Guard::Condemned => peers.spare && self.is_condemned(peers, now),
            Guard::Doubtful => self.excess(peers) >= DOUBTFUL_EXCESS || self.reports > 0,
            Guard::Ramped => now.since(self.ramp) >= RAMP,
            Guard::Held => now < self.until,
            Guard::Marked => self.marked,
            Guard::Shut => self.shut,
            Guard::Departed => self.missing && self.load.own == 0,
        }
    }

    pub(crate) fn act(&mut self, action: Action, now: Time) {
        match action {
            Action::Hold => {
                self.until = now + self.hold;
                self.hold = (self.hold * 2).min(LONGEST_HOLD);
            }
            Action::Ramp => self.ramp = now,
            Action::Clear => {
                self.failures = 0.0;
                self.reports = 0;
            }
            Action::Forgive => self.hold = FIRST_HOLD,
            Action::Mark => self.marked = true,
            Action::Shut => self.shut = true,
            Action::Reopen => self.shut = false,
        }
    }

    pub(crate) fn note_success(&mut self, latency: Duration, now: Time) {
        let sample = latency.as_secs_f64();
        let gain = match self.latency {
            known if known <= 0.0 => 1.0,
            known if sample > known => RISE_GAIN,
            _ => FALL_GAIN,
        };
        self.latency += gain * (sample - self.latency);
        self.failures -= FAILURE_GAIN * self.failures;
        self.reports = 0;
        self.vouched = Some(now);
        self.touched = now;
    }

    pub(crate) fn note_failure(&mut self, now: Time) {
        self.failures += FAILURE_GAIN * (1.0 - self.failures);
        self.touched = now;
    }

    pub(crate) fn note_health(&mut self, healthy: bool, now: Time) {
        if healthy {
            self.reports = 0;
        } else if !self.is_vouched(now) {
            self.reports += 1;
        }
    }

    pub(crate) fn note_load(&mut self, total: u32, now: Time) {
        let most = MOST_REPORTED * self.slots();
        self.load.report(f64::from(total).min(most), now);
    }

    // A backend server that sheds is full, whatever its load reports say.
    pub(crate) fn note_shed(&mut self, now: Time) {
        self.load.raise(MOST_OWN * self.slots(), now);
    }

    // Brings the values that depend on the time up to date.
    pub(crate) fn refresh(&mut self, instances: f64, now: Time) {
        let slots = self.slots();
        self.load.refresh(instances, slots, now);
        self.weight = match self.state {
            State::Cold => {
                let part = now.since(self.ramp).as_secs_f64() / RAMP.as_secs_f64();
                (FIRST_WEIGHT + (1.0 - FIRST_WEIGHT) * part).min(1.0)
            }
            State::Warm => 1.0,
            State::Suspect => SUSPECT_WEIGHT,
            _ => 0.0,
        };
    }

    // Moves a latency that is no longer measured towards that of the pool, so
    // that a backend server which was slow once is tried again.
    pub(crate) fn forget(&mut self, mean: f64, step: Duration, now: Time) {
        if self.load.own == 0 && now.since(self.touched) >= LATENCY_HALF_LIFE {
            let kept = decay(step, LATENCY_HALF_LIFE);
            self.latency = mean + (self.latency - mean) * kept;
        }
    }

    fn is_vouched(&self, now: Time) -> bool {
        self.vouched.is_some_and(|at| now.since(at) < VOUCH)
    }

    fn is_condemned(&self, peers: &Peers, now: Time) -> bool {
        let told = self.reports >= CONDEMNED_REPORTS && !self.is_vouched(now);
        let fails = self.failures >= CONDEMNED_FAILURES;
        fails && self.excess(peers) >= DOUBTFUL_EXCESS || told
    }

    // Failures that its peers do not share; shared ones speak against the requests.
    fn excess(&self, peers: &Peers) -> f64 {
        self.failures - peers.failures
    }
}
