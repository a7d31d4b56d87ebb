//! Several instances that tell each other, over a network that a test cuts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderway_model::FailureDomain;
use corianderway_model::InstanceId;
use corianderway_model::ServerId;
use corianderway_model::Sorted;
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

/// How long an instance waits for a copy that does not follow the store.
const WAIT: Duration = Duration::from_millis(800);

/// The instances, in the order of their members.
pub struct Crowd {
    pub members: Vec<Member>,
    pub rigs: Vec<Rig>,
    /// Instances that neither hear nor are heard.
    pub cut: Vec<usize>,
    /// Instances that the store turns away.
    pub away: Vec<usize>,
    /// Messages that went to another failure domain.
    pub crossed: usize,
    /// What each instance follows.
    pub sources: Vec<Source>,
    /// Requests that were sent to servers, with the instances that sent them,
    /// until a test takes them.
    pub forwarded: Vec<(usize, RequestId, ServerId)>,
    /// Progress of moves that was to be recorded, until a test takes it.
    pub reports: Vec<(Order, Progress)>,
    /// Requests that were refused, in the same way.
    pub refused: Vec<(usize, RequestId, Refusal)>,
    /// Tokens that were asked for.
    pub asks: usize,
    // The instance that told the last summary of each domain.
    relays: Sorted<FailureDomain, InstanceId>,
    // Since when an instance waits for a copy that does not follow the store.
    waiting: Vec<Option<Time>>,
    letters: Vec<(usize, SocketAddr, Message)>,
}

impl Crowd {
    /// Instances that have just started and know the listing and each other.
    pub fn start(members: Vec<Member>, now: Time, plan: impl Fn() -> Plan) -> Self {
        let mut crowd = Self {
            members,
            rigs: Vec::new(),
            cut: Vec::new(),
            away: Vec::new(),
            crossed: 0,
            sources: Vec::new(),
            forwarded: Vec::new(),
            reports: Vec::new(),
            refused: Vec::new(),
            asks: 0,
            relays: Sorted::default(),
            waiting: Vec::new(),
            letters: Vec::new(),
        };
        crowd.restart(now, plan);
        crowd
    }

    /// Starts all instances anew.
    pub fn restart(&mut self, now: Time, plan: impl Fn() -> Plan) {
        let start = |me: &Member| {
            let mut rig = Rig::bare(me.clone());
            rig.now = now;
            rig.step(Event::Plan(Arc::new(plan())));
            let put = super::servers().into_iter().map(ServerChange::Put);
            rig.step(Event::Servers(put.collect()));
            rig.step(Event::Orders(Vec::new()));
            rig.step(Event::Evacuated(Vec::new()));
            rig.step(Event::Members(self.members.clone()));
            rig
        };
        self.rigs = self.members.iter().map(start).collect();
        self.sources = vec![Source::Nothing; self.members.len()];
        self.waiting = vec![None; self.members.len()];
    }

    /// Delivers what was told in the turn before, and lets every instance look
    /// at what is due.
    pub fn turn(&mut self, now: Time) {
        for (from, to, message) in std::mem::take(&mut self.letters) {
            let to = self.members.iter().position(|m| m.entry.peers == to);
            let to = to.expect("an instance that is listed");
            if !self.cut.contains(&to) && !self.cut.contains(&from) {
                self.step(to, Event::Told(message));
            }
        }
        for number in 0..self.rigs.len() {
            self.rigs[number].now = now;
            self.step(number, Event::Tick);
            self.check_source(number);
        }
    }

    // The copy of an instance that is gone, or no longer follows the store,
    // breaks; one that is not known yet is waited for.
    fn check_source(&mut self, number: usize) {
        let holds = match self.sources[number] {
            Source::Nothing => true,
            Source::Store => !self.away.contains(&number),
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
                    Some(since) => self.rigs[number].now.since(since) < WAIT,
                    None => stored,
                }
            }
        };
        if !holds {
            self.sources[number] = Source::Nothing;
            self.waiting[number] = None;
            self.step(number, Event::Reach(Reach::Nothing));
        }
    }

    /// Whether an instance waits for a copy that does not follow the store.
    pub fn waits(&self, number: usize) -> bool {
        self.waiting[number].is_some()
    }

    /// The instance that relays for a domain.
    pub fn relay_of(&self, domain: &str) -> usize {
        let relay = self.relays.get(domain).expect("a relay");
        let relays = |m: &Member| m.entry.id == *relay;
        let relay = self.members.iter().position(relays);
        relay.expect("an instance that is listed")
    }

    /// Steps one instance.
    pub fn step(&mut self, number: usize, event: Event) {
        self.rigs[number].step(event);
        self.collect(number);
    }

    /// Takes up what the last step of an instance tells others.
    pub fn collect(&mut self, number: usize) {
        for action in std::mem::take(&mut self.rigs[number].out) {
            match action {
                Action::Send { to, message } => {
                    let near = self.members.iter().find(|m| m.entry.peers == to);
                    let near = near.expect("an instance that is listed");
                    let domain = &self.members[number].entry.domain;
                    self.crossed += usize::from(near.entry.domain != *domain);
                    match &message {
                        Message::Ask(_) => self.asks += 1,
                        Message::Summary(told) if !told.partial => {
                            self.relays.insert(told.domain.clone(), told.from.clone());
                        }
                        Message::Summary(_) | Message::Digest(_) | Message::Lend(_) => (),
                    }
                    self.letters.push((number, to, message));
                }
                Action::Forward { id, server, .. } => self.forwarded.push((number, id, server)),
                Action::Report {
                    order, progress, ..
                } => self.reports.push((order, progress)),
                Action::Refuse { id, refusal } => self.refused.push((number, id, refusal)),
                Action::Probe if !self.away.contains(&number) => self.step(number, Event::Probed),
                Action::Follow(source) => {
                    self.sources[number] = source;
                    self.waiting[number] = match source {
                        Source::Copy(_) => Some(self.rigs[number].now),
                        Source::Nothing | Source::Store => None,
                    };
                    if source == Source::Store {
                        self.step(number, Event::Reach(Reach::Store));
                    }
                }
                _ => (),
            }
        }
    }
}
