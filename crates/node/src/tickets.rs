//! The pending reads and writes in the platform's store.

use std::sync::Arc;

use corianderway_model::Service;
use corianderway_rollout::DrainScope;

use crate::event::Ticket;

/// The purpose of a read or write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Restores an object that the store has lost.
    Restore,
    /// Removes an old claim.
    Removal,
    /// Reads or writes the epoch of the limits. Contains the nonce of the quota state
    /// machine's call.
    Epoch(u64),
    /// Reads or writes a claim. Contains its name and the number of the claims state
    /// machine's call.
    Claim(Arc<str>, u64),
    /// Reads the move of a service, or writes this text.
    Move(Service, Option<Arc<str>>),
    /// Reads a drain, or writes this text.
    Drain(DrainScope, Option<Arc<str>>),
}

/// The pending reads and writes by ticket.
#[derive(Debug, Default)]
pub(crate) struct Tickets {
    last: u64,
    // Sorted by ticket. Tickets increase, so each is appended.
    open: Vec<(Ticket, Purpose)>,
}

impl Tickets {
    /// Issues the ticket of a new read or write.
    pub(crate) fn issue(&mut self, purpose: Purpose) -> Ticket {
        self.last += 1;
        let ticket = Ticket(self.last);
        self.open.push((ticket, purpose));
        ticket
    }

    /// Removes a read or write that has ended, and returns its purpose.
    pub(crate) fn finish(&mut self, ticket: Ticket) -> Option<Purpose> {
        let at = self.open.binary_search_by_key(&ticket, |row| row.0).ok()?;
        Some(self.open.remove(at).1)
    }
}
