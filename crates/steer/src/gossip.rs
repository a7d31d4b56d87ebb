//! What an instance tells the others, and what it concludes from what they tell.

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Presence;
use corianderway_model::Time;

use crate::digest::Digest;
use crate::event::Action;
use crate::event::Reach;
use crate::note::Note;
use crate::note::Weight;
use crate::steer::Steer;

/// The time between two digests when nothing important happens.
const DIGEST: Duration = Duration::from_secs(1);

/// The time between the first digests of an instance, whose demands and
/// neighbours are not known yet.
const DIGEST_YOUNG: Duration = Duration::from_millis(300);

/// How many digests are sent so soon after each other.
const YOUNG_DIGESTS: u64 = 12;

/// The least time between two digests.
const DIGEST_LEAST: Duration = Duration::from_millis(100);

/// How long a change that others have seen may be on its way here.
const DEAF: Duration = Duration::from_millis(500);

impl Steer {
    /// Takes the digest of another instance.
    pub(crate) fn take_digest(&mut self, now: Time, digest: Digest, out: &mut Vec<Action>) {
        let (from, crashes) = (digest.from.clone(), digest.crashes.clone());
        let moves = digest.moves.clone();
        let known = self.members.is_heard(now, &from);
        if !self.members.hear(now, digest) {
            return;
        }
        if !known {
            let note = Note::new(Weight::Notable, "instance-heard").with("instance", &from);
            out.push(Action::Log(note));
        }
        self.crashes.merge(now, &crashes);
        let turns = self.moves.hear(now, &from, &moves);
        self.note_turns(turns, out);
    }

    /// Has the store read anew once other instances have seen later changes:
    /// a watch that no longer hears shows by that.
    pub(crate) fn check_watches(&mut self, now: Time, out: &mut Vec<Action>) {
        let latest = self.members.heard(now).map(|(_, d)| d.revision).max();
        if latest.unwrap_or(0) <= self.revision || self.reach.0 != Reach::Store {
            self.deaf = None;
            return;
        }
        let since = *self.deaf.get_or_insert(now);
        if now.since(since) >= DEAF {
            self.deaf = Some(now);
            let note = Note::new(Weight::Notable, "watch-deaf")
                .with("seen", self.revision)
                .with("told", latest.unwrap_or(0));
            out.push(Action::Log(note));
            out.push(Action::Reread);
        }
    }

    /// Tells the other instances once in a while, and soon after what matters.
    pub(crate) fn tell(&mut self, now: Time, out: &mut Vec<Action>) {
        let since = now.since(self.told);
        let young = self.digests < YOUNG_DIGESTS;
        let period = if young { DIGEST_YOUNG } else { DIGEST };
        if since < DIGEST_LEAST || (since < period && !self.urgent) {
            return;
        }
        self.told = now;
        let urgent = std::mem::take(&mut self.urgent);
        self.digests += 1;
        let presence = if self.stopping.is_some() {
            Presence::Leaving
        } else {
            Presence::Live
        };
        let me = self.members.me();
        let digest = Arc::new(Digest {
            from: me.entry.id.clone(),
            run: me.run,
            number: self.digests,
            presence,
            ready: self.is_ready(),
            stored: self.reach.0 == Reach::Store,
            revision: self.revision,
            demands: self.quotas.tell(now),
            moves: self.moves.tell(now),
            crashes: self.crashes.tell(),
        });
        for to in self.members.audience(self.digests, urgent) {
            let digest = Arc::clone(&digest);
            out.push(Action::Send { to, digest });
        }
    }
}
