//! Tests of the number of requests that a bad target receives, and of the time
//! at which a good target takes over.

mod rig;

use std::time::Duration;

use corianderway_steer::Progress;

use crate::rig::moving::simulate;
use crate::rig::moving::Disturbance;
use crate::rig::moving::Fault;
use crate::rig::moving::MoveResult;
use crate::rig::moving::Scenario;

const DEFAULT_SCENARIO: Scenario = Scenario {
    seed: 1,
    span: Duration::from_secs(15),
    rate: 140.0,
    work_ms: 260.0,
    fault: Fault::Nothing,
    outage: None,
    slow_servers: 0,
    disturbance: Disturbance::Nothing,
};

/// Disturbances that leave the old version's answers missing, outdated or
/// disturbed.
const DISTURBANCES: [Disturbance; 3] = [
    Disturbance::Down {
        fraction: 1.0,
        from: Duration::from_secs(8),
        span: Duration::from_secs(4),
    },
    Disturbance::Down {
        fraction: 0.6,
        from: Duration::from_secs(6),
        span: Duration::from_secs(5),
    },
    Disturbance::Slow {
        fraction: 0.6,
        factor: 4.0,
        from: Duration::from_secs(3),
        span: Duration::from_secs(12),
    },
];

// Returns whether the result keeps the platform's bounds for a bad version.
fn is_contained(result: &MoveResult) -> bool {
    let ended = result.ended.map(|row| row.0);
    let few = f64::from(result.exposed) <= result.max_exposed();
    few && result.late_requests == 0 && ended == Some(Progress::RolledBack)
}

fn assert_contained(scenario: Scenario, result: &MoveResult) {
    assert!(is_contained(result), "{scenario:?}: {result:?}");
}

// Simulates the scenarios and reports all whose result fails the check.
fn assert_each(scenarios: impl IntoIterator<Item = Scenario>, holds: impl Fn(&MoveResult) -> bool) {
    let results = scenarios
        .into_iter()
        .map(|scenario| (scenario, simulate(scenario)));
    let failed: Vec<String> = results
        .filter(|(_, result)| !holds(result))
        .map(|(scenario, result)| {
            let Scenario {
                seed,
                fault,
                disturbance,
                ..
            } = scenario;
            format!("seed {seed}, {fault:?}, {disturbance:?}: {result:?}")
        })
        .collect();
    assert!(
        failed.is_empty(),
        "{}:\n{}",
        failed.len(),
        failed.join("\n")
    );
}

// Guards against violations of the platform's EXPOSURE bound by faults that
// begin late. Moves used to end at half of their time, before such a fault
// began.
#[test]
fn a_fault_that_begins_late_reaches_few_requests() {
    for fraction in [0.2, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9] {
        let onset = DEFAULT_SCENARIO.span.mul_f64(fraction);
        let fault = Fault::Fails {
            fraction: 0.5,
            onset,
        };
        let scenario = Scenario {
            fault,
            ..DEFAULT_SCENARIO
        };
        assert_contained(scenario, &simulate(scenario));
    }
}

// Guards against violations of the platform's EXPOSURE bound by a slow version.
// Answers used to count as slow only from three times the time for a new object
// on.
#[test]
fn a_version_twice_as_slow_reaches_few_requests() {
    for (seed, seconds, fraction) in [
        (1, 9, 1.0),
        (1, 9, 0.5),
        (1, 15, 0.5),
        (2, 15, 1.0),
        (2, 15, 0.5),
        (3, 9, 0.5),
    ] {
        let fault = Fault::Slow {
            fraction,
            factor: 2.0,
        };
        let scenario = Scenario {
            seed,
            span: Duration::from_secs(seconds),
            rate: 50.0,
            work_ms: 105.0,
            fault,
            ..DEFAULT_SCENARIO
        };
        assert_contained(scenario, &simulate(scenario));
    }
}

// Guards against the takeover of a slow version in a short move, which a search
// found twice with `withdrawn-first.toml --vary` in `lvr-glb`. This simulation
// detected the fault with fewer requests as well.
#[test]
fn a_version_twice_as_slow_is_found_in_a_short_move() {
    let scenarios = (1..=10).map(|seed| Scenario {
        seed,
        span: Duration::from_secs(9),
        rate: 115.0,
        fault: Fault::Slow {
            fraction: 0.6,
            factor: 1.8,
        },
        ..DEFAULT_SCENARIO
    });
    assert_each(scenarios, is_contained);
}

// The fault appears only during the takeover, when the first answers are slow.
#[test]
fn a_fault_under_load_reaches_few_requests() {
    for seed in 1..=10 {
        for fraction in [0.12, 0.35] {
            let fault = Fault::FailsUnderLoad { fraction };
            let scenario = Scenario {
                seed,
                fault,
                ..DEFAULT_SCENARIO
            };
            assert_contained(scenario, &simulate(scenario));
        }
    }
}

#[test]
fn a_good_version_takes_over_by_its_deadline() {
    for (seconds, rate, work_ms) in [(15, 140.0, 260.0), (9, 50.0, 105.0), (15, 65.0, 660.0)] {
        let span = Duration::from_secs(seconds);
        let scenario = Scenario {
            span,
            rate,
            work_ms,
            ..DEFAULT_SCENARIO
        };
        let result = simulate(scenario);
        let (progress, at) = result.ended.expect("an end");
        assert_eq!(progress, Progress::Completed, "{scenario:?}: {result:?}");
        assert!(at < span, "{scenario:?}: {result:?}");
    }
}

// Guards against a rollback when up to a fifth of the servers of both versions
// are slow for reasons of their own.
#[test]
fn slow_servers_do_not_roll_back_a_good_version() {
    for seed in 1..=4 {
        for slow_servers in 1..=2 {
            let scenario = Scenario {
                seed,
                slow_servers,
                ..DEFAULT_SCENARIO
            };
            let result = simulate(scenario);
            let progress = result.ended.map(|row| row.0);
            assert_eq!(
                progress,
                Some(Progress::Completed),
                "{scenario:?}: {result:?}"
            );
        }
    }
}

// Guards against the takeover of a bad version whose answers were compared with
// those of disturbed servers, or with hardly any.
#[test]
fn a_fault_beside_disturbed_servers_reaches_few_requests() {
    let late = Fault::Fails {
        fraction: 0.5,
        onset: Duration::from_secs(6),
    };
    let slow = |factor| Fault::Slow {
        fraction: 0.5,
        factor,
    };
    let [all_down, most_down, most_slow] = DISTURBANCES;
    let kinds = [
        (late, all_down),
        (slow(3.0), most_down),
        (slow(2.0), most_down),
        (slow(3.0), most_slow),
    ];
    let scenarios = (1..=6).flat_map(|seed| {
        kinds.map(|(fault, disturbance)| Scenario {
            seed,
            fault,
            disturbance,
            ..DEFAULT_SCENARIO
        })
    });
    assert_each(scenarios, is_contained);
}

// The counterpart of the test above.
#[test]
fn a_good_version_takes_over_beside_disturbed_servers() {
    let scenarios = (1..=6).flat_map(|seed| {
        DISTURBANCES.map(|disturbance| Scenario {
            seed,
            disturbance,
            ..DEFAULT_SCENARIO
        })
    });
    assert_each(scenarios, |result| {
        result.ended.map(|row| row.0) == Some(Progress::Completed)
    });
}
