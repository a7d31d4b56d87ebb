//! Service after many processes were lost at the same moment.

mod platform_callers;
mod platform_fleet;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use corianderway_standins::estate::entry;
use corianderway_standins::estate::node;
use corianderway_standins::estate::Crashing;
use serde_json::json;

use crate::platform_callers::beside;
use crate::platform_fleet::Fleet;

/// The platform's limit on the time from the return of the machines to service.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// How long backend servers are down.
const DOWNTIME: Duration = Duration::from_millis(1_500);

/// The span over which requests are counted.
const SPAN: Duration = Duration::from_secs(1);

/// The share of requests that the platform wants served after the limit.
const MIN_SERVED_SHARE: f64 = 0.25;

/// The number of requests that show that callers are served before the loss.
const MIN_SERVED: usize = 100;

// Guards against a quarantine of what callers ask for most, since it was in flight at all
// servers that lost power (RECOVER).
#[test]
fn callers_are_served_after_all_backend_servers_were_lost_at_once() {
    let fleet = Fleet::start(2);
    fleet.store.remove("servers", "i-1");
    let servers: Vec<_> = (0..6).map(|_| Crashing::start("/none", DOWNTIME)).collect();
    let list = |start: u64| {
        for (number, server) in servers.iter().enumerate() {
            let mut listed = entry(server.addr, "s1", "a", "ready", 1);
            listed["born"] = json!(1_790_000_000_000 + start);
            let id = format!("i-{}", number + 2);
            fleet.store.put("servers", &id, &listed);
        }
    };
    list(0);
    let callers = |instance: &node::Node| instance.addr(node::CALLERS_PORT);
    let instances: Vec<SocketAddr> = fleet.instances.iter().map(callers).collect();
    let (calm, after) = beside(&instances, "/read/1", |counts| {
        let (calm, _) = counts.during(SPAN);
        for server in &servers {
            server.crash();
        }
        thread::sleep(DOWNTIME);
        list(1);
        thread::sleep(RECOVERY_LIMIT);
        (calm, counts.during(SPAN))
    });
    assert!(calm > MIN_SERVED, "{calm} requests served before");
    let (served, asked) = after;
    assert!(
        served as f64 >= MIN_SERVED_SHARE * asked as f64,
        "{served} of {asked} requests served\n{}",
        fleet.logs()
    );
}
