//! Which entry instances there are, and which of them a caller should use.

use std::net::IpAddr;
use std::time::Duration;

use corianderway_model::Entry;
use corianderway_model::Presence;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::event::Action;
use crate::event::RequestId;
use crate::message::Message;
use crate::node::Node;

/// How long a caller may keep the advice.
const ADVICE: Duration = Duration::from_secs(10);

impl Node {
    /// Tells a caller which entry instances to use.
    pub(crate) fn direct(&mut self, id: RequestId, client: IpAddr, out: &mut Vec<Action>) {
        let mut entries: Vec<&Entry> = self.live_entries().collect();
        entries.sort_by_key(|entry| {
            let far = entry.region != self.me.region;
            (far, std::cmp::Reverse(weight(entry, client)))
        });
        let entries = entries.into_iter().map(|e| e.callers).collect();
        let ttl = ADVICE;
        out.push(Action::Direct { id, entries, ttl });
    }

    /// Every live entry instance, this one among them while it takes work.
    pub(crate) fn live_entries(&self) -> impl Iterator<Item = &Entry> {
        let others = self.entries.iter().filter(|e| e.id != self.me.id);
        std::iter::once(&self.me)
            .chain(others)
            .filter(|e| e.presence == Presence::Live)
    }

    /// Every other entry instance that is known.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|e| e.id != self.me.id)
    }

    /// Tells every peer that this instance is there.
    pub(crate) fn greet(&self, out: &mut Vec<Action>) {
        let known = self.peers().map(|e| e.peers);
        let mut all: Vec<_> = known.chain(self.bootstrap.iter().copied()).collect();
        all.sort_unstable();
        all.dedup();
        for to in all {
            let message = Message::Hello(self.me.clone());
            out.push(Action::Send { to, message });
        }
    }
}

// The rendezvous weight: callers spread evenly, and few move when one
// instance comes or goes.
fn weight(entry: &Entry, client: IpAddr) -> u64 {
    let client = match client {
        IpAddr::V4(v4) => u64::from(v4.to_bits()),
        IpAddr::V6(v6) => (v6.to_bits() >> 64) as u64,
    };
    xxh3_64_with_seed(entry.id.as_str().as_bytes(), client)
}
