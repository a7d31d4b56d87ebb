//! Two rings that one duty receives from, of which one goes first.

use async_channel::Receiver;
use async_channel::RecvError;
use futures_lite::future::FutureExt as _;

/// The receiving ends of two rings.
#[derive(Debug)]
pub struct Prioritized<T> {
    urgent: Receiver<T>,
    ordinary: Receiver<T>,
}

impl<T> Prioritized<T> {
    /// Creates the receiving end of both rings.
    pub fn new(urgent: Receiver<T>, ordinary: Receiver<T>) -> Self {
        Self { urgent, ordinary }
    }

    /// Receives the next input, from the urgent ring if it has one.
    ///
    /// Inputs of one ring keep their order. Nothing is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the urgent ring is closed and empty, or if the ordinary one is and
    /// the urgent one is empty.
    pub async fn next(&self) -> Result<T, RecvError> {
        if let Ok(input) = self.urgent.try_recv() {
            return Ok(input);
        }
        self.urgent.recv().or(self.ordinary.recv()).await
    }
}
