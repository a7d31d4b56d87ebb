//! A bounded number of connections.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;

/// The slots of one use of connections; clones share them.
#[derive(Clone, Debug)]
pub struct Slots {
    used: Arc<AtomicUsize>,
    max: usize,
    freed: (Sender<()>, Receiver<()>),
}

/// A slot that is in use until it is dropped, also by a panic.
#[derive(Debug)]
pub struct Slot(Slots);

impl Slots {
    /// Creates slots of which none is used. `used` counts them.
    pub fn new(used: Arc<AtomicUsize>, max: usize) -> Self {
        let freed = async_channel::bounded(1);
        Self { used, max, freed }
    }

    /// Takes a slot, if one is free.
    pub fn take(&self) -> Option<Slot> {
        let add = |used| (used < self.max).then_some(used + 1);
        let taken = self
            .used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
        taken.is_ok().then(|| Slot(self.clone()))
    }

    /// Waits for a notification that a slot may be free; it wakes one of those that wait.
    pub async fn changed(&self) {
        // Fails never, since this value holds a sender.
        let _ = self.freed.1.recv().await;
    }

    /// Wakes one of those that wait in [`Self::changed`].
    pub fn notify(&self) {
        // The ring is full if a notification is already there.
        let _ = self.freed.0.try_send(());
    }

    /// Returns the number of slots that are in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Acquire)
    }

    /// Returns the number of slots.
    pub fn max(&self) -> usize {
        self.max
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.used.fetch_sub(1, Ordering::AcqRel);
        self.0.notify();
    }
}
