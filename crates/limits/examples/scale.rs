//! Prints how messages, platform calls and memory of the quota scale.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Duration;

use corianderway_limits::Amount;
use corianderway_limits::Event;
use corianderway_limits::Limit;
use corianderway_limits::Quota;
use corianderway_limits::Timing;
use corianderway_model::Account;
use corianderway_model::InstanceId;
use corianderway_model::Time;
use fleet::Fleet;

const RUN_TIME: Duration = Duration::from_secs(20);
const PAGE_BYTES: f64 = 4096.0;

fn print_traffic(nodes: usize, crowded: usize, outage: bool) {
    let mut fleet = Fleet::new(1, nodes, 4_000.0, 4_000.0, Timing::default());
    fleet.faults.delay_ms = 70;
    fleet.offered_rate = 0.0;
    fleet.run(Duration::from_secs(30));
    for (index, node) in fleet.nodes.iter_mut().enumerate() {
        node.weight = if index < crowded { 1.0 } else { 0.0 };
    }
    fleet.offered_rate = 3_600.0;
    if outage {
        fleet.outage(1_000_000);
    }
    fleet.run(RUN_TIME);
    let before = (
        fleet.messages,
        fleet.platform.calls,
        fleet.admitted(),
        fleet.refused(),
    );
    fleet.run(RUN_TIME);
    let seconds = RUN_TIME.as_secs_f64();
    let admitted = (fleet.admitted() - before.2) as f64;
    println!(
        "{nodes:6} {crowded:8} {outage:7} {:11.2} {:9.2} {:9.4}",
        (fleet.messages - before.0) as f64 / seconds / nodes as f64,
        (fleet.platform.calls - before.1) as f64 / seconds,
        admitted / (admitted + (fleet.refused() - before.3) as f64),
    );
}

fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

fn print_memory(count: usize) -> Quota {
    let name = |index| Limit::Rate(Account::try_from(format!("account-{index:06}")).unwrap());
    let before = resident_bytes();
    let me = InstanceId::try_from("entry-0").unwrap();
    let mut quota = Quota::new(me, Timing::default(), 1);
    let limits = (0..count).map(|index| (name(index), Amount::new(100.0, 100.0)));
    quota.step(Time::ZERO, Event::Limits(limits.collect()), &mut vec![]);
    let bytes = (resident_bytes() - before) / count as f64;
    println!("{count:6} limits: {bytes:.0} bytes each");
    quota
}

fn main() {
    println!(" nodes  crowded  outage  messages/s/instance  calls/s  served");
    for nodes in [10, 40, 160] {
        print_traffic(nodes, nodes, false);
        print_traffic(nodes, 1, false);
        print_traffic(nodes, 1, true);
    }
    // All are kept alive, so that freed memory isn't reused by the next one.
    let quotas: Vec<_> = [20_000, 50_000, 200_000].map(print_memory).into();
    drop(quotas);
}
