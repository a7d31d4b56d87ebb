//! What an instance tells the others, and what it concludes from what they tell.

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
use crate::note::Weight;
use crate::relay::Domain;
use crate::relay::News;
use crate::relay::Role;
use crate::source::Order;
use crate::source::Signal as SourceSignal;
use crate::source::Source;
use crate::source::State as SourceState;
use crate::steer::Steer;

/// The time between two digests when nothing important happens.
const DIGEST: Duration = Duration::from_secs(1);

/// The time between the first digests of an instance, whose demands and
/// neighbours are not known yet.
const DIGEST_YOUNG: Duration = Duration::from_millis(300);

/// How many digests are sent so soon after each other.
const YOUNG_DIGESTS: u64 = 12;

/// The time between two summaries of a failure domain.
const SUMMARY: Duration = Duration::from_millis(500);

/// The least time between two digests, and between two summaries.
const LEAST: Duration = Duration::from_millis(100);

/// How long a change that others have seen may be on its way here.
const DEAF: Duration = Duration::from_millis(500);

impl Steer {
    /// Takes what another instance tells.
    pub(crate) fn hear(&mut self, now: Time, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Digest(digest) => self.take_digest(now, digest, out),
            Message::Summary(summary) => {
                let far = summary.domain != self.members.me().entry.domain;
                let news = self.take_summary(now, Arc::clone(&summary), out);
                if news && far && self.relay.role == Role::Relaying {
                    self.tell_siblings(&summary, out);
                }
            }
            Message::Ask(ask) => self.lend(now, &ask, out),
            Message::Lend(lend) => self.take_lent(now, &lend, out),
        }
    }

    fn take_digest(&mut self, now: Time, digest: Arc<Digest>, out: &mut Vec<Action>) {
        if self.members.sibling(&digest.from).is_none() {
            return;
        }
        let news = self.relay.gather(now, Arc::clone(&digest));
        if news == News::Stale {
            return;
        }
        self.urgent |= news > News::Usual && self.relay.role == Role::Relaying;
        if news == News::Standing {
            let note = Note::new(Weight::Notable, "instance-heard")
                .with("instance", &digest.from)
                .with("ready", digest.ready)
                .with("stored", digest.stored)
                .with("presence", format!("{:?}", digest.presence));
            out.push(Action::Log(note));
        }
        let turns = self.moves.follow(now, digest.from.as_str(), &digest.moves);
        self.note_turns(turns, out);
    }

    // Takes the state of a failure domain; false if it is not news.
    fn take_summary(&mut self, now: Time, summary: Arc<Summary>, out: &mut Vec<Action>) -> bool {
        if !self.members.hear(now, Arc::clone(&summary)) {
            return false;
        }
        self.crashes.merge(now, &summary.crashes);
        let turns = self.moves.hear(now, &summary.domain, &summary.moves);
        self.note_turns(turns, out);
        if summary.domain == self.members.me().entry.domain {
            let standing = summary.standing(self.members.hash());
            if let Some(standing) = standing {
                self.quotas.acknowledge(standing.number());
            }
            self.share_quotas(now);
        }
        self.offers = self.members.offers(now);
        true
    }

    /// Whether this instance follows the store itself, so that others may
    /// follow its copy.
    pub(crate) fn is_stored(&self) -> bool {
        self.sources.state == SourceState::Following && self.reach.0 == Reach::Store
    }

    /// Lets the choice of what is followed go on.
    pub(crate) fn choose_source(&mut self, now: Time, signal: SourceSignal, out: &mut Vec<Action>) {
        let mut copies = self.members.copies(now, &self.seeds);
        copies.behind = self.deaf;
        for order in self.sources.advance(now, signal, &copies) {
            let source = match order {
                Order::Probe => {
                    out.push(Action::Probe);
                    continue;
                }
                Order::Follow(source) => source,
            };
            let note = Note::new(Weight::Notable, "source")
                .with("to", format!("{source:?}"))
                .with("near", copies.near.len())
                .with("far", copies.far.len())
                .with("rank", copies.ahead.len());
            out.push(Action::Log(note));
            if source == Source::Nothing {
                self.take_reach(now, Reach::Nothing, out);
            }
            self.urgent = true;
            out.push(Action::Follow(source));
        }
    }

    /// Notes since when other instances have seen later changes, and has the
    /// store read anew then: a watch that no longer hears shows by that.
    pub(crate) fn check_watches(&mut self, now: Time, out: &mut Vec<Action>) {
        let latest = self.members.summaries(now).map(|s| s.revision).max();
        if latest.unwrap_or(0) <= self.revision {
            self.deaf = None;
            return;
        }
        let since = *self.deaf.get_or_insert(now);
        let due = now.since(since.max(self.reread)) >= DEAF;
        if due && self.sources.state == SourceState::Following {
            self.reread = now;
            let note = Note::new(Weight::Notable, "watch-deaf")
                .with("seen", self.revision)
                .with("told", latest.unwrap_or(0));
            out.push(Action::Log(note));
            out.push(Action::Reread);
        }
    }

    /// Tells the other instances once in a while, and soon after what matters.
    pub(crate) fn tell(&mut self, now: Time, out: &mut Vec<Action>) {
        self.take_role(now, out);
        let relays = self.relay.role != Role::Member;
        let period = match (relays, self.digests < YOUNG_DIGESTS) {
            (_, true) => DIGEST_YOUNG,
            (true, false) => SUMMARY,
            (false, false) => DIGEST,
        };
        let is_due = |at: Time, period| {
            let since = now.since(at);
            since >= period || (since >= LEAST && self.urgent)
        };
        let digest_due = is_due(self.told, period);
        let summary_due = relays && is_due(self.relay.told, SUMMARY);
        if digest_due {
            self.tell_digest(now, out);
        }
        if summary_due {
            self.tell_summary(now, out);
        }
        if digest_due && summary_due == relays {
            self.urgent = false;
        }
    }

    // Takes or leaves the role of the relay.
    fn take_role(&mut self, now: Time, out: &mut Vec<Action>) {
        for id in self.relay.expire(now) {
            let note = Note::new(Weight::Notable, "instance-silent").with("instance", id);
            out.push(Action::Log(note));
        }
        let stops = self.stopping.is_some();
        let domain = Domain {
            size: self.members.domain_size(),
            young: self.members.is_young(now),
            vacant: !stops && self.members.is_vacant(now),
            outranked: self.members.is_outranked(now, stops),
        };
        if let Some((from, to)) = self.relay.advance(now, &domain) {
            let note = Note::new(Weight::Notable, "relay")
                .with("from", format!("{from:?}"))
                .with("to", format!("{to:?}"));
            out.push(Action::Log(note));
        }
    }

    fn tell_digest(&mut self, now: Time, out: &mut Vec<Action>) {
        self.told = now;
        self.digests += 1;
        let presence = if self.stopping.is_some() {
            Presence::Leaving
        } else {
            Presence::Live
        };
        let me = self.members.me();
        let (from, run) = (me.entry.id.clone(), me.run);
        let (rate, demands) = self.quotas.tell(now, self.digests);
        let digest = Arc::new(Digest {
            from,
            run,
            number: self.digests,
            presence,
            ready: self.is_ready(),
            stored: self.is_stored(),
            revision: self.revision,
            rate,
            demands,
            works: self.workload.tell(now),
            moves: self.moves.tell(now),
            crashes: self.crashes.tell(),
        });
        self.relay.gather(now, Arc::clone(&digest));
        for to in self.members.candidates(now) {
            let message = Message::Digest(Arc::clone(&digest));
            out.push(Action::Send { to, message });
        }
        self.digest = Some(digest);
    }

    fn tell_summary(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(digest) = self.digest.clone() else {
            return;
        };
        let domain = self.members.me().entry.domain.clone();
        let summary = Arc::new(self.relay.summarise(now, &digest, domain));
        self.tell_siblings(&summary, out);
        if summary.partial {
            return;
        }
        for to in self.members.relays(now) {
            let message = Message::Summary(Arc::clone(&summary));
            out.push(Action::Send { to, message });
        }
        self.take_summary(now, summary, out);
    }

    fn tell_siblings(&self, summary: &Arc<Summary>, out: &mut Vec<Action>) {
        for to in self.members.siblings() {
            let message = Message::Summary(Arc::clone(summary));
            out.push(Action::Send { to, message });
        }
    }
}
