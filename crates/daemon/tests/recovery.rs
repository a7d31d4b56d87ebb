//! Service after many processes were lost at the same moment.

mod platform_callers;
mod platform_fleet;

use std::thread;
use std::time::Duration;

use corianderway_standins::estate::Crashing;

use crate::platform_callers::beside;
use crate::platform_fleet::Fleet;
use crate::platform_fleet::DOWNTIME;
use crate::platform_fleet::MIN_SERVED;
use crate::platform_fleet::MIN_SERVED_SHARE;
use crate::platform_fleet::RECOVERY_LIMIT;

/// The span over which requests are counted.
const SPAN: Duration = Duration::from_secs(1);

// Guards against a quarantine of what callers ask for most, since it was in flight at all
// servers that lost power (RECOVER).
#[test]
fn callers_are_served_after_all_backend_servers_were_lost_at_once() {
    let fleet = Fleet::start(2);
    fleet.store.remove("servers", "i-1");
    let servers: Vec<_> = (0..6).map(|_| Crashing::start("/none", DOWNTIME)).collect();
    let id = |number| format!("i-{}", number + 2);
    fleet.list_started(&servers, 0, id);
    let instances = fleet.caller_addrs();
    let (calm, after) = beside(&instances, "/read/1", |counts| {
        let (calm, _) = counts.during(SPAN);
        for server in &servers {
            server.crash();
        }
        thread::sleep(DOWNTIME);
        fleet.list_started(&servers, 1, id);
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
