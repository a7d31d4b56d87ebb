//! Measures the replication of configuration in a simulated fleet.
//!
//! `spread NODES OBJECTS SEED` prints a line of rates for each phase, and
//! `spread memory` the memory that a held object and a member take. Processor
//! time is the time spent in the step functions on the machine that runs the
//! example; bytes are estimated encoded sizes plus 60 bytes of headers a message.

#[path = "../tests/common/mod.rs"]
mod common;

use std::sync::Arc;
use std::time::Duration;

use corianderway_control::ConfigSet;
use corianderway_control::Event;
use corianderway_control::Id;
use corianderway_control::InForce;
use corianderway_control::Kind;
use corianderway_control::Object;
use corianderway_control::Standing;
use corianderway_control::Value;
use corianderway_control::WATCH_TIMEOUT;
use rand::Rng;

use crate::common::Fleet;
use crate::common::Node;

const REGIONS: usize = 13;
const VALUE_BYTES: usize = 600;
const SETTLE_TIMEOUT: Duration = Duration::from_mins(2);
const STEADY_DURATION: Duration = Duration::from_secs(30);
const CHANGE_COUNT: usize = 12;
const REPLACEMENT_COUNT: usize = 12;
const OUTAGE_DURATION: Duration = Duration::from_secs(30);
const MEMORY_PAGE_BYTES: u64 = 4096;
const SAMPLE_OBJECTS: usize = 100_000;

fn main() {
    let args = std::env::args().skip(1).collect::<Vec<_>>();
    let number = |at: usize| args.get(at).and_then(|text| text.parse::<u64>().ok());
    match (number(0), number(1), number(2)) {
        (Some(nodes), Some(objects), Some(seed)) => run(nodes as usize, objects as usize, seed),
        _ if args.first().is_some_and(|arg| arg == "memory") => memory(),
        _ => eprintln!("usage: spread NODES OBJECTS SEED | spread memory"),
    }
}

fn run(nodes: usize, objects: usize, seed: u64) {
    println!("nodes={nodes} objects={objects} seed={seed}");
    let regions = REGIONS.min(nodes / 3).max(1);
    let mut fleet = Fleet::new(seed, nodes, regions);
    fleet
        .store
        .insert_all((0..objects).map(|name| object(name, 1)));
    start(&mut fleet, objects);
    steady(&mut fleet);
    changes(&mut fleet, objects);
    replacements(&mut fleet, objects);
    outage(&mut fleet);
    region_lost(&mut fleet);
}

fn object(name: usize, version: u64) -> Object {
    let kind = if name.is_multiple_of(2) {
        Kind::Contract
    } else {
        Kind::Key
    };
    let text = format!("{version:0VALUE_BYTES$}");
    Object::new(Id::new(kind, format!("object-{name}")), version, text)
}

/// Starts all instances at once while the platform stores all objects.
fn start(fleet: &mut Fleet, objects: usize) {
    let is_full = |f: &Fleet| {
        f.running()
            .all(|n| n.control.config().all().len() == objects)
    };
    let took = fleet.run_until(SETTLE_TIMEOUT, is_full);
    let current = fleet.run_until(SETTLE_TIMEOUT, |f| count_serving(f) == f.running().count());
    println!(
        "  start: filled_s={} serving_s={}",
        seconds(took),
        seconds(current)
    );
    fleet.run_for(STEADY_DURATION);
}

fn steady(fleet: &mut Fleet) {
    reset_counters(fleet);
    fleet.run_for(STEADY_DURATION);
    print_rates(fleet, "steady", STEADY_DURATION);
    let waiting = fleet.store.max_waiting;
    let watching = fleet.running().filter(|n| n.control.watching()).count();
    let baseline = fleet.nodes.len() as f64 / WATCH_TIMEOUT.as_secs_f64();
    println!("  watch: watching={watching} most_waiting={waiting} if_all_watched_calls_per_s={baseline:.0}");
}

/// Makes one change after another, each followed until it is reported in force.
fn changes(fleet: &mut Fleet, objects: usize) {
    reset_counters(fleet);
    let begin = fleet.now;
    let mut held = Vec::new();
    let mut confirmed = Vec::new();
    for change in 0..CHANGE_COUNT {
        let at = fleet.rng.random_range(0..fleet.nodes.len());
        let object = object(change % objects, change as u64 + 2);
        let stamp = object.stamp();
        fleet.write(at, object);
        fleet.step(at, Event::Follow(stamp.clone()));
        let holds = |f: &Fleet| {
            let mut sets = f.running().map(|n| n.control.config());
            sets.all(|set| set.rank(&stamp.id) >= Some(stamp.rank))
        };
        let everywhere = |f: &Fleet| f.node(at).control.in_force(&stamp) == InForce::Everywhere;
        let spread = fleet
            .run_until(SETTLE_TIMEOUT, holds)
            .unwrap_or(SETTLE_TIMEOUT);
        held.push(spread);
        confirmed.push(
            spread
                + fleet
                    .run_until(SETTLE_TIMEOUT, everywhere)
                    .unwrap_or(SETTLE_TIMEOUT),
        );
    }
    held.sort();
    confirmed.sort();
    let (middle, last) = (CHANGE_COUNT / 2, CHANGE_COUNT - 1);
    println!(
        "  in_force: held_p50_s={:.1} held_max_s={:.1} told_p50_s={:.1} told_max_s={:.1}",
        held[middle].as_secs_f64(),
        held[last].as_secs_f64(),
        confirmed[middle].as_secs_f64(),
        confirmed[last].as_secs_f64(),
    );
    let span = fleet.now.since(begin);
    println!(
        "  changes: number={CHANGE_COUNT} span_s={:.1}",
        span.as_secs_f64()
    );
    print_rates(fleet, "changes", span);
}

