//! The state that an instance keeps for one backend server.
//!
//! Requests, health reports and load reports update the evidence and the load.
//! The guards and actions of `charts/server.yaml` read and change them, and the
//! weight follows from the chart's state.

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

/// Time in which the weight of a cold backend server grows to 1.
pub(crate) const RAMP_DURATION: Duration = Duration::from_secs(10);

// Weights of a cold backend server at the start of its ramp, and of a suspect one.
const INITIAL_WEIGHT: f64 = 0.1;
const SUSPECT_WEIGHT: f64 = 0.25;
// Bounds of the time that a backend server stays out of use after an ejection or a
// refused connection. It doubles with each hold until the server is warm again, and
// leaves time for a probe within the 15 s in which servers that return are used again.
const MIN_HOLD: Duration = Duration::from_secs(2);
const MAX_HOLD: Duration = Duration::from_secs(8);
// While the last success is newer than this, failing health reports are ignored.
const SUCCESS_TTL: Duration = Duration::from_secs(3);
// Gain of the moving average of failures.
const FAILURE_RATE_GAIN: f64 = 0.15;
// Failure rate above the pool's mean from which a backend server is suspect.
const SUSPECT_EXCESS: f64 = 0.3;
// Minimum failure rate for an ejection without failing health reports.
const EJECT_FAILURE_RATE: f64 = 0.55;
// Successive failing health reports that suffice for an ejection.
const EJECT_FAILING_REPORTS: u32 = 3;
// Gains of the moving average of latencies.
const LATENCY_RISE_GAIN: f64 = 0.3;
const LATENCY_FALL_GAIN: f64 = 0.1;
// Limit of one instance's requests in flight at a backend server, over its slots.
const MAX_OWN_PER_SLOT: f64 = 2.0;
// A load report above this multiple of the slots is reduced to it.
const MAX_REPORTED_PER_SLOT: f64 = 4.0;
// Half-life of the difference to the pool's mean latency, without new results.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(5);

/// The state that this instance keeps for one backend server.
#[derive(Clone, Debug)]
pub struct Server {
    pub(crate) backend: Backend,
    pub(crate) state: State,
    // Indices in `Fleet::groups` and `Group::pools`.
    pub(crate) group: u32,
    pub(crate) pool: u32,
    pub(crate) load: Load,
    pub(crate) weight: f64,
    // Moving average in seconds; zero when nothing was measured.
    pub(crate) latency: f64,
    // Successive instance lists that lack it.
    pub(crate) missed_lists: u32,
    pub(crate) is_absent: bool,
    pub(crate) last_listed: Time,
    // The time of the last success or failure.
    last_result: Time,
    // Moving average of requests, 0 for a success and 1 for a failure.
    pub(crate) failure_rate: f64,
    // Failing health reports since the last healthy one or the last success.
    failing_reports: u32,
    last_success: Option<Time>,
    ramp_start: Time,
    // The length of the next hold.
    next_hold: Duration,
    hold_until: Time,
    leave_announced: bool,
    connection_refused: bool,
}

/// What the rest of a backend server's pool contributes to its guards.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerStats {
    // Whether they can serve the pool's requests without it.
    pub(crate) can_spare: bool,
    // The mean of their failure rates.
    pub(crate) failure_rate: f64,
}

impl Server {
    pub(crate) fn new(backend: Backend, state: State, indices: (u32, u32), now: Time) -> Self {
        let (group, pool) = indices;
        let mut server = Self {
            backend,
            state,
            group,
            pool,
            load: Load::new(),
            weight: 0.0,
            latency: 0.0,
            missed_lists: 0,
            is_absent: false,
            last_listed: now,
            last_result: now,
            failure_rate: 0.0,
            failing_reports: 0,
            last_success: None,
            ramp_start: now,
            next_hold: MIN_HOLD,
            hold_until: now,
            leave_announced: false,
            connection_refused: false,
        };
        server.refresh(1.0, now);
        server
    }

    /// Returns the server as it was listed.
    pub fn backend(&self) -> &Backend {
        &self.backend
    }

    /// Returns the identity.
    pub fn id(&self) -> &ServerId {
        &self.backend.id
    }

    /// Returns the address that accepts requests.
    pub fn addr(&self) -> SocketAddr {
        self.backend.addr
    }

    /// Returns the service it runs.
    pub fn service(&self) -> &Service {
        &self.backend.service
    }

    /// Returns the version it runs.
    pub fn version(&self) -> &Version {
        &self.backend.version
    }

    /// Returns its region.
    pub fn region(&self) -> &Region {
        &self.backend.region
    }

    /// Returns its failure domain.
    pub fn domain(&self) -> &FailureDomain {
        &self.backend.domain
    }

    /// Returns its state in the server chart.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the number of this instance's requests in flight there.
    pub fn in_flight(&self) -> u32 {
        self.load.own
    }

    /// Returns its weight in the choice, 0 to 1; zero when it is out of use.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns the moving average of its latency in seconds, or zero when nothing
    /// was measured.
    pub fn latency(&self) -> f64 {
        self.latency
    }

