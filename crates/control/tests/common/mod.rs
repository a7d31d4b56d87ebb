//! A driver for many instances under a logical clock, with faults on the way.
#![allow(dead_code, reason = "each test uses a part of the driver")]

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
use corianderway_control::SourceEvent;
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

const TICK: Duration = Duration::from_millis(100);
const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(35);

/// Seeds for a randomised test: the one in `CONTROL_SEED`, or a fixed few.
pub fn seeds(count: u64) -> Vec<u64> {
    let given = std::env::var("CONTROL_SEED").ok();
    let given = given.and_then(|text| text.parse().ok());
    given.map_or_else(|| (1..=count).collect(), |seed| vec![seed])
}

pub struct Node {
    pub control: Control,
    pub entry: Entry,
    pub paused: bool,
    pub held_back: Vec<Due>,
    pub sent: u64,
    pub bytes: u64,
    pub received: u64,
    pub calls: u64,
    pub busy: Duration,
    pub rejected: u64,
}

#[derive(Clone, Debug)]
pub enum Due {
    Tick(InstanceId),
    Deliver(InstanceId, Event),
    Call(InstanceId, Call),
    Release(u64),
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Shares of messages, 0 to 1.
    pub lost: f64,
    pub doubled: f64,
    pub delayed: f64,
}

pub struct Fleet {
    pub now: Time,
    pub nodes: Vec<Option<Node>>,
    pub store: Store,
    pub faults: Faults,
    /// Regions that can't reach each other, and whether the store's side is meant.
    pub cuts: Vec<(usize, usize)>,
    pub regions: usize,
    pub rng: SmallRng,
    starts: u64,
    order: u64,
    queue: BinaryHeap<Reverse<Queued>>,
}

struct Queued(Time, u64, Due);

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

pub fn sound(object: &Object) -> bool {
    object.text().is_none_or(|text| !text.starts_with("bad"))
}

