//! The backend servers of one service in one region, with their load and slots.

use corianderway_model::Region;
use corianderway_model::Service;
use corianderway_model::Version;

use crate::load::Load;
use crate::server::Server;

// Minimum share of its slots that a usable backend server counts in the limit of
// a region. With their weight alone, a region in which all backend servers are
// cold or suspect would have next to no room.
const MIN_COUNTED_SHARE: f64 = 0.5;

// Factor by which one instance may exceed its equal share of the slots for a
// moment while load reports are missing.
const UNREPORTED_BURST: f64 = 2.0;

/// The backend servers of one service in one region, by version.
///
/// The sums cover the usable backend servers, except `own`, which covers all.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) service: Service,
    pub(crate) region: Region,
    pub(crate) pools: Vec<Pool>,
    // Requests in flight of this instance.
    pub(crate) own: f64,
    // Expected requests in flight of other instances.
    pub(crate) others: f64,
    // Share of the slots without trusted load reports.
    pub(crate) unreported: f64,
    pub(crate) slots: f64,
    pub(crate) usable: usize,
}

/// The backend servers of one version in a group.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    pub(crate) version: Version,
    // Indices in `Fleet::servers`.
    pub(crate) members: Vec<u32>,
    pub(crate) usable: Vec<u32>,
    // Mean in seconds of the members' latencies; zero when nothing was measured.
    pub(crate) latency: f64,
}

/// How full a service is in a region.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Occupancy {
    /// Requests in flight from all instances, as far as known.
    pub in_flight: f64,
    /// Number of requests that its usable backend servers can run at once.
    pub slots: f64,
}

impl Occupancy {
    /// Returns the number of free slots, at least zero.
    pub fn free(self) -> f64 {
        (self.slots - self.in_flight).max(0.0)
    }

    /// Returns the requests in flight over the slots, or infinity without slots.
    pub fn utilization(self) -> f64 {
        if self.slots > 0.0 {
            self.in_flight / self.slots
        } else {
            f64::INFINITY
        }
    }
}

impl Group {
    pub(crate) fn new(service: Service, region: Region) -> Self {
        Self {
            service,
            region,
            pools: Vec::new(),
            own: 0.0,
            others: 0.0,
            unreported: 0.0,
            slots: 0.0,
            usable: 0,
        }
    }

    // Without trusted reports an instance may use its equal share of the slots
    // on average, and `UNREPORTED_BURST` times that for a moment.
    pub(crate) fn occupancy(&self, instance_count: f64) -> Occupancy {
        // The current number of requests varies around its mean by about the
        // square root, so the lower end of that range is used.
        let others = self.others - self.others.sqrt();
        let expected = self.own + others.max(0.0);
        let burst = self.unreported * self.own * instance_count / UNREPORTED_BURST;
        Occupancy {
            in_flight: expected.max(burst),
            slots: self.slots,
        }
    }

    // Updates the sums for a change of one backend server's load, without
    // adding up all backend servers again.
    pub(crate) fn update_load(&mut self, before: &Load, server: &Server) {
        if !server.state.is_usable() {
            return;
        }
        let slots = server.slots() * counted_share(server.weight);
        let trust_lost = before.trust - server.load.trust;
        self.others = (self.others + server.load.capped_others - before.capped_others).max(0.0);
        self.unreported =
            (self.unreported + trust_lost * slots / self.slots.max(1.0)).clamp(0.0, 1.0);
    }

    pub(crate) fn pool(&self, version: &Version) -> Option<&Pool> {
        self.pools.iter().find(|p| p.version == *version)
    }

    pub(crate) fn add_pool(&mut self, version: &Version) -> usize {
        if let Some(at) = self.pools.iter().position(|p| p.version == *version) {
            return at;
        }
        let pool = Pool {
            version: version.clone(),
            members: Vec::new(),
            usable: Vec::new(),
            latency: 0.0,
        };
        // A pool without members is reused.
        if let Some(at) = self.pools.iter().position(|p| p.members.is_empty()) {
            self.pools[at] = pool;
            return at;
        }
        self.pools.push(pool);
        self.pools.len() - 1
    }
}

pub(crate) fn counted_share(weight: f64) -> f64 {
    if weight > 0.0 {
        weight.max(MIN_COUNTED_SHARE)
    } else {
        0.0
    }
}
