//! A test rig of several instances that exchange messages over a network that a test
//! can partition.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderway_model::FailureDomain;
use corianderway_model::InstanceId;
use corianderway_model::ServerId;
use corianderway_model::SortedMap;
use corianderway_model::Time;
use corianderway_steer::Action;
use corianderway_steer::Event;
use corianderway_steer::Member;
use corianderway_steer::Message;
use corianderway_steer::Order;
use corianderway_steer::Plan;
use corianderway_steer::Progress;
use corianderway_steer::Reach;
use corianderway_steer::Refusal;
use corianderway_steer::RequestId;
use corianderway_steer::ServerChange;
use corianderway_steer::Source;

use super::Rig;

/// How long an instance waits for a replica whose instance does not follow the store.
const REPLICA_WAIT: Duration = Duration::from_millis(800);

/// The instances, their network and the store, as far as they need them.
///
/// An instance's number is its position among the members.
pub struct Cluster {
    pub members: Vec<Member>,
    pub rigs: Vec<Rig>,
    /// The instances that are cut off from all others.
    pub cut: Vec<usize>,
    /// The instances whose links are slow, and by how many turns more a message takes
    /// over each.
    pub slow: (Vec<usize>, u32),
    /// The instances that get a tick only every so many turns.
    pub late: (Vec<usize>, u64),
    /// The instances that can't reach the store.
    pub without_store: Vec<usize>,
    /// The number of messages sent to other failure domains.
    pub cross_domain: usize,
    /// The source that each instance follows.
    pub sources: Vec<Source>,
    /// Requests that were sent to backend servers, with the instances that sent them,
    /// until a test removes them.
    pub forwarded: Vec<(usize, RequestId, ServerId)>,
    /// Progress of version moves to record in the store, until a test removes it.
    pub reports: Vec<(Order, Progress)>,
    /// Requests that were refused, with the instances that refused them.
    pub refused: Vec<(usize, RequestId, Refusal)>,
    /// Servers that left, each with the instance that says so and the time.
    pub left: Vec<(usize, String, Time)>,
    /// The number of requests for tokens that were sent.
    pub token_requests: usize,
    // The sender of the latest complete summary of each domain.
    relays: SortedMap<FailureDomain, InstanceId>,
    // Since when each instance waits for a replica whose instance does not follow the
    // store.
    waiting: Vec<Option<Time>>,
    // Messages under way: the turns until they are delivered, the sender and the address.
    in_flight: Vec<(u32, usize, SocketAddr, Message)>,
}

impl Cluster {
    /// Creates instances that have just started and have received the list of instances
    /// and the other inputs.
    pub fn start(members: Vec<Member>, now: Time, plan: impl Fn() -> Plan) -> Self {
        let mut cluster = Self {
            members,
            rigs: Vec::new(),
            cut: Vec::new(),
            slow: (Vec::new(), 0),
            late: (Vec::new(), 1),
            without_store: Vec::new(),
            cross_domain: 0,
            sources: Vec::new(),
            forwarded: Vec::new(),
            reports: Vec::new(),
            refused: Vec::new(),
            left: Vec::new(),
            token_requests: 0,
            relays: SortedMap::default(),
            waiting: Vec::new(),
            in_flight: Vec::new(),
        };
        cluster.restart(now, plan);
        cluster
    }

    /// Restarts all instances.
    pub fn restart(&mut self, now: Time, plan: impl Fn() -> Plan) {
        let start = |me: &Member| self.started(me, now, plan());
        self.rigs = self.members.iter().map(start).collect();
        self.sources = vec![Source::Nothing; self.members.len()];
        self.waiting = vec![None; self.members.len()];
    }

    /// Restarts one instance, which writes its new entry.
    pub fn restart_one(&mut self, number: usize, now: Time, plan: Plan) {
        self.members[number].run += 1;
        self.rigs[number] = self.started(&self.members[number], now, plan);
        self.sources[number] = Source::Nothing;
        self.waiting[number] = None;
        for other in 0..self.members.len() {
            self.step(other, Event::Members(self.members.clone()));
        }
    }

    fn started(&self, me: &Member, now: Time, plan: Plan) -> Rig {
        let mut rig = Rig::bare(me.clone());
        rig.now = now;
        rig.step(Event::Plan(Arc::new(plan)));
        let put = super::servers().into_iter().map(ServerChange::Put);
        rig.step(Event::Servers(put.collect()));
        rig.step(Event::Orders(Vec::new()));
        rig.step(Event::Evacuated(Vec::new()));
        rig.step(Event::Members(self.members.clone()));
        rig
    }

    /// Sets the clock, delivers the messages of the previous turn, and sends a tick to
    /// every instance.
    pub fn turn(&mut self, now: Time) {
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition::<Vec<_>, _>(|message| message.0 == 0);
        self.in_flight = later;
        for message in &mut self.in_flight {
            message.0 -= 1;
        }
        for (_, from, to, message) in due {
            let to = self.members.iter().position(|m| m.entry.peers == to);
            let to = to.expect("an instance that is listed");
            if !self.cut.contains(&to) && !self.cut.contains(&from) {
                self.step(to, Event::Message(message));
            }
        }
        for number in 0..self.rigs.len() {
            self.rigs[number].now = now;
            let turn = now.since(Time::ZERO).as_millis() as u64 / 10;
            if !self.late.0.contains(&number) || turn.is_multiple_of(self.late.1) {
                self.step(number, Event::Tick);
            }
            self.check_source(number);
        }
    }

