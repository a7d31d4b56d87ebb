//! Waiting for a ring or for time to pass, on the waiting thread itself.

use std::future::Future;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

/// Waits for a future for at most `span`, with the thread parked.
///
/// No timer of the reactor is set, so another thread is not woken for it.
pub fn wait_for<T>(future: impl Future<Output = T>, span: Duration) -> Option<T> {
    let (parker, unparker) = parking::pair();
    let waker = Waker::from(unparker);
    let mut context = Context::from_waker(&waker);
    let mut future = pin!(future);
    let end = Instant::now() + span;
    loop {
        if let Poll::Ready(value) = future.as_mut().poll(&mut context) {
            return Some(value);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        parker.park_timeout(left);
    }
}
