//! Tests of the stand-ins as real processes.

use std::time::Duration;

use corianderway_standins::backend;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Error;
use corianderway_standins::harness::Platform;
use corianderway_standins::harness::Request;
use corianderway_standins::harness::Server;
use corianderway_standins::platform;
use serde_json::json;
use serde_json::Value;

const WAIT_LIMIT: Duration = Duration::from_secs(10);

#[test]
fn writes_need_the_right_version() -> Result<(), Error> {
    let platform = Platform::start()?;
    let value = json!({ "rate": 5 });
    assert_eq!(platform.create("contracts", "finder", &value)?, 1);
    assert!(platform.create("contracts", "finder", &value).is_err());
    assert_eq!(platform.update("contracts", "finder", 1, &value)?, 2);
    let stale = platform.call(
        &Request::put("/objects/contracts/finder")
            .header("if-match", "\"1\"")
            .json(&value),
    )?;
    assert_eq!(
        (stale.status, stale.json::<Value>()?["version"].as_u64()),
        (412, Some(2))
    );
    let bare = platform.call(&Request::put("/objects/contracts/finder").json(&value))?;
    assert_eq!(bare.status, 428);
    let large = Request::put("/objects/contracts/large")
        .header("if-none-match", "*")
        .json(&"x".repeat(1 << 20));
    assert_eq!(platform.call(&large)?.status, 413);
    assert_eq!(platform.remove("contracts", "finder", 2)?, 3);
    assert_eq!(platform.get("contracts", "finder")?, None);
    Ok(())
}

#[test]
fn a_watch_ends_at_the_first_change() -> Result<(), Error> {
    let platform = Platform::start()?;
    platform.create("keys", "k1", &json!(1))?;
    let addr = platform.addr;
    let watch = Request::get("/watch?kinds=contracts&since=1&wait_ms=10000");
    let waiting = std::thread::spawn(move || corianderway_standins::harness::call(addr, &watch));
    until("a waiting watch", WAIT_LIMIT, || {
        platform.calls().ok().filter(|c| c.waiting == 1)
    })?;
    platform.create("contracts", "finder", &json!({}))?;
    let reply = waiting.join().expect("the watch ends")?;
    let body = reply.json::<Value>()?;
    assert_eq!(
        (
            body["revision"].as_u64(),
            body["objects"][0]["name"].as_str()
        ),
        (Some(2), Some("finder"))
    );
    let ahead = platform.call(&Request::get("/watch?since=9&wait_ms=1"))?;
    assert_eq!(ahead.status, 410);
    Ok(())
}

#[test]
fn a_write_without_an_answer_takes_effect() -> Result<(), Error> {
    let platform = Platform::start()?;
    let faults = platform::Faults {
        lose_answers: 1,
        ..platform::Faults::default()
    };
    platform.set_faults(&faults)?;
    assert!(platform.create("claims", "c1", &json!({})).is_err());
    assert!(platform.get("claims", "c1")?.is_some());
    let back = platform::Faults {
        back_to: Some(0),
        ..platform::Faults::default()
    };
    platform.set_faults(&back)?;
    assert!(platform.get("claims", "c1")?.is_none());
    Ok(())
}

#[test]
fn a_backend_server_answers_and_records_its_runs() -> Result<(), Error> {
    let server = Server::start(&["--id", "b7", "--secret", "s3cret"])?;
    let post = Request::post("/transfers").header("idempotency-key", "t-1");
    let reply = server
        .call(&post.clone().body("abc"))?
        .expect(200, "post")?;
    let body = reply.json::<Value>()?;
    assert_eq!(
        (body["id"].as_str(), body["bytes"].as_u64()),
        (Some("b7"), Some(3))
    );
    let echo = server.call(&Request::post("/transfers?echo=1").body("whole"))?;
    assert_eq!(echo.text(), "whole");
    server.call(&Request::get("/capsules?q=s3cret"))?;
    let history = server.history()?;
    assert_eq!(history[0].key.as_deref(), Some("t-1"));
    let keyed = history.iter().map(|r| r.keyed).collect::<Vec<_>>();
    assert_eq!(keyed, [false, false, true]);
    Ok(())
}

#[test]
fn a_full_backend_server_sheds() -> Result<(), Error> {
    let server = Server::start(&["--slots", "1", "--queue", "0"])?;
    let addr = server.addr;
    let long = Request::get("/capsules?work_ms=10000").header("x-deadline-ms", 10_000);
    let mut first = corianderway_standins::harness::Client::connect(addr)?;
    first.write(&long.bytes())?;
    until("a running request", WAIT_LIMIT, || {
        server.load().ok().filter(|l| l.running == 1)
    })?;
    assert_eq!(server.call(&Request::get("/capsules"))?.status, 503);
    drop(first);
    until("a free slot", WAIT_LIMIT, || {
        server.load().ok().filter(|l| l.running == 0)
    })?;
    assert_eq!(server.history()?[0].outcome, backend::Outcome::Cancelled);
    Ok(())
}

#[test]
fn a_crash_ends_the_process() -> Result<(), Error> {
    let mut server = Server::start(&[])?;
    server.set_faults(&backend::Faults {
        crash_path: Some("poison".into()),
        ..backend::Faults::default()
    })?;
    assert!(server.call(&Request::get("/poison")).is_err());
    assert!(!server.process.wait(WAIT_LIMIT)?.success());
    Ok(())
}
