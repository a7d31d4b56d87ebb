//! Instances whose addresses are in use by another program, or by another instance.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use corianderway_standins::estate::node;
use corianderway_standins::estate::Node;
use corianderway_standins::estate::Site;
use corianderway_standins::estate::Store;
use corianderway_standins::harness::call;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Process;
use corianderway_standins::harness::Request;
use serde_json::json;

/// The timeout for each awaited condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The ports in an instance's settings.
const PORTS: [u16; 6] = [
    node::CALLERS_PORT,
    node::READY_PORT,
    node::DIRECTORY_PORT,
    node::REPLICA_PORT,
    7_740,
    7_755,
];

fn store() -> Store {
    let store = Store::start();
    let configuration = json!({
        "version": 1,
        "routes": { "columns": ["name", "host", "path_prefix", "kind", "service"],
            "rows": [["read", node::HOST, "/read/", "safe", "s1"]] },
        "services": { "columns": ["name"], "rows": [["s1"]] },
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 100_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
    });
    store.put("config", "main", &configuration);
    store
}

// Starts an instance at the address of a site, with ports that are higher by `offset`.
fn start(site: &Site, offset: u16) -> Process {
    let mut text = site.settings(&[("a", "north")]);
    for port in PORTS {
        text = text.replace(&port.to_string(), &(port + offset).to_string());
    }
    let name = format!("{}-{}-{offset}.yaml", std::process::id(), site.name);
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).expect("the settings file can be written");
    let args = ["--platform", "--settings", &file.to_string_lossy()];
    Process::spawn("corianderwayd", &args).unwrap()
}

fn is_ok(addr: SocketAddr, path: &str) -> bool {
    let reply = call(addr, &Request::new("GET", path));
    reply.is_ok_and(|reply| reply.status == 200)
}

fn await_line(process: &Process, event: &str) {
    until(event, WAIT_TIMEOUT, || {
        let lines = process.lines();
        lines.iter().any(|line| line.contains(event)).then_some(())
    })
    .unwrap_or_else(|error| panic!("{error}\n{}", process.lines().join("\n")));
}

// Guards against instances that end at their start since another process has the port of the
// metrics, which only operators use (FAULT: processes ended by themselves).
#[test]
fn instances_that_share_an_address_all_serve() {
    let store = store();
    let site = Site::new("north", "a", store.addr);
    let addr = |port| SocketAddr::new(site.ip, port);
    let offsets = [0, 20, 40];
    let mut instances: Vec<_> = offsets.map(|offset| start(&site, offset)).into();
    for (instance, offset) in instances.iter().zip(offsets) {
        until("readiness", WAIT_TIMEOUT, || {
            is_ok(addr(node::READY_PORT + offset), "/ready").then_some(())
        })
        .unwrap_or_else(|error| panic!("{error}\n{}", instance.lines().join("\n")));
    }
    let metrics = addr(node::ADMIN_PORT);
    let has_metrics = |instance: &Process| {
        let lines = instance.lines();
        lines.iter().any(|line| line.contains("event=metrics-open"))
    };
    // One after another has the port.
    while !instances.is_empty() {
        let at = until("metrics", WAIT_TIMEOUT, || {
            let at = instances.iter().position(has_metrics)?;
            is_ok(metrics, "/metrics").then_some(at)
        });
        instances.remove(at.unwrap()).kill().unwrap();
    }
}

// Guards against an instance that ends at its start since its predecessor has not ended yet.
#[test]
fn an_instance_waits_for_addresses_that_are_in_use() {
    let store = store();
    for port in PORTS.into_iter().take(5) {
        let site = Site::new("north", "a", store.addr);
        let addr = SocketAddr::new(site.ip, port);
        let held = (port < 8_000).then(|| UdpSocket::bind(addr).unwrap());
        let listener = (port > 8_000).then(|| TcpListener::bind(addr).unwrap());
        let process = start(&site, 0);
        let instance = Node { process, site };
        await_line(&instance.process, "event=address-taken");
        // Nothing is bound until all can be.
        let other = instance.addr(if port == node::CALLERS_PORT {
            node::READY_PORT
        } else {
            node::CALLERS_PORT
        });
        until("a free port", WAIT_TIMEOUT, || {
            TcpListener::bind(other).is_ok().then_some(())
        })
        .unwrap();
        drop((held, listener));
        until("readiness", WAIT_TIMEOUT, || {
            instance.is_ready().then_some(())
        })
        .unwrap_or_else(|error| panic!("{port}: {error}"));
    }
}

// An address that stays in use is an error that names it.
#[test]
fn an_instance_ends_with_an_error_if_an_address_stays_in_use() {
    let store = store();
    let mut site = Site::new("north", "a", store.addr);
    site.grace = 1;
    let _taken = TcpListener::bind(SocketAddr::new(site.ip, node::READY_PORT)).unwrap();
    let mut process = start(&site, 0);
    let status = process.wait(WAIT_TIMEOUT).unwrap();
    assert_eq!(status.code(), Some(1));
    await_line(&process, "error: ready: ");
}

#[test]
fn an_instance_that_waits_for_an_address_stops_when_it_is_asked_to() {
    let store = store();
    let site = Site::new("north", "a", store.addr);
    let _taken = TcpListener::bind(SocketAddr::new(site.ip, node::READY_PORT)).unwrap();
    let mut process = start(&site, 0);
    await_line(&process, "event=address-taken");
    // A change of the settings doesn't end it.
    process.hang_up().unwrap();
    let begun = Instant::now();
    process.terminate().unwrap();
    let status = process.wait(WAIT_TIMEOUT).unwrap();
    assert!(status.success(), "{status}");
    assert!(begun.elapsed() < Duration::from_secs(1), "{status}");
}

// Guards against an instance that ends since its settings change while it starts.
#[test]
fn a_change_of_the_settings_during_the_start_does_not_end_the_process() {
    let store = store();
    let site = Site::new("north", "a", store.addr);
    let taken = TcpListener::bind(SocketAddr::new(site.ip, node::READY_PORT)).unwrap();
    let mut process = start(&site, 0);
    await_line(&process, "event=start ");
    for _ in 0..3 {
        process.hang_up().unwrap();
    }
    await_line(&process, "event=address-taken");
    drop(taken);
    let instance = Node { process, site };
    until("readiness", WAIT_TIMEOUT, || {
        instance.is_ready().then_some(())
    })
    .unwrap_or_else(|error| panic!("{error}\n{}", instance.process.lines().join("\n")));
    await_line(&instance.process, "event=reload ");
}
