//! A simulation of several instances with a logical clock and seeded faults.

#![allow(dead_code, reason = "each test uses a part of the driver")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use corianderway_limits::Action;
use corianderway_limits::Amount;
use corianderway_limits::Body;
use corianderway_limits::Bucket;
use corianderway_limits::Epoch;
use corianderway_limits::Event;
use corianderway_limits::Limit;
use corianderway_limits::Message;
use corianderway_limits::Outcome;
use corianderway_limits::Quota;
use corianderway_limits::Share;
use corianderway_limits::StoredEpoch;
use corianderway_limits::Timing;
use corianderway_limits::Tokens;
use corianderway_limits::Verdict;
use corianderway_model::Account;
use corianderway_model::InstanceId;
use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

pub const STEP_MS: u64 = 10;
const TICK_MS: u64 = 50;
/// The maximum relative error of a clock's rate.
const MAX_CLOCK_DRIFT: f64 = 0.002;

/// Returns the seed in `LIMITS_SEED`, or else the seeds from 1 to `count`.
pub fn seeds(count: u64) -> Vec<u64> {
    match std::env::var("LIMITS_SEED") {
        Ok(seed) => vec![seed.parse().expect("LIMITS_SEED is a number")],
        Err(_) => (1..=count).collect(),
    }
}

/// The faults to inject.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
    pub delay_ms: u64,
    /// The probabilities per second that one process pauses or dies, that the
    /// platform goes down, that one process is isolated, and that a partition
    /// begins.
    pub pause: f64,
    pub kill: f64,
    pub outage: f64,
    pub isolation: f64,
    pub partition: f64,
}

/// How a limit is divided between instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    #[default]
    Lent,
    /// Each instance always has an equal share.
    Even,
}

/// A defect of one mechanism, which the checks must detect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Defect {
    #[default]
    None,
    /// The clock of a paused process stops.
    FrozenClock,
    /// The leases of one address last too long.
    EndlessLease,
    /// Promises are sent in the name of processes that didn't give them.
    ForgedPromise,
    /// Loans last ten times as long as the lender assumes.
    LongLoan,
    /// A restarted process has the same id, so it handles messages for its
    /// predecessor.
    ReusedId,
}

/// A simulated instance.
#[derive(Debug)]
pub struct Node {
    pub id: InstanceId,
    pub quota: Quota,
    pub paused: bool,
    pub resume_ms: u64,
    pub reconnect_ms: u64,
    pub weight: f64,
    pub admitted: u64,
    pub refused: u64,
    inbox: Vec<Event>,
    even_bucket: Bucket,
    // Waiting requests: their deadline, and whether they are within the rate.
    waiting: Vec<(u64, bool)>,
    clock_offset: u64,
    clock_rate: f64,
    run: u64,
}

/// A simulated platform that stores one epoch.
#[derive(Debug, Default)]
pub struct Platform {
    pub restored_ms: u64,
    pub loses_answers: bool,
    pub stored: Option<StoredEpoch>,
    pub calls: u64,
}

/// The simulated instances, network and platform, and what the checks measure.
pub struct Fleet {
    pub ms: u64,
    pub rng: SmallRng,
    pub nodes: Vec<Node>,
    pub platform: Platform,
    /// A partition: instances with a lower index reach neither the others nor
    /// the platform until the given time.
    pub partition: (usize, u64),
    pub faults: Faults,
    pub defect: Defect,
    /// An unreachable platform drops writes silently, rather than refusing the
    /// connection.
    pub loses_writes: bool,
    pub policy: Policy,
    /// How long a refused request waits for retries.
    pub max_wait_ms: u64,
    pub timing: Timing,
    pub limit: Limit,
    pub amount: Amount,
    /// Additional limits. They take effect with a restart.
    pub extra_limits: Vec<(Limit, Amount)>,
    pub rate: f64,
    pub burst: f64,
    pub offered_rate: f64,
    /// Callers send nothing in the first half of each period of this length.
    pub idle_ms: u64,
    pub messages: u64,
    pub max_share: u64,
    pub max_level: f64,
    pub wrongly_refused: u64,
    // Requests admitted and refused by runs that have ended.
    ended_runs: (u64, u64),
    meter_level: f64,
    reference_tokens: f64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    live: Vec<InstanceId>,
}

