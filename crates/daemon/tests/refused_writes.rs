//! Writes on the platform that a backend server runs, or may run, although the answer that
//! the instance reads looks like a refusal.
//!
//! The statuses 408, 421, 429 and 503 tell a caller that its request has not run and never
//! will.

mod scripted_fleet;

use std::collections::BTreeMap;

use corianderway_standins::estate::ReceivedRequest;
use corianderway_standins::estate::Step;

use crate::scripted_fleet::assert_may_have_run;
use crate::scripted_fleet::response;
use crate::scripted_fleet::run_and_answer;
use crate::scripted_fleet::Fleet;
use crate::scripted_fleet::BODY;
use crate::scripted_fleet::ROUTE_TIMEOUT;

fn reject(heard: &ReceivedRequest) -> Vec<Step> {
    let answer = response(503, &heard.id, "Not-Run: full\r\n", "");
    vec![Step::Read(BODY.len()), Step::Write(answer)]
}

// Guards against a write that ran at a backend server which then answers with a status that
// says that it did not: the caller would send the write again.
#[test]
fn a_write_that_ran_is_not_answered_with_a_refusing_status() {
    for status in [408, 429, 503] {
        let fleet = Fleet::start(move |heard| run_and_answer(heard, status));
        for number in 0..5 {
            let id = format!("r-{number}");
            let reply = fleet.post("/once/17", &id);
            let ran = fleet.endpoint.bodies();
            // A backend server that failed may get no further requests for a while.
            if !ran.iter().any(|(run, _)| *run == id) {
                assert!(number > 0, "the first write ran");
                continue;
            }
            assert_may_have_run(&reply, &format!("{status} of {id}"));
            assert!(reply.text().contains("may-have-run"), "{}", reply.text());
            assert_eq!(fleet.arrivals(&id), 1, "{id} was sent once");
            // The status isn't the backend server's, so its stamp must not be there either.
            assert_eq!(reply.header("server-stamp"), None);
        }
    }
}

// The status of a backend server is changed only where it would be a false promise.
#[test]
fn other_answers_of_backend_servers_are_passed_on_unchanged() {
    for status in [200, 404, 500, 504] {
        let fleet = Fleet::start(move |heard| run_and_answer(heard, status));
        let reply = fleet.post("/once/17", "r-0");
        assert_eq!((reply.status, reply.text()), (status, "ran".to_owned()));
        assert_eq!(reply.header("server-stamp"), Some("s"));
    }
    for status in [408, 429, 503] {
        let fleet = Fleet::start(move |heard| run_and_answer(heard, status));
        let reply = fleet.post("/read/17", "r-0");
        assert_eq!((reply.status, reply.text()), (status, "ran".to_owned()));
        assert_eq!(reply.header("server-stamp"), Some("s"));
    }
}

// A rejection that says that nothing ran remains a refusal that callers may rely on.
#[test]
fn a_rejected_write_is_refused_as_not_run() {
    let fleet = Fleet::start(reject);
    let reply = fleet.post("/once/17", "r-0");
    assert_eq!(reply.status, 503);
    assert!(reply.text().contains("not-run"), "{}", reply.text());
    assert!(reply.header("retry-after").is_some());
}

// Guards against a second, late copy of a rejection that is taken for the answer to a write
// which runs: the caller has sent the write again under the same id, and it went out on the
// same connection.
#[test]
fn a_late_copy_of_a_rejection_does_not_refuse_the_same_id_again() {
    let fleet = Fleet::start(|heard| {
        if heard.number == 0 {
            return reject(heard);
        }
        // The copy comes ahead of the answer to the write that runs.
        let mut steps = reject(heard);
        steps.extend(run_and_answer(heard, 200).split_off(1));
        steps
    });
    let reply = fleet.post("/once/17", "r-0");
    assert_eq!(reply.status, 503);
    let reply = fleet.until("a second arrival", || {
        let reply = fleet.post("/once/17", "r-0");
        (fleet.arrivals("r-0") > 1).then_some(reply)
    });
    let second = fleet.endpoint.heard()[1].clone();
    // On a connection of its own the write is rejected, and the refusal is true.
    if second.number > 0 {
        assert_may_have_run(&reply, "a write that ran on a kept connection");
    }
}

