//! Wakes the tasks of a duty when something that they share has changed.

use std::cell::RefCell;

use async_channel::Receiver;
use async_channel::Sender;

/// Wakes every subscribed task.
#[derive(Debug, Default)]
pub struct Notifier(RefCell<Vec<Sender<()>>>);

impl Notifier {
    /// Wakes every subscriber; one that is already to be woken needs no second signal.
    pub fn notify(&self) {
        let mut subscribers = self.0.borrow_mut();
        subscribers.retain(|subscriber| !subscriber.is_closed());
        for subscriber in subscribers.iter() {
            let _ = subscriber.try_send(());
        }
    }

    /// Returns whether there is anyone to wake.
    pub fn has_subscribers(&self) -> bool {
        self.0
            .borrow()
            .iter()
            .any(|subscriber| !subscriber.is_closed())
    }

    /// Returns the receiver of a new subscriber, which ends when it is dropped.
    pub fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut subscribers = self.0.borrow_mut();
        subscribers.retain(|subscriber| !subscriber.is_closed());
        subscribers.push(sender);
        receiver
    }
}
