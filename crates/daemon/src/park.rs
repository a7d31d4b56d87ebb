//! Waits for a future with a timeout by parking the calling thread.

use std::future::Future;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

/// Polls a future until it is ready or `timeout` has passed, and parks the thread
/// between polls.
///
/// It sets no timer in the reactor, so no other thread is woken.
pub fn wait_for<T>(future: impl Future<Output = T>, timeout: Duration) -> Option<T> {
    let (parker, unparker) = parking::pair();
    let waker = Waker::from(unparker);
    let mut context = Context::from_waker(&waker);
    let mut future = pin!(future);
    let deadline = Instant::now() + timeout;
    loop {
        if let Poll::Ready(value) = future.as_mut().poll(&mut context) {
            return Some(value);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        parker.park_timeout(left);
    }
}