    // Reports to an instance when its replica is up to date, or when its source has
    // failed: the instance that serves the replica is cut off, has stopped following the
    // store, or has not followed it within the wait.
    fn check_source(&mut self, number: usize) {
        let is_intact = match self.sources[number] {
            Source::Nothing => true,
            Source::Store => !self.without_store.contains(&number),
            Source::Copy(from) => {
                let of = |m: &Member| m.replica == from;
                let from = self.members.iter().position(of);
                let from = from.expect("an instance that is listed");
                let live = !self.cut.contains(&from) && !self.cut.contains(&number);
                let stored = live && self.sources[from] == Source::Store;
                match self.waiting[number] {
                    Some(_) if stored => {
                        self.waiting[number] = None;
                        self.step(number, Event::Reach(Reach::Replica));
                        true
                    }
                    Some(since) => self.rigs[number].now.since(since) < REPLICA_WAIT,
                    None => stored,
                }
            }
        };
        if !is_intact {
            self.waiting[number] = None;
            let is_cut = self.is_source_cut(number);
            self.sources[number] = Source::Nothing;
            let loss = if is_cut {
                Event::ReplicaLost
            } else {
                Event::StoreLost
            };
            self.step(number, loss);
        }
    }

    // Returns whether the replica that an instance follows can't be reached, which tells
    // nothing of the store.
    fn is_source_cut(&self, number: usize) -> bool {
        let Source::Copy(from) = self.sources[number] else {
            return false;
        };
        let serves = |at: &usize| self.members[*at].replica == from;
        self.cut.contains(&number) || self.cut.iter().any(serves)
    }

    /// Returns whether an instance waits for a replica whose instance does not follow the
    /// store.
    pub fn waits(&self, number: usize) -> bool {
        self.waiting[number].is_some()
    }

    /// Returns the relay of a domain.
    pub fn relay_of(&self, domain: &str) -> usize {
        let relay = self.relays.get(domain).expect("a relay");
        let relays = |m: &Member| m.entry.id == *relay;
        let relay = self.members.iter().position(relays);
        relay.expect("an instance that is listed")
    }

    /// Returns the instances that the directory of one of them names to a caller, sorted.
    pub fn named(&mut self, by: usize, region: &str, domain: &str) -> Vec<usize> {
        let event = Event::Directory {
            id: RequestId(9_000),
            region: region.try_into().ok(),
            domain: domain.try_into().ok(),
        };
        self.rigs[by].step(event);
        let answer = self.rigs[by].out.iter().find_map(|action| match action {
            Action::AnswerDirectory { entries, .. } => Some(entries.clone()),
            _ => None,
        });
        self.collect(by);
        let number = |addr: &SocketAddr| {
            let of = |m: &Member| m.entry.callers == *addr;
            self.members.iter().position(of).expect("a listed instance")
        };
        let answer = answer.expect("an answer");
        let mut numbers: Vec<usize> = answer.iter().map(number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// Sends an event to one instance and handles its actions.
    pub fn step(&mut self, number: usize, event: Event) {
        self.rigs[number].step(event);
        self.collect(number);
    }

    /// Handles the actions of an instance's latest step.
    pub fn collect(&mut self, number: usize) {
        for action in std::mem::take(&mut self.rigs[number].out) {
            match action {
                Action::Send { to, message } => {
                    let recipient = self.members.iter().find(|m| m.entry.peers == to);
                    let recipient = recipient.expect("an instance that is listed");
                    let domain = &self.members[number].entry.domain;
                    self.cross_domain += usize::from(recipient.entry.domain != *domain);
                    match &message {
                        Message::TokenRequest(_) => self.token_requests += 1,
                        Message::Summary(summary) if !summary.partial => {
                            self.relays
                                .insert(summary.domain.clone(), summary.from.clone());
                        }
                        Message::Summary(_)
                        | Message::Digest(_)
                        | Message::TokenReply(_)
                        | Message::Duty(_) => (),
                    }
                    let (slow, turns) = &self.slow;
                    let far = self.members.iter().position(|m| m.entry.peers == to);
                    let is_slow =
                        slow.contains(&number) || far.is_some_and(|at| slow.contains(&at));
                    let turns = if is_slow { *turns } else { 0 };
                    self.in_flight.push((turns, number, to, message));
                }
                Action::Forward { id, server, .. } => self.forwarded.push((number, id, server)),
                Action::RecordProgress {
                    order, progress, ..
                } => self.reports.push((order, progress)),
                Action::Refuse { id, refusal } => self.refused.push((number, id, refusal)),
                Action::Probe if !self.without_store.contains(&number) => {
                    self.step(number, Event::ProbeAnswered);
                }
                Action::Follow(source) => {
                    self.sources[number] = source;
                    self.waiting[number] = match source {
                        Source::Copy(_) => Some(self.rigs[number].now),
                        Source::Nothing | Source::Store => None,
                    };
                    match source {
                        Source::Store => self.step(number, Event::Reach(Reach::Store)),
                        // The duty that reads the store reports what it follows.
                        Source::Nothing => self.step(number, Event::Reach(Reach::Nothing)),
                        Source::Copy(_) => (),
                    }
                }
                Action::Log(note) if note.event == "server" => {
                    let value = |key| note.fields.iter().find(|row| row.0 == key);
                    let is_leaving = value("to").is_some_and(|row| row.1 == "Leaving");
                    if let Some((_, server)) = value("server").filter(|_| is_leaving) {
                        let now = self.rigs[number].now;
                        self.left.push((number, server.clone(), now));
                    }
                }
                _ => (),
            }
        }
    }
}
