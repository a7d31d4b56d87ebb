//! What the open reads and writes of the platform are for.

use std::sync::Arc;

use corianderway_model::Service;
use corianderway_rollout::DrainScope;

use crate::event::Ticket;

/// What a read or write is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Putting back an object that the store has lost.
    Restore,
    /// Removing an old claim.
    Removal,
    /// Reading or writing the epoch of the limits, under their nonce.
    Epoch(u64),
    /// Reading or writing the claim of this name, under the number of the call.
    Claim(Arc<str>, u64),
    /// Reading the move of a service, or writing this text.
    Move(Service, Option<Arc<str>>),
    /// Reading a drain, or writing this text.
    Drain(DrainScope, Option<Arc<str>>),
}

/// Open reads and writes.
#[derive(Debug, Default)]
pub(crate) struct Tickets {
    last: u64,
    // Sorted by number; numbers go up, so each is added at the end.
    open: Vec<(Ticket, Purpose)>,
}

impl Tickets {
    /// Numbers a read or write.
    pub(crate) fn issue(&mut self, purpose: Purpose) -> Ticket {
        self.last += 1;
        let ticket = Ticket(self.last);
        self.open.push((ticket, purpose));
        ticket
    }

    /// Ends a read or write, and says what it was for.
    pub(crate) fn settle(&mut self, ticket: Ticket) -> Option<Purpose> {
        let at = self.open.binary_search_by_key(&ticket, |row| row.0).ok()?;
        Some(self.open.remove(at).1)
    }
}