/// Replaces one instance after another.
fn replacements(fleet: &mut Fleet, objects: usize) {
    reset_counters(fleet);
    let begin = fleet.now;
    let mut took = Vec::new();
    for _ in 0..REPLACEMENT_COUNT {
        let at = fleet.rng.random_range(0..fleet.nodes.len());
        fleet.replace(at);
        let ready = |f: &Fleet| {
            let control = &f.node(at).control;
            let filled = control.config().all().len() == objects;
            filled && control.standing(f.now).serves_keyed()
        };
        took.push(
            fleet
                .run_until(SETTLE_TIMEOUT, ready)
                .unwrap_or(SETTLE_TIMEOUT),
        );
    }
    took.sort();
    let last = took[REPLACEMENT_COUNT - 1].as_secs_f64();
    println!("  replaced: number={REPLACEMENT_COUNT} ready_max_s={last:.1}");
    let span = fleet.now.since(begin);
    print_rates(fleet, "replacements", span);
}

/// Takes the platform down, then brings it back for all instances at once.
fn outage(fleet: &mut Fleet) {
    fleet.run_for(STEADY_DURATION);
    fleet.store.down = true;
    reset_counters(fleet);
    let mut min_serving = fleet.nodes.len();
    for _ in 0..OUTAGE_DURATION.as_secs() {
        fleet.run_for(Duration::from_secs(1));
        min_serving = min_serving.min(count_serving(fleet));
    }
    println!(
        "  outage: serving_fewest={min_serving} of={}",
        fleet.nodes.len()
    );
    print_rates(fleet, "outage", OUTAGE_DURATION);
    fleet.store.down = false;
    reset_counters(fleet);
    let all_current = |f: &Fleet| {
        f.running()
            .all(|n| n.control.standing(f.now) == Standing::Current)
    };
    let took = fleet.run_until(SETTLE_TIMEOUT, all_current);
    println!("  reconnect: all_current_s={}", seconds(took));
    fleet.run_for(Duration::from_secs(5));
    print_rates(
        fleet,
        "reconnect",
        took.unwrap_or(SETTLE_TIMEOUT) + Duration::from_secs(5),
    );
}

/// Stops all instances of a region that is not the platform's.
fn region_lost(fleet: &mut Fleet) {
    let lost = fleet.regions - 1;
    let places = (0..fleet.nodes.len()).filter(|at| fleet.region(*at) == lost);
    let places = places.collect::<Vec<_>>();
    for at in places {
        fleet.stop(at);
    }
    reset_counters(fleet);
    let mut min_serving = fleet.running().count();
    for _ in 0..OUTAGE_DURATION.as_secs() {
        fleet.run_for(Duration::from_secs(1));
        min_serving = min_serving.min(count_serving(fleet));
    }
    println!(
        "  region_lost: serving_fewest={min_serving} of={}",
        fleet.running().count()
    );
    print_rates(fleet, "region_lost", OUTAGE_DURATION);
}

fn count_serving(fleet: &Fleet) -> usize {
    let all = fleet.running();
    all.filter(|n| n.control.standing(fleet.now).serves_keyed())
        .count()
}

fn reset_counters(fleet: &mut Fleet) {
    for node in fleet.nodes.iter_mut().flatten() {
        node.sent = 0;
        node.bytes = 0;
        node.calls = 0;
        node.step_time = Duration::ZERO;
    }
    fleet.store.max_waiting = 0;
}

fn print_rates(fleet: &Fleet, phase: &str, span: Duration) {
    let seconds = span.as_secs_f64();
    let count = fleet.running().count() as f64;
    let sum = |value_of: fn(&Node) -> f64| fleet.running().map(value_of).sum::<f64>();
    let largest = |value_of: fn(&Node) -> f64| fleet.running().map(value_of).fold(0.0, f64::max);
    let step_time = |n: &Node| n.step_time.as_secs_f64() * 100.0;
    println!(
        "  {phase}: bytes_per_node_s={:.0} bytes_most_s={:.0} messages_per_node_s={:.1} \
         calls_per_s={:.1} cpu_percent={:.3} cpu_most_percent={:.3}",
        sum(|n| n.bytes as f64) / count / seconds,
        largest(|n| n.bytes as f64) / seconds,
        sum(|n| n.sent as f64) / count / seconds,
        sum(|n| n.calls as f64) / seconds,
        sum(step_time) / count / seconds,
        largest(step_time) / seconds,
    );
}

fn seconds(took: Option<Duration>) -> String {
    took.map_or_else(|| "never".to_owned(), |t| format!("{:.1}", t.as_secs_f64()))
}

fn memory() {
    let before = resident_bytes();
    let mut set = ConfigSet::default();
    for name in 0..SAMPLE_OBJECTS {
        set.merge(object(name, 1));
    }
    let objects = resident_bytes();
    let mut members = ConfigSet::default();
    let entry = Fleet::new(1, 1, 1).node(0).entry.clone();
    for name in 0..SAMPLE_OBJECTS {
        let id = Id::new(Kind::Member, format!("member-{name}"));
        let value = Value::Member(Arc::new(entry.clone()));
        members.merge(Object {
            id,
            version: 0,
            value,
        });
    }
    let after = resident_bytes();
    println!(
        "bytes_per_object={} (value {VALUE_BYTES}) bytes_per_member={} sampled={}",
        (objects - before) / SAMPLE_OBJECTS as u64,
        (after - objects) / SAMPLE_OBJECTS as u64,
        set.all().len() + members.all().len(),
    );
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or_default() * MEMORY_PAGE_BYTES
}
