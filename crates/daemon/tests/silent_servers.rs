//! Service beside backend servers that accept connections and never answer.

mod platform_callers;
mod platform_fleet;

use std::thread;
use std::time::Duration;

use corianderway_standins::estate::Endpoint;
use corianderway_standins::estate::Mode;

use crate::platform_callers::beside_objects;
use crate::platform_fleet::Fleet;
use crate::platform_fleet::RECOVERY_LIMIT;

/// The number of backend servers that answer.
const SOUND: usize = 4;

/// The number of backend servers that don't.
const SILENT: usize = 12;

/// The number of objects that callers ask for.
const OBJECTS: usize = 40;

/// The span over which requests are counted.
const SPAN: Duration = Duration::from_secs(3);

/// The least ratio of the requests served beside silent servers to those served without any.
/// Callers whose request is held ask less, so the requests served are compared, not their share.
const MIN_SERVED_RATIO: f64 = 0.25;

/// The number of requests that show that callers are served without silent servers.
const MIN_SERVED: usize = 100;

// Guards against servers that hang but take new connections, and keep the objects that they own
// as if they had answered in time (RECOVER).
#[test]
fn callers_are_served_while_most_listed_servers_accept_and_never_answer() {
    let mut fleet = Fleet::start(2);
    fleet.store.remove("servers", "i-1");
    let servers: Vec<Endpoint> = (0..SOUND + SILENT)
        .map(|number| Endpoint::start(&format!("i-{}", number + 2)))
        .collect();
    let list = |fleet: &Fleet, server: &Endpoint| {
        let listed = server.entry("s1", "a", "ready", 1);
        fleet.store.put("servers", &server.id(), &listed);
    };
    for server in &servers[..SOUND] {
        list(&fleet, server);
    }
    let instances = fleet.caller_addrs();
    let (calm, (served, asked)) = beside_objects(&instances, OBJECTS, |counts| {
        let (calm, _) = counts.during(SPAN);
        for server in &servers[SOUND..] {
            server.set_mode(Mode::Unanswered);
            list(&fleet, server);
        }
        // They know nothing of the servers then.
        fleet.restart_all();
        thread::sleep(RECOVERY_LIMIT);
        (calm, counts.during(SPAN))
    });
    assert!(calm > MIN_SERVED, "{calm} requests served before");
    assert!(
        served as f64 >= MIN_SERVED_RATIO * calm as f64,
        "{served} of {asked} requests served, {calm} before\n{}",
        fleet.logs()
    );
}
