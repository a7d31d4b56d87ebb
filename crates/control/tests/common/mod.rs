//! A simulation of a fleet under a logical clock, with network and store faults.
#![allow(dead_code, reason = "each test uses only some of the simulation")]

pub mod store;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use corianderway_control::Action;
use corianderway_control::Control;
use corianderway_control::Event;
use corianderway_control::Object;
use corianderway_control::PeerMessage;
use corianderway_control::WatchEvent;
use corianderway_model::Entry;
use corianderway_model::FailureDomain;
use corianderway_model::InstanceId;
use corianderway_model::Presence;
use corianderway_model::Region;
use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use self::store::Call;
use self::store::Store;

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const REGION_DELAY: Duration = Duration::from_millis(1);
const INTER_REGION_DELAY: Duration = Duration::from_millis(35);

/// Returns the seeds of a randomized test: the one in `CONTROL_SEED`, or 1 to `count`.
pub fn seeds(count: u64) -> Vec<u64> {
    let given = std::env::var("CONTROL_SEED").ok();
    let given = given.and_then(|text| text.parse().ok());
    given.map_or_else(|| (1..=count).collect(), |seed| vec![seed])
}

/// One instance of the fleet, with the counters of its traffic.
pub struct Node {
    pub control: Control,
    pub entry: Entry,
    pub paused: bool,
    /// What fell due while the instance was paused.
    pub deferred: Vec<Task>,
    pub sent: u64,
    pub bytes: u64,
    pub received: u64,
    pub calls: u64,
    /// The time spent in steps so far, by the wall clock.
    pub step_time: Duration,
    pub rejected: u64,
}

/// What happens at a scheduled time.
#[derive(Clone, Debug)]
pub enum Task {
    Tick(InstanceId),
    Deliver(InstanceId, Event),
    Call(InstanceId, Call),
    /// The end of a watch that is held open, by its number in the store.
    Release(u64),
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The fraction of messages that are lost.
    pub lost: f64,
    /// The fraction of messages that are delivered a second time, up to 3 s later.
    pub duplicated: f64,
    /// The fraction of messages and store calls that are delayed by up to 10 s.
    pub delayed: f64,
}

/// A simulated fleet with its platform store.
///
/// Instances are addressed by an index, which also determines their region.
pub struct Fleet {
    pub now: Time,
    pub nodes: Vec<Option<Node>>,
    pub store: Store,
    pub faults: Faults,
    /// The pairs of regions that can't reach each other; the store is in region 0.
    pub partitions: Vec<(usize, usize)>,
    pub regions: usize,
    pub rng: SmallRng,
    start_count: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<Queued>>,
}

// The number keeps tasks of the same time in the order of their scheduling.
struct Queued(Time, u64, Task);

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Returns whether an object is valid; the text of an invalid one starts with `bad`.
pub fn is_valid(object: &Object) -> bool {
    object.text().is_none_or(|text| !text.starts_with("bad"))
}

impl Fleet {
    pub fn new(seed: u64, nodes: usize, regions: usize) -> Self {
        let mut fleet = Self {
            now: Time::ZERO,
            nodes: Vec::new(),
            store: Store::default(),
            faults: Faults::default(),
            partitions: Vec::new(),
            regions,
            rng: SmallRng::seed_from_u64(seed),
            start_count: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
        };
        for _ in 0..nodes {
            fleet.nodes.push(None);
        }
        for at in 0..nodes {
            fleet.start(at);
        }
        for at in 0..nodes {
            fleet.list_instances(at);
        }
        fleet
    }

    pub fn region(&self, at: usize) -> usize {
        at % self.regions
    }

    pub fn node(&self, at: usize) -> &Node {
        self.nodes[at].as_ref().expect("running")
    }

