//! Measures how configuration spreads, under a logical clock.
//!
//! `spread NODES OBJECTS SEED` prints one line of figures for each phase, and
//! `spread memory` the memory that one held object and one member take.
//! Processor time is that of the step functions, measured on this machine;
//! bytes are estimates of the encoded size with 60 bytes of headers a message.

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
use corianderway_control::WATCH_WAIT;
use rand::Rng;

use crate::common::Fleet;
use crate::common::Node;

const REGIONS: usize = 13;
const VALUE_BYTES: usize = 600;
const SETTLE: Duration = Duration::from_mins(2);
const STEADY: Duration = Duration::from_secs(30);
const CHANGES: usize = 12;
const REPLACED: usize = 12;
const OUTAGE: Duration = Duration::from_secs(30);
const PAGE_BYTES: u64 = 4096;
const SAMPLE: usize = 100_000;

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
    fleet.store.fill((0..objects).map(|name| object(name, 1)));
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

/// Every instance starts at once, and the platform holds all objects.
fn start(fleet: &mut Fleet, objects: usize) {
    let full = |f: &Fleet| f.running().all(|n| n.control.set().all().len() == objects);
    let took = fleet.run_until(SETTLE, full);
    let current = fleet.run_until(SETTLE, |f| serving(f) == f.running().count());
    println!(
        "  start: filled_s={} serving_s={}",
        seconds(took),
        seconds(current)
    );
    fleet.run_for(STEADY);
}

fn steady(fleet: &mut Fleet) {
    reset(fleet);
    fleet.run_for(STEADY);
    figures(fleet, "steady", STEADY);
    let waiting = fleet.store.most_waiting;
    let watching = fleet.running().filter(|n| n.control.watching()).count();
    let baseline = fleet.nodes.len() as f64 / WATCH_WAIT.as_secs_f64();
    println!("  watch: watching={watching} most_waiting={waiting} if_all_watched_calls_per_s={baseline:.0}");
}

/// One change after another, each followed until the operator is told.
fn changes(fleet: &mut Fleet, objects: usize) {
    reset(fleet);
    let begin = fleet.now;
    let mut held = Vec::new();
    let mut told = Vec::new();
    for change in 0..CHANGES {
        let at = fleet.rng.random_range(0..fleet.nodes.len());
        let object = object(change % objects, change as u64 + 2);
        let stamp = object.stamp();
        fleet.write(at, object);
        fleet.step(at, Event::Follow(stamp.clone()));
        let holds = |f: &Fleet| {
            let mut sets = f.running().map(|n| n.control.set());
            sets.all(|set| set.rank(&stamp.id) >= Some(stamp.rank))
        };
        let everywhere = |f: &Fleet| f.node(at).control.in_force(&stamp) == InForce::Everywhere;
        let spread = fleet.run_until(SETTLE, holds).unwrap_or(SETTLE);
        held.push(spread);
        told.push(spread + fleet.run_until(SETTLE, everywhere).unwrap_or(SETTLE));
    }
    held.sort();
    told.sort();
    let (middle, last) = (CHANGES / 2, CHANGES - 1);
    println!(
        "  in_force: held_p50_s={:.1} held_max_s={:.1} told_p50_s={:.1} told_max_s={:.1}",
        held[middle].as_secs_f64(),
        held[last].as_secs_f64(),
        told[middle].as_secs_f64(),
        told[last].as_secs_f64(),
    );
    let span = fleet.now.since(begin);
    println!(
        "  changes: number={CHANGES} span_s={:.1}",
        span.as_secs_f64()
    );
    figures(fleet, "changes", span);
}

/// Instances are replaced one after another.
fn replacements(fleet: &mut Fleet, objects: usize) {
    reset(fleet);
    let begin = fleet.now;
    let mut took = Vec::new();
    for _ in 0..REPLACED {
        let at = fleet.rng.random_range(0..fleet.nodes.len());
        fleet.replace(at);
        let ready = |f: &Fleet| {
            let control = &f.node(at).control;
            let filled = control.set().all().len() == objects;
            filled && control.standing(f.now).serves_keyed()
        };
        took.push(fleet.run_until(SETTLE, ready).unwrap_or(SETTLE));
    }
    took.sort();
    let last = took[REPLACED - 1].as_secs_f64();
    println!("  replaced: number={REPLACED} ready_max_s={last:.1}");
    let span = fleet.now.since(begin);
    figures(fleet, "replacements", span);
}

