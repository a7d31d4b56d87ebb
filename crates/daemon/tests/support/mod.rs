//! Starts a small fleet of processes: the platform, entry instances and backend servers.

#![allow(dead_code, reason = "each test program uses some of these items")]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use corianderway_control::KeyRecord;
use corianderway_control::NONCE_BYTES;
use corianderway_model::Backend;
use corianderway_model::Presence;
use corianderway_standins::backend::Record;
use corianderway_standins::checker::read_runs;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Daemon;
use corianderway_standins::harness::Platform;
use corianderway_standins::harness::Reply;
use corianderway_standins::harness::Request;
use corianderway_standins::harness::Server;
use serde_json::json;
use serde_json::Value;

/// The timeout for a condition to become true.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// The host name in the contract.
pub const HOST: &str = "finder.lakeshore.example";

/// The failure domains to which entry instances are assigned in turn.
const DOMAINS: [&str; 3] = ["north-a", "north-b", "north-c"];

/// The processes of one test.
pub struct Fleet {
    pub platform: Platform,
    pub servers: Vec<Server>,
    pub entries: Vec<Daemon>,
    histories: Vec<PathBuf>,
}

impl Fleet {
    /// Starts a platform with one contract, entry instances and backend servers, and
    /// waits until the instances are ready.
    pub fn start(entries: usize, servers: usize) -> Self {
        let mut fleet = Self {
            platform: Platform::start().unwrap(),
            servers: Vec::new(),
            entries: Vec::new(),
            histories: Vec::new(),
        };
        let contract = finder_contract(1_000.0, 1_000.0);
        fleet
            .platform
            .create("contracts", "finder", &contract)
            .unwrap();
        for at in 0..servers {
            fleet.add_server(&format!("finder-{at}"), "v1", &[]);
        }
        for at in 0..entries {
            fleet.add_entry(&format!("entry-{at}"));
        }
        fleet.wait_ready();
        fleet
    }

    /// Starts a backend server and registers it with the platform.
    pub fn add_server(&mut self, id: &str, version: &str, more: &[&str]) {
        let mut args = vec!["--id", id, "--service", "finder", "--version", version];
        args.extend(["--region", "north", "--domain", "north-a", "--slots", "8"]);
        let history = scratch_file(id, "");
        args.extend(["--history", history.to_str().unwrap()]);
        args.extend(more);
        let server = Server::start(&args).unwrap();
        self.platform
            .register_backend(&server.describe().unwrap())
            .unwrap();
        self.servers.push(server);
        self.histories.push(history);
    }

    /// Registers a backend server that a test runs itself.
    pub fn add_backend(&mut self, id: &str, addr: SocketAddr) {
        let backend = Backend {
            id: id.try_into().unwrap(),
            addr,
            service: "finder".try_into().unwrap(),
            version: "v1".try_into().unwrap(),
            region: "north".try_into().unwrap(),
            domain: "north-a".try_into().unwrap(),
            slots: 8,
            presence: Presence::Live,
        };
        self.platform.register_backend(&backend).unwrap();
    }

    /// Returns the requests that the backend servers ran, including servers that ended.
    pub fn runs(&self) -> Vec<Record> {
        let files = self.histories.iter();
        files.flat_map(|file| read_runs(file).unwrap()).collect()
    }

    /// Starts an entry instance and registers it with the platform.
    pub fn add_entry(&mut self, name: &str) {
        let bootstrap: Vec<_> = self.entries.iter().map(|e| e.peers).collect();
        let domain = DOMAINS[self.entries.len() % DOMAINS.len()];
        let settings = json!({
            "instance": name,
            "region": "north",
            "domain": domain,
            "callers": "127.0.0.1:0",
            "peers": "127.0.0.1:0",
            "metrics": "127.0.0.1:0",
            "platform": self.platform.addr,
            "bootstrap": bootstrap,
        });
        let file = scratch_file(name, &settings.to_string());
        let entry = Daemon::start(&file).unwrap();
        let listed = entry.describe(name, "north", domain).unwrap();
        // Fails while the platform is unavailable, which some tests arrange.
        drop(self.platform.register_entry(&listed));
        self.entries.push(entry);
    }

    /// Waits until every entry instance is ready.
    pub fn wait_ready(&self) {
        for entry in &self.entries {
            until("ready", WAIT_TIMEOUT, || {
                admin(entry, "/ready").filter(|r| r.status == 200)
            })
            .unwrap();
        }
    }

    /// Stores a new key of an account and returns its record and its text.
    pub fn create_key(&self, account: &str) -> (KeyRecord, String) {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let mut nonce = [0; NONCE_BYTES];
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        for (at, byte) in nonce.iter_mut().enumerate() {
            *byte = (next as usize * 31 + at * 7) as u8;
        }
        let account = account.try_into().unwrap();
        let (record, text) = KeyRecord::generate(account, &nonce, 1_790_000_000);
        self.platform
            .create("keys", record.id.as_str(), &record)
            .unwrap();
        (record, text.reveal().to_owned())
    }

    /// Repeats a request to an entry instance until the response has this status.
    pub fn wait_status(&self, entry: usize, request: &Request, status: u16) -> Reply {
        let mut last = None;
        let answered = until("the status", WAIT_TIMEOUT, || {
            last = self.entries[entry].call(request).ok();
            last.clone().filter(|reply| reply.status == status)
        });
        answered.unwrap_or_else(|_| panic!("no {status}, last {last:?}"))
    }
}

/// Returns a new idempotency key, a version 7 UUID.
pub fn idempotency_key() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let millis = since.as_millis() as u64;
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let (high, low) = (millis >> 16, millis & 0xffff);
    format!(
        "{high:08x}-{low:04x}-7{:03x}-8000-{process:08x}{next:04x}",
        next & 0xfff
    )
}

/// Counts the runs of requests with an idempotency key on the backend servers.
pub fn run_count(servers: &[Server], token: &str) -> usize {
    let ran = |server: &Server| {
        let records = server.history().unwrap();
        let same = records.iter().filter(|r| r.key.as_deref() == Some(token));
        same.count()
    };
    servers.iter().map(ran).sum()
}

/// Reads a path of the admin endpoint of an entry instance.
pub fn admin(entry: &Daemon, path: &str) -> Option<Reply> {
    corianderway_standins::harness::call(entry.metrics, &Request::get(path)).ok()
}

/// Returns the contract of the `finder` account with a rate and a burst.
pub fn finder_contract(rate: f64, burst: f64) -> Value {
    json!({
        "account": "finder",
        "hosts": [HOST],
        "rate": rate,
        "burst": burst,
        "routes": [
            { "name": "find", "path": "/capsules/", "methods": ["GET"], "service": "finder",
              "access": "open", "priority": "urgent", "deadline": "2s" },
            { "name": "dates", "path": "/dates/", "methods": ["GET", "POST"], "service": "finder",
              "access": "keyed", "priority": "deferrable", "deadline": "5s" },
            { "name": "transfer", "path": "/transfers/", "methods": ["POST"], "service": "finder",
              "replay": "once", "priority": "urgent", "deadline": "5s" },
            { "name": "seal", "path": "/seals/", "methods": ["POST"], "service": "finder",
              "replay": "deduplicated", "priority": "urgent", "deadline": "5s" },
        ],
        "regions": [{ "name": "north", "capacity": 1000.0, "shift": 100.0 }],
    })
}

fn scratch_file(name: &str, text: &str) -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = dir.join(format!("{name}-{}-{next}.yaml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    file
}
