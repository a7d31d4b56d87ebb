//! Which entry instances there are, and which of them a caller should use.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Entry;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::event::Action;
use crate::event::RequestId;
use crate::node::Node;

/// How long a caller may keep the advice.
const ADVICE: Duration = Duration::from_secs(10);

impl Node {
    /// Tells a caller which entry instances to use.
    pub(crate) fn direct(&mut self, id: RequestId, client: IpAddr, out: &mut Vec<Action>) {
        let mut entries: Vec<&Arc<Entry>> = self.live_entries().collect();
        entries.sort_by_key(|entry| {
            let far = entry.region != self.me.region;
            (far, std::cmp::Reverse(weight(entry, client)))
        });
        let entries = entries.into_iter().map(|e| e.callers).collect();
        let ttl = ADVICE;
        out.push(Action::Direct { id, entries, ttl });
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
