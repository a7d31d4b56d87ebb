//! The exchange of digests and summaries between instances: when each is sent, and
//! what follows from those that arrive.

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Presence;
use corianderway_model::Time;

use crate::digest::Digest;
use crate::digest::Message;
use crate::digest::Summary;
use crate::event::Action;
use crate::event::Reach;
use crate::note::Note;
use crate::note::Severity;
use crate::outage::Signal as OutageSignal;
use crate::relay::DigestChange;
use crate::relay::DomainState;
use crate::relay::Role;
use crate::revisions::InputKind;
use crate::revisions::Revisions;
use crate::source::Command;
use crate::source::Signal as SourceSignal;
use crate::source::Source;
use crate::source::State as SourceState;
use crate::steer::Steer;

/// The interval of digests while nothing urgent changes.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// The interval of the first digests of an instance, while the others don't know its
/// demands, nor it its neighbours.
const START_DIGEST_INTERVAL: Duration = Duration::from_millis(300);

/// The number of digests that are sent at the shorter interval after a start.
const START_DIGESTS: u64 = 12;

/// The interval of the summaries of a failure domain.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(500);

/// The minimum time between two digests, and between two summaries.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(100);

/// How long a change that other instances have observed may take to arrive here.
const MAX_WATCH_LAG: Duration = Duration::from_millis(500);

