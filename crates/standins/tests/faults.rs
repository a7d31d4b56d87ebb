//! Tests of the faults that can be injected into stand-ins and links.

use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use corianderway_standins::backend::AnswerFault;
use corianderway_standins::backend::Faults;
use corianderway_standins::backend::HealthReport;
use corianderway_standins::backend::LoadReport;
use corianderway_standins::backend::Outcome;
use corianderway_standins::backend::Rule;
use corianderway_standins::harness::call;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Client;
use corianderway_standins::harness::Error;
use corianderway_standins::harness::Flow;
use corianderway_standins::harness::Link;
use corianderway_standins::harness::Platform;
use corianderway_standins::harness::Proxy;
use corianderway_standins::harness::Request;
use corianderway_standins::harness::Server;
use corianderway_standins::platform;
use corianderway_standins::platform::Outage;
use serde_json::json;

const WAIT_LIMIT: Duration = Duration::from_secs(10);
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

fn cut_faults(cut: AnswerFault, late_ms: u64) -> Faults {
    Faults {
        cut,
        late_ms,
        ..Faults::default()
    }
}

fn rule(rule: Rule) -> Faults {
    Faults {
        rules: vec![rule],
        ..Faults::default()
    }
}

#[test]
fn answers_are_cut_only_after_the_run() -> Result<(), Error> {
    let server = Server::start(&["--service-ms", "1"])?;
    for (count, kind) in [
        AnswerFault::Before,
        AnswerFault::Within,
        AnswerFault::HalfClose,
    ]
    .into_iter()
    .enumerate()
    {
        server.set_faults(&cut_faults(kind, 0))?;
        assert!(
            server.call(&Request::get("/capsules/1")).is_err(),
            "{kind:?}"
        );
        let history = server.history()?;
        assert_eq!(history.len(), count + 1);
        assert!(history.iter().all(|r| r.outcome == Outcome::Done));
    }
    Ok(())
}

#[test]
fn late_and_stray_bytes_arrive_after_a_pause() -> Result<(), Error> {
    let server = Server::start(&["--service-ms", "1"])?;
    server.set_faults(&cut_faults(AnswerFault::Late, 50))?;
    let started = Instant::now();
    server
        .call(&Request::get("/capsules/1"))?
        .expect(200, "late")?;
    assert!(started.elapsed() >= Duration::from_millis(50));
    server.set_faults(&cut_faults(AnswerFault::Stray, 1))?;
    let mut client = Client::connect(server.addr)?;
    client
        .call(&Request::get("/capsules/2"))?
        .expect(200, "stray")?;
    assert_eq!(client.read("GET")?.text(), "stray");
    Ok(())
}

#[test]
fn rules_fail_some_requests() -> Result<(), Error> {
    let server = Server::start(&["--service-ms", "1"])?;
    server.set_faults(&rule(Rule {
        route: Some("/dates".into()),
        fail: 1.0,
        after_requests: 1,
        ..Rule::default()
    }))?;
    let status = |path: &str| server.call(&Request::get(path)).map(|r| r.status);
    assert_eq!(
        (
            status("/dates/1")?,
            status("/dates/2")?,
            status("/seals/1")?
        ),
        (200, 500, 200)
    );
    server.set_faults(&rule(Rule {
        slow_ms: 60,
        ..Rule::default()
    }))?;
    let late = server.call(&Request::get("/seals/2").header("x-deadline-ms", 20))?;
    assert_eq!(late.status, 504);
    assert_eq!(
        server.history()?.last().map(|r| r.outcome),
        Some(Outcome::Cancelled)
    );
    Ok(())
}

#[test]
fn health_and_load_reports_can_be_false_or_stale() -> Result<(), Error> {
    let server = Server::start(&["--slots", "2", "--queue", "1"])?;
    server.drain(true)?;
    let health = || server.call(&Request::get("/health")).map(|r| r.status);
    assert_eq!(health()?, 503);
    assert_eq!(server.call(&Request::get("/seals/1"))?.status, 503);
    server.set_faults(&Faults {
        health: HealthReport::Well,
        load: LoadReport::Full,
        ..Faults::default()
    })?;
    assert_eq!((health()?, server.load()?.running), (200, 2));
    server.set_faults(&Faults {
        load_lag_ms: 60_000,
        ..Faults::default()
    })?;
    server.drain(false)?;
    let mut busy = Client::connect(server.addr)?;
    busy.write(&Request::get("/seals/2?work_ms=10000").bytes())?;
    until("a running request", WAIT_LIMIT, || {
        server.history().ok().filter(|h| !h.is_empty())
    })?;
    assert_eq!(server.load()?.running, 0);
    Ok(())
}

#[test]
fn a_cold_server_is_slow_at_first() -> Result<(), Error> {
    let server = Server::start(&["--service-ms", "20", "--cold-ms", "500"])?;
    let started = Instant::now();
    server
        .call(&Request::get("/seals/1"))?
        .expect(200, "cold")?;
    assert!(started.elapsed() >= Duration::from_millis(50));
    until("a warm server", WAIT_LIMIT, || {
        let reply = server.call(&Request::get("/health")).ok()?;
        reply.text().contains("live").then_some(())
    })
}

