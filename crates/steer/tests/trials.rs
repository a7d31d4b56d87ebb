//! When quarantined requests are tried again, in virtual time.

mod rig;

use std::time::Duration;

use crate::rig::suspects::plan;
use crate::rig::suspects::End;
use crate::rig::suspects::Trial;
use crate::rig::suspects::ASK_INTERVAL;
use crate::rig::suspects::MAX_RETRIES;
use crate::rig::suspects::RECOVERY_LIMIT;
use crate::rig::suspects::SPREAD;
use crate::rig::suspects::SUSPECT;
use crate::rig::suspects::TURN;

/// A span that ends before the first crashes are forgotten.
const TRIALS_SPAN: Duration = Duration::from_mins(9);

/// The time between two crashes after which they aren't of one series.
const SERIES_GAP: Duration = Duration::from_mins(1);

/// The number of crashes at once up to which a request has to be quarantined.
const MAX_CRASHES_AT_ONCE: usize = 50;

/// How long a request runs before it crashes its server, or is answered.
const RUN_TIME: Duration = Duration::from_secs(1);

// Guards against a request that is rejected for ten minutes since it was in flight at servers
// that were lost together (RECOVER).
#[test]
fn requests_in_flight_at_a_common_loss_are_served_again_by_all_instances() {
    let mut trial = Trial::start_with_common_loss();
    let lost = trial.now;
    let mut served = [false; 6];
    while served != [true; 6] {
        let age = trial.now.since(lost);
        assert!(age < RECOVERY_LIMIT, "served after {age:?}: {served:?}");
        for (number, served) in served.iter_mut().enumerate() {
            let (id, server) = trial.ask_for(number, SUSPECT, "/payouts/1");
            *served = server.is_some();
            if server.is_some() {
                trial.end(number, id, rig::answered(200));
            }
        }
        trial.pass(TURN * 10);
    }
}

// Guards against trials without end of a request that does crash servers (BUDGET).
#[test]
fn a_request_whose_trials_crash_servers_reaches_few_more() {
    let mut trial = Trial::start_with_common_loss();
    let begun = trial.now;
    let mut retries = 0;
    while trial.now.since(begun) < TRIALS_SPAN {
        for number in 0..trial.cluster.members.len() {
            let (id, server) = trial.ask_for(number, SUSPECT, "/payouts/1");
            if let Some(server) = server {
                retries += 1;
                trial.end_with_crash(number, id, &server);
            }
        }
        trial.pass(Duration::from_millis(500));
    }
    assert!((1..=MAX_RETRIES).contains(&retries), "{retries} retries");
}

// Guards against trials at all instances at once: none knew of the others' trials until a
// server had crashed (BUDGET).
#[test]
fn a_request_that_runs_before_it_crashes_servers_reaches_few_more() {
    let mut trial = Trial::start_with_common_loss();
    let begun = trial.now;
    let mut retries = 0;
    while trial.now.since(begun) < RECOVERY_LIMIT * 4 {
        for number in 0..trial.cluster.members.len() {
            retries += usize::from(trial.begin(number, SUSPECT, RUN_TIME));
        }
        trial.finish(End::Crash);
        trial.pass(ASK_INTERVAL);
    }
    assert!((1..=MAX_RETRIES).contains(&retries), "{retries} retries");
}

// Guards against a quarantine that goes on since the caller of the trial left (RECOVER).
#[test]
fn a_caller_that_leaves_during_its_trial_delays_service_little() {
    let mut trial = Trial::start_with_common_loss();
    let took = trial.time_to_service(SUSPECT, vec![End::Departure]);
    assert!(
        took.is_some_and(|took| took + SPREAD < RECOVERY_LIMIT),
        "{took:?}"
    );
}

// Guards against a quarantine that goes on since trials met a server that didn't answer
// (RECOVER).
#[test]
fn trials_that_time_out_delay_service_little() {
    let mut trial = Trial::start_with_common_loss();
    let took = trial.time_to_service(SUSPECT, vec![End::TimeOut, End::TimeOut]);
    assert!(took.is_some(), "not served within a minute");
}

// Guards against a request that is never quarantined, since it was often answered before it
// began to crash servers (BUDGET).
#[test]
fn a_request_that_was_often_answered_is_quarantined_once_it_crashes_servers() {
    let mut trial = Trial::calm();
    for _ in 0..200 {
        for number in 0..6 {
            trial.serve(number, SUSPECT);
        }
        trial.pass(ASK_INTERVAL);
    }
    trial.pass(SPREAD * 2);
    let mut crashes = 0;
    for round in 0..20 {
        let number = round % 6;
        let (id, server) = trial.ask_for(number, SUSPECT, "/payouts/1");
        if let Some(server) = server {
            crashes += 1;
            trial.end_with_crash(number, id, &server);
        }
        trial.pass(SPREAD);
    }
    // Three before the quarantine.
    assert!(crashes <= 3 + MAX_RETRIES, "{crashes} crashes");
}

