//! Pipelined requests on a caller's connection, over real sockets.

mod scripted_fleet;

use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use corianderway_standins::estate::node;
use corianderway_standins::estate::ReceivedRequest;
use corianderway_standins::estate::Step;
use corianderway_standins::harness::until;

use crate::scripted_fleet::response;
use crate::scripted_fleet::Fleet;
use crate::scripted_fleet::WAIT_TIMEOUT;

/// How long a backend server works on a request.
const WORK: Duration = Duration::from_millis(400);

/// The work on requests that run one after the other within the route's timeout.
const SHORT_WORK: Duration = Duration::from_millis(150);

/// The time within which a caller's leave is noticed.
const LEAVE_NOTICE: Duration = Duration::from_millis(500);

/// The time after which an attempt ends by the route's timeout at the earliest.
const STILL_RUNNING: Duration = Duration::from_millis(900);

struct Caller(TcpStream);

// Works on each request, but answers those whose path ends with "now" at once.
fn work(heard: &ReceivedRequest) -> Vec<Step> {
    let answer = Step::Write(response(200, &heard.id, "", &heard.id));
    if heard.target.ends_with("now") {
        vec![answer]
    } else {
        vec![Step::Wait(WORK), answer]
    }
}

fn get(path: &str, id: &str, headers: &str) -> String {
    let host = node::HOST;
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\n{headers}\r\n")
}

impl Caller {
    fn connect(fleet: &Fleet) -> Self {
        let stream = TcpStream::connect(fleet.instance.addr(node::CALLERS_PORT)).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self(stream)
    }

    fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).unwrap();
    }

    // Reads one response; returns its status, its body, and whether it closes.
    fn read(&mut self) -> (u16, String, bool) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.0.read_exact(&mut byte).unwrap();
            head.extend_from_slice(&byte);
        }
        let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
        let length = head.split_once("content-length: ").map_or(0, |(_, rest)| {
            rest.split("\r\n").next().unwrap().parse().unwrap()
        });
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).unwrap();
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let closes = head.contains("connection: close");
        (status, String::from_utf8(body).unwrap(), closes)
    }

    fn ends(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0))
    }
}

fn wait_for_arrivals(fleet: &Fleet, count: usize) {
    fleet.until("arrivals", || {
        (fleet.endpoint.heard().len() >= count).then_some(())
    });
}

// Asserts that the instance soon notes that the callers of this many running requests left.
fn assert_leaves(fleet: &Fleet, running: usize) {
    let noticed = until("the leaves", LEAVE_NOTICE, || {
        let lines = fleet.instance.process.lines();
        let left = lines.iter().filter(|line| line.contains("event=left"));
        (left.count() == running).then_some(())
    });
    let lines = fleet.instance.process.lines();
    assert!(noticed.is_ok(), "{running}: {}", lines.join("\n"));
}

#[test]
fn idempotent_requests_run_beside_each_other_and_are_answered_in_order() {
    let fleet = Fleet::with_servers(4, work);
    let mut caller = Caller::connect(&fleet);
    let begun = Instant::now();
    caller.send(&get("/read/1", "r-0", ""));
    caller.send(&get("/read/now", "r-1", ""));
    caller.send(&get("/read/3", "r-2", ""));
    caller.send(&get("/read/4", "r-3", ""));
    for id in ["r-0", "r-1", "r-2", "r-3"] {
        assert_eq!(caller.read(), (200, id.to_owned(), false));
    }
    let took = begun.elapsed();
    assert!(took >= WORK && took < WORK * 2, "{took:?}");
    // The connection is still good.
    caller.send(&get("/read/now", "r-4", ""));
    assert_eq!(caller.read(), (200, "r-4".to_owned(), false));
}

// Bodies of both framings, in one write with other requests.
#[test]
fn requests_with_bodies_keep_their_places() {
    let fleet = Fleet::with_servers(4, |heard| {
        let answer = response(200, &heard.id, "", &heard.id);
        let body = usize::from(heard.id.starts_with('b')) * 4;
        vec![
            Step::Read(body),
            Step::Wait(SHORT_WORK),
            Step::Write(answer),
        ]
    });
    let mut caller = Caller::connect(&fleet);
    let sized = get("/read/1", "b-0", "Content-Length: 4\r\n") + "body";
    let chunked = get("/once/1", "b-1", "Transfer-Encoding: chunked\r\n");
    let chunked = chunked + "3\r\nbod\r\n1\r\ny\r\n0\r\n\r\n";
    caller.send(&(sized + &chunked + &get("/read/2", "r-2", "")));
    for id in ["b-0", "b-1", "r-2"] {
        assert_eq!(caller.read().1, id);
    }
    for (id, body) in fleet.endpoint.bodies() {
        assert!(!id.starts_with('b') || body == b"body", "{id} {body:?}");
    }
}

#[test]
fn a_request_that_must_not_run_twice_waits_and_runs_alone() {
    let fleet = Fleet::with_servers(4, |heard| {
        let answer = response(200, &heard.id, "", &heard.id);
        vec![Step::Wait(SHORT_WORK), Step::Write(answer)]
    });
    let mut caller = Caller::connect(&fleet);
    let requests = [("/read/1", "r-0"), ("/once/1", "o-1"), ("/read/2", "r-2")];
    let sent: String = requests
        .iter()
        .map(|(path, id)| get(path, id, ""))
        .collect();
    let begun = Instant::now();
    caller.send(&sent);
    for (number, (_, id)) in requests.iter().enumerate() {
        // Nothing of the next one has arrived before the answer to this one is written.
        assert_eq!(caller.read().1, *id);
        assert!(begun.elapsed() >= SHORT_WORK * (number as u32 + 1));
        let heard = fleet.endpoint.heard();
        assert!(heard.len() <= number + 2, "{heard:?}");
    }
}