impl Fleet {
    pub fn new(seed: u64, nodes: usize, regions: usize) -> Self {
        let mut fleet = Self {
            now: Time::ZERO,
            nodes: Vec::new(),
            store: Store::default(),
            faults: Faults::default(),
            cuts: Vec::new(),
            regions,
            rng: SmallRng::seed_from_u64(seed),
            starts: 0,
            order: 0,
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

    /// Starts an instance in a place, under a new identity.
    pub fn start(&mut self, at: usize) {
        self.starts += 1;
        let entry = self.entry(at, self.starts);
        let seed = self.rng.random();
        let id = entry.id.clone();
        self.nodes[at] = Some(Node {
            control: Control::new(entry.clone(), seed, sound),
            entry,
            paused: false,
            held_back: Vec::new(),
            sent: 0,
            bytes: 0,
            received: 0,
            calls: 0,
            busy: Duration::ZERO,
            rejected: 0,
        });
        let offset = self.rng.random_range(0..100);
        self.push(Duration::from_millis(offset), Due::Tick(id));
    }

    /// Hands an instance the platform's list of instances.
    pub fn list_instances(&mut self, at: usize) {
        let entries = self.running().map(|n| n.entry.clone()).collect();
        self.step(at, Event::Listing(entries));
    }

    pub fn stop(&mut self, at: usize) {
        self.nodes[at] = None;
    }

    /// Stops an instance and starts another one in its place.
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

    pub fn thaw(&mut self, at: usize) {
        let Some(node) = &mut self.nodes[at] else {
            return;
        };
        node.paused = false;
        for due in std::mem::take(&mut node.held_back) {
            self.push(Duration::ZERO, due);
        }
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.0 > end {
                break;
            }
            let Some(Reverse(Queued(at, _, due))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.handle(due);
        }
        self.now = end;
    }

    /// Runs until a condition holds; the time that took, or none at the deadline.
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
            self.run_for(TICK);
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
        node.busy += begin.elapsed();
        for action in out {
            self.act(at, action);
        }
    }

    fn handle(&mut self, due: Due) {
        let (id, event) = match &due {
            Due::Release(waiter) => return self.release(*waiter),
            Due::Call(id, call) => return self.call(id.clone(), call.clone()),
            Due::Tick(id) => (id, Event::Tick),
            Due::Deliver(id, event) => (id, event.clone()),
        };
        let Some(at) = self.find(id) else { return };
        let node = self.nodes[at].as_mut().expect("running");
        if node.paused {
            node.held_back.push(due);
            return;
        }
        if let Due::Tick(id) = &due {
            let id = id.clone();
            self.push(TICK, Due::Tick(id));
        } else {
            node.received += 1;
        }
        self.step(at, event);
    }

    fn act(&mut self, at: usize, action: Action) {
        let id = self.node(at).entry.id.clone();
        match action {
            Action::Send { to, message } => self.send(at, to, message),
            Action::List { call } => self.send_call(at, Call::List { call }),
            Action::Watch { call, after } => self.send_call(at, Call::Watch { call, after }),
            Action::Restore { object, stored } => {
                self.send_call(at, Call::Write { object, stored });
            }
            Action::Rejected(_) => self.nodes[at].as_mut().expect("running").rejected += 1,
            Action::InForce(_) | Action::MembersChanged => drop(id),
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
        if self.is_cut(self.region(at), self.region(target)) || self.chance(self.faults.lost) {
            return;
        }
        let event = Event::Received { from, message };
        if self.chance(self.faults.doubled) {
            let later = delay + Duration::from_millis(self.rng.random_range(0..3000));
            self.push(later, Due::Deliver(to.clone(), event.clone()));
        }
        self.push(delay, Due::Deliver(to, event));
    }

    fn send_call(&mut self, at: usize, call: Call) {
        let node = self.nodes[at].as_mut().expect("running");
        node.calls += 1;
        let id = node.entry.id.clone();
        let delay = self.delay(self.region(at), 0);
        if self.is_cut(self.region(at), 0) {
            return self.fail(id, &call);
        }
        self.push(delay, Due::Call(id, call));
    }

    fn call(&mut self, id: InstanceId, call: Call) {
        if self.store.down {
            return self.fail(id, &call);
        }
        if let Call::Watch { call, after } = call {
            if self.store.revision == after {
                let waiter = self.store.wait(id, call, after);
                return self.push(corianderway_control::WATCH_WAIT, Due::Release(waiter));
            }
        }
        let answer = self.store.answer(&call);
        self.answer(id, answer);
        self.release_all();
    }

    /// Writes as an operator does, through an instance; none if it was refused.
    pub fn write(&mut self, at: usize, object: Object) -> bool {
        let stored = self.store.version(&object.id);
        let lost = self.store.lose_answers;
        if self.store.down || self.is_cut(self.region(at), 0) {
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

    fn answer(&mut self, id: InstanceId, answer: Option<SourceEvent>) {
        let Some(at) = self.find(&id) else { return };
        let Some(answer) = answer else { return };
        if self.store.lose_answers || self.is_cut(self.region(at), 0) {
            return;
        }
        let delay = self.delay(self.region(at), 0) + self.store.slow;
        self.push(delay, Due::Deliver(id, Event::Platform(answer)));
    }

    fn fail(&mut self, id: InstanceId, call: &Call) {
        let Some(call) = call.number() else { return };
        let event = Event::Platform(SourceEvent::Failed { call });
        self.push(Duration::from_millis(100), Due::Deliver(id, event));
    }

    fn delay(&mut self, a: usize, b: usize) -> Duration {
        let base = if a == b { NEAR } else { FAR };
        let jitter = base.mul_f64(self.rng.random_range(0.0..0.2));
        if self.chance(self.faults.delayed) {
            return base + Duration::from_millis(self.rng.random_range(0..10_000));
        }
        base + jitter
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let cut = |&(x, y): &(usize, usize)| (x, y) == (a, b) || (y, x) == (a, b);
        self.cuts.iter().any(cut)
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

    fn push(&mut self, after: Duration, due: Due) {
        self.order += 1;
        let queued = Queued(self.now + after, self.order, due);
        self.queue.push(Reverse(queued));
    }

    fn entry(&self, at: usize, start: u64) -> Entry {
        let region = self.region(at);
        // 48 failure domains over 13 regions, or two a region.
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

/// About how many bytes a message takes on the way.
pub fn size(message: &PeerMessage) -> u64 {
    const HEADERS: usize = 60;
    let body = match message {
        PeerMessage::Config(message) | PeerMessage::Members(message) => message.encoded_size(),
        PeerMessage::Ask(_) => 12,
        PeerMessage::Answer(_, word) => 76 + word.domains.len() * 7,
    };
    (HEADERS + body) as u64
}