#[test]
fn a_large_body_streams_both_ways() -> Result<(), Error> {
    const BYTES: usize = 8 << 20;
    let server = Server::start(&[])?;
    let body = vec![b'z'; BYTES];
    let echo = Request::post("/seals/1?echo=1").body(body.clone());
    let mut client = Client::connect(server.addr)?;
    // The server sends the echo while it is still receiving the request, so the
    // test sends on another thread.
    let mut sender = client.clone_stream()?;
    let sending = std::thread::spawn(move || sender.write_all(&echo.bytes()));
    let echo = client.read("POST")?;
    sending
        .join()
        .expect("the sender ends")
        .expect("the server reads the whole body");
    assert!(echo.body == body);
    let made = server.call(&Request::get(&format!("/seals/1?bytes={BYTES}")))?;
    assert_eq!(made.body.len(), BYTES);
    Ok(())
}

#[test]
fn a_request_with_an_incomplete_body_does_not_run() -> Result<(), Error> {
    let server = Server::start(&[])?;
    let mut client = Client::connect(server.addr)?;
    client.write(b"POST /transfers/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhalf")?;
    client.shutdown_write()?;
    until("the end of the request", WAIT_LIMIT, || {
        let history = server.history().ok()?;
        (history.first()?.outcome == Outcome::Unread).then_some(())
    })
}

#[test]
fn a_platform_that_is_down_refuses_or_hangs() -> Result<(), Error> {
    let platform = Platform::start()?;
    platform.create("keys", "k1", &json!(1))?;
    let down = |down| {
        platform.set_faults(&platform::Faults {
            down,
            ..platform::Faults::default()
        })
    };
    down(Outage::Refuse)?;
    assert!(platform.get("keys", "k1").is_err());
    down(Outage::Hang)?;
    let mut client = Client::connect(platform.addr)?;
    client.set_read_timeout(SHORT_TIMEOUT)?;
    assert!(client.call(&Request::get("/objects/keys/k1")).is_err());
    down(Outage::No)?;
    assert!(platform.get("keys", "k1")?.is_some());
    Ok(())
}

#[test]
fn the_instance_list_lags() -> Result<(), Error> {
    let platform = Platform::start()?;
    platform.set_faults(&platform::Faults {
        list_lag_ms: 300,
        ..platform::Faults::default()
    })?;
    let server = Server::start(&["--id", "b1"])?;
    platform.register_backend(&server.describe()?)?;
    let started = Instant::now();
    until("the backend server on the list", WAIT_LIMIT, || {
        let reply = platform.call(&Request::get("/instances")).ok()?;
        reply.text().contains("b1").then_some(())
    })?;
    assert!(started.elapsed() >= Duration::from_millis(250));
    Ok(())
}

#[test]
fn a_link_is_cut_one_way_and_heals() -> Result<(), Error> {
    let server = Server::start(&["--service-ms", "1"])?;
    let proxy = Proxy::start(server.addr)?;
    call(proxy.addr, &Request::get("/seals/1"))?.expect(200, "open")?;
    proxy.set_link(Link {
        backward: Flow::Blocked,
        ..Link::default()
    });
    let mut client = Client::connect(proxy.addr)?;
    client.set_read_timeout(SHORT_TIMEOUT)?;
    client.write(&Request::get("/seals/2").bytes())?;
    until("the run behind the cut", WAIT_LIMIT, || {
        server.history().ok().filter(|h| h.len() == 2)
    })?;
    assert!(client.read("GET").is_err());
    proxy.set_link(Link::slow(Duration::from_millis(20)));
    client.set_read_timeout(WAIT_LIMIT)?;
    client.read("GET")?.expect(200, "healed")?;
    let started = Instant::now();
    client
        .call(&Request::get("/seals/3"))?
        .expect(200, "slow")?;
    assert!(started.elapsed() >= Duration::from_millis(40));
    proxy.set_link(Link {
        severed: true,
        ..Link::default()
    });
    assert!(client.call(&Request::get("/seals/4")).is_err());
    Ok(())
}

#[test]
fn a_link_closes_after_some_bytes() -> Result<(), Error> {
    let server = Server::start(&["--service-ms", "1"])?;
    let proxy = Proxy::start(server.addr)?;
    proxy.set_link(Link {
        backward: Flow::CloseAfter(40),
        ..Link::default()
    });
    let mut client = Client::connect(proxy.addr)?;
    client.write(&Request::get("/seals/1").bytes())?;
    assert_eq!(client.read_to_end()?.len(), 40);
    assert_eq!(server.history()?.len(), 1);
    Ok(())
}

#[test]
fn a_frozen_process_answers_once_thawed() -> Result<(), Error> {
    let mut server = Server::start(&[])?;
    server.process.suspend()?;
    let mut client = Client::connect(server.addr)?;
    client.set_read_timeout(SHORT_TIMEOUT)?;
    client.write(&Request::get("/seals/1").bytes())?;
    assert!(client.read("GET").is_err());
    server.process.resume()?;
    client.set_read_timeout(WAIT_LIMIT)?;
    client.read("GET")?.expect(200, "thawed")?;
    server.process.terminate()?;
    assert!(!server.process.wait(WAIT_LIMIT)?.success());
    Ok(())
}
