//! Tests of the choice of region, version and backend server, and of retries.

mod common;

use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Priority;
use corianderway_model::Region;
use corianderway_model::Replay;
use corianderway_model::Time;
use corianderway_routing::Attempts;
use corianderway_routing::Decision;
use corianderway_routing::Failure;
use corianderway_routing::Fleet;
use corianderway_routing::Handle;
use corianderway_routing::Outcome;
use corianderway_routing::Query;
use corianderway_routing::Refusal;
use corianderway_routing::RegionReason;
use corianderway_routing::Report;
use corianderway_routing::Retry;
use corianderway_routing::Router;
use corianderway_routing::StopReason;
use corianderway_routing::Ticket;
use corianderway_routing::VersionShare;

const PER_REGION: usize = 4;
const SLOTS: usize = 4;
// Limit of the urgent requests in flight in a region: its slots, and a queue of
// half as many.
const MAX_URGENT: usize = PER_REGION * SLOTS * 3 / 2;

fn list() -> Vec<Backend> {
    let region = |at| ["north", "south"][at / PER_REGION];
    let side = |at: usize| if at.is_multiple_of(2) { "a" } else { "b" };
    let backends = 0..2 * PER_REGION;
    backends
        .map(|at| common::backend_in(at, region(at), side(at)))
        .collect()
}

fn fleet(list: &[Backend]) -> (Fleet, Router) {
    let mut fleet = Fleet::new().unwrap();
    fleet.sync(list, Time::ZERO);
    let router = Router::new(list[0].region.clone(), list[0].domain.clone());
    (fleet, router)
}

// Routes requests that never finish until one is refused.
fn fill(
    (fleet, router): (&mut Fleet, &Router),
    query: &Query<'_>,
    may_shift: bool,
) -> (Vec<Ticket>, Refusal) {
    let mut sent = Vec::new();
    for draw in 0..1000_u64 {
        let draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        match router.route(fleet, query, draw, |_| may_shift) {
            Ok(decision) => sent.push(fleet.begin(decision.server)),
            Err(refusal) => return (sent, refusal),
        }
    }
    panic!("no request was refused");
}

#[test]
fn a_region_accepts_requests_up_to_its_limit() {
    let list = list();
    let (mut fleet, router) = fleet(&list);
    let query = common::query(&list[0]);
    let (sent, refusal) = fill((&mut fleet, &router), &query, false);
    assert_eq!(sent.len(), MAX_URGENT);
    assert_eq!(refusal, Refusal::ShiftCapped);
    let (more, refusal) = fill((&mut fleet, &router), &query, true);
    assert_eq!(more.len(), MAX_URGENT);
    assert_eq!(refusal, Refusal::Overloaded);
}

// It may use twice its equal share for a moment, and that share on average.
#[test]
fn without_reports_an_instance_uses_its_equal_share() {
    let list = list();
    let (mut fleet, router) = fleet(&list);
    fleet.set_instances(4);
    let query = common::query(&list[0]);
    let (sent, _) = fill((&mut fleet, &router), &query, false);
    assert_eq!(sent.len(), MAX_URGENT / 4 * 2);
    fleet.tick(Time::from_millis(60_000));
    for ticket in sent {
        fleet.finish(ticket, Outcome::Cancelled, Time::from_millis(60_000));
    }
    let (sent, _) = fill((&mut fleet, &router), &query, false);
    assert!(sent.len() <= MAX_URGENT / 4, "{}", sent.len());
}

#[test]
fn load_reports_reduce_the_room_until_they_expire() {
    let list = list();
    let (mut fleet, router) = fleet(&list);
    for backend in &list[..PER_REGION] {
        fleet.record_report(&backend.id, Report::Load(4), Time::ZERO);
    }
    let query = common::query(&list[0]);
    // 16 requests of others were reported; their square root, 4, is subtracted.
    let (sent, _) = fill((&mut fleet, &router), &query, false);
    assert_eq!(sent.len(), MAX_URGENT - (16 - 4));
    fleet.tick(Time::from_millis(60_000));
    let (more, _) = fill((&mut fleet, &router), &query, false);
    assert_eq!(more.len(), 16 - 4);
}

