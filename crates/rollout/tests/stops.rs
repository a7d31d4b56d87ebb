//! Stops: an instance stops a version on its own, and the others apply its stop.

use std::time::Duration;

use corianderway_model::Time;
use corianderway_model::VersionPolicy;
use corianderway_rollout::Action;
use corianderway_rollout::Event;
use corianderway_rollout::Fault;
use corianderway_rollout::FaultKind;
use corianderway_rollout::Moment;
use corianderway_rollout::Move;
use corianderway_rollout::Plan;
use corianderway_rollout::Report;
use corianderway_rollout::Rollout;
use corianderway_rollout::Share;
use corianderway_rollout::State;
use corianderway_rollout::Stop;
use corianderway_rollout::Stored;

fn at(secs: u64) -> Moment {
    Moment {
        time: Time::from_millis(secs * 1000),
        wall: secs * 1000,
    }
}

fn trial(started: u64) -> Stored<Move> {
    let plan = Plan {
        service: "finder".try_into().unwrap(),
        from: "v1".try_into().unwrap(),
        to: "v2".try_into().unwrap(),
        wall: started,
        policy: VersionPolicy {
            share: 0.1,
            deadline: Duration::from_mins(10),
            margin: 0.05,
        },
        who: "operator".into(),
    };
    let mut value = Move::try_from(plan).unwrap();
    value.state = State::Trial;
    value.share = value.limit;
    Stored {
        value,
        version: started + 1,
    }
}

fn stop(record: &Stored<Move>) -> Stop {
    Stop {
        key: record.value.key(),
        instance: "entry-9".try_into().unwrap(),
        fault: Some(Fault {
            kind: FaultKind::Errors,
            route: None,
        }),
    }
}

fn started(events: Vec<Event>) -> (Rollout, Vec<Action>) {
    let mut rollout = Rollout::new("entry-1".try_into().unwrap()).unwrap();
    let mut out = Vec::new();
    for event in events {
        rollout.step(at(0), event, &mut out);
    }
    let capacity_event = Event::Capacity {
        service: "finder".try_into().unwrap(),
        version: "v2".try_into().unwrap(),
        share: Share::ONE,
    };
    rollout.step(at(0), capacity_event, &mut out);
    (rollout, out)
}

fn share(rollout: &Rollout) -> Share {
    let service = "finder".try_into().unwrap();
    rollout.snapshot(&service).unwrap().share
}

#[test]
fn a_new_instance_applies_a_stop_from_any_report() {
    let record = trial(0);
    let mut report = Report::new(record.value.key(), "entry-2".try_into().unwrap());
    report.sequence = 40;
    report.stop = Some(stop(&record));
    let (rollout, _) = started(vec![Event::Record(record.clone())]);
    assert_eq!(share(&rollout), record.value.limit);
    let (rollout, _) = started(vec![Event::Record(record), Event::Report(report)]);
    assert_eq!(share(&rollout), Share::ZERO);
}

#[test]
fn a_stop_received_before_its_record_is_kept() {
    let record = trial(0);
    let early = Event::Stop(stop(&record));
    let (rollout, _) = started(vec![early, Event::Record(record)]);
    assert_eq!(share(&rollout), Share::ZERO);
}

#[test]
fn a_stop_outlasts_later_revisions_but_not_the_move() {
    let first = trial(0);
    let mut raised = first.clone();
    raised.version += 1;
    raised.value.share = Share::from_ratio(0.8);
    let stop = Event::Stop(stop(&first));
    let (mut rollout, mut out) = started(vec![Event::Record(first), stop, Event::Record(raised)]);
    assert_eq!(share(&rollout), Share::ZERO);
    let next = trial(60_000);
    rollout.step(at(60), Event::Record(next), &mut out);
    let (service, version) = ("finder".try_into().unwrap(), "v2".try_into().unwrap());
    let capacity = Share::ONE;
    let capacity_event = Event::Capacity {
        service,
        version,
        share: capacity,
    };
    rollout.step(at(60), capacity_event, &mut out);
    assert_eq!(share(&rollout), Share::from_ratio(0.1));
}

#[test]
fn an_old_record_is_ignored() {
    let old = trial(0);
    let mut withdrawn = old.clone();
    withdrawn.version += 5;
    withdrawn.value.state = State::Withdrawn;
    withdrawn.value.share = Share::ZERO;
    let events = vec![Event::Record(withdrawn), Event::Record(old)];
    let (rollout, _) = started(events);
    assert_eq!(share(&rollout), Share::ZERO);
}

#[test]
fn the_deadline_stops_a_version_without_platform_and_peers() {
    let (mut rollout, mut out) = started(vec![Event::Record(trial(0))]);
    rollout.step(at(599), Event::Tick, &mut out);
    assert_eq!(share(&rollout), Share::from_ratio(0.1));
    rollout.step(at(600), Event::Tick, &mut out);
    assert_eq!(share(&rollout), Share::ZERO);
    let announced = |a: &Action| matches!(a, Action::Stop(stop) if stop.fault.is_none());
    assert!(out.iter().any(announced));
}
