//! Drains: when one begins, is suspended, ends or is cancelled.

use corianderway_model::InstanceId;
use corianderway_model::Time;
use corianderway_rollout::Drain;
use corianderway_rollout::DrainAction;
use corianderway_rollout::DrainChart;
use corianderway_rollout::DrainConditions;
use corianderway_rollout::DrainEvent;
use corianderway_rollout::DrainReport;
use corianderway_rollout::DrainScope;
use corianderway_rollout::DrainState;
use corianderway_rollout::DrainTrigger;
use corianderway_rollout::Drains;
use corianderway_rollout::Moment;
use corianderway_rollout::ServerLoad;
use corianderway_rollout::ServerLocation;
use corianderway_rollout::Stored;
use corianderway_rollout::DRAIN_CHART;

fn at(secs: u64) -> Moment {
    Moment {
        time: Time::from_millis(secs * 1000),
        wall: secs * 1000,
    }
}

fn place(server: u32) -> ServerLocation {
    let domain = format!("domain-{}", server / 2);
    ServerLocation {
        server: format!("server-{server}").try_into().unwrap(),
        domain: domain.as_str().try_into().unwrap(),
        region: "north".try_into().unwrap(),
    }
}

// Six backend servers of ten slots each, in three failure domains.
fn loads(busy: f64) -> Vec<ServerLoad> {
    let load = |server| ServerLoad {
        location: place(server),
        service: "finder".try_into().unwrap(),
        slots: 10,
        busy,
        accepts_work: true,
    };
    (0..6).map(load).collect()
}

fn domain(n: u32) -> DrainScope {
    DrainScope::Domain(place(2 * n).domain)
}

fn stored(scope: DrainScope, started: u64) -> Stored<Drain> {
    Stored {
        value: Drain::new(scope, started, "operator"),
        version: 1,
    }
}

fn instance(live: &[&str], busy: f64) -> Drains {
    let id = |name: &&str| InstanceId::try_from(*name).unwrap();
    let mut drains = Drains::new(id(&live[0])).unwrap();
    step(
        &mut drains,
        0,
        DrainEvent::Live(live.iter().map(id).collect()),
    );
    step(&mut drains, 0, DrainEvent::Loads(loads(busy)));
    drains
}

fn step(drains: &mut Drains, secs: u64, event: DrainEvent) -> Vec<DrainAction> {
    let mut out = Vec::new();
    drains.step(at(secs), event, &mut out);
    out
}

// Ticks until a record is written, and confirms the write.
fn next_write(drains: &mut Drains, from: u64) -> Option<Drain> {
    for secs in from..from + 20 {
        let write =
            step(drains, secs, DrainEvent::Tick)
                .into_iter()
                .find_map(|action| match action {
                    DrainAction::Write { record, expect, .. } => Some((record, expect)),
                    _ => None,
                });
        if let Some((record, expect)) = write {
            let scope = record.scope.clone();
            step(drains, secs, DrainEvent::Written(scope, expect + 1));
            return Some(record);
        }
    }
    None
}

#[test]
fn a_drain_ends_when_no_instance_has_a_request_there() {
    let mut drains = instance(&["entry-1", "entry-2"], 2.0);
    let scope = domain(0);
    step(&mut drains, 0, DrainEvent::Record(stored(scope.clone(), 0)));
    assert!(!drains.is_withheld(&place(1)));
    assert_eq!(
        next_write(&mut drains, 1).unwrap().state,
        DrainState::Draining
    );
    assert!(drains.is_withheld(&place(1)) && !drains.is_withheld(&place(2)));

    let report = |busy, seen| {
        DrainEvent::Report(DrainReport {
            scope: scope.clone(),
            instance: "entry-2".try_into().unwrap(),
            seen,
            busy,
        })
    };
    step(&mut drains, 30, DrainEvent::Busy(scope.clone(), 0));
    step(&mut drains, 30, report(0, 1));
    assert_eq!(
        next_write(&mut drains, 30),
        None,
        "entry-2 has applied an old revision"
    );
    step(&mut drains, 60, report(3, 2));
    assert_eq!(
        next_write(&mut drains, 60),
        None,
        "entry-2 has requests in flight"
    );
    step(&mut drains, 90, report(0, 2));
    assert_eq!(
        next_write(&mut drains, 90).unwrap().state,
        DrainState::Drained
    );
}