// Guards against the fourth of the statuses: a backend server that runs a write and answers
// 421 without saying that it has not run. The write must neither be refused nor run again.
#[test]
fn a_write_that_ran_and_got_421_is_neither_refused_nor_sent_again() {
    for servers in [1, 2] {
        let fleet = Fleet::with_servers(servers, |heard| run_and_answer(heard, 421));
        let reply = fleet.post("/once/17", "r-0");
        assert_eq!(fleet.runs("r-0"), 1, "runs with {servers} servers");
        assert_may_have_run(&reply, &format!("{servers} servers"));
        assert!(reply.text().contains("may-have-run"), "{}", reply.text());
    }
}

// A 421 that names another backend server, or says that nothing ran, remains a proof: the
// write is sent to a second server.
#[test]
fn a_write_that_another_server_turned_away_is_sent_again() {
    for proof in ["Instance-Id: i-9\r\n", "Not-Run: 1\r\n"] {
        let fleet = Fleet::with_servers(2, move |heard| {
            if heard.number == 0 && heard.connection == 0 {
                let answer = response(421, &heard.id, proof, "");
                // The server closes, so that the second attempt uses another connection.
                return vec![Step::Write(answer), Step::Close];
            }
            run_and_answer(heard, 200)
        });
        let reply = fleet.post("/once/17", "r-0");
        assert_eq!((reply.status, fleet.runs("r-0")), (200, 1), "{proof}");
    }
}

// Without this line an attempt that was written and then cancelled can't be told from one
// that was never written.
#[test]
fn what_an_attempt_of_a_write_sent_and_read_is_logged() {
    let expected = [
        ("/once/full", "end=rejected", "status=503"),
        ("/once/late", "end=ambiguous", "status=408"),
        ("/once/silent", "end=cancelled", "status=-"),
    ];
    for (path, end, status) in expected {
        let fleet = Fleet::start(|heard| match heard.target.as_str() {
            "/once/silent" => vec![Step::Wait(3 * ROUTE_TIMEOUT)],
            "/once/late" => run_and_answer(heard, 408),
            _ => reject(heard),
        });
        let id = "r-0";
        fleet.post(path, id);
        let line = fleet.until("the line of the attempt", || {
            let lines = fleet.instance.request_lines(id);
            lines.into_iter().find(|l| l.contains("event=exchange"))
        });
        let length = line.split(" length=").nth(1).unwrap_or_default();
        let length = length.split(' ').next().unwrap_or_default();
        assert!(length.parse::<usize>().unwrap() > BODY.len(), "{line}");
        let sent = format!("sent={length}");
        for part in [end, status, &sent, "connection=new", "skipped=0"] {
            assert!(line.contains(part), "{part} in {line}");
        }
    }
}

