//! Tests of the entry instances that callers get, and of how few callers move.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use corianderway_model::Entry;
use corianderway_model::InstanceId;
use corianderway_model::Presence;
use corianderway_model::Region;
use corianderway_model::Time;
use corianderway_routing::Caller;
use corianderway_routing::Entries;

const TTL: Duration = Duration::from_secs(10);
const CALLERS: u32 = 4000;
const REGIONS: usize = 3;

fn entry(at: usize) -> Entry {
    let addr = |port: u16| (Ipv4Addr::new(10, 1, 0, at as u8), port).into();
    Entry {
        id: format!("entry-{at}").try_into().unwrap(),
        callers: addr(80),
        peers: addr(81),
        region: region(at),
        domain: format!("r{}-a", at % REGIONS).try_into().unwrap(),
        presence: Presence::Live,
    }
}

fn region(at: usize) -> Region {
    format!("r{}", at % REGIONS).try_into().unwrap()
}

fn entries(count: usize) -> Entries {
    let list: Vec<_> = (0..count).map(entry).collect();
    let mut entries = Entries::new(list[0].id.clone(), TTL);
    entries.sync(&list, Time::ZERO);
    entries
}

fn first(entries: &Entries, caller: u32) -> InstanceId {
    let addr = IpAddr::V4(Ipv4Addr::from_bits(caller));
    let advice = entries.entries_for(Caller::Address(addr), &region(0));
    advice.entries[0].id.clone()
}

fn firsts(entries: &Entries) -> Vec<InstanceId> {
    (0..CALLERS).map(|caller| first(entries, caller)).collect()
}

fn count(firsts: &[InstanceId], at: usize) -> usize {
    firsts.iter().filter(|id| **id == entry(at).id).count()
}

#[test]
fn callers_spread_evenly_over_their_region() {
    // Entries 0, 3, 6 and 9 are in region r0.
    let firsts = firsts(&entries(11));
    for at in [0, 3, 6, 9] {
        let share = count(&firsts, at) as f64 / f64::from(CALLERS);
        assert!((0.22..0.28).contains(&share), "{at}: {share}");
    }
}

#[test]
fn the_last_entry_is_in_another_region() {
    let entries = entries(11);
    let addr = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let advice = entries.entries_for(Caller::Address(addr), &region(0));
    let regions: Vec<_> = advice
        .entries
        .iter()
        .map(|e| e.region == region(0))
        .collect();
    assert_eq!(regions, [true, true, true, false]);
    assert!(advice.ttl >= TTL.mul_f64(0.75) && advice.ttl <= TTL.mul_f64(1.25));
}

#[test]
fn few_callers_move_when_an_instance_joins_or_leaves() {
    let mut entries = entries(11);
    let before = firsts(&entries);
    entries.sync(&[entry(12)], Time::ZERO);
    let joined = firsts(&entries);
    let moved = before.iter().zip(&joined).filter(|(a, b)| a != b);
    assert_eq!(moved.count(), count(&joined, 12));
    entries.mark_leaving(&entry(12).id, Time::ZERO);
    assert_eq!(firsts(&entries), before);
}

#[test]
fn a_delayed_list_does_not_restore_a_leaving_instance() {
    let mut entries = entries(11);
    entries.mark_leaving(&entry(3).id, Time::ZERO);
    entries.sync(&[entry(3)], Time::from_millis(10));
    entries.record_heartbeat(&entry(3).id, 0.1, Time::from_millis(20));
    entries.refresh(Time::from_millis(30));
    assert_eq!(count(&firsts(&entries), 3), 0);
}

#[test]
fn instances_without_heartbeats_are_left_out_unless_all_are() {
    let mut entries = entries(4);
    let heartbeat = |entries: &mut Entries, at: usize, ms| {
        entries.record_heartbeat(&entry(at).id, 0.1, Time::from_millis(ms));
    };
    (1..4).for_each(|at| heartbeat(&mut entries, at, 0));
    heartbeat(&mut entries, 1, 2900);
    entries.refresh(Time::from_millis(3100));
    assert_eq!(count(&firsts(&entries), 3), 0);
    assert!(count(&firsts(&entries), 0) > 0);
    entries.mark_leaving(&entry(0).id, Time::from_millis(9000));
    assert!(count(&firsts(&entries), 3) > 0);
}

#[test]
fn a_loaded_instance_gets_a_smaller_share() {
    let mut entries = entries(11);
    let before = count(&firsts(&entries), 3);
    entries.record_heartbeat(&entry(3).id, 1.0, Time::ZERO);
    entries.refresh(Time::ZERO);
    let after = count(&firsts(&entries), 3);
    assert!(after < before / 2 && after > 0, "{before} {after}");
}
