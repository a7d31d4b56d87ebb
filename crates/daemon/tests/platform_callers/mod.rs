//! Callers that never stop asking, each with one request at a time on a new connection.
#![allow(dead_code, reason = "each test program uses some of these items")]

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use corianderway_standins::estate::node;
use corianderway_standins::harness::call;
use corianderway_standins::harness::Request;

/// The pause of a caller after an answer.
const PAUSE: Duration = Duration::from_millis(10);

/// The number of callers.
const CALLERS: usize = 16;

/// The requests of all callers.
#[derive(Debug, Default)]
pub struct Counts {
    asked: AtomicUsize,
    served: AtomicUsize,
    ended: AtomicBool,
}

impl Counts {
    /// Returns how many of the requests of a span were served, and their number.
    pub fn during(&self, span: Duration) -> (usize, usize) {
        let read = || [&self.served, &self.asked].map(|count| count.load(Ordering::Acquire));
        let before = read();
        thread::sleep(span);
        let after = read();
        (after[0] - before[0], after[1] - before[1])
    }
}

/// Runs `trial` while callers ask the instances at these addresses for `path`.
pub fn beside<T>(instances: &[SocketAddr], path: &str, trial: impl FnOnce(&Counts) -> T) -> T {
    call_beside(instances, |_| Request::new("GET", path), trial)
}

/// Runs `trial` while callers ask the instances at these addresses, each time for another path.
pub fn beside_each<T>(instances: &[SocketAddr], trial: impl FnOnce(&Counts) -> T) -> T {
    let request = |count| Request::new("GET", &format!("/read/{count}"));
    call_beside(instances, request, trial)
}

/// Runs `trial` while callers ask the instances at these addresses for this many objects in turn.
pub fn beside_objects<T>(
    instances: &[SocketAddr],
    objects: usize,
    trial: impl FnOnce(&Counts) -> T,
) -> T {
    let request = |count| {
        let object = count % objects;
        Request::new("GET", &format!("/read/{object}"))
            .header("Cookie", format!("Affinity-Key={object}"))
    };
    call_beside(instances, request, trial)
}

fn call_beside<T>(
    instances: &[SocketAddr],
    request: impl Fn(usize) -> Request + Sync,
    trial: impl FnOnce(&Counts) -> T,
) -> T {
    let counts = Counts::default();
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (counts, request) = (&counts, &request);
            let addr = instances[caller % instances.len()];
            scope.spawn(move || {
                while !counts.ended.load(Ordering::Acquire) {
                    let count = counts.asked.fetch_add(1, Ordering::AcqRel);
                    let request = request(count)
                        .host(node::HOST)
                        .header("Key", "k1")
                        .header("Request-Id", format!("r-{caller}-{count}"))
                        .header("Deadline-Ms", 2_000);
                    let is_served = call(addr, &request).is_ok_and(|reply| reply.status == 200);
                    counts
                        .served
                        .fetch_add(usize::from(is_served), Ordering::AcqRel);
                    thread::sleep(PAUSE);
                }
            });
        }
        let ended = EndOnDrop(&counts.ended);
        let outcome = trial(&counts);
        drop(ended);
        outcome
    })
}

// Ends the callers also when a trial panics.
struct EndOnDrop<'a>(&'a AtomicBool);

impl Drop for EndOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}