// Guards against the start of a rejection that is sent after a complete answer and cut off at
// any byte: the next answer on the connection follows it, and both together read as one head
// that rejects a write which runs.
#[test]
fn a_cut_rejection_ahead_of_an_answer_does_not_refuse_a_write_that_ran() {
    let rejection = |id: &str| {
        format!(
            "HTTP/1.1 503 Full\r\nNot-Run: full\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        )
        .into_bytes()
    };
    let fleet = Fleet::start(move |heard| {
        let mut steps = run_and_answer(heard, 200);
        if let Some(cut) = heard.id.strip_prefix("cut-").filter(|_| heard.number > 0) {
            let cut = cut.parse().unwrap();
            let part = rejection("r-0")[..cut].to_vec();
            steps.insert(1, Step::Write(part));
        }
        steps
    });
    let length = rejection("r-0").len();
    let mut on_kept = 0;
    for cut in 0..=length {
        let id = format!("cut-{cut}");
        fleet.until("a connection that is kept", || {
            (fleet.post("/once/17", "r-0").status == 200).then_some(())
        });
        let reply = fleet.post("/once/17", &id);
        let Some(heard) = fleet.endpoint.heard().into_iter().find(|h| h.id == id) else {
            continue;
        };
        on_kept += usize::from(heard.number > 0);
        assert_may_have_run(&reply, &id);
        if reply.status == 200 {
            assert_eq!(reply.text(), "ran", "{id}");
        }
    }
    assert!(
        on_kept > length / 2,
        "{on_kept} of {length} on a kept connection"
    );
}

// Guards against the same with the start of a success: it must not turn the failure that
// follows it into a success.
#[test]
fn a_cut_success_ahead_of_a_failure_is_no_success() {
    let copy = response(200, "r-0", "Server-Stamp: s\r\n", "ran");
    let length = copy.len();
    let fleet = Fleet::start(move |heard| {
        let cut = heard.id.strip_prefix("cut-").filter(|_| heard.number > 0);
        let Some(cut) = cut else {
            return run_and_answer(heard, 200);
        };
        let mut steps = run_and_answer(heard, 404);
        let part = copy[..cut.parse().unwrap()].to_vec();
        steps.insert(1, Step::Write(part));
        steps
    });
    for cut in 0..=length {
        let id = format!("cut-{cut}");
        fleet.until("a connection that is kept", || {
            (fleet.post("/read/17", "r-0").status == 200).then_some(())
        });
        let reply = fleet.post("/read/17", &id);
        let heard = fleet.endpoint.heard().into_iter().find(|h| h.id == id);
        if heard.is_some_and(|h| h.number > 0) {
            assert_ne!(reply.status, 200, "{id}: {}", reply.text());
        }
    }
}

// What a faulty backend server sends ahead of an answer, drawn from a seed: whole and cut
// copies of rejections and answers to earlier requests, interim responses, odd lines.
fn noise(seed: u64) -> Vec<u8> {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut draw = |bound: usize| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 11) as usize % bound
    };
    let mut bytes = Vec::new();
    for _ in 0..=draw(3) {
        let status = [100, 103, 200, 204, 304, 400, 421, 429, 503][draw(9)];
        let id = [
            "Request-Id: r-0\r\n",
            "",
            "Request-Id: r-0\r\nRequest-Id: r-9\r\n",
        ][draw(3)];
        let mark = [
            "Not-Run: full\r\n",
            "not-run: 1\r\nInstance-Id: i-9\r\n",
            "",
        ][draw(3)];
        let rest = [
            "Content-Length: 0\r\n\r\n",
            "Content-Length: 5\r\n\r\nearly",
            "Content-Length: 90\r\n\r\nshort",
            "Transfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n0\r\nNot-Run: 1\r\n\r\n",
            "\r\n",
        ][draw(6)];
        let piece = match draw(8) {
            0 => ["\r\n", "\r\n\r\n", "0\r\n\r\n", "junk\r\n", "HTTP/1.1 "][draw(5)].to_owned(),
            _ => format!("HTTP/1.1 {status} Status\r\n{mark}{id}{rest}"),
        };
        let end = if draw(2) == 0 {
            piece.len()
        } else {
            draw(piece.len() + 1)
        };
        bytes.extend_from_slice(&piece.as_bytes()[..end]);
    }
    bytes
}

// Guards against anything of that kind that refuses a write which runs.
#[test]
fn no_noise_ahead_of_an_answer_refuses_a_write_that_runs() {
    let fleet = Fleet::start(|heard| {
        let mut steps = run_and_answer(heard, 200);
        if let Some(seed) = heard.id.strip_prefix("s-").filter(|_| heard.number > 0) {
            steps.insert(1, Step::Write(noise(seed.parse().unwrap())));
        }
        steps
    });
    let mut seen = BTreeMap::new();
    for seed in 0..400 {
        fleet.until("a connection that is kept", || {
            (fleet.post_within("/once/17", "r-0", 1_000).status == 200).then_some(())
        });
        let id = format!("s-{seed}");
        let reply = fleet.post_within("/once/17", &id, 60);
        let ran = fleet.runs(&id) > 0;
        let kept = fleet
            .endpoint
            .heard()
            .iter()
            .any(|h| h.id == id && h.number > 0);
        *seen.entry((reply.status, ran, kept)).or_insert(0) += 1;
        if ran {
            let noise = noise(seed);
            let noise = String::from_utf8_lossy(&noise);
            assert_may_have_run(&reply, &format!("{id} after {noise:?}"));
            assert!(
                reply.status != 200 || reply.text() == "ran",
                "{id} after {noise:?}"
            );
        }
    }
    let kept: u32 = seen.iter().filter(|row| row.0 .2).map(|row| row.1).sum();
    assert!(kept > 300, "on a kept connection: {kept}; {seen:?}");
}