impl Fleet {
    pub fn new(seed: u64, count: usize, rate: f64, burst: f64, timing: Timing) -> Self {
        let mut fleet = Self {
            ms: 0,
            rng: SmallRng::seed_from_u64(seed),
            nodes: vec![],
            platform: Platform::default(),
            partition: (0, 0),
            faults: Faults::default(),
            defect: Defect::None,
            loses_writes: false,
            policy: Policy::Lent,
            max_wait_ms: 0,
            timing,
            limit: Limit::Rate(Account::try_from("finder").unwrap()),
            amount: Amount::new(rate, burst),
            extra_limits: vec![],
            rate,
            burst,
            offered_rate: rate,
            idle_ms: 0,
            messages: 0,
            max_share: 0,
            max_level: 0.0,
            wrongly_refused: 0,
            ended_runs: (0, 0),
            meter_level: 0.0,
            reference_tokens: burst,
            queue: BinaryHeap::new(),
            events: vec![],
            live: vec![],
        };
        for index in 0..count {
            let node = fleet.start(index, 0);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn start(&mut self, index: usize, run: u64) -> Node {
        let name = if self.defect == Defect::ReusedId {
            0
        } else {
            run
        };
        let id = InstanceId::try_from(format!("entry-{index}.{name}")).unwrap();
        let mut timing = self.timing;
        if self.defect == Defect::EndlessLease && index == 0 {
            timing.lease = Duration::from_secs(100);
        }
        let mut node = Node {
            quota: Quota::new(id.clone(), timing, self.rng.random()),
            id,
            paused: false,
            resume_ms: 0,
            reconnect_ms: 0,
            weight: 1.0,
            admitted: 0,
            refused: 0,
            inbox: vec![],
            even_bucket: Bucket::default(),
            waiting: vec![],
            clock_offset: self.rng.random_range(0..1 << 40),
            clock_rate: self
                .rng
                .random_range(1.0 - MAX_CLOCK_DRIFT..1.0 + MAX_CLOCK_DRIFT),
            run,
        };
        let mut limits = self.extra_limits.clone();
        limits.push((self.limit.clone(), self.amount));
        let now = node.clock(self.ms);
        node.quota.step(now, Event::Limits(limits), &mut vec![]);
        node
    }

    /// Restarts all instances, with a defect.
    pub fn restart(&mut self, defect: Defect) {
        self.defect = defect;
        for index in 0..self.nodes.len() {
            self.kill(index);
        }
    }

    pub fn kill(&mut self, index: usize) {
        let run = self.nodes[index].run + 1;
        let weight = self.nodes[index].weight;
        self.ended_runs.0 += self.nodes[index].admitted;
        self.ended_runs.1 += self.nodes[index].refused;
        self.nodes[index] = self.start(index, run);
        self.nodes[index].weight = weight;
        // Its peers send it their list of live instances.
        self.schedule(index, 50, Event::Live(self.live.clone()));
    }

    pub fn pause(&mut self, index: usize, ms: u64) {
        self.nodes[index].paused = true;
        self.nodes[index].resume_ms = self.ms + ms;
    }

    pub fn isolate(&mut self, index: usize, ms: u64) {
        self.nodes[index].reconnect_ms = self.ms + ms;
    }

    pub fn outage(&mut self, ms: u64) {
        self.platform.restored_ms = self.ms + ms;
    }

    fn is_isolated(&self, index: usize) -> bool {
        self.ms < self.nodes[index].reconnect_ms
    }

    // The platform is on the other side of a partition.
    fn in_partition(&self, index: usize) -> bool {
        index < self.partition.0 && self.ms < self.partition.1
    }

    fn is_separated(&self, a: usize, b: usize) -> bool {
        self.is_isolated(a) || self.is_isolated(b) || self.in_partition(a) != self.in_partition(b)
    }

    fn reaches_platform(&self, index: usize) -> bool {
        self.platform_up() && !self.is_isolated(index) && !self.in_partition(index)
    }

    fn platform_up(&self) -> bool {
        self.ms >= self.platform.restored_ms
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.ms + span.as_millis() as u64;
        while self.ms < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.ms += STEP_MS;
        if self.ms.is_multiple_of(1000) {
            self.inject_faults();
            self.update_live();
        }
        self.deliver();
        for index in 0..self.nodes.len() {
            self.run_node(index);
        }
        self.offer_requests();
        if self.rng.random_bool(0.2) {
            self.record_max_share();
        }
    }

    fn inject_faults(&mut self) {
        let index = self.rng.random_range(0..self.nodes.len());
        let faults = self.faults;
        if self.rng.random_bool(faults.pause) && !self.nodes[index].paused {
            let ms = self.rng.random_range(100..30_000);
            self.pause(index, ms);
        }
        if self.rng.random_bool(faults.kill) {
            self.kill(index);
        }
        if self.rng.random_bool(faults.isolation) {
            self.nodes[index].reconnect_ms = self.ms + self.rng.random_range(100..20_000);
        }
        if self.rng.random_bool(faults.partition) {
            self.partition = (index, self.ms + self.rng.random_range(100..20_000));
        }
        if self.rng.random_bool(faults.outage) {
            self.platform.restored_ms = self.ms + self.rng.random_range(100..15_000);
        }
        self.platform.loses_answers = faults.outage > 0.0 && self.rng.random_bool(0.3);
    }

    // The list of live instances is one second old, and lacks paused and
    // unreachable instances.
    fn update_live(&mut self) {
        if !self.platform_up() {
            return;
        }
        let seen = |index: &usize| !self.nodes[*index].paused && self.reaches_platform(*index);
        let listed = (0..self.nodes.len()).filter(seen);
        let live = listed.map(|index| self.nodes[index].id.clone()).collect();
        let live = std::mem::replace(&mut self.live, live);
        for index in 0..self.nodes.len() {
            if self.reaches_platform(index) {
                self.schedule(index, 5, Event::Live(live.clone()));
            }
        }
    }

    fn schedule(&mut self, index: usize, delay: u64, event: Event) {
        self.queue
            .push(Reverse((self.ms + delay, self.events.len() as u64, index)));
        self.events.push(Some(event));
    }

    fn deliver(&mut self) {
        while self.queue.peek().is_some_and(|Reverse(p)| p.0 <= self.ms) {
            let Reverse((_, id, index)) = self.queue.pop().unwrap();
            let event = self.events[id as usize].take().unwrap();
            self.nodes[index].inbox.push(event);
        }
    }

    fn run_node(&mut self, index: usize) {
        let ms = self.ms;
        let node = &mut self.nodes[index];
        if node.paused && ms < node.resume_ms {
            if self.defect == Defect::FrozenClock {
                node.clock_offset = node.clock_offset.wrapping_sub(STEP_MS * 1_000_000);
            }
            return;
        }
        let resumed = std::mem::take(&mut node.paused);
        let now = node.clock(ms);
        let mut out = vec![];
        // A resumed process admits requests before it handles its messages.
        if resumed {
            return;
        }
        for event in std::mem::take(&mut node.inbox) {
            node.quota.step(now, event, &mut out);
        }
        if (ms / STEP_MS + index as u64).is_multiple_of(TICK_MS / STEP_MS) {
            node.quota.step(now, Event::Tick, &mut out);
        }
        for action in out {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Send(message) => self.send(index, message),
            Action::Read { nonce } => {
                let stored = self.platform.stored.clone();
                let answered = self.call(index);
                let event = if answered {
                    Event::ReadDone { nonce, stored }
                } else {
                    Event::ReadFailed { nonce }
                };
                let delay = self.rng.random_range(2..80);
                self.schedule(index, delay, event);
            }
            Action::Propose {
                nonce,
                expect,
                epoch,
            } => {
                let outcome = self.write(index, expect, epoch);
                let delay = self.rng.random_range(2..80);
                self.schedule(index, delay, Event::WriteDone { nonce, outcome });
            }
        }
    }

    fn call(&mut self, index: usize) -> bool {
        self.platform.calls += 1;
        let lost = self.platform.loses_answers && self.rng.random_bool(0.5);
        self.reaches_platform(index) && !lost
    }

    fn write(&mut self, index: usize, expect: Option<u64>, epoch: Epoch) -> Outcome {
        if !self.reaches_platform(index) {
            // A refused connection is reported; a dropped request is never
            // answered.
            return if self.loses_writes {
                Outcome::Unknown
            } else {
                Outcome::NotSent
            };
        }
        let version = self.platform.stored.as_ref().map(|s| s.version);
        let expected = version == expect;
        if expected {
            let version = version.unwrap_or(0) + 1;
            self.platform.stored = Some(StoredEpoch { version, epoch });
        }
        match (self.call(index), expected) {
            (false, _) => Outcome::Unknown,
            (true, true) => Outcome::Written(version.unwrap_or(0) + 1),
            (true, false) => Outcome::Conflict,
        }
    }

    fn send(&mut self, from: usize, mut message: Message) {
        self.messages += 1;
        let address_of = |id: &InstanceId| id.as_str().split('.').next().map(str::to_owned);
        let to = address_of(&message.to);
        let Some(index) = self.nodes.iter().position(|n| address_of(&n.id) == to) else {
            return;
        };
        if let Body::Prepare(query) = message.body {
            if self.defect == Defect::ForgedPromise {
                let (from, to) = (message.to, message.from);
                let body = Body::Promise(query);
                let index = self.nodes.iter().position(|n| n.id == to).unwrap();
                return self.schedule(index, 5, Event::Received(Message { from, to, body }));
            }
        }
        if let (Body::Grant(grants), Defect::LongLoan) = (&mut message.body, self.defect) {
            for grant in grants {
                grant.term *= 10;
            }
        }
        if self.is_separated(from, index) || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + u64::from(self.rng.random_bool(self.faults.duplication));
        for _ in 0..copies {
            let delay = self.rng.random_range(1..=1 + self.faults.delay_ms);
            self.schedule(index, delay, Event::Received(message.clone()));
        }
    }

    fn offer_requests(&mut self) {
        let total: f64 = self.nodes.iter().map(|n| n.weight).sum();
        let step = STEP_MS as f64 / 1000.0;
        self.meter_level = (self.meter_level - self.rate * step).max(0.0);
        self.reference_tokens = (self.reference_tokens + self.rate * step).min(self.burst);
        for index in 0..self.nodes.len() {
            self.retry_waiting(index);
        }
        if self.ms % self.idle_ms.max(1) < self.idle_ms / 2 {
            return;
        }
        for index in 0..self.nodes.len() {
            let mean = self.offered_rate * step * self.nodes[index].weight / total;
            let count = mean as u64 + u64::from(self.rng.random_bool(mean.fract()));
            for _ in 0..count {
                self.request(index);
            }
        }
    }

    fn request(&mut self, index: usize) {
        if self.nodes[index].paused {
            return;
        }
        let within = self.reference_tokens >= 1.0;
        self.reference_tokens -= f64::from(u8::from(within));
        if !self.try_admit(index, false) {
            let until = self.ms + self.max_wait_ms;
            self.nodes[index].waiting.push((until, within));
        }
    }

    // Retries waiting requests, and refuses those that have waited too long.
    fn retry_waiting(&mut self, index: usize) {
        if self.nodes[index].paused {
            return;
        }
        let waiting = std::mem::take(&mut self.nodes[index].waiting);
        let mut exhausted = false;
        for (until, within) in waiting {
            exhausted = exhausted || !self.try_admit(index, true);
            if !exhausted {
                continue;
            }
            if until > self.ms {
                self.nodes[index].waiting.push((until, within));
            } else {
                self.nodes[index].refused += 1;
                self.wrongly_refused += u64::from(within);
            }
        }
    }

    fn try_admit(&mut self, index: usize, is_retry: bool) -> bool {
        let (ms, count, node) = (self.ms, self.nodes.len() as u64, &mut self.nodes[index]);
        let now = node.clock(ms);
        let verdict = match (self.policy, is_retry) {
            (Policy::Lent, false) => node.quota.admit(now, &self.limit, Tokens::ONE),
            (Policy::Lent, true) => node.quota.retry(now, &self.limit, Tokens::ONE),
            (Policy::Even, _) => {
                let share = Share::from_ratio(1, count);
                if node.even_bucket.share() != share {
                    node.even_bucket.reconfigure(now, share, self.amount);
                }
                node.even_bucket.admit(now, Tokens::ONE)
            }
        };
        let admitted = verdict == Verdict::Admitted;
        if admitted {
            node.admitted += 1;
            self.meter_level += 1.0;
            self.max_level = self.max_level.max(self.meter_level);
        }
        admitted
    }

    /// The share that all running processes may use now.
    pub fn total_share(&mut self) -> u64 {
        let (ms, limit) = (self.ms, self.limit.clone());
        let running = self.nodes.iter_mut().filter(|n| !n.paused);
        running
            .map(|n| n.quota.limit_state(n.clock(ms), &limit).share.get())
            .sum()
    }

    pub fn share(&mut self, index: usize) -> u64 {
        let now = self.nodes[index].clock(self.ms);
        self.nodes[index]
            .quota
            .limit_state(now, &self.limit)
            .share
            .get()
    }

    fn record_max_share(&mut self) {
        self.max_share = self.max_share.max(self.total_share());
    }

    /// Whether shares were conserved and admissions stayed within the limit
    /// since the start.
    pub fn conserved(&self) -> bool {
        // A clock that runs fast fills its bucket too fast.
        let slack = 1.0 + self.rate * MAX_CLOCK_DRIFT * self.ms as f64 / 1000.0;
        self.max_share <= Share::WHOLE.get() && self.max_level <= self.burst + slack
    }

    /// Adds or removes the limit at one instance.
    pub fn set_limit(&mut self, index: usize, present: bool) {
        let limit = (self.limit.clone(), self.amount);
        let limits = if present { vec![limit] } else { vec![] };
        self.schedule(index, 0, Event::Limits(limits));
    }

    /// Sends one instance an operator's confirmation that the missing members
    /// have ended.
    pub fn confirm(&mut self) {
        let index = self.nodes.len() - 1;
        self.schedule(index, 5, Event::Confirmed);
    }

    pub fn refused(&self) -> u64 {
        self.ended_runs.1 + self.nodes.iter().map(|n| n.refused).sum::<u64>()
    }

    pub fn admitted(&self) -> u64 {
        self.ended_runs.0 + self.nodes.iter().map(|n| n.admitted).sum::<u64>()
    }
}

impl Node {
    pub fn clock(&self, ms: u64) -> Time {
        let run = (ms * 1_000_000) as f64 * self.clock_rate;
        Time::from_nanos((1 << 41) + self.clock_offset.wrapping_add(run as u64))
    }
}
