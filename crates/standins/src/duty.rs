//! Duties of a stand-in, each on its own thread, and the bounded rings between them.

use std::future::Future;

use async_channel::Receiver;
use async_channel::Sender;

/// The number of pending calls at which a ring blocks its senders.
const RING_CAPACITY: usize = 1024;

/// A call to a duty, with the channel for its reply.
#[derive(Debug)]
pub struct Call<E, A> {
    /// The event to handle.
    pub event: E,
    /// Receives the reply; dropped when there is none.
    pub reply: Sender<A>,
}

/// The sending end of a duty's ring.
#[derive(Debug)]
pub struct Ring<E, A>(Sender<Call<E, A>>);

impl<E, A> Clone for Ring<E, A> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<E, A> Ring<E, A> {
    /// Creates a ring; senders wait while it is full.
    pub fn open() -> (Self, Receiver<Call<E, A>>) {
        let (sender, receiver) = async_channel::bounded(RING_CAPACITY);
        (Self(sender), receiver)
    }

    /// Calls the duty and waits for its reply; `None` when it drops the call.
    pub async fn ask(&self, event: E) -> Option<A> {
        self.send(event).await.recv().await.ok()
    }

    /// Calls the duty and returns the receiver of its reply.
    pub async fn send(&self, event: E) -> Receiver<A> {
        let (reply, replies) = async_channel::bounded(1);
        // If the duty has ended, the call is dropped and the receiver is closed.
        drop(self.0.send(Call { event, reply }).await);
        replies
    }
}

/// Spawns a thread that runs a duty.
///
/// # Panics
///
/// Panics when the operating system can't create a thread.
pub fn spawn<F: Future<Output = ()>>(name: &str, start: impl FnOnce() -> F + Send + 'static) {
    let body = move || async_std::task::block_on(start());
    let thread = std::thread::Builder::new().name(name.into());
    thread
        .spawn(body)
        .expect("the operating system creates a thread for the duty");
}
