//! Which entry instances a caller should use.

use std::net::IpAddr;
use std::time::Duration;

use corianderway_model::Entry;
use corianderway_model::Time;
use corianderway_routing::Caller;

use crate::event::Action;
use crate::event::RequestId;
use crate::node::Node;

/// How long a caller may keep the advice.
pub(crate) const ADVICE: Duration = Duration::from_secs(10);

impl Node {
    /// Tells a caller which entry instances to use.
    pub(crate) fn direct(&mut self, id: RequestId, client: IpAddr, out: &mut Vec<Action>) {
        let advice = self
            .directory
            .entries_for(Caller::Address(client), &self.me.region);
        let entries = advice.entries.iter().map(|entry| entry.callers).collect();
        let ttl = advice.ttl;
        out.push(Action::Direct { id, entries, ttl });
    }

    /// Takes the live entry instances into the directory.
    pub(crate) fn update_directory(&mut self, now: Time) {
        let live: Vec<Entry> = self.live_entries().map(|e| Entry::clone(e)).collect();
        self.directory.sync(&live, now);
        let left: Vec<_> = self
            .known_entries()
            .into_iter()
            .filter(|known| live.iter().all(|e| e.id != known.id))
            .collect();
        for entry in left {
            self.directory.mark_leaving(&entry.id, now);
        }
    }
}