/// The platform is down for a while, and comes back for all at once.
fn outage(fleet: &mut Fleet) {
    fleet.run_for(STEADY);
    fleet.store.down = true;
    reset(fleet);
    let mut fewest = fleet.nodes.len();
    for _ in 0..OUTAGE.as_secs() {
        fleet.run_for(Duration::from_secs(1));
        fewest = fewest.min(serving(fleet));
    }
    println!("  outage: serving_fewest={fewest} of={}", fleet.nodes.len());
    figures(fleet, "outage", OUTAGE);
    fleet.store.down = false;
    reset(fleet);
    let back = |f: &Fleet| {
        f.running()
            .all(|n| n.control.standing(f.now) == Standing::Current)
    };
    let took = fleet.run_until(SETTLE, back);
    println!("  reconnect: all_current_s={}", seconds(took));
    fleet.run_for(Duration::from_secs(5));
    figures(
        fleet,
        "reconnect",
        took.unwrap_or(SETTLE) + Duration::from_secs(5),
    );
}

/// A region without the platform is lost at once.
fn region_lost(fleet: &mut Fleet) {
    let lost = fleet.regions - 1;
    let places = (0..fleet.nodes.len()).filter(|at| fleet.region(*at) == lost);
    let places = places.collect::<Vec<_>>();
    for at in places {
        fleet.stop(at);
    }
    reset(fleet);
    let mut fewest = fleet.running().count();
    for _ in 0..OUTAGE.as_secs() {
        fleet.run_for(Duration::from_secs(1));
        fewest = fewest.min(serving(fleet));
    }
    println!(
        "  region_lost: serving_fewest={fewest} of={}",
        fleet.running().count()
    );
    figures(fleet, "region_lost", OUTAGE);
}

fn serving(fleet: &Fleet) -> usize {
    let all = fleet.running();
    all.filter(|n| n.control.standing(fleet.now).serves_keyed())
        .count()
}

fn reset(fleet: &mut Fleet) {
    for node in fleet.nodes.iter_mut().flatten() {
        node.sent = 0;
        node.bytes = 0;
        node.calls = 0;
        node.busy = Duration::ZERO;
    }
    fleet.store.most_waiting = 0;
}

fn figures(fleet: &Fleet, phase: &str, span: Duration) {
    let seconds = span.as_secs_f64();
    let count = fleet.running().count() as f64;
    let sum = |part: fn(&Node) -> f64| fleet.running().map(part).sum::<f64>();
    let most = |part: fn(&Node) -> f64| fleet.running().map(part).fold(0.0, f64::max);
    let busy = |n: &Node| n.busy.as_secs_f64() * 100.0;
    println!(
        "  {phase}: bytes_per_node_s={:.0} bytes_most_s={:.0} messages_per_node_s={:.1} \
         calls_per_s={:.1} cpu_percent={:.3} cpu_most_percent={:.3}",
        sum(|n| n.bytes as f64) / count / seconds,
        most(|n| n.bytes as f64) / seconds,
        sum(|n| n.sent as f64) / count / seconds,
        sum(|n| n.calls as f64) / seconds,
        sum(busy) / count / seconds,
        most(busy) / seconds,
    );
}

fn seconds(took: Option<Duration>) -> String {
    took.map_or_else(|| "never".to_owned(), |t| format!("{:.1}", t.as_secs_f64()))
}

fn memory() {
    let before = resident();
    let mut set = ConfigSet::default();
    for name in 0..SAMPLE {
        set.merge(object(name, 1));
    }
    let objects = resident();
    let mut members = ConfigSet::default();
    let entry = Fleet::new(1, 1, 1).node(0).entry.clone();
    for name in 0..SAMPLE {
        let id = Id::new(Kind::Member, format!("member-{name}"));
        let value = Value::Member(Arc::new(entry.clone()));
        members.merge(Object {
            id,
            version: 0,
            value,
        });
    }
    let after = resident();
    println!(
        "bytes_per_object={} (value {VALUE_BYTES}) bytes_per_member={} sampled={}",
        (objects - before) / SAMPLE as u64,
        (after - objects) / SAMPLE as u64,
        set.all().len() + members.all().len(),
    );
}

fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