#[test]
fn a_drain_waits_while_the_remaining_servers_cannot_carry_the_load() {
    // 42 of 60 slots are in use; 40 remain.
    let mut drains = instance(&["entry-1"], 7.0);
    step(&mut drains, 0, DrainEvent::Record(stored(domain(0), 0)));
    assert_eq!(next_write(&mut drains, 1), None);
    step(&mut drains, 30, DrainEvent::Loads(loads(5.0)));
    assert_eq!(
        next_write(&mut drains, 30).unwrap().state,
        DrainState::Draining
    );
    step(&mut drains, 60, DrainEvent::Loads(loads(7.0)));
    let back = next_write(&mut drains, 60).unwrap();
    assert_eq!((back.state, back.withheld), (DrainState::Planned, false));
}

#[test]
fn no_drain_begins_without_measurements() {
    let mut drains = Drains::new("entry-1".try_into().unwrap()).unwrap();
    step(&mut drains, 0, DrainEvent::Record(stored(domain(0), 0)));
    assert_eq!(next_write(&mut drains, 1), None);
}

#[test]
fn of_two_drains_that_do_not_fit_together_the_earlier_begins() {
    // 24 of 60 slots are in use: one failure domain can be drained, two can't.
    let mut drains = instance(&["entry-1"], 4.0);
    step(&mut drains, 0, DrainEvent::Record(stored(domain(0), 7)));
    step(&mut drains, 0, DrainEvent::Record(stored(domain(1), 3)));
    assert_eq!(next_write(&mut drains, 1).unwrap().scope, domain(1));
    assert_eq!(next_write(&mut drains, 30), None);
}

#[test]
fn a_planned_or_active_drain_can_be_cancelled_once() {
    let chart = DrainChart::parse(DRAIN_CHART).unwrap();
    let conditions = DrainConditions {
        fits: true,
        empty: true,
    };
    let mut drain = Drain::new(domain(0), 0, "operator");
    for trigger in [DrainTrigger::Admit, DrainTrigger::Settle] {
        let cancel = DrainTrigger::Cancel;
        let back = drain.advance(&chart, cancel, conditions, 9, "operator");
        let back = back.unwrap();
        assert_eq!((back.state, back.withheld), (DrainState::Cancelled, false));
        assert_eq!(
            back.advance(&chart, cancel, conditions, 9, "operator"),
            None
        );
        drain = drain
            .advance(&chart, trigger, conditions, 5, "entry-1")
            .unwrap();
    }
    assert_eq!((drain.state, drain.withheld), (DrainState::Drained, true));
}

// The drain's own effect on the loads must not count as an overload: its backend
// servers are reported as not accepting work, and are still part of the load.
#[test]
fn a_brief_load_peak_does_not_suspend_a_drain_and_a_lasting_one_does() {
    let mut drains = instance(&["entry-1"], 2.0);
    step(&mut drains, 0, DrainEvent::Record(stored(domain(0), 0)));
    assert_eq!(
        next_write(&mut drains, 1).unwrap().state,
        DrainState::Draining
    );
    let draining_loads = |busy| {
        let mut loads = loads(busy);
        let covered = loads.iter_mut().filter(|l| domain(0).covers(&l.location));
        covered.for_each(|l| l.accepts_work = false);
        DrainEvent::Loads(loads)
    };
    for secs in 30..60 {
        let busy = if secs % 2 == 0 { 9.0 } else { 2.0 };
        step(&mut drains, secs, draining_loads(busy));
        assert_eq!(step(&mut drains, secs, DrainEvent::Tick), []);
    }
    step(&mut drains, 60, draining_loads(9.0));
    let back = next_write(&mut drains, 60).unwrap();
    assert_eq!(back.state, DrainState::Planned);
}
