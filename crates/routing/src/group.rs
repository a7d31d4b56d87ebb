//! The backend servers of one service in one region.

use corianderway_model::Region;
use corianderway_model::Service;
use corianderway_model::Version;

use crate::load::Load;
use crate::server::Server;

// Backend servers that are cold or suspect count at least this part of their
// slots in the bound of a region, or a whole set of new ones could serve nobody.
const LEAST_PART: f64 = 0.5;

// How far one instance may go beyond its part at once while reports are missing.
const BURST: f64 = 2.0;

/// The backend servers of one service in one region, by version.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) service: Service,
    pub(crate) region: Region,
    pub(crate) pools: Vec<Pool>,
    // Requests of this instance in flight.
    pub(crate) own: f64,
    // Requests expected from other instances.
    pub(crate) others: f64,
    // The part of the slots without believed reports.
    pub(crate) blind: f64,
    pub(crate) slots: f64,
    pub(crate) usable: usize,
}

/// The backend servers of one version in a group.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    pub(crate) version: Version,
    pub(crate) members: Vec<u32>,
    pub(crate) usable: Vec<u32>,
    pub(crate) latency: f64,
}

/// How full a group is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Occupancy {
    /// Requests in flight from all instances, as far as known.
    pub taken: f64,
    /// Requests that its usable backend servers run at once.
    pub slots: f64,
}

impl Occupancy {
    /// The slots that are free, at or above zero.
    pub fn free(self) -> f64 {
        (self.slots - self.taken).max(0.0)
    }

    /// The part that is taken; 1 and above is full.
    pub fn ratio(self) -> f64 {
        if self.slots > 0.0 {
            self.taken / self.slots
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
            blind: 0.0,
            slots: 0.0,
            usable: 0,
        }
    }

    // Without believed reports an instance may take its equal part of the slots
    // on average, and `BURST` times that at once.
    pub(crate) fn occupancy(&self, instances: f64) -> Occupancy {
        // A mean tells what others send now to within its square root only.
        let others = self.others - self.others.sqrt();
        let expected = self.own + others.max(0.0);
        let burst = self.blind * self.own * instances / BURST;
        Occupancy {
            taken: expected.max(burst),
            slots: self.slots,
        }
    }

    // Counts a change of one backend server's load without the others.
    pub(crate) fn amend(&mut self, before: &Load, server: &Server) {
        if !server.state.is_usable() {
            return;
        }
        let slots = server.slots() * counted_part(server.weight);
        let lost = before.trust - server.load.trust;
        self.others = (self.others + server.load.counted - before.counted).max(0.0);
        self.blind = (self.blind + lost * slots / self.slots.max(1.0)).clamp(0.0, 1.0);
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
        // A version without members gives up its place.
        if let Some(at) = self.pools.iter().position(|p| p.members.is_empty()) {
            self.pools[at] = pool;
            return at;
        }
        self.pools.push(pool);
        self.pools.len() - 1
    }
}

pub(crate) fn counted_part(weight: f64) -> f64 {
    if weight > 0.0 {
        weight.max(LEAST_PART)
    } else {
        0.0
    }
}
