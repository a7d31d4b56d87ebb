//! The requests that the instances have in flight at a version or a scope that gets
//! no new ones.

use corianderway_model::InstanceId;

/// The latest count of requests in flight of each instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight {
    // Sorted by instance.
    counts: Vec<Count>,
}

#[derive(Clone, Debug)]
struct Count {
    instance: InstanceId,
    seen: u64,
    busy: u64,
}

impl InFlight {
    /// Records the count of an instance that has applied version `seen` of the record.
    /// A count at an earlier version than the latest one is ignored.
    pub(crate) fn update(&mut self, instance: &InstanceId, seen: u64, busy: u64) {
        let count = Count {
            instance: instance.clone(),
            seen,
            busy,
        };
        match self.index_of(instance) {
            Ok(index) if self.counts[index].seen <= seen => self.counts[index] = count,
            Ok(_) => {}
            Err(index) => self.counts.insert(index, count),
        }
    }

    /// Returns whether every live instance has applied `version` and has no request in
    /// flight.
    pub(crate) fn is_idle(&self, live: &[InstanceId], version: u64) -> bool {
        let ended = |id| {
            let count = self.index_of(id).ok().map(|index| &self.counts[index]);
            count.is_some_and(|c| c.seen >= version && c.busy == 0)
        };
        !live.is_empty() && live.iter().all(ended)
    }

    /// Returns the requests in flight at all live instances.
    pub(crate) fn total(&self, live: &[InstanceId]) -> u64 {
        let found = live.iter().filter_map(|id| self.index_of(id).ok());
        found.map(|index| self.counts[index].busy).sum()
    }

    fn index_of(&self, instance: &InstanceId) -> Result<usize, usize> {
        self.counts.binary_search_by(|c| c.instance.cmp(instance))
    }
}