// Guards against a leave that can't be read, since bytes lie before it: of a request that may be
// read ahead, and of one behind a request that must run alone and a full queue.
#[test]
fn a_leave_behind_further_requests_is_noticed() {
    let answer_late = |heard: &ReceivedRequest| {
        let answer = response(200, &heard.id, "", "late");
        vec![
            Step::Read(0),
            Step::Wait(STILL_RUNNING),
            Step::Write(answer),
        ]
    };
    for (requests, running) in [(2, 2), (30, 8)] {
        let fleet = Fleet::with_servers(8, answer_late);
        let mut caller = Caller::connect(&fleet);
        let sent = (0..requests).map(|number| get("/read/1", &format!("r-{number}"), ""));
        caller.send(&sent.collect::<String>());
        wait_for_arrivals(&fleet, running);
        drop(caller);
        assert_leaves(&fleet, running);
        assert_eq!(fleet.endpoint.heard().len(), running);
    }
}

#[test]
fn a_half_close_cancels_as_a_leave_does() {
    let fleet = Fleet::with_servers(2, work);
    let mut caller = Caller::connect(&fleet);
    caller.send(&(get("/read/1", "r-0", "") + &get("/read/2", "r-1", "")));
    wait_for_arrivals(&fleet, 2);
    caller.0.shutdown(Shutdown::Write).unwrap();
    assert_leaves(&fleet, 2);
    assert!(caller.ends());
}

#[test]
fn nothing_behind_a_close_is_passed_on() {
    let fleet = Fleet::with_servers(4, work);
    let mut caller = Caller::connect(&fleet);
    let close = "Connection: close\r\n";
    let sent = get("/read/1", "r-0", "") + &get("/read/2", "r-1", close);
    caller.send(&(sent + &get("/read/3", "r-2", "") + &get("/once/1", "o-3", "")));
    assert_eq!(caller.read(), (200, "r-0".to_owned(), false));
    assert_eq!(caller.read(), (200, "r-1".to_owned(), true));
    assert!(caller.ends());
    assert_eq!(fleet.arrivals("r-2") + fleet.arrivals("o-3"), 0);
}

#[test]
fn a_refusal_that_closes_waits_for_the_answers_ahead() {
    let fleet = Fleet::with_servers(4, work);
    let mut caller = Caller::connect(&fleet);
    caller.send(&(get("/read/1", "r-0", "") + "no head\r\n\r\n" + &get("/read/2", "r-2", "")));
    assert_eq!(caller.read(), (200, "r-0".to_owned(), false));
    let (status, _, closes) = caller.read();
    assert_eq!((status, closes), (400, true));
    assert!(caller.ends());
    assert_eq!(fleet.arrivals("r-2"), 0);
}

#[test]
fn a_stop_answers_what_was_passed_on_and_closes_with_the_last() {
    let fleet = Fleet::with_servers(4, work);
    let mut caller = Caller::connect(&fleet);
    let sent = get("/read/1", "r-0", "") + &get("/read/2", "r-1", "");
    caller.send(&(sent + &get("/once/1", "o-2", "") + &get("/read/3", "r-3", "")));
    wait_for_arrivals(&fleet, 2);
    let mut fleet = fleet;
    fleet.instance.process.terminate().unwrap();
    assert_eq!(caller.read(), (200, "r-0".to_owned(), false));
    assert_eq!(caller.read(), (200, "r-1".to_owned(), true));
    assert!(caller.ends());
    assert_eq!(fleet.arrivals("o-2") + fleet.arrivals("r-3"), 0);
}

// An interim response ahead of the first answer would be read as the first one's.
#[test]
fn a_body_is_asked_for_when_nothing_is_ahead() {
    let fleet = Fleet::with_servers(4, |heard| {
        let answer = response(200, &heard.id, "", &heard.id);
        let body = usize::from(heard.id.starts_with('b')) * 4;
        vec![
            Step::Wait(SHORT_WORK),
            Step::Read(body),
            Step::Write(answer),
        ]
    });
    let mut caller = Caller::connect(&fleet);
    let expects = "Content-Length: 4\r\nExpect: 100-continue\r\n";
    caller.send(&(get("/read/1", "r-0", "") + &get("/once/1", "b-1", expects)));
    assert_eq!(caller.read(), (200, "r-0".to_owned(), false));
    assert_eq!(caller.read().0, 100);
    caller.send("body");
    assert_eq!(caller.read(), (200, "b-1".to_owned(), false));
}

// Guards against a request that is given its whole time anew after it waited behind others.
#[test]
fn the_time_of_a_request_counts_from_its_own_arrival() {
    let fleet = Fleet::with_servers(4, work);
    let mut caller = Caller::connect(&fleet);
    let allowed = Duration::from_millis(700);
    let deadline = format!("Deadline-Ms: {}\r\n", allowed.as_millis());
    caller.send(&(get("/once/1", "o-0", "") + &get("/read/now", "r-1", &deadline)));
    assert_eq!(caller.read().1, "o-0");
    assert_eq!(caller.read().1, "r-1");
    let left = fleet.until("the log line", || {
        let lines = fleet.instance.request_lines("r-1");
        let sent = lines.iter().find(|line| line.contains("event=sent"))?;
        sent.rsplit_once("left_ms=")?.1.trim().parse().ok()
    });
    let left = Duration::from_millis(left);
    assert!(left + WORK <= allowed, "{left:?}");
}