// Guards against crashes that are reported without their age, and so after the answers that
// cleared them, while more signatures are suspected than a message tells of (RECOVER).
#[test]
fn many_requests_stay_served_after_a_common_loss() {
    let mut trial = Trial::calm();
    let signatures = 100..124;
    for signature in signatures.clone() {
        trial.lose(signature);
    }
    trial.pass(RECOVERY_LIMIT);
    // Callers of some instances ask for each of them; the other instances serve none.
    let mut refused = 0;
    let begun = trial.now;
    while trial.now.since(begun) < RECOVERY_LIMIT * 2 {
        let age = trial.now.since(begun);
        for signature in signatures.clone() {
            for number in [1, 3] {
                let is_served = trial.serve(number, signature);
                refused += usize::from(!is_served && age > SPREAD);
            }
        }
        trial.pass(SPREAD + RUN_TIME);
    }
    assert_eq!(refused, 0, "requests refused after they were served");
}

// Guards against trials that count although their server accepted no connection, so that none
// was left once servers did (RECOVER).
#[test]
fn trials_that_reach_no_server_delay_service_little() {
    let mut trial = Trial::start_with_common_loss();
    let took = trial.time_to_service(SUSPECT, vec![End::Refusal; 5]);
    assert!(took.is_some(), "not served within a minute");
}

// Guards against crashes that count before the answers that excuse them, at an instance that
// learns of both from another one (RECOVER).
#[test]
fn a_request_that_was_answered_elsewhere_is_not_quarantined_after_a_common_loss() {
    let mut trial = Trial::calm();
    for _ in 0..40 {
        trial.serve(0, SUSPECT);
        trial.pass(ASK_INTERVAL);
    }
    trial.pass(SPREAD * 2);
    // The others learn of all of them at once.
    trial.cluster.cut = vec![0];
    for _ in 0..5 {
        trial.crash(0, SUSPECT);
    }
    trial.pass(RUN_TIME);
    trial.cluster.cut.clear();
    trial.pass(SPREAD);
    let quarantined: Vec<_> = (0..6).filter(|n| trial.is_quarantined(*n)).collect();
    assert_eq!(quarantined, [], "instances");
}

// Guards against an old crash that makes those of a later common loss look spread, since other
// instances have not learnt of the loss yet (RECOVER).
#[test]
fn an_old_crash_does_not_prevent_trials_after_a_common_loss() {
    let mut trial = Trial::calm();
    trial.crash(0, SUSPECT);
    trial.pass(SERIES_GAP * 2);
    trial.lose(SUSPECT);
    trial.pass(SPREAD);
    let took = trial.time_to_service(SUSPECT, vec![]);
    assert!(took.is_some_and(|took| took < RECOVERY_LIMIT), "{took:?}");
}

// Guards against answers to popular requests that leave no room in messages for crashes (BUDGET).
#[test]
fn a_quarantine_is_learnt_though_many_other_requests_are_answered() {
    let mut trial = Trial::calm();
    let popular = 200..216;
    for signature in popular.clone() {
        trial.lose(signature);
    }
    trial.pass(RECOVERY_LIMIT);
    let serve = |trial: &mut Trial, span: Duration| {
        let begun = trial.now;
        while trial.now.since(begun) < span {
            for signature in popular.clone() {
                for number in [1, 3] {
                    trial.serve(number, signature);
                }
            }
            trial.pass(RUN_TIME);
        }
    };
    serve(&mut trial, RECOVERY_LIMIT);
    for number in [0, 2, 4] {
        trial.crash(number, SUSPECT);
        serve(&mut trial, SPREAD);
    }
    assert!(trial.is_quarantined(5), "before the restart");
    trial.cluster.restart_one(5, trial.now, plan());
    serve(&mut trial, SPREAD);
    assert!(trial.is_quarantined(5), "after the restart");
}

// Guards against answers that excuse any number of crashes, so that a request that was popular
// and becomes fatal crashes all servers (BUDGET).
#[test]
fn a_request_that_was_answered_for_long_is_quarantined_if_it_crashes_many_servers_at_once() {
    let mut trial = Trial::calm();
    for _ in 0..400 {
        trial.serve(0, SUSPECT);
        trial.pass(ASK_INTERVAL);
    }
    trial.pass(SPREAD * 2);
    let mut crashes = 0;
    while crashes < MAX_CRASHES_AT_ONCE && !trial.is_quarantined(0) {
        trial.crash(0, SUSPECT);
        crashes += 1;
    }
    assert!(crashes < MAX_CRASHES_AT_ONCE, "{crashes} crashes");
}
