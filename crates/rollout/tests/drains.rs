//! Drains: when one begins, when it is over, and what holds it back.

use corianderway_model::InstanceId;
use corianderway_model::Time;
use corianderway_rollout::Drain;
use corianderway_rollout::DrainAction;
use corianderway_rollout::DrainChart;
use corianderway_rollout::DrainEvent;
use corianderway_rollout::DrainReport;
use corianderway_rollout::DrainScope;
use corianderway_rollout::DrainStanding;
use corianderway_rollout::DrainState;
use corianderway_rollout::DrainTrigger;
use corianderway_rollout::Drains;
use corianderway_rollout::Moment;
use corianderway_rollout::Place;
use corianderway_rollout::ServerLoad;
use corianderway_rollout::Stored;
use corianderway_rollout::DRAIN_CHART;

fn at(secs: u64) -> Moment {
    Moment {
        time: Time::from_millis(secs * 1000),
        wall: secs * 1000,
    }
}

fn place(server: u32) -> Place {
    let domain = format!("domain-{}", server / 2);
    Place {
        server: format!("server-{server}").try_into().unwrap(),
        domain: domain.as_str().try_into().unwrap(),
        region: "north".try_into().unwrap(),
    }
}

// Six servers of ten slots in three failure domains.
fn loads(busy: f64) -> Vec<ServerLoad> {
    let load = |server| ServerLoad {
        place: place(server),
        service: "finder".try_into().unwrap(),
        slots: 10,
        busy,
        takes: true,
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

// Ticks until a record is written, and answers that the platform took it.
fn written(drains: &mut Drains, from: u64) -> Option<Drain> {
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
    assert_eq!(written(&mut drains, 1).unwrap().state, DrainState::Draining);
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
        written(&mut drains, 30),
        None,
        "entry-2 follows an old revision"
    );
    step(&mut drains, 60, report(3, 2));
    assert_eq!(written(&mut drains, 60), None, "entry-2 is busy there");
    step(&mut drains, 90, report(0, 2));
    assert_eq!(written(&mut drains, 90).unwrap().state, DrainState::Drained);
}

#[test]
fn a_drain_waits_while_the_rest_can_not_carry_the_load() {
    // 42 of 60 slots in use; 40 are left.
    let mut drains = instance(&["entry-1"], 7.0);
    step(&mut drains, 0, DrainEvent::Record(stored(domain(0), 0)));
    assert_eq!(written(&mut drains, 1), None);
    step(&mut drains, 30, DrainEvent::Loads(loads(5.0)));
    assert_eq!(
        written(&mut drains, 30).unwrap().state,
        DrainState::Draining
    );
    step(&mut drains, 60, DrainEvent::Loads(loads(7.0)));
    let back = written(&mut drains, 60).unwrap();
    assert_eq!((back.state, back.withheld), (DrainState::Planned, false));
}

#[test]
fn nothing_is_admitted_without_measurements() {
    let mut drains = Drains::new("entry-1".try_into().unwrap()).unwrap();
    step(&mut drains, 0, DrainEvent::Record(stored(domain(0), 0)));
    assert_eq!(written(&mut drains, 1), None);
}

#[test]
fn of_two_drains_that_do_not_fit_together_the_earlier_goes_first() {
    // 24 of 60 slots in use: one domain may go, two may not.
    let mut drains = instance(&["entry-1"], 4.0);
    step(&mut drains, 0, DrainEvent::Record(stored(domain(0), 7)));
    step(&mut drains, 0, DrainEvent::Record(stored(domain(1), 3)));
    assert_eq!(written(&mut drains, 1).unwrap().scope, domain(1));
    assert_eq!(written(&mut drains, 30), None);
}

#[test]
fn an_operator_cancels_a_drain_at_any_time_before_its_cancellation() {
    let chart = DrainChart::parse(DRAIN_CHART).unwrap();
    let standing = DrainStanding {
        fits: true,
        empty: true,
    };
    let mut drain = Drain::new(domain(0), 0, "operator");
    for trigger in [DrainTrigger::Admit, DrainTrigger::Settle] {
        let cancel = DrainTrigger::Cancel;
        let back = drain.advance(&chart, cancel, standing, 9, "operator");
        let back = back.unwrap();
        assert_eq!((back.state, back.withheld), (DrainState::Cancelled, false));
        assert_eq!(back.advance(&chart, cancel, standing, 9, "operator"), None);
        drain = drain
            .advance(&chart, trigger, standing, 5, "entry-1")
            .unwrap();
    }
    assert_eq!((drain.state, drain.withheld), (DrainState::Drained, true));
}

// A drained server is reported as taking nothing, since it drains.
#[test]
fn a_brief_peak_takes_no_drain_back_and_a_lasting_one_does() {
    let mut drains = instance(&["entry-1"], 2.0);
    step(&mut drains, 0, DrainEvent::Record(stored(domain(0), 0)));
    assert_eq!(written(&mut drains, 1).unwrap().state, DrainState::Draining);
    let with = |busy| {
        let mut loads = loads(busy);
        let covered = loads.iter_mut().filter(|l| domain(0).covers(&l.place));
        covered.for_each(|l| l.takes = false);
        DrainEvent::Loads(loads)
    };
    for secs in 30..60 {
        let busy = if secs % 2 == 0 { 9.0 } else { 2.0 };
        step(&mut drains, secs, with(busy));
        assert_eq!(step(&mut drains, secs, DrainEvent::Tick), []);
    }
    step(&mut drains, 60, with(9.0));
    let back = written(&mut drains, 60).unwrap();
    assert_eq!(back.state, DrainState::Planned);
}