#[test]
fn a_full_home_region_is_left_after_waiting_the_round_trip_time() {
    let list = list();
    let (mut fleet, router) = fleet(&list);
    let query = common::query(&list[0]);
    let (_sent, _) = fill((&mut fleet, &router), &query, false);
    let after = |ms| {
        let waited = Duration::from_millis(ms);
        router.route_waiting(&fleet, &query, 1, waited, |_| true)
    };
    assert_eq!(after(60), Err(Refusal::Overloaded));
    assert_eq!(after(70).unwrap().region_reason, RegionReason::HomeFull);
}

#[test]
fn deferrable_requests_leave_room_for_urgent_ones() {
    let list = list();
    let (mut fleet, router) = fleet(&list);
    let mut query = common::query(&list[0]);
    query.priority = Priority::Deferrable;
    let (sent, _) = fill((&mut fleet, &router), &query, false);
    assert_eq!(sent.len(), PER_REGION * SLOTS * 4 / 5);
    query.priority = Priority::Urgent;
    let (more, _) = fill((&mut fleet, &router), &query, false);
    assert_eq!(more.len(), MAX_URGENT - PER_REGION * SLOTS * 4 / 5);
}

#[test]
fn a_lost_region_is_left_only_if_may_shift_allows() {
    let list = list();
    let (mut fleet, router) = fleet(&list);
    for backend in &list[..PER_REGION] {
        fleet.record_report(&backend.id, Report::Leaving, Time::ZERO);
    }
    let query = common::query(&list[0]);
    let refused = router.route(&fleet, &query, 1, |_| false);
    assert_eq!(refused, Err(Refusal::ShiftCapped));
    let mut asked = Vec::new();
    let decision = router.route(&fleet, &query, 1, |region| {
        asked.push(region.clone());
        true
    });
    assert_eq!(decision.unwrap().region_reason, RegionReason::HomeLost);
    assert_eq!(asked, [list[PER_REGION].region.clone()]);
}

#[test]
fn a_request_near_its_deadline_stays_out_of_other_regions() {
    let list = list();
    let (mut fleet, router) = fleet(&list);
    for backend in &list[..PER_REGION] {
        fleet.set_drain_planned(&backend.id, true, Time::ZERO);
    }
    let mut query = common::query(&list[0]);
    query.remaining = Duration::from_millis(50);
    let refused = router.route(&fleet, &query, 1, |_| true);
    assert_eq!(refused, Err(Refusal::TooLate));
}