impl Steer {
    /// Applies a message from another instance.
    pub(crate) fn receive_message(&mut self, now: Time, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Digest(digest) => self.apply_digest(now, digest, out),
            Message::Summary(summary) => {
                let far = summary.domain != self.members.me().entry.domain;
                let applied = self.apply_summary(now, Arc::clone(&summary), out);
                if applied && far && self.relay.role == Role::Relaying {
                    self.send_to_domain(&summary, out);
                }
            }
            Message::TokenRequest(request) => self.answer_token_request(now, &request, out),
            Message::TokenReply(reply) => self.apply_token_reply(now, &reply, out),
            Message::Duty(_) => (),
        }
    }

    fn apply_digest(&mut self, now: Time, digest: Arc<Digest>, out: &mut Vec<Action>) {
        if self.members.domain_peer(&digest.from).is_none() {
            return;
        }
        let change = self.relay.store_digest(now, Arc::clone(&digest));
        if change == DigestChange::Stale {
            return;
        }
        self.urgent |= change > DigestChange::Regular && self.relay.role == Role::Relaying;
        if change == DigestChange::Status {
            let note = Note::new(Severity::Notable, "instance-heard")
                .with("instance", &digest.from)
                .with("ready", digest.ready)
                .with("stored", digest.reaches_store)
                .with("doubts", digest.doubts_store)
                .with("presence", format!("{:?}", digest.presence));
            out.push(Action::Log(note));
        }
        let transitions = self
            .moves
            .follow_peers(now, digest.from.as_str(), &digest.moves);
        self.log_transitions(transitions, out);
    }

    // Applies the summary of a failure domain; returns false if it is ignored.
    fn apply_summary(&mut self, now: Time, summary: Arc<Summary>, out: &mut Vec<Action>) -> bool {
        if !self.members.apply_summary(now, Arc::clone(&summary)) {
            return false;
        }
        self.crashes
            .merge(now, &summary.crashes, &summary.known_crashes);
        if self.members.miss_store(now) {
            self.advance_outage(now, OutageSignal::OthersDoubt);
        }
        let transitions = self
            .moves
            .apply_summary(now, &summary.domain, &summary.moves);
        self.log_transitions(transitions, out);
        if summary.domain == self.members.me().entry.domain {
            let status = summary.instance_status(self.members.hash());
            if let Some(status) = status {
                self.quotas.acknowledge(status.digest_sequence());
            }
            self.update_quotas(now);
        }
        self.offered_loads = self.members.offered_loads(now);
        true
    }

    /// Returns whether this instance follows the store itself and is up to date, so that
    /// others may follow its replica.
    pub(crate) fn follows_store(&self) -> bool {
        self.selector.state == SourceState::FollowingStore && self.reach.0 == Reach::Store
    }

    /// Advances the chart that chooses the source to follow.
    pub(crate) fn advance_source(
        &mut self,
        now: Time,
        signal: SourceSignal,
        out: &mut Vec<Action>,
    ) {
        let mut replicas = self.members.replicas(now, &self.seeds);
        replicas.lagging_since = self.lagging_since;
        let (reach, since) = self.reach;
        replicas.unreached_since = (reach == Reach::Nothing).then_some(since);
        for command in self.selector.advance(now, signal, &replicas) {
            let source = match command {
                Command::Probe => {
                    out.push(Action::Probe);
                    continue;
                }
                Command::Follow(source) => source,
            };
            let note = Note::new(Severity::Notable, "source")
                .with("to", format!("{source:?}"))
                .with("near", replicas.near.len())
                .with("far", replicas.far.len())
                .with("rank", replicas.preceding.len());
            out.push(Action::Log(note));
            if source == Source::Nothing {
                self.set_reach(now, Reach::Nothing, out);
            }
            self.urgent = true;
            out.push(Action::Follow(source));
        }
    }

    /// Checks whether other instances have observed a change for some time that is not known
    /// here, which shows that a watch of this one has silently stopped; if so, reads the store
    /// again.
    pub(crate) fn check_watch_lag(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut observed = Revisions::default();
        for summary in self.members.summaries(now) {
            observed.merge(&summary.changed);
        }
        self.later_plan = observed.of(InputKind::Plan) > self.known.of(InputKind::Plan);
        let Some(kind) = self.known.first_behind(&observed) else {
            self.lagging_since = None;
            return;
        };
        let since = *self.lagging_since.get_or_insert(now);
        let due = now.since(since.max(self.store_reread)) >= MAX_WATCH_LAG;
        // Before, the lists are still under way.
        let is_reached = self.reach.0 == Reach::Store;
        if due && is_reached && self.selector.state == SourceState::FollowingStore {
            self.store_reread = now;
            let note = Note::new(Severity::Notable, "watch-deaf")
                .with("kind", format!("{kind:?}"))
                .with("seen", self.known.of(kind))
                .with("told", observed.of(kind));
            out.push(Action::Log(note));
            out.push(Action::Reread);
        }
    }

    /// Updates the role of this instance, and sends the digest and the summary that are
    /// due: at regular intervals, and without delay after an urgent change.
    pub(crate) fn send_due(&mut self, now: Time, out: &mut Vec<Action>) {
        self.update_role(now, out);
        let relays = self.relay.role != Role::Member;
        let interval = match (relays, self.digest_count < START_DIGESTS) {
            (_, true) => START_DIGEST_INTERVAL,
            (true, false) => SUMMARY_INTERVAL,
            (false, false) => DIGEST_INTERVAL,
        };
        let is_due = |at: Time, interval| {
            let since = now.since(at);
            since >= interval || (since >= MIN_SEND_INTERVAL && self.urgent)
        };
        let digest_due = is_due(self.digest_sent, interval);
        let summary_due = relays && is_due(self.relay.last_summary, SUMMARY_INTERVAL);
        if digest_due {
            self.send_digest(now, out);
        }
        if summary_due {
            self.send_summary(now, out);
        }
        if digest_due && summary_due == relays {
            self.urgent = false;
        }
    }

    // Updates the role of this instance in its failure domain.
    fn update_role(&mut self, now: Time, out: &mut Vec<Action>) {
        for id in self.relay.expire(now) {
            let note = Note::new(Severity::Notable, "instance-silent").with("instance", id);
            out.push(Action::Log(note));
        }
        let stops = self.stopping.is_some();
        let domain = DomainState {
            size: self.members.domain_size(),
            starting: self.members.is_starting(now),
            relay_missing: !stops && self.members.is_relay_missing(now),
            outranked: self.members.is_outranked(now, stops),
        };
        if let Some((from, to)) = self.relay.advance(now, &domain) {
            let note = Note::new(Severity::Notable, "relay")
                .with("from", format!("{from:?}"))
                .with("to", format!("{to:?}"));
            out.push(Action::Log(note));
        }
    }

    fn send_digest(&mut self, now: Time, out: &mut Vec<Action>) {
        self.digest_sent = now;
        self.digest_count += 1;
        let presence = if self.stopping.is_some() {
            Presence::Leaving
        } else {
            Presence::Live
        };
        let me = self.members.me();
        let (from, run) = (me.entry.id.clone(), me.run);
        let (rate, demands) = self.quotas.report(now, self.digest_count);
        let digest = Arc::new(Digest {
            from,
            run,
            sequence: self.digest_count,
            presence,
            ready: self.is_ready(),
            reaches_store: self.follows_store(),
            late: self.pace.is_late(),
            doubts_store: self.doubts_store(now),
            settled: self.has_settled(now),
            legacy_revision: 0,
            changed: self.changed,
            rate,
            demands,
            workloads: self.workload.report(now),
            moves: self.moves.reports(now),
            crashes: self.crashes.report(),
            known_crashes: self.crashes.known(now),
        });
        self.relay.store_digest(now, Arc::clone(&digest));
        for to in self.members.digest_recipients(now) {
            let message = Message::Digest(Arc::clone(&digest));
            out.push(Action::Send { to, message });
        }
        self.last_digest = Some(digest);
    }

    fn send_summary(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(digest) = self.last_digest.clone() else {
            return;
        };
        let domain = self.members.me().entry.domain.clone();
        let summary = Arc::new(self.relay.summarize(now, &digest, domain));
        self.send_to_domain(&summary, out);
        if summary.partial {
            return;
        }
        for to in self.members.summary_recipients(now) {
            let message = Message::Summary(Arc::clone(&summary));
            out.push(Action::Send { to, message });
        }
        self.apply_summary(now, summary, out);
    }

    fn send_to_domain(&self, summary: &Arc<Summary>, out: &mut Vec<Action>) {
        for to in self.members.domain_peers() {
            let message = Message::Summary(Arc::clone(summary));
            out.push(Action::Send { to, message });
        }
    }
}
