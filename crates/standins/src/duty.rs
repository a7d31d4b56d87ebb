//! Bounded rings between the threads of a stand-in.

use std::future::Future;

use async_channel::Receiver;
use async_channel::Sender;

/// Calls that wait for a duty before further callers wait as well.
const RING_CALLS: usize = 1024;

/// A call to a duty, and where its answer goes.
#[derive(Debug)]
pub struct Call<E, A> {
    /// What is asked.
    pub event: E,
    /// Where the answer goes; dropped to answer nothing at all.
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
    /// Opens a ring; a full one makes its callers wait.
    pub fn open() -> (Self, Receiver<Call<E, A>>) {
        let (sender, receiver) = async_channel::bounded(RING_CALLS);
        (Self(sender), receiver)
    }

    /// Asks the duty and waits; `None` when it answers nothing.
    pub async fn ask(&self, event: E) -> Option<A> {
        self.send(event).await.recv().await.ok()
    }

    /// Asks the duty and gives back where its answers arrive.
    pub async fn send(&self, event: E) -> Receiver<A> {
        let (reply, answers) = async_channel::bounded(1);
        // A duty that has ended drops the call, so the receiver reports it.
        drop(self.0.send(Call { event, reply }).await);
        answers
    }
}

/// Runs a duty on a thread of its own.
///
/// # Panics
///
/// Panics when the operating system gives no thread.
pub fn spawn<F: Future<Output = ()>>(name: &str, start: impl FnOnce() -> F + Send + 'static) {
    let body = move || async_std::task::block_on(start());
    let thread = std::thread::Builder::new().name(name.into());
    thread.spawn(body).expect("a thread for each duty");
}
