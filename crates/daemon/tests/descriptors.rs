//! Instances with fewer file descriptors than callers that hold connections.

mod platform_fleet;

use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use corianderway_standins::estate::entry;
use corianderway_standins::estate::node;
use corianderway_standins::estate::Crashing;
use corianderway_standins::estate::Mode;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Client;
use corianderway_standins::harness::Reply;
use corianderway_standins::harness::Request;

use crate::platform_fleet::Fleet;
use crate::platform_fleet::MIN_SERVED_SHARE;
use crate::platform_fleet::RECOVERY_LIMIT;

/// The number of file descriptors of an instance.
const DESCRIPTORS: u32 = 128;

/// The number of callers of each instance.
const CALLERS: usize = 150;

/// The span over which requests are counted.
const SPAN: Duration = Duration::from_secs(3);

/// The pause of a caller after an answer.
const PAUSE: Duration = Duration::from_millis(10);

/// The pause of a caller whose request was not served and who isn't told when to return.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The deadline that a caller states.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// How long a caller waits for an answer.
const TIME_LIMIT: Duration = Duration::from_secs(2);

/// How long a caller may be kept waiting by connections without requests, whose timeout is
/// longer.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// The number of connections for readiness checks at that limit.
const READINESS_ROOM: usize = 2;

/// How long readiness checks may be kept out.
const MAX_READINESS_WAIT: Duration = Duration::from_secs(15);

/// The requests of all callers.
#[derive(Debug, Default)]
struct Counts {
    asked: AtomicUsize,
    served: AtomicUsize,
    // Those without an answer or a close within the time limit.
    unanswered: AtomicUsize,
    ended: AtomicBool,
}

impl Counts {
    // Returns how many requests were asked, served and unanswered in a span.
    fn during(&self, span: Duration) -> [usize; 3] {
        let counts = [&self.asked, &self.served, &self.unanswered];
        let read = || counts.map(|count| count.load(Ordering::Acquire));
        let before = read();
        thread::sleep(span);
        let after = read();
        [0, 1, 2].map(|at| after[at] - before[at])
    }

    // Asks one instance until the counts are ended, on one connection as long as it is open.
    fn ask(&self, addr: SocketAddr, caller: usize) {
        let mut kept = None;
        while !self.ended.load(Ordering::Acquire) {
            let count = self.asked.fetch_add(1, Ordering::AcqRel);
            let request = Request::new("GET", "/read/1")
                .host(node::HOST)
                .header("Key", "k1")
                .header("Request-Id", format!("r-{caller}-{count}"))
                .header("Deadline-Ms", DEADLINE.as_millis());
            let begun = Instant::now();
            let reply = exchange(&mut kept, addr, &request);
            let is_served = reply.as_ref().is_some_and(|reply| reply.status == 200);
            let is_late = reply.is_none() && begun.elapsed() >= TIME_LIMIT;
            self.served
                .fetch_add(usize::from(is_served), Ordering::AcqRel);
            self.unanswered
                .fetch_add(usize::from(is_late), Ordering::AcqRel);
            let after = reply.and_then(|reply| reply.header("retry-after")?.parse().ok());
            thread::sleep(match after.map(Duration::from_secs_f64) {
                _ if is_served => PAUSE,
                Some(after) => after,
                None => RETRY_PAUSE,
            });
        }
    }
}

// Sends a request on the kept connection or a new one, and keeps it if the answer permits.
fn exchange(kept: &mut Option<Client>, addr: SocketAddr, request: &Request) -> Option<Reply> {
    let mut client = match kept.take() {
        Some(client) => client,
        None => Client::connect(addr).ok()?,
    };
    client.set_read_timeout(TIME_LIMIT).ok()?;
    let reply = client.call(request).ok()?;
    let closes = reply.header("connection") == Some("close");
    *kept = (!closes).then_some(client);
    Some(reply)
}

