//! How objects reach every instance: pushes on change, and comparison of sets.
//!
//! An instance that accepts a change passes it to a few random peers at once.
//! Once a second it also compares digests with one random peer, from the root
//! to groups to buckets to names, so that what a push missed arrives too, at
//! a cost that hardly depends on how many objects there are. A new instance
//! fills its set page by page from a peer.

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use crate::gossip_event::GossipAction;
use crate::gossip_event::GossipEvent;
use crate::message::Message;
use crate::object::Id;
use crate::object::Object;
use crate::object::Stamp;
use crate::reply;
use crate::set::ConfigSet;
use crate::set::Digest;
use crate::set::Outcome;
use crate::wanted::Wanted;

/// Peers that a change is passed to.
const FANOUT: usize = 4;

/// The time between comparisons while sets agree.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// The time between comparisons while sets differ.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(200);

/// How long a page may take before another peer is asked.
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// The objects of one instance and how it exchanges them with peers.
#[derive(Clone, Debug)]
pub struct Gossip {
    set: ConfigSet,
    validate: fn(&Object) -> bool,
    rng: SmallRng,
    peers: Arc<[InstanceId]>,
    compare_at: Time,
    filling: Filling,
    wanted: Wanted,
}

#[derive(Clone, Debug)]
enum Filling {
    // No peer has been asked yet.
    Empty,
    Asked {
        peer: InstanceId,
        after: Option<Id>,
        at: Time,
    },
    Done,
}

impl Gossip {
    /// Starts with an empty set; `validate` decides whether an object is sound.
    pub fn new(seed: u64, validate: fn(&Object) -> bool) -> Self {
        Self {
            set: ConfigSet::default(),
            validate,
            rng: SmallRng::seed_from_u64(seed),
            peers: Arc::new([]),
            compare_at: Time::ZERO,
            filling: Filling::Empty,
            wanted: Wanted::default(),
        }
    }

    /// The held objects.
    pub fn set(&self) -> &ConfigSet {
        &self.set
    }

    /// Whether a peer has passed on all that it held.
    pub fn filled(&self) -> bool {
        matches!(self.filling, Filling::Done)
    }

    /// Answers one event.
    pub fn step(&mut self, now: Time, event: GossipEvent, out: &mut Vec<GossipAction>) {
        match event {
            GossipEvent::Tick => self.tick(now, out),
            GossipEvent::Peers(peers) => self.peers = peers,
            GossipEvent::Offered(objects) => self.accept(objects, None, out),
            GossipEvent::Compare(peer) => send(out, peer, Message::Root(self.set.root())),
            GossipEvent::Received { from, message } => self.receive(now, from, message, out),
        }
    }

    pub(crate) fn retire(&mut self, id: &Id) {
        self.set.retire(id);
    }

    pub(crate) fn forget(&mut self, id: &Id) {
        self.set.forget(id);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<GossipAction>) {
        self.fill(now, out);
        if now < self.compare_at {
            return;
        }
        self.compare_at = now + COMPARE_INTERVAL;
        self.wanted.tick(now);
        if let Some(peer) = self.pick(None) {
            send(out, peer, Message::Root(self.set.root()));
        }
    }

    // Asks for the first page, or asks another peer when an answer is overdue.
    fn fill(&mut self, now: Time, out: &mut Vec<GossipAction>) {
        let after = match &self.filling {
            Filling::Empty => None,
            Filling::Asked { after, at, .. } if now.since(*at) >= PAGE_TIMEOUT => after.clone(),
            Filling::Asked { .. } | Filling::Done => return,
        };
        if let Some(peer) = self.pick(None) {
            self.ask_page(now, peer, after, out);
        }
    }

    fn ask_page(
        &mut self,
        now: Time,
        peer: InstanceId,
        after: Option<Id>,
        out: &mut Vec<GossipAction>,
    ) {
        self.filling = Filling::Asked {
            peer: peer.clone(),
            after: after.clone(),
            at: now,
        };
        send(out, peer, Message::Page { after });
    }