#[test]
fn a_new_version_keeps_its_share_when_the_old_one_is_gone() {
    let mut list = list();
    for backend in &mut list[2..4] {
        backend.version = "v2".try_into().unwrap();
    }
    let (mut fleet, router) = fleet(&list);
    let (old, new) = (list[0].version.clone(), list[2].version.clone());
    let share = |version, weight| VersionShare { version, weight };
    let versions = [share(&old, 0.95), share(&new, 0.05)];
    let mut query = common::query(&list[0]);
    query.versions = &versions;
    let count_new = |fleet: &Fleet| {
        let draws = (0..4000_u64).map(|at| at.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let decisions = draws.filter_map(|draw| router.route(fleet, &query, draw, |_| false).ok());
        let version = |d: Decision| fleet.server(d.server).unwrap().version().clone();
        decisions.filter(|d| version(*d) == new).count()
    };
    let count = count_new(&fleet);
    assert!((140..260).contains(&count), "{count}");
    for backend in &list[..2] {
        fleet.record_report(&backend.id, Report::Leaving, Time::ZERO);
    }
    let count = count_new(&fleet);
    assert!((140..260).contains(&count), "{count}");
}

#[test]
fn a_cold_server_gets_few_requests_at_first() {
    let mut list = list();
    let (mut fleet, router) = fleet(&list);
    list.push(common::backend_in(90, "north", "a"));
    fleet.sync(&list, Time::ZERO);
    let cold = fleet.find(&list.last().unwrap().id).unwrap();
    let query = common::query(&list[0]);
    let count = |fleet: &Fleet| {
        let draws = (0..2000_u64).map(|at| at.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let chosen = draws.map(|d| router.route(fleet, &query, d, |_| false).unwrap());
        chosen.filter(|d| d.server == cold).count()
    };
    assert!(count(&fleet) < 100);
    fleet.tick(Time::from_millis(11_000));
    assert!(count(&fleet) > 200);
}

// Random requests, outcomes, ticks and load reports that need not be true.
#[test]
fn no_order_of_events_exceeds_the_limit_of_a_region() {
    fn property(ops: Vec<(u8, u8)>) -> bool {
        let list = list();
        let (mut fleet, router) = fleet(&list);
        let query = common::query(&list[0]);
        let mut sent: Vec<Ticket> = Vec::new();
        let mut now = Time::ZERO;
        for (kind, value) in ops {
            match kind % 8 {
                0 if !sent.is_empty() => {
                    let ticket = sent.swap_remove(usize::from(value) % sent.len());
                    let latency = Duration::from_millis(u64::from(value));
                    fleet.finish(ticket, Outcome::Answered(latency), now);
                }
                1 => {
                    let id = &list[usize::from(value) % list.len()].id;
                    fleet.record_report(id, Report::Load(u32::from(kind) / 8), now);
                }
                2 => {
                    now = now + Duration::from_millis(u64::from(value) * 20);
                    fleet.tick(now);
                }
                _ => {
                    let draw = u64::from(value).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                    if let Ok(decision) = router.route(&fleet, &query, draw, |_| true) {
                        sent.push(fleet.begin(decision.server));
                    }
                }
            }
            let regions = [&list[0].region, &list[PER_REGION].region];
            let in_flight = |region: &Region| {
                let servers = fleet.servers().filter(|(_, s)| *s.region() == *region);
                servers.map(|(_, s)| s.in_flight() as usize).sum::<usize>()
            };
            if regions.iter().any(|r| in_flight(r) > MAX_URGENT) {
                return false;
            }
        }
        true
    }
    common::check(300, property as fn(Vec<(u8, u8)>) -> bool);
}

// Guards against drift: the counts that reports and requests update must equal
// those that a tick recomputes from all backend servers.
#[test]
fn incremental_counts_equal_recomputed_counts() {
    fn property(ops: Vec<(u8, u8)>) -> bool {
        let list = list();
        let (mut fleet, _) = fleet(&list);
        fleet.set_instances(3);
        let now = Time::from_millis(500);
        let mut sent: Vec<Ticket> = Vec::new();
        for (kind, value) in ops {
            let id = &list[usize::from(value) % list.len()].id;
            let load = u32::from(value / 8);
            match kind % 3 {
                0 => fleet.record_report(id, Report::Load(load), now),
                1 => sent.push(fleet.begin(fleet.find(id).unwrap())),
                _ => sent
                    .pop()
                    .into_iter()
                    .for_each(|ticket| fleet.finish(ticket, Outcome::Cancelled, now)),
            }
        }
        let in_flight = |fleet: &Fleet| {
            let occupancy = fleet.occupancy(&list[0].service, &list[0].region);
            occupancy.unwrap().in_flight
        };
        fleet.tick(now);
        let recomputed = in_flight(&fleet);
        for backend in &list {
            fleet.record_report(&backend.id, Report::Load(3), now);
        }
        let incremental = in_flight(&fleet);
        // The time is the same, so the second tick only recomputes the counts.
        fleet.tick(now);
        (in_flight(&fleet) - incremental).abs() < 1e-6 && recomputed >= 0.0
    }
    common::check(200, property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn an_excessive_load_report_counts_only_up_to_the_slots() {
    let list = list();
    let (mut fleet, router) = fleet(&list);
    for _ in 0..20 {
        fleet.record_report(&list[0].id, Report::Load(1000), Time::ZERO);
    }
    let query = common::query(&list[0]);
    let (sent, _) = fill((&mut fleet, &router), &query, false);
    assert!(sent.len() >= PER_REGION * SLOTS, "{}", sent.len());
}

#[test]
fn a_server_that_sheds_a_request_is_avoided() {
    let list = list();
    let (mut fleet, router) = fleet(&list);
    let query = common::query(&list[0]);
    let shedding = fleet.find(&list[0].id).unwrap();
    let ticket = fleet.begin(shedding);
    fleet.finish(ticket, Outcome::Shed, Time::ZERO);
    let draws = (0..200_u64).map(|at| at.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut chosen = draws.map(|d| router.route(&fleet, &query, d, |_| false).unwrap());
    assert!(chosen.all(|d| d.server != shedding));
}

#[test]
fn a_decision_is_formatted_as_key_value_pairs() {
    let list = list();
    let (fleet, router) = fleet(&list);
    let decision = router.route(&fleet, &common::query(&list[0]), 1, |_| false);
    let line = decision.unwrap().explain(&fleet).to_string();
    for pair in [
        "server=finder-",
        "region=north",
        "reach=home",
        "why=scanned",
        "second=finder-",
    ] {
        assert!(line.contains(pair), "{line}");
    }
}

#[test]
fn a_retry_avoids_the_servers_that_were_tried() {
    fn property(draws: Vec<u64>) -> bool {
        let list = list();
        let (fleet, router) = fleet(&list);
        let mut attempts = Attempts::new(Replay::Idempotent, PER_REGION);
        let mut seen: Vec<Handle> = Vec::new();
        for draw in draws.into_iter().take(PER_REGION) {
            let mut query = common::query(&list[0]);
            query.tried = attempts.tried();
            let Ok(decision) = router.route(&fleet, &query, draw, |_| false) else {
                return false;
            };
            if seen.contains(&decision.server) {
                return false;
            }
            seen.push(decision.server);
            attempts.record_attempt(decision.server);
        }
        true
    }
    common::check(200, property as fn(Vec<u64>) -> bool);
}

#[test]
fn only_unrun_or_idempotent_requests_are_retried() {
    let list = list();
    let (fleet, _) = fleet(&list);
    let server = fleet.find(&list[0].id).unwrap();
    let cases = [
        (Replay::Idempotent, Failure::Interrupted, true, Retry::Again),
        (
            Replay::Idempotent,
            Failure::Interrupted,
            false,
            Retry::MayHaveRun(StopReason::NoBudget),
        ),
        (Replay::Once, Failure::NotConnected, true, Retry::Again),
        (
            Replay::Once,
            Failure::Shed,
            false,
            Retry::NotRun(StopReason::NoBudget),
        ),
        (
            Replay::Once,
            Failure::Interrupted,
            true,
            Retry::MayHaveRun(StopReason::NotIdempotent),
        ),
        (
            Replay::Deduplicated,
            Failure::Error,
            true,
            Retry::MayHaveRun(StopReason::NotIdempotent),
        ),
    ];
    for (replay, failure, budget, expected) in cases {
        let mut attempts = Attempts::new(replay, 3);
        attempts.record_attempt(server);
        assert_eq!(
            attempts.record_failure(failure, || budget),
            expected,
            "{replay:?} {failure:?}"
        );
    }
    let mut exhausted = Attempts::new(Replay::Idempotent, 1);
    exhausted.record_attempt(server);
    let retry = exhausted.record_failure(Failure::NotConnected, || {
        panic!("the budget was asked after the last attempt")
    });
    assert_eq!(retry, Retry::NotRun(StopReason::MaxAttempts));
}
