//! The room that the servers of a service have for this instance.

use std::time::Duration;

use corianderway_model::ServerId;
use corianderway_model::Service;
use corianderway_model::Time;

use crate::fleet::Fleet;

impl Fleet {
    /// Returns whether this instance knows a server that has the state of the object.
    pub(crate) fn is_prepared(&self, service: &Service, object: u64) -> bool {
        let mut servers = self.servers_of(service).iter();
        servers.any(|id| self.server(id).is_some_and(|s| s.has_object(object)))
    }

    /// Returns the utilization of the region's servers of a service by its own callers.
    pub(crate) fn utilization(&self, service: &Service) -> f64 {
        self.placement(service).utilization(self.region())
    }

    /// Returns the number of this instance's requests at the servers of a service.
    pub(crate) fn running(&self, service: &Service) -> usize {
        let servers = self.servers_of(service).iter();
        let servers = servers.filter_map(|id| self.server(id));
        servers.map(|server| server.active() as usize).sum()
    }

    /// Records that a server had no room.
    pub(crate) fn mark_full(&mut self, now: Time, id: &ServerId, span: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            server.mark_full(now, span);
            server.shrink_window(now);
        }
    }
}
