//! Backend servers that answer a long upload before they have read it, without a length, and
//! end the connection.

mod scripted_fleet;
mod uploads;

use std::time::Duration;
use std::time::Instant;

use corianderway_standins::estate::node;
use corianderway_standins::estate::ReceivedRequest;
use corianderway_standins::estate::Step;
use corianderway_standins::harness::call;
use corianderway_standins::harness::Reply;
use corianderway_standins::harness::Request;

use crate::scripted_fleet::Fleet;
use crate::scripted_fleet::Terms;
use crate::scripted_fleet::DEADLINE_MS;
use crate::scripted_fleet::WAIT_TIMEOUT;
use crate::uploads::RESET_DELAY;
use crate::uploads::UPLOAD_BYTES;
use crate::uploads::UPLOAD_COUNT;

/// The size of the answer's part, which takes more than one read.
const PART_BYTES: usize = 20_000;

// Starts a fleet in which each upload has a server of its own, since one that fails gets no
// requests for a while.
fn start(script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static) -> Fleet {
    let terms = Terms {
        timeout: Duration::from_secs(4),
        max_attempts: 1,
        max_body_bytes: 16_000_000,
    };
    Fleet::with_terms(UPLOAD_COUNT, terms, script)
}

fn upload(fleet: &Fleet, number: usize) -> Reply {
    post(fleet, number, UPLOAD_BYTES)
}

fn post(fleet: &Fleet, number: usize, length: usize) -> Reply {
    let request = Request::post(&format!("/once/{number}"))
        .header("Host", node::HOST)
        .header("Request-Id", format!("r-{number}"))
        .header("Deadline-Ms", DEADLINE_MS)
        .body(vec![b'u'; length]);
    call(fleet.instance.addr(node::CALLERS_PORT), &request).unwrap()
}

// Uploads until that many requests have reached the server; returns the answers to these.
fn upload_all(fleet: &Fleet) -> Vec<Reply> {
    let mut replies = Vec::new();
    for number in 0..UPLOAD_COUNT * 2 {
        let reply = upload(fleet, number);
        if fleet.arrivals(&format!("r-{number}")) > 0 {
            replies.push(reply);
        }
        if replies.len() == UPLOAD_COUNT {
            break;
        }
    }
    assert_eq!(replies.len(), UPLOAD_COUNT, "uploads that were sent");
    replies
}

// Returns the start of an answer; `rest` is the rest of its head.
fn answer(heard: &ReceivedRequest, rest: &str) -> Step {
    let id = &heard.id;
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n{rest}\r\n");
    Step::Write([head.as_bytes(), &vec![b'p'; PART_BYTES]].concat())
}

fn assert_may_have_run(replies: &[Reply]) {
    let complete = replies.iter().filter(|reply| reply.status == 200).count();
    assert_eq!(complete, 0, "complete, of {UPLOAD_COUNT} answers");
    for reply in replies {
        assert_eq!(reply.status, 502, "{}", reply.text());
    }
}

// Guards against a part of an answer that is taken for a whole one: the write of the upload fails
// with the reset, and the read behind it finds a plain end.
#[test]
fn an_early_answer_that_is_reset_is_not_complete() {
    let fleet = start(|heard| vec![answer(heard, ""), Step::Reset]);
    assert_may_have_run(&upload_all(&fleet));
}

// Guards against an end that is read right before the reset.
#[test]
fn an_early_answer_that_is_reset_after_its_end_is_not_complete() {
    let fleet = start(|heard| {
        let delay = Step::Wait(RESET_DELAY);
        vec![answer(heard, ""), Step::Close, delay, Step::Reset]
    });
    assert_may_have_run(&upload_all(&fleet));
}

// Guards against an answer that is thrown away since its request has not been read.
#[test]
fn an_early_answer_is_complete_if_its_server_reads_on_after_its_end() {
    // `Step::Close` reads one byte.
    let fleet = start(|heard| {
        let rest = Step::Read(UPLOAD_BYTES - 1);
        vec![answer(heard, ""), Step::Close, rest]
    });
    for reply in upload_all(&fleet) {
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(reply.body.len(), PART_BYTES);
    }
}

// The reset may still come, or be lost on its way.
#[test]
fn an_early_answer_is_not_complete_if_its_server_does_not_read_on() {
    let fleet = start(|heard| {
        let silent = Step::Wait(WAIT_TIMEOUT);
        vec![answer(heard, ""), Step::Close, silent]
    });
    assert_eq!(upload(&fleet, 0).status, 502);
}

#[test]
fn an_early_answer_with_a_length_is_complete_although_it_is_reset() {
    let length = format!("Content-Length: {PART_BYTES}\r\n");
    let fleet = start(move |heard| vec![answer(heard, &length), Step::Reset]);
    for reply in upload_all(&fleet) {
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(reply.body.len(), PART_BYTES);
    }
}

// Guards against an answer that waits for an acknowledgement which came with it.
#[test]
fn an_answer_without_a_length_to_a_request_that_was_read_is_complete_at_once() {
    let length = 1_000;
    let fleet = start(move |heard| vec![Step::Read(length), answer(heard, ""), Step::Close]);
    let begun = Instant::now();
    for number in 0..UPLOAD_COUNT {
        let reply = post(&fleet, number, length);
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(reply.body.len(), PART_BYTES);
    }
    let took = begun.elapsed();
    println!("{UPLOAD_COUNT} answers in {took:?}");
    assert!(took < Duration::from_secs(2), "{took:?}");
}
