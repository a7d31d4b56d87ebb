//! A late copy of an earlier response on a connection to a backend server that is in use
//! again, on the daemon's own path.

mod support;

use corianderway_standins::estate::ReceivedRequest;
use corianderway_standins::estate::Scripted;
use corianderway_standins::estate::Step;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Reply;
use corianderway_standins::harness::Request;

use crate::support::Fleet;
use crate::support::HOST;
use crate::support::WAIT_TIMEOUT;

/// The requests sent one after the other, on kept connections if there are any.
const REQUESTS: usize = 10;

/// What a server sends ahead of the response to each request but the first of a connection.
#[derive(Clone, Copy, Debug)]
enum Copy {
    /// A second copy of the response to the request before.
    Response,
    /// A rejection that says that nothing ran.
    Rejection,
}

/// Whether a server sends back the id of a request.
#[derive(Clone, Copy, Debug)]
enum Ids {
    Echoed,
    Absent,
}

fn response(status: &str, id: &str, ids: Ids, body: &str) -> Vec<u8> {
    let id = match ids {
        Ids::Echoed => format!("x-request-id: {id}\r\n"),
        Ids::Absent => String::new(),
    };
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{id}content-length: {length}\r\n\r\n{body}").into_bytes()
}

fn script(heard: &ReceivedRequest, copy: Copy, ids: Ids) -> Vec<Step> {
    let body = match heard.target.as_str() {
        "/health" => "{\"status\":\"ok\"}",
        "/load" => "{\"running\":0}",
        target => target,
    };
    // The endpoint knows the platform's name of the header only.
    let id = heard.target.rsplit('/').next().unwrap_or_default();
    let answer = response("200 OK", id, ids, body);
    if heard.number == 0 || !heard.target.starts_with("/capsules/") {
        return vec![Step::Write(answer)];
    }
    let early = match copy {
        Copy::Response => response("200 OK", "earlier", ids, "/capsules/earlier"),
        Copy::Rejection => response("503 Busy\r\nx-not-run: 1", "earlier", ids, ""),
    };
    vec![Step::Write([early, answer].concat())]
}

// Returns the server, and the replies to the requests with the numbers.
fn call_all(copy: Copy, ids: Ids) -> (Scripted, Vec<(String, Reply)>) {
    let mut fleet = Fleet::start(1, 1);
    let server = Scripted::start(move |heard| script(heard, copy, ids));
    fleet.add_backend("finder-9", server.addr);
    fleet.servers.clear();
    let first = Request::get("/capsules/first").host(HOST);
    until("responses of the scripted server", WAIT_TIMEOUT, || {
        let reply = fleet.entries[0].call(&first).ok()?;
        (reply.text() == "/capsules/first").then_some(())
    })
    .unwrap();
    let replies = (0..REQUESTS).map(|number| {
        let path = format!("/capsules/r-{number}");
        let get = Request::get(&path).host(HOST);
        let get = get.header("x-request-id", format!("r-{number}"));
        let reply = fleet.entries[0].call(&get).unwrap();
        (path, reply)
    });
    let replies = replies.collect();
    (server, replies)
}

// Checks that connections are kept exactly if the server sends back the ids of requests.
fn assert_kept(server: &Scripted, ids: Ids) {
    let heard = server.heard();
    let mut sent = heard
        .iter()
        .filter(|r| r.target.starts_with("/capsules/r-"));
    let is_kept = sent.any(|request| request.number > 0);
    assert_eq!(is_kept, matches!(ids, Ids::Echoed), "{ids:?}: {heard:?}");
}

// Guards against a caller that gets the response to another request.
#[test]
fn a_late_copy_is_not_taken_for_the_response_to_the_next_request() {
    for ids in [Ids::Absent, Ids::Echoed] {
        let (server, replies) = call_all(Copy::Response, ids);
        assert_kept(&server, ids);
        for (path, reply) in replies {
            let is_own = reply.status != 200 || reply.text() == path;
            assert!(is_own, "{ids:?} {path}: {} {}", reply.status, reply.text());
        }
    }
}

// Guards against a request that is refused as not run although the server ran it.
#[test]
fn a_late_rejection_does_not_refuse_the_next_request() {
    for ids in [Ids::Absent, Ids::Echoed] {
        let (server, replies) = call_all(Copy::Rejection, ids);
        assert_kept(&server, ids);
        let heard = server.heard();
        for (path, reply) in replies {
            let arrived = heard.iter().any(|request| request.target == path);
            let denied = reply.text().contains("\"not-");
            let text = reply.text();
            assert!(
                !(arrived && denied),
                "{ids:?} {path}: {} {text}",
                reply.status
            );
        }
    }
}
