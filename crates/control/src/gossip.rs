//! Replication of a set of objects by push and anti-entropy gossip.
//!
//! An instance pushes each change that it accepts to a few random peers. Once
//! a second it also compares digests with one random peer, from the root over
//! groups and buckets to the stamps of objects, and the two exchange what
//! differs. This delivers changes that no push delivered, and the cost of a
//! comparison hardly depends on the number of objects. A new instance first
//! reads the whole set of a peer page by page.

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
use crate::object_requests::ObjectRequests;
use crate::reply;
use crate::set::ConfigSet;
use crate::set::Digest;
use crate::set::MergeOutcome;

/// The maximum number of peers that a change is pushed to.
const PUSH_FANOUT: usize = 4;

/// The time between comparisons while the sets agree.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// The time between comparisons while the sets differ.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(200);

/// The time to wait for a page before it is requested from another peer.
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// One instance's copy of a replicated set, and the state of its replication.
///
/// Every event may change the set and returns messages to peers. The version
/// of a held object never decreases, whatever the order in which messages
/// arrive, and objects that fail validation are neither held nor pushed.
#[derive(Clone, Debug)]
pub struct Gossip {
    set: ConfigSet,
    validate: fn(&Object) -> bool,
    rng: SmallRng,
    peers: Arc<[InstanceId]>,
    compare_at: Time,
    initial_sync: InitialSync,
    requests: ObjectRequests,
}

#[derive(Clone, Debug)]
enum InitialSync {
    // No page has been requested yet.
    NotStarted,
    Requested {
        peer: InstanceId,
        after: Option<Id>,
        requested_at: Time,
    },
    Done,
}

impl Gossip {
    /// Creates an empty set that holds only objects that `validate` accepts.
    pub fn new(seed: u64, validate: fn(&Object) -> bool) -> Self {
        Self {
            set: ConfigSet::default(),
            validate,
            rng: SmallRng::seed_from_u64(seed),
            peers: Arc::new([]),
            compare_at: Time::ZERO,
            initial_sync: InitialSync::NotStarted,
            requests: ObjectRequests::default(),
        }
    }

    /// Returns the held objects.
    pub fn set(&self) -> &ConfigSet {
        &self.set
    }

    /// Returns whether the initial read of a peer's whole set has finished.
    pub fn is_synced(&self) -> bool {
        matches!(self.initial_sync, InitialSync::Done)
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Time, event: GossipEvent, out: &mut Vec<GossipAction>) {
        match event {
            GossipEvent::Tick => self.tick(now, out),
            GossipEvent::Peers(peers) => self.peers = peers,
            GossipEvent::LocalObjects(objects) => self.apply_all(objects, None, out),
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
        self.request_overdue_page(now, out);
        if now < self.compare_at {
            return;
        }
        self.compare_at = now + COMPARE_INTERVAL;
        self.requests.remove_expired(now);
        if let Some(peer) = self.random_peer(None) {
            send(out, peer, Message::Root(self.set.root()));
        }
    }

    // Requests the first page, or requests a page that has timed out again,
    // from a random peer.
    fn request_overdue_page(&mut self, now: Time, out: &mut Vec<GossipAction>) {
        let after = match &self.initial_sync {
            InitialSync::NotStarted => None,
            InitialSync::Requested {
                after,
                requested_at,
                ..
            } if now.since(*requested_at) >= PAGE_TIMEOUT => after.clone(),
            InitialSync::Requested { .. } | InitialSync::Done => return,
        };
        if let Some(peer) = self.random_peer(None) {
            self.request_page(now, peer, after, out);
        }
    }

    fn request_page(
        &mut self,
        now: Time,
        peer: InstanceId,
        after: Option<Id>,
        out: &mut Vec<GossipAction>,
    ) {
        self.initial_sync = InitialSync::Requested {
            peer: peer.clone(),
            after: after.clone(),
            requested_at: now,
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
            Message::Objects(objects) => self.apply_all(objects, Some(&from), out),
            Message::Offer(stamps) => self.request_newer(now, from, stamps, out),
            Message::Root(root) if root == self.set.root() => {}
            Message::Root(_) => send(out, from, Message::Groups(self.set.groups().to_vec())),
            Message::Groups(digests) => self.compare_groups(now, from, &digests, out),
            Message::Bucket {
                group,
                bucket,
                stamps,
            } => {
                let ours = self.set.bucket(group, bucket);
                self.reconcile_bucket(now, from, stamps, &ours, out);
            }
            Message::Filled { objects, more } => self.receive_page(now, from, objects, more, out),
            message => reply::reply(&self.set, from, &message, out),
        }
    }

    // Sends the objects that the peer lacks or has older, and requests those
    // that it has newer.
    fn reconcile_bucket(
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
        self.request_newer(now, from, theirs, out);
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
        reply::send_differing_groups(&self.set, from, digests, start, out);
    }

    fn receive_page(
        &mut self,
        now: Time,
        from: InstanceId,
        objects: Vec<Object>,
        more: bool,
        out: &mut Vec<GossipAction>,
    ) {
        let last = objects.last().map(|o| o.id.clone());
        for object in objects {
            self.apply(object, out);
        }
        let expected =
            matches!(&self.initial_sync, InitialSync::Requested { peer, .. } if *peer == from);
        match (expected, more) {
            (true, true) => self.request_page(now, from, last, out),
            (true, false) => self.initial_sync = InitialSync::Done,
            (false, _) => {}
        }
    }

    fn apply_all(
        &mut self,
        objects: Vec<Object>,
        from: Option<&InstanceId>,
        out: &mut Vec<GossipAction>,
    ) {
        let mut changed = Vec::new();
        for object in objects {
            if self.apply(object.clone(), out) {
                changed.push(object);
            }
        }
        self.push(&changed, from, out);
    }

    fn apply(&mut self, object: Object, out: &mut Vec<GossipAction>) -> bool {
        self.requests.received(&object.id);
        if !(self.validate)(&object) {
            out.push(GossipAction::Rejected(object.stamp()));
            return false;
        }
        let accepted = self.set.merge(object.clone()) == MergeOutcome::Accepted;
        if accepted {
            out.push(GossipAction::Accepted(object));
        }
        accepted
    }

    fn push(&mut self, changed: &[Object], from: Option<&InstanceId>, out: &mut Vec<GossipAction>) {
        if changed.is_empty() {
            return;
        }
        let mut receivers = Vec::with_capacity(PUSH_FANOUT);
        for _ in 0..PUSH_FANOUT {
            receivers.extend(self.random_peer(from));
        }
        receivers.sort();
        receivers.dedup();
        for to in receivers {
            reply::send_objects(&to, changed, out);
        }
    }

    // Requests the objects that are newer than the held ones, except those
    // that were requested recently.
    fn request_newer(
        &mut self,
        now: Time,
        from: InstanceId,
        stamps: Vec<Stamp>,
        out: &mut Vec<GossipAction>,
    ) {
        let mut ids = Vec::new();
        for stamp in stamps {
            if self.set.rank(&stamp.id) < Some(stamp.rank)
                && self.requests.try_request(now, &stamp.id)
            {
                ids.push(stamp.id);
            }
        }
        if !ids.is_empty() {
            send(out, from, Message::Want(ids));
        }
    }

    fn random_peer(&mut self, except: Option<&InstanceId>) -> Option<InstanceId> {
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
