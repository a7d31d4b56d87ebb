//! The scenarios, one for each case.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::client::Client;
use crate::client::Failure;
use crate::endpoint::Act;
use crate::endpoint::Endpoint;
use crate::endpoint::Request;
use crate::fleet;
use crate::fleet::Instance;
use crate::fleet::HOST;
use crate::record::Record;
use crate::store::Store;

/// `recover_s` of the sites.
const RECOVER: Duration = Duration::from_secs(15);

/// `stable_window_ms` of the sites.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

pub fn run(case: &str, trouble: bool, record: &Record) -> Result<Verdict, String> {
    match case {
        "garbled-chunk" => garbled_chunk(trouble, record),
        "odd-request-id" => odd_message(trouble, record, odd_request_id(trouble)),
        "odd-chunk" => odd_message(trouble, record, odd_chunk(trouble)),
        "answers-lost" => answers_lost(trouble, record),
        _ => Err(format!("no case {case}")),
    }
}

fn estate(record: &Record, script: impl Fn(&Request) -> Act + Clone + Send + Sync + 'static) -> (Store, Vec<Endpoint>) {
    let store = Store::start();
    store.put("config", "main", &fleet::configuration(1));
    let endpoints: Vec<Endpoint> = fleet::ZONES
        .iter()
        .enumerate()
        .map(|(number, (zone, _))| {
            let endpoint = Endpoint::start(&format!("i-{number}"), record, script.clone());
            store.put("servers", &endpoint.id, &endpoint.entry("finder", zone, "ready", 1));
            endpoint
        })
        .collect();
    (store, endpoints)
}

// An endpoint sends bytes that are no answer, once to each instance: a chunk size near the
// largest number of 64 bits. RECOVER: the requests sent later than `recover_s` after that are
// served less often than a quarter.
fn garbled_chunk(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let garbling = move |request: &Request| {
        if trouble && request.target.contains("/garbled-") {
            return Act::Bytes(garbled_answer(request));
        }
        Act::Run(Duration::from_millis(20))
    };
    let (store, _endpoints) = estate(record, garbling);
    let instances: Vec<Instance> = (0..2)
        .map(|number| Instance::start(number, store.addr, record))
        .collect::<Result<_, _>>()?;
    thread::sleep(STABLE_WINDOW);
    let before = served(&instances, "before", 100, record);
    for instance in &instances {
        let path = format!("/transfer/garbled-{}", instance.name);
        let result = ask(instance, &path, "garbled", 2_000);
        record.line(&format!("{}: the request of the garbled answer: {result}", instance.name));
    }
    thread::sleep(RECOVER);
    let after = served(&instances, "after", 200, record);
    for mut instance in instances {
        let (running, ready) = (instance.is_running(), instance.is_ready());
        record.line(&format!("{}: running {running}, ready {ready}", instance.name));
        for line in instance.lines_with("panicked") {
            record.line(&format!("{}: {line}", instance.name));
        }
    }
    if before < 0.25 {
        return Err("fewer than a quarter were served before".to_owned());
    }
    Ok(if after < 0.25 { Verdict::Broken } else { Verdict::Held })
}

fn garbled_answer(request: &Request) -> Vec<u8> {
    let id = request.header("request-id");
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: 3e1b.07\r\nTransfer-Encoding: chunked\r\n\r\n\
         1\r\na\r\nffffffffffffffff\r\nbytes"
    )
    .into_bytes()
}

// Sends safe requests one after the other, in turn at the instances, and returns the share that
// is served.
fn served(instances: &[Instance], label: &str, count: usize, record: &Record) -> f64 {
    let mut good = 0;
    for number in 0..count {
        let instance = &instances[number % instances.len()];
        let id = format!("{label}-{number}");
        let result = ask(instance, &format!("/locate/{number}"), &id, 1_000);
        record.line(&format!("client: {id} at {}: {result}", instance.name));
        good += usize::from(result.starts_with("200"));
    }
    record.line(&format!("{label}: {good} of {count} served"));
    good as f64 / count as f64
}

fn ask(instance: &Instance, path: &str, id: &str, deadline_ms: u64) -> String {
    let timeout = Duration::from_millis(deadline_ms);
    let answer = Client::connect(instance.front())
        .and_then(|mut client| client.ask(&client::get(HOST, path, id, deadline_ms), timeout));
    match answer {
        Ok(answer) => format!("{} {}", answer.status, answer.body),
        Err(failure) => format!("{failure:?}"),
    }
}

// A request to a route that doesn't exist, whose id has a letter beyond ASCII.
fn odd_request_id(trouble: bool) -> Vec<u8> {
    let id = if trouble { "fa\u{e7}ade-1" } else { "facade-1" };
    client::get(HOST, "/never/1", id, 2_000)
}