    pub fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().flatten()
    }

    /// Starts an instance at an index, under a new identity.
    pub fn start(&mut self, at: usize) {
        self.start_count += 1;
        let entry = self.entry(at, self.start_count);
        let seed = self.rng.random();
        let id = entry.id.clone();
        self.nodes[at] = Some(Node {
            control: Control::new(entry.clone(), seed, is_valid),
            entry,
            paused: false,
            deferred: Vec::new(),
            sent: 0,
            bytes: 0,
            received: 0,
            calls: 0,
            step_time: Duration::ZERO,
            rejected: 0,
        });
        let offset = self.rng.random_range(0..100);
        self.push(Duration::from_millis(offset), Task::Tick(id));
    }

    /// Sends an instance the platform's list of instances.
    pub fn list_instances(&mut self, at: usize) {
        let entries = self.running().map(|n| n.entry.clone()).collect();
        self.step(at, Event::Listed(entries));
    }

    pub fn stop(&mut self, at: usize) {
        self.nodes[at] = None;
    }

    /// Stops an instance and starts another one at its index.
    pub fn replace(&mut self, at: usize) {
        self.stop(at);
        self.start(at);
        self.list_instances(at);
    }

    pub fn pause(&mut self, at: usize) {
        if let Some(node) = &mut self.nodes[at] {
            node.paused = true;
        }
    }

    pub fn resume(&mut self, at: usize) {
        let Some(node) = &mut self.nodes[at] else {
            return;
        };
        node.paused = false;
        for task in std::mem::take(&mut node.deferred) {
            self.push(Duration::ZERO, task);
        }
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.0 > end {
                break;
            }
            let Some(Reverse(Queued(at, _, task))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.handle(task);
        }
        self.now = end;
    }

    /// Runs until a condition holds. Returns the time that it took, or none if
    /// the deadline passed first.
    pub fn run_until(
        &mut self,
        deadline: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < deadline {
            if holds(self) {
                return Some(self.now.since(start));
            }
            self.run_for(TICK_INTERVAL);
        }
        None
    }

    pub fn step(&mut self, at: usize, event: Event) {
        let Some(node) = &mut self.nodes[at] else {
            return;
        };
        let mut out = Vec::new();
        let begin = Instant::now();
        node.control.step(self.now, event, &mut out);
        node.step_time += begin.elapsed();
        for action in out {
            self.perform(at, action);
        }
    }

    fn handle(&mut self, task: Task) {
        let (id, event) = match &task {
            Task::Release(waiter) => return self.release(*waiter),
            Task::Call(id, call) => return self.call(id.clone(), call.clone()),
            Task::Tick(id) => (id, Event::Tick),
            Task::Deliver(id, event) => (id, event.clone()),
        };
        let Some(at) = self.find(id) else { return };
        let node = self.nodes[at].as_mut().expect("running");
        if node.paused {
            node.deferred.push(task);
            return;
        }
        if let Task::Tick(id) = &task {
            let id = id.clone();
            self.push(TICK_INTERVAL, Task::Tick(id));
        } else {
            node.received += 1;
        }
        self.step(at, event);
    }

    fn perform(&mut self, at: usize, action: Action) {
        let id = self.node(at).entry.id.clone();
        match action {
            Action::Send { to, message } => self.send(at, to, message),
            Action::List { call } => self.send_call(at, Call::List { call }),
            Action::Watch { call, after } => self.send_call(at, Call::Watch { call, after }),
            Action::Restore { object, stored } => {
                self.send_call(at, Call::Write { object, stored });
            }
            Action::Rejected(_) => self.nodes[at].as_mut().expect("running").rejected += 1,
            Action::Apply(_) | Action::MembersChanged => drop(id),
        }
    }

    fn send(&mut self, at: usize, to: InstanceId, message: PeerMessage) {
        let size = size(&message);
        let node = self.nodes[at].as_mut().expect("running");
        node.sent += 1;
        node.bytes += size;
        let from = node.entry.id.clone();
        let Some(target) = self.find(&to) else { return };
        let delay = self.delay(self.region(at), self.region(target));
        if self.is_partitioned(self.region(at), self.region(target))
            || self.chance(self.faults.lost)
        {
            return;
        }
        let event = Event::Received { from, message };
        if self.chance(self.faults.duplicated) {
            let later = delay + Duration::from_millis(self.rng.random_range(0..3000));
            self.push(later, Task::Deliver(to.clone(), event.clone()));
        }
        self.push(delay, Task::Deliver(to, event));
    }

    fn send_call(&mut self, at: usize, call: Call) {
        let node = self.nodes[at].as_mut().expect("running");
        node.calls += 1;
        let id = node.entry.id.clone();
        let delay = self.delay(self.region(at), 0);
        if self.is_partitioned(self.region(at), 0) {
            return self.fail(id, &call);
        }
        self.push(delay, Task::Call(id, call));
    }

    fn call(&mut self, id: InstanceId, call: Call) {
        if self.store.down {
            return self.fail(id, &call);
        }
        if let Call::Watch { call, after } = call {
            if self.store.revision == after {
                let waiter = self.store.wait(id, call, after);
                return self.push(corianderway_control::WATCH_TIMEOUT, Task::Release(waiter));
            }
        }
        let answer = self.store.answer(&call);
        self.answer(id, answer);
        self.release_all();
    }

    /// Writes an object through an instance, as an operator does. Returns
    /// whether the store could be reached.
    pub fn write(&mut self, at: usize, object: Object) -> bool {
        let stored = self.store.version(&object.id);
        let lost = self.store.lose_answers;
        if self.store.down || self.is_partitioned(self.region(at), 0) {
            return false;
        }
        self.store.write(object.clone(), stored);
        self.release_all();
        if !lost {
            self.step(at, Event::Written(object));
        }
        true
    }

    fn release_all(&mut self) {
        for (id, call, after) in self.store.changed_waiters() {
            let answer = self.store.answer(&Call::Watch { call, after });
            self.answer(id, answer);
        }
    }

    fn release(&mut self, waiter: u64) {
        if let Some((id, call, after)) = self.store.take_waiter(waiter) {
            if self.store.down {
                return self.fail(id, &Call::Watch { call, after });
            }
            let answer = self.store.answer(&Call::Watch { call, after });
            self.answer(id, answer);
        }
    }

    fn answer(&mut self, id: InstanceId, answer: Option<WatchEvent>) {
        let Some(at) = self.find(&id) else { return };
        let Some(answer) = answer else { return };
        if self.store.lose_answers || self.is_partitioned(self.region(at), 0) {
            return;
        }
        let delay = self.delay(self.region(at), 0) + self.store.answer_delay;
        self.push(delay, Task::Deliver(id, Event::Platform(answer)));
    }

    fn fail(&mut self, id: InstanceId, call: &Call) {
        let Some(call) = call.number() else { return };
        let event = Event::Platform(WatchEvent::Failed { call });
        self.push(Duration::from_millis(100), Task::Deliver(id, event));
    }

    fn delay(&mut self, a: usize, b: usize) -> Duration {
        let base = if a == b {
            REGION_DELAY
        } else {
            INTER_REGION_DELAY
        };
        let jitter = base.mul_f64(self.rng.random_range(0.0..0.2));
        if self.chance(self.faults.delayed) {
            return base + Duration::from_millis(self.rng.random_range(0..10_000));
        }
        base + jitter
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let separates = |&(x, y): &(usize, usize)| (x, y) == (a, b) || (y, x) == (a, b);
        self.partitions.iter().any(separates)
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share)
    }

    fn find(&self, id: &InstanceId) -> Option<usize> {
        let (at, _) = id.as_str().strip_prefix('n')?.split_once('-')?;
        let at = at.parse::<usize>().ok()?;
        let node = self.nodes.get(at)?.as_ref()?;
        (node.entry.id == *id).then_some(at)
    }

    fn push(&mut self, after: Duration, task: Task) {
        self.sequence += 1;
        let queued = Queued(self.now + after, self.sequence, task);
        self.queue.push(Reverse(queued));
    }

    fn entry(&self, at: usize, start: u64) -> Entry {
        let region = self.region(at);
        // Four failure domains a region with 13 regions, for about 48 in all;
        // otherwise two a region.
        let domains = if self.regions == 13 { 4 } else { 2 };
        let domain = at / self.regions % domains;
        let addr = "127.0.0.1:1".parse().expect("an address");
        Entry {
            id: InstanceId::try_from(format!("n{at}-{start}")).expect("a name"),
            callers: addr,
            peers: addr,
            region: Region::try_from(format!("r{region}")).expect("a name"),
            domain: FailureDomain::try_from(format!("r{region}d{domain}")).expect("a name"),
            presence: Presence::Live,
        }
    }
}

/// Returns the approximate size of a message on the wire, in bytes.
pub fn size(message: &PeerMessage) -> u64 {
    const HEADERS: usize = 60;
    let body = match message {
        PeerMessage::Config(message) | PeerMessage::Members(message) => message.encoded_size(),
        PeerMessage::Ask(_) => 12,
        PeerMessage::Answer(_, word) => 76 + word.domains.len() * 7,
    };
    (HEADERS + body) as u64
}
