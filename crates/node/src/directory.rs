//! Advises callers on the entry instances to use.

use std::net::IpAddr;
use std::time::Duration;

use corianderway_model::Entry;
use corianderway_model::Time;
use corianderway_routing::Caller;

use crate::event::Action;
use crate::event::RequestId;
use crate::node::Node;

/// How long a caller may use the advice.
pub(crate) const ADVICE_TTL: Duration = Duration::from_secs(10);

impl Node {
    /// Sends a caller the entry instances to use.
    pub(crate) fn advise_caller(&mut self, id: RequestId, client: IpAddr, out: &mut Vec<Action>) {
        let advice = self
            .directory
            .entries_for(Caller::Address(client), &self.me.region);
        let entries = advice.entries.iter().map(|entry| entry.callers).collect();
        let ttl = advice.ttl;
        out.push(Action::Advise { id, entries, ttl });
    }

    /// Updates the directory from the live entry instances.
    pub(crate) fn update_directory(&mut self, now: Time) {
        let live: Vec<Entry> = self.live_entries().map(|e| Entry::clone(e)).collect();
        self.directory.sync(&live, now);
        let departed: Vec<_> = self
            .known_entries()
            .into_iter()
            .filter(|known| live.iter().all(|e| e.id != known.id))
            .collect();
        for entry in departed {
            self.directory.mark_leaving(&entry.id, now);
        }
    }
}
