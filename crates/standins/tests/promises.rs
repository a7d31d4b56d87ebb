//! The soak's check that a refused write has not run and never will.

use std::time::Duration;
use std::time::Instant;

use corianderway_standins::estate::RequestRecord;
use corianderway_standins::soak::false_refusals;
use corianderway_standins::soak::Call;
use corianderway_standins::soak::Calls;
use corianderway_standins::soak::End;
use corianderway_standins::soak::Kind;
use corianderway_standins::soak::Runs;

/// How long before or after its answer a write runs.
const GAP: Duration = Duration::from_secs(3);

fn write(at: Instant, end: End) -> Call {
    Call {
        id: "c1-1".to_owned(),
        kind: Kind::Write,
        key: "k-base".to_owned(),
        node: 0,
        run: 1,
        is_hurried: false,
        sent: at,
        ended: at,
        end,
    }
}

fn answer(status: u16, from_endpoint: bool) -> End {
    End::Answered {
        status,
        from_endpoint,
        request_id: Some("c1-1".to_owned()),
        body: String::new(),
    }
}

fn record(id: &str, at: Instant) -> RequestRecord {
    RequestRecord {
        at,
        began: at,
        endpoint: "e1-0-s2".to_owned(),
        request_line: "POST /write/1".to_owned(),
        id: id.to_owned(),
        account: None,
        headers: Vec::new(),
        body: "".into(),
        leaving: false,
    }
}

fn check(call: &Call, record: &RequestRecord) -> Vec<String> {
    let calls = Calls::from([(call.id.as_str(), call)]);
    let runs = Runs::from([(record.id.as_str(), vec![record])]);
    false_refusals(&calls, &runs)
}

#[test]
fn a_refused_write_that_ran_is_found_whoever_refused_it_and_whenever_it_ran() {
    let (before, at) = (Instant::now(), Instant::now() + GAP);
    for status in [408, 421, 429, 503] {
        for from_endpoint in [false, true] {
            let call = write(at, answer(status, from_endpoint));
            let lines = check(&call, &record("c1-1", before));
            assert!(lines[0].contains("before the answer"), "{lines:?}");
            let lines = check(&call, &record("c1-1", at + GAP));
            assert!(lines[0].contains("ran 3s after the answer"), "{lines:?}");
        }
    }
}

#[test]
fn what_promises_nothing_may_have_run() {
    let at = Instant::now() + GAP;
    let ends = [200, 500, 502, 504].map(|status| answer(status, false));
    for end in ends.into_iter().chain([End::Incomplete, End::Left]) {
        assert!(check(&write(at, end), &record("c1-1", at)).is_empty());
    }
    let other = record("c1-2", at);
    assert!(check(&write(at, answer(503, false)), &other).is_empty());
}