    fn receive(
        &mut self,
        now: Time,
        from: InstanceId,
        message: Message,
        out: &mut Vec<GossipAction>,
    ) {
        match message {
            Message::Objects(objects) => self.accept(objects, Some(&from), out),
            Message::Offer(stamps) => self.want(now, from, stamps, out),
            Message::Root(root) if root == self.set.root() => {}
            Message::Root(_) => send(out, from, Message::Groups(self.set.groups().to_vec())),
            Message::Groups(digests) => self.compare_groups(now, from, &digests, out),
            Message::Bucket {
                group,
                bucket,
                stamps,
            } => {
                let ours = self.set.bucket(group, bucket);
                self.settle_bucket(now, from, stamps, &ours, out);
            }
            Message::Filled { objects, more } => self.filled_page(now, from, objects, more, out),
            message => reply::answer(&self.set, from, &message, out),
        }
    }

    // Takes what the peer has newer and sends what it has older.
    fn settle_bucket(
        &mut self,
        now: Time,
        from: InstanceId,
        theirs: Vec<Stamp>,
        ours: &[Stamp],
        out: &mut Vec<GossipAction>,
    ) {
        let newer = reply::missing(ours, &theirs);
        let objects = newer.iter().filter_map(|s| self.set.get(&s.id));
        reply::send_objects(&from, objects, out);
        self.want(now, from, theirs, out);
    }

    fn compare_groups(
        &mut self,
        now: Time,
        from: InstanceId,
        digests: &[Digest],
        out: &mut Vec<GossipAction>,
    ) {
        self.compare_at = self.compare_at.min(now + CATCH_UP_INTERVAL);
        let start = self.rng.random();
        reply::differing_groups(&self.set, from, digests, start, out);
    }

    fn filled_page(
        &mut self,
        now: Time,
        from: InstanceId,
        objects: Vec<Object>,
        more: bool,
        out: &mut Vec<GossipAction>,
    ) {
        let last = objects.last().map(|o| o.id.clone());
        for object in objects {
            self.take(object, out);
        }
        let expected = matches!(&self.filling, Filling::Asked { peer, .. } if *peer == from);
        match (expected, more) {
            (true, true) => self.ask_page(now, from, last, out),
            (true, false) => self.filling = Filling::Done,
            (false, _) => {}
        }
    }

    fn accept(
        &mut self,
        objects: Vec<Object>,
        from: Option<&InstanceId>,
        out: &mut Vec<GossipAction>,
    ) {
        let mut changed = Vec::new();
        for object in objects {
            if self.take(object.clone(), out) {
                changed.push(object);
            }
        }
        self.push(&changed, from, out);
    }

    fn take(&mut self, object: Object, out: &mut Vec<GossipAction>) -> bool {
        self.wanted.received(&object.id);
        if !(self.validate)(&object) {
            out.push(GossipAction::Rejected(object.stamp()));
            return false;
        }
        let accepted = self.set.offer(object.clone()) == Outcome::Accepted;
        if accepted {
            out.push(GossipAction::Accepted(object));
        }
        accepted
    }

    fn push(&mut self, changed: &[Object], from: Option<&InstanceId>, out: &mut Vec<GossipAction>) {
        if changed.is_empty() {
            return;
        }
        let mut receivers = Vec::with_capacity(FANOUT);
        for _ in 0..FANOUT {
            receivers.extend(self.pick(from));
        }
        receivers.sort();
        receivers.dedup();
        for to in receivers {
            reply::send_objects(&to, changed, out);
        }
    }

    // Asks for what is newer than the held state and not already asked for.
    fn want(
        &mut self,
        now: Time,
        from: InstanceId,
        stamps: Vec<Stamp>,
        out: &mut Vec<GossipAction>,
    ) {
        let mut ids = Vec::new();
        for stamp in stamps {
            if self.set.rank(&stamp.id) < Some(stamp.rank) && self.wanted.may_ask(now, &stamp.id) {
                ids.push(stamp.id);
            }
        }
        if !ids.is_empty() {
            send(out, from, Message::Want(ids));
        }
    }

    fn pick(&mut self, except: Option<&InstanceId>) -> Option<InstanceId> {
        if self.peers.is_empty() {
            return None;
        }
        let at = self.rng.random_range(0..self.peers.len());
        let peer = &self.peers[at];
        (Some(peer) != except).then(|| peer.clone())
    }
}

pub(crate) fn send(out: &mut Vec<GossipAction>, to: InstanceId, message: Message) {
    out.push(GossipAction::Send { to, message });
}
