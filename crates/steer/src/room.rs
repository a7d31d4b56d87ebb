//! The room that the servers of a service have for this instance.

use std::time::Duration;

use corianderway_model::ServerId;
use corianderway_model::Service;
use corianderway_model::Time;

use crate::event::Load;
use crate::fleet::Fleet;

/// Time for which a server that reported itself full receives no requests.
const FULL_BACKOFF: Duration = Duration::from_millis(40);

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

    /// Records that a server turned a request away, with the load that it reported.
    pub(crate) fn turned_away(&mut self, now: Time, id: &ServerId, load: Option<Load>) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if load.is_some_and(Load::has_room) {
            server.record_turned_away(now, true);
        } else {
            server.mark_full(now, FULL_BACKOFF);
            server.shrink_window(now);
        }
    }
}