    // Whether an entry of the instance list is the same backend server and not
    // another one that reuses its identity.
    pub(crate) fn is_same(&self, listed: &Backend) -> bool {
        let known = &self.backend;
        known.addr == listed.addr
            && known.service == listed.service
            && known.version == listed.version
            && known.region == listed.region
    }

    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.backend.slots.max(1))
    }

    // Requests in flight of all instances, with one more, over the weighted slots.
    pub(crate) fn utilization(&self) -> f64 {
        (self.load.total() + 1.0) / (self.slots() * self.weight)
    }

    // Whether this instance's own requests fill all slots and a queue as long.
    pub(crate) fn is_full(&self) -> bool {
        f64::from(self.load.own) >= MAX_OWN_PER_SLOT * self.slots()
    }

    pub(crate) fn satisfies(&self, guard: Guard, now: Time, peers: &PeerStats) -> bool {
        match guard {
            Guard::RecentSuccess => self.has_recent_success(now),
            Guard::Ejectable => peers.can_spare && self.is_ejectable(peers, now),
            Guard::Suspicious => self.excess(peers) >= SUSPECT_EXCESS || self.failing_reports > 0,
            Guard::Ramped => now.since(self.ramp_start) >= RAMP_DURATION,
            Guard::HoldActive => now < self.hold_until,
            Guard::LeaveAnnounced => self.leave_announced,
            Guard::ConnectionRefused => self.connection_refused,
            Guard::AbsentAndIdle => self.is_absent && self.load.own == 0,
        }
    }

    pub(crate) fn apply(&mut self, action: Action, now: Time) {
        match action {
            Action::StartHold => {
                self.hold_until = now + self.next_hold;
                self.next_hold = (self.next_hold * 2).min(MAX_HOLD);
            }
            Action::StartRamp => self.ramp_start = now,
            Action::ClearEvidence => {
                self.failure_rate = 0.0;
                self.failing_reports = 0;
            }
            Action::ResetHold => self.next_hold = MIN_HOLD,
            Action::RecordLeave => self.leave_announced = true,
            Action::RecordRefused => self.connection_refused = true,
            Action::ClearRefused => self.connection_refused = false,
        }
    }

    pub(crate) fn record_success(&mut self, latency: Duration, now: Time) {
        let sample = latency.as_secs_f64();
        let gain = match self.latency {
            known if known <= 0.0 => 1.0,
            known if sample > known => LATENCY_RISE_GAIN,
            _ => LATENCY_FALL_GAIN,
        };
        self.latency += gain * (sample - self.latency);
        self.failure_rate -= FAILURE_RATE_GAIN * self.failure_rate;
        self.failing_reports = 0;
        self.last_success = Some(now);
        self.last_result = now;
    }

    pub(crate) fn record_failure(&mut self, now: Time) {
        self.failure_rate += FAILURE_RATE_GAIN * (1.0 - self.failure_rate);
        self.last_result = now;
    }

    pub(crate) fn record_health(&mut self, healthy: bool, now: Time) {
        if healthy {
            self.failing_reports = 0;
        } else if !self.has_recent_success(now) {
            self.failing_reports += 1;
        }
    }

    pub(crate) fn record_load(&mut self, total: u32, now: Time) {
        let limit = MAX_REPORTED_PER_SLOT * self.slots();
        self.load.report(f64::from(total).min(limit), now);
    }

    // A backend server that sheds a request is full, whatever its load reports say.
    pub(crate) fn record_shed(&mut self, now: Time) {
        self.load.raise_to(MAX_OWN_PER_SLOT * self.slots(), now);
    }

    // Updates the values that depend on the time.
    pub(crate) fn refresh(&mut self, instances: f64, now: Time) {
        let slots = self.slots();
        self.load.refresh(instances, slots, now);
        self.weight = match self.state {
            State::Cold => {
                let progress =
                    now.since(self.ramp_start).as_secs_f64() / RAMP_DURATION.as_secs_f64();
                (INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * progress).min(1.0)
            }
            State::Warm => 1.0,
            State::Suspect => SUSPECT_WEIGHT,
            _ => 0.0,
        };
    }

    // Moves a latency that is no longer measured towards the pool's mean, so that
    // a backend server that was slow once gets requests again.
    pub(crate) fn decay_latency(&mut self, mean: f64, elapsed: Duration, now: Time) {
        if self.load.own == 0 && now.since(self.last_result) >= LATENCY_HALF_LIFE {
            let retained = decay(elapsed, LATENCY_HALF_LIFE);
            self.latency = mean + (self.latency - mean) * retained;
        }
    }

    fn has_recent_success(&self, now: Time) -> bool {
        self.last_success
            .is_some_and(|at| now.since(at) < SUCCESS_TTL)
    }

    fn is_ejectable(&self, peers: &PeerStats, now: Time) -> bool {
        let reports_failing =
            self.failing_reports >= EJECT_FAILING_REPORTS && !self.has_recent_success(now);
        let fails = self.failure_rate >= EJECT_FAILURE_RATE;
        fails && self.excess(peers) >= SUSPECT_EXCESS || reports_failing
    }

    // The failure rate above the mean of its peers. Failures that all of them share
    // are more likely caused by the requests.
    fn excess(&self, peers: &PeerStats) -> f64 {
        self.failure_rate - peers.failure_rate
    }
}