// Runs a trial while callers ask the instances at these addresses.
fn beside_callers<T>(instances: &[SocketAddr], trial: impl FnOnce(&Counts) -> T) -> T {
    let counts = Counts::default();
    thread::scope(|scope| {
        for caller in 0..CALLERS * instances.len() {
            let (counts, addr) = (&counts, instances[caller % instances.len()]);
            scope.spawn(move || counts.ask(addr, caller));
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

// Guards against callers' connections that leave no descriptor for backend servers, the
// store or other instances (RECOVER).
#[test]
fn callers_are_served_while_more_come_back_than_there_are_descriptors() {
    let mut fleet = Fleet::start_limited(2, DESCRIPTORS);
    fleet.store.remove("servers", "i-1");
    for number in 2..8 {
        let server = Crashing::start("/none", Duration::ZERO);
        let listed = entry(server.addr, "s1", "a", "ready", 1);
        fleet.store.put("servers", &format!("i-{number}"), &listed);
    }
    let instances = fleet.caller_addrs();
    let [asked, served, unanswered] = beside_callers(&instances, |counts| {
        fleet.restart_all();
        thread::sleep(RECOVERY_LIMIT);
        for instance in &fleet.instances {
            let (port, path) = (node::DIRECTORY_PORT, "/resolve?name=desk.example");
            fleet.until("a lookup", || {
                let reply = instance.call("GET", port, path, &[])?;
                (reply.status == 200).then_some(())
            });
            fleet.until("readiness", || instance.is_ready().then_some(()));
        }
        counts.during(SPAN)
    });
    let figures = format!("{served} of {asked} served, {unanswered} unanswered");
    println!("{figures}");
    assert!(
        served as f64 >= MIN_SERVED_SHARE * asked as f64 && unanswered == 0,
        "{figures}\n{}",
        fleet.logs()
    );
}

// Guards against connections without requests that keep other callers out.
#[test]
fn a_caller_is_served_beside_idle_connections_that_use_all_room() {
    let fleet = Fleet::start_limited(1, DESCRIPTORS);
    let addr = fleet.instances[0].addr(node::CALLERS_PORT);
    let idle: Vec<_> = (0..CALLERS).map(|_| TcpStream::connect(addr)).collect();
    until("an answer", MAX_WAIT, || {
        let request = Request::new("GET", "/read/1")
            .host(node::HOST)
            .header("Key", "k1")
            .header("Request-Id", "r-1");
        let reply = exchange(&mut None, addr, &request)?;
        (reply.status == 200).then_some(())
    })
    .unwrap_or_else(|error| panic!("{error}\n{}", fleet.logs()));
    drop(idle);
}

// Guards against connections that begin a request and never end it, which keep readiness checks
// out.
#[test]
fn readiness_is_answered_beside_requests_that_do_not_end() {
    let fleet = Fleet::start_limited(1, DESCRIPTORS);
    let addr = fleet.instances[0].addr(node::READY_PORT);
    let begin = |_| {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.write_all(b"GET /ready").unwrap();
        stream
    };
    let slow: Vec<_> = (0..READINESS_ROOM).map(begin).collect();
    assert!(!fleet.instances[0].is_ready(), "room beside slow requests");
    until("readiness", MAX_READINESS_WAIT, || {
        fleet.instances[0].is_ready().then_some(())
    })
    .unwrap_or_else(|error| panic!("{error}\n{}", fleet.logs()));
    drop(slow);
}

// Guards against rejected connections that no log line counts, since none follows them.
#[test]
fn all_rejected_connections_are_counted_in_the_log() {
    let fleet = Fleet::start_limited(1, DESCRIPTORS);
    let addr = fleet.instances[0].addr(node::READY_PORT);
    let connections: Vec<_> = (0..CALLERS).map(|_| TcpStream::connect(addr)).collect();
    let count = || -> usize {
        let lines = fleet.instances[0].process.lines();
        let rejected = lines.iter().filter(|l| l.contains("connection-rejected"));
        let counts = rejected.filter_map(|line| {
            let (_, rest) = line.split_once(" count=")?;
            rest.split(' ').next()?.parse::<usize>().ok()
        });
        counts.sum()
    };
    fleet.until("the count of all", || {
        (count() >= CALLERS - READINESS_ROOM).then_some(())
    });
    drop(connections);
}

// Guards against a refusal for lack of room that doesn't tell the caller that nothing ran.
#[test]
fn a_request_without_room_is_refused_with_a_time_to_come_back() {
    let fleet = Fleet::start_limited(1, DESCRIPTORS);
    fleet.endpoint.set_mode(Mode::Slow(Duration::from_secs(1)));
    let instances = fleet.caller_addrs();
    let refused = beside_callers(&instances, |_| {
        fleet.until("a refusal", || {
            let request = Request::new("GET", "/slow/1").host(node::HOST);
            let request = request.header("Request-Id", "r-1");
            let reply = exchange(&mut None, instances[0], &request)?;
            reply.text().contains("crowded").then_some(reply)
        })
    });
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("connection"), Some("close"));
    let after = refused.header("retry-after").and_then(|s| s.parse().ok());
    assert!(after.is_some_and(|after: f64| after > 0.0), "{refused:?}");
}
