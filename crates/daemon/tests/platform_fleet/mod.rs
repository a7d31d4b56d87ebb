//! Instances of one failure domain on the platform, as processes beside stand-ins of the
//! store and a backend server.
#![allow(dead_code, reason = "each test program uses some of these items")]

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use corianderway_standins::estate::entry;
use corianderway_standins::estate::node;
use corianderway_standins::estate::Crashing;
use corianderway_standins::estate::Endpoint;
use corianderway_standins::estate::Node;
use corianderway_standins::estate::Site;
use corianderway_standins::estate::Store;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Reply;
use serde_json::json;
use serde_json::Value;

/// The timeout for each awaited condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The platform's limit on the time from the return of the machines to service.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// The share of requests that the platform wants served after the limit.
pub const MIN_SERVED_SHARE: f64 = 0.25;

/// How long backend servers are down.
pub const DOWNTIME: Duration = Duration::from_millis(1_500);

/// The number of requests that show that callers are served before the loss.
pub const MIN_SERVED: usize = 100;

/// A store, a backend server and instances of one failure domain.
pub struct Fleet {
    pub store: Store,
    pub endpoint: Endpoint,
    pub instances: Vec<Node>,
}

/// Returns a configuration whose one client account, `t1`, has these keys.
pub fn configuration(version: u64, keys: &[&str]) -> Value {
    json!({
        "version": version,
        "routes": {
            "columns": ["name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms",
                "priority", "max_attempts", "public", "sticky", "service"],
            "rows": [
                ["read", "desk.example", "/read/", "safe", 3000, 600, 2, 2, false, true, "s1"],
                ["slow", "desk.example", "/slow/", "unsafe", 3000, 600, 2, 2, true, false, "s1"],
                ["brief", "desk.example", "/slow/brief/", "unsafe", 300, 100, 2, 2, true, false, "s1"],
            ],
        },
        "services": {
            "columns": ["name", "cold_start_s", "cold_per_s"],
            "rows": [["s1", 3.0, 6.0]],
        },
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 100_000,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": {
            "columns": ["name", "api_keys", "rate_per_s", "burst"],
            "rows": [["t1", keys, 0, 0]],
        },
    })
}

impl Fleet {
    /// Starts instances of failure domain `a` and waits until they are ready.
    pub fn start(count: usize) -> Self {
        Self::start_in(&vec!["a"; count])
    }

    /// Starts an instance in each of these failure domains, `a` or `b`, and waits until they
    /// are ready.
    pub fn start_in(domains: &[&str]) -> Self {
        Self::start_sites(domains, |site| site)
    }

    /// Starts instances of failure domain `a` that may open this many file descriptors, and
    /// waits until they are ready.
    pub fn start_limited(count: usize, descriptors: u32) -> Self {
        Self::start_sites(&vec!["a"; count], |site| Site {
            descriptors: Some(descriptors),
            ..site
        })
    }

    fn start_sites(domains: &[&str], adapt: impl Fn(Site) -> Site) -> Self {
        let store = Store::start();
        let endpoint = Endpoint::start("i-1");
        store.put("config", "main", &configuration(1, &["k1", "k2"]));
        store.put("servers", "i-1", &endpoint.entry("s1", "a", "ready", 1));
        store.put("servers", "other", &json!("left by another writer"));
        let start = |domain: &&str| {
            let site = Site::new("north", domain, store.add_address());
            Self::start_node(adapt(site))
        };
        let instances = domains.iter().map(start).collect();
        let fleet = Self {
            store,
            endpoint,
            instances,
        };
        for instance in &fleet.instances {
            fleet.until("readiness", || instance.is_ready().then_some(()));
        }
        fleet
    }

    /// Kills all instances and starts them again, without waiting for readiness.
    pub fn restart_all(&mut self) {
        for instance in &mut self.instances {
            instance.process.kill().unwrap();
        }
        for number in 0..self.instances.len() {
            self.restart(number);
        }
    }

    /// Kills an instance and starts it again, without waiting for readiness.
    pub fn restart(&mut self, number: usize) {
        let node = &mut self.instances[number];
        node.process.kill().unwrap();
        *node = Self::start_node(node.site.clone());
    }

    fn start_node(site: Site) -> Node {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
        Node::start(site, &[("a", "north"), ("b", "north")], dir).unwrap()
    }

    /// Returns the addresses at which the instances serve callers.
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        let addr = |instance: &Node| instance.addr(node::CALLERS_PORT);
        self.instances.iter().map(addr).collect()
    }

    /// Lists these backend servers under the ids of their numbers, as of a later start the
    /// higher `start` is.
    pub fn list_started(&self, servers: &[Crashing], start: u64, id: impl Fn(usize) -> String) {
        for (number, server) in servers.iter().enumerate() {
            let mut listed = entry(server.addr, "s1", "a", "ready", 1);
            listed["born"] = json!(1_790_000_000_000 + start);
            self.store.put("servers", &id(number), &listed);
        }
    }

    /// Waits until a condition holds; panics with all logs if it doesn't in time.
    pub fn until<T>(&self, what: &str, condition: impl FnMut() -> Option<T>) -> T {
        until(what, WAIT_TIMEOUT, condition)
            .unwrap_or_else(|error| panic!("{error}\n{}", self.logs()))
    }

    /// Returns the logs of all instances, one after another.
    pub fn logs(&self) -> String {
        let logs = self.instances.iter().flat_map(|i| i.process.lines());
        let logs: Vec<String> = logs.collect();
        logs.join("\n")
    }
}

/// Sends a request without a body; `None` if no complete answer arrives.
pub fn get(node: &Node, port: u16, path: &str, headers: &[(&str, &str)]) -> Option<Reply> {
    node.call("GET", port, path, headers)
}

/// Sends a request to a keyed route.
pub fn read(node: &Node, key: &str) -> Option<Reply> {
    let headers = [("Key", key), ("Request-Id", "r-1"), ("Deadline-Ms", "4000")];
    get(node, node::CALLERS_PORT, "/read/17?x=1", &headers)
}
