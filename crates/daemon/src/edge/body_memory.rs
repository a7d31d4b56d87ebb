//! The memory budget for bodies, which all connections share.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Bodies may use the process's memory divided by this: while a body is read and
/// written it briefly uses up to three times its length.
const MEMORY_DIVISOR: u64 = 8;

/// The memory budget for bodies; clones share it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    reserved: Arc<AtomicUsize>,
    max_bytes: usize,
}

/// The memory reserved for one body; released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: BodyMemory,
    bytes: usize,
}

impl BodyMemory {
    /// Creates the budget of a process with this much memory, in bytes.
    pub fn for_process(bytes: u64) -> Self {
        Self {
            reserved: Arc::default(),
            max_bytes: usize::try_from(bytes / MEMORY_DIVISOR).unwrap_or(usize::MAX),
        }
    }

    /// Returns the count of the reserved bytes.
    pub fn reserved(&self) -> &Arc<AtomicUsize> {
        &self.reserved
    }

    /// Creates an empty reservation for one body.
    pub fn reservation(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl Reservation {
    /// Creates an empty reservation in the same budget.
    pub fn sibling(&self) -> Self {
        self.budget.reservation()
    }

    /// Returns whether the budget suffices for this many bytes while no other body uses it.
    pub fn can_hold(&self, bytes: u64) -> bool {
        bytes <= self.budget.max_bytes as u64
    }

    /// Raises the reservation to this many bytes; returns false if that exceeds the
    /// budget. The bytes stay reserved until the drop either way.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let reserved = self.budget.reserved.fetch_add(added, Ordering::AcqRel) + added;
        self.bytes += added;
        added == 0 || reserved <= self.budget.max_bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
