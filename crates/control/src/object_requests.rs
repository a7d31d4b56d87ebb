//! The objects that were requested from peers and have not arrived.

use std::time::Duration;

use corianderway_model::Time;

use crate::object::Id;

/// The time after which an object may be requested again, from any peer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// The open requests for objects, at most one for each object.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObjectRequests {
    // Sorted by identity.
    all: Vec<Request>,
}

#[derive(Clone, Debug)]
struct Request {
    id: Id,
    requested_at: Time,
}

impl ObjectRequests {
    /// Removes the requests that have timed out.
    pub(crate) fn remove_expired(&mut self, now: Time) {
        self.all
            .retain(|r| now.since(r.requested_at) < REQUEST_TIMEOUT);
    }

    /// Removes the request for an object that has arrived.
    pub(crate) fn received(&mut self, id: &Id) {
        if let Ok(at) = self.find(id) {
            self.all.remove(at);
        }
    }

    /// Records a request for an object, unless one is open. Returns whether it
    /// was recorded, so that the caller must send it.
    pub(crate) fn try_request(&mut self, now: Time, id: &Id) -> bool {
        match self.find(id) {
            Ok(at) if now.since(self.all[at].requested_at) < REQUEST_TIMEOUT => false,
            Ok(at) => {
                self.all[at].requested_at = now;
                true
            }
            Err(at) => {
                let id = id.clone();
                self.all.insert(
                    at,
                    Request {
                        id,
                        requested_at: now,
                    },
                );
                true
            }
        }
    }

    fn find(&self, id: &Id) -> Result<usize, usize> {
        self.all.binary_search_by(|r| r.id.cmp(id))
    }
}