// A request whose second chunk has a size near the largest number of 64 bits.
fn odd_chunk(trouble: bool) -> Vec<u8> {
    let size = if trouble { "ffffffffffffffff" } else { "ffffffffffffffffff" };
    format!(
        "POST /locate/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: chunk-1\r\nDeadline-Ms: 2000\r\n\
         Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n{size}\r\nbytes"
    )
    .into_bytes()
}

// One client sends an odd message while the requests of others run at sound endpoints. LOST: an
// instance passes a request from a kept connection on to a sound endpoint and closes that
// connection without an answer, more than three times.
fn odd_message(trouble: bool, record: &Record, odd: Vec<u8>) -> Result<Verdict, String> {
    const CLIENTS: usize = 12;
    let (store, endpoints) = estate(record, |request: &Request| {
        let slow = request.target.starts_with("/transfer/work");
        Act::Run(Duration::from_millis(if slow { 1_200 } else { 20 }))
    });
    let mut instance = Instance::start(0, store.addr, record)?;
    thread::sleep(STABLE_WINDOW);
    let front = instance.front();
    let go = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (go, record) = (Arc::clone(&go), record.clone());
            thread::spawn(move || -> Result<(String, Result<u16, Failure>), String> {
                let mut client = Client::connect(front).map_err(|failure| format!("{failure:?}"))?;
                let warm = client::get(HOST, "/locate/1", &format!("warm-{number}"), 4_000);
                let warm = client.ask(&warm, Duration::from_secs(4));
                if warm.as_ref().map_or(0, |answer| answer.status) != 200 {
                    return Err(format!("the first request on a connection: {warm:?}"));
                }
                while !go.load(Ordering::Acquire) {
                    thread::sleep(Duration::from_millis(1));
                }
                let id = format!("work-{number}");
                record.line(&format!("client {number}: sends {id} on its kept connection"));
                let request = client::get(HOST, &format!("/transfer/work-{number}"), &id, 6_000);
                let answer = client.ask(&request, Duration::from_secs(6)).map(|answer| answer.status);
                record.line(&format!("client {number}: {id}: {answer:?}"));
                Ok((id, answer))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    go.store(true, Ordering::Release);
    let end = Instant::now() + Duration::from_secs(1);
    let ran = |id: &str| endpoints.iter().any(|e| e.runs().iter().any(|run| run.header("request-id") == id));
    while (0..CLIENTS).filter(|number| ran(&format!("work-{number}"))).count() < CLIENTS && Instant::now() < end {
        thread::sleep(Duration::from_millis(10));
    }
    record.line(&format!("other client: sends {} bytes, trouble {trouble}", odd.len()));
    let answer = Client::connect(front).and_then(|mut client| client.ask(&odd, Duration::from_secs(2)));
    record.line(&format!("other client: {answer:?}"));
    let mut lost = 0;
    for client in clients {
        let (id, answer) = client.join().map_err(|_panic| "a client failed")??;
        lost += usize::from(answer == Err(Failure::Closed) && ran(&id));
    }
    record.line(&format!("{lost} requests were passed on and their kept connections closed without an answer"));
    thread::sleep(STABLE_WINDOW);
    let refused = (0..7).filter(|_| Client::connect(front).is_err()).count();
    let (running, ready) = (instance.is_running(), instance.is_ready());
    record.line(&format!("{refused} of 7 new connections refused; running {running}, ready {ready}"));
    for line in instance.lines_with("panicked") {
        record.line(&format!("{}: {line}", instance.name));
    }
    Ok(if lost > 3 { Verdict::Broken } else { Verdict::Held })
}

/// `memory_mb` of the settings.
const MEMORY_KB: u64 = 160 * 1_000;

// Answers of endpoints are lost, in episodes; clients wait until their deadline and leave. The
// stand-in of the platform kills a process that exceeds `memory_mb`. LOST: an instance passes a
// request from a kept connection on to a sound endpoint and closes that connection without an
// answer, more than three times.
fn answers_lost(trouble: bool, record: &Record) -> Result<Verdict, String> {
    const FILERS: usize = 3;
    const READERS: usize = 8;
    const EPISODE: Duration = Duration::from_secs(6);
    const PAUSE: Duration = Duration::from_secs(2);
    const LENGTH: Duration = Duration::from_secs(95);
    let losing = Arc::new(AtomicBool::new(false));
    let store = Store::start();
    store.put("config", "main", &fleet::configuration(1));
    let mut endpoints = Vec::new();
    for number in 0..12 {
        // 7 of 12 endpoints lose the answers of 3 of 10 requests that they run.
        let (losing, count) = (Arc::clone(&losing), AtomicUsize::new(0));
        let endpoint = Endpoint::start(&format!("i-{number}"), record, move |request: &Request| {
            let affected = request.target.starts_with("/transfer/") && number < 7 && losing.load(Ordering::Acquire);
            if affected && count.fetch_add(1, Ordering::AcqRel) % 10 < 3 {
                return Act::LoseAnswer;
            }
            Act::Run(Duration::from_millis(1_100))
        });
        let zone = fleet::ZONES[number % 3].0;
        store.put("servers", &endpoint.id, &endpoint.entry("finder", zone, "ready", 1));
        endpoints.push(endpoint);
    }
    let mut instance = Instance::start(0, store.addr, record)?;
    thread::sleep(STABLE_WINDOW);
    let front = instance.front();
    let done = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..FILERS {
        let (done, record) = (Arc::clone(&done), record.clone());
        clients.push(thread::spawn(move || {
            file_transfers(number, front, &done, &record);
            Vec::new()
        }));
    }
    for number in 0..READERS {
        let (done, record) = (Arc::clone(&done), record.clone());
        clients.push(thread::spawn(move || read_on_kept_connection(number, front, &done, &record)));
    }
    let start = Instant::now();
    let mut killed = false;
    while start.elapsed() < LENGTH && !killed {
        let phase = start.elapsed().as_millis() % (EPISODE + PAUSE).as_millis();
        let episode = trouble && phase < EPISODE.as_millis();
        if losing.swap(episode, Ordering::AcqRel) != episode {
            let what = if episode { "begins" } else { "ends" };
            record.line(&format!("endpoints i-0 to i-6: the loss of answers {what}"));
        }
        let memory = instance.memory_kb();
        record.line(&format!("{}: {memory} kB", instance.name));
        if memory > MEMORY_KB {
            record.line(&format!("platform: {} exceeds memory_mb and is killed", instance.name));
            instance.kill();
            killed = true;
        }
        thread::sleep(Duration::from_millis(250));
    }
    done.store(true, Ordering::Release);
    let mut lost = 0;
    for client in clients {
        for id in client.join().map_err(|_panic| "a client failed")? {
            let ran = endpoints.iter().any(|e| e.runs().iter().any(|run| run.header("request-id") == id));
            lost += usize::from(ran);
        }
    }
    record.line(&format!("{lost} requests were passed on and their kept connections closed without an answer"));
    Ok(if killed && lost > 3 { Verdict::Broken } else { Verdict::Held })
}

// Files two transfers a second, each with a body of 6 MB, and leaves at the deadline.
fn file_transfers(number: usize, front: SocketAddr, done: &AtomicBool, record: &Record) {
    const DEADLINE: Duration = Duration::from_millis(2_500);
    let body = vec![b'x'; 6_000_000];
    let mut kept: Option<Client> = None;
    let mut count = 0;
    while !done.load(Ordering::Acquire) {
        let begun = Instant::now();
        count += 1;
        let id = format!("transfer-{number}-{count}");
        let head = format!(
            "POST /transfer/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
            DEADLINE.as_millis(),
            body.len()
        );
        let client = kept.take().map_or_else(|| Client::connect(front), Ok);
        let result = client.and_then(|mut client| {
            client.send(head.as_bytes())?;
            // An uplink of 200 Mbit/s.
            for piece in body.chunks(100_000) {
                client.send(piece)?;
                thread::sleep(Duration::from_micros(4_000));
            }
            let answer = client.read(DEADLINE.saturating_sub(begun.elapsed()))?;
            if !answer.closes() {
                kept = Some(client);
            }
            Ok(format!("{} {}", answer.status, answer.body))
        });
        record.line(&format!("client: {id}: {result:?}"));
        thread::sleep(Duration::from_millis(500).saturating_sub(begun.elapsed()));
    }
}

// Sends safe requests on a kept connection; returns the ids of those on whose connection no
// answer came before its end.
fn read_on_kept_connection(number: usize, front: SocketAddr, done: &AtomicBool, record: &Record) -> Vec<String> {
    let mut lost = Vec::new();
    let mut count = 0;
    while !done.load(Ordering::Acquire) {
        let Ok(mut client) = Client::connect(front) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        while !done.load(Ordering::Acquire) {
            count += 1;
            let id = format!("read-{number}-{count}");
            let result = client.ask(&client::get(HOST, "/locate/1", &id, 4_000), Duration::from_secs(4));
            record.line(&format!("client: {id}: {:?}", result.as_ref().map(|answer| answer.status)));
            match result {
                Ok(answer) if !answer.closes() => (),
                Ok(_) => break,
                Err(failure) => {
                    // The first request is not one from a kept connection.
                    if failure == Failure::Closed && count > 1 {
                        lost.push(id);
                    }
                    break;
                }
            }
        }
    }
    lost
}
