//! Which objects were asked of a peer lately.

use std::time::Duration;

use corianderway_model::Time;

use crate::object::Id;

/// How long an object asked of one peer is not asked of another.
const WANT_TIMEOUT: Duration = Duration::from_millis(500);

/// The objects that were asked of peers and have not come.
#[derive(Clone, Debug, Default)]
pub(crate) struct Wanted {
    // Sorted by identity.
    all: Vec<Asked>,
}

#[derive(Clone, Debug)]
struct Asked {
    id: Id,
    at: Time,
}

impl Wanted {
    /// Drops what was asked for too long ago.
    pub(crate) fn tick(&mut self, now: Time) {
        self.all.retain(|w| now.since(w.at) < WANT_TIMEOUT);
    }

    /// Notes that an object came.
    pub(crate) fn received(&mut self, id: &Id) {
        if let Ok(at) = self.find(id) {
            self.all.remove(at);
        }
    }

    /// Whether an object may be asked for now; if so it counts as asked.
    pub(crate) fn may_ask(&mut self, now: Time, id: &Id) -> bool {
        match self.find(id) {
            Ok(at) if now.since(self.all[at].at) < WANT_TIMEOUT => false,
            Ok(at) => {
                self.all[at].at = now;
                true
            }
            Err(at) => {
                let id = id.clone();
                self.all.insert(at, Asked { id, at: now });
                true
            }
        }
    }

    fn find(&self, id: &Id) -> Result<usize, usize> {
        self.all.binary_search_by(|w| w.id.cmp(id))
    }
}
