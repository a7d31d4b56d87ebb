//! MIXED: endpoints in trouble hand out wrong bytes in place of some answers.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::clients;
use crate::clients::Clients;
use crate::clients::Habit;
use crate::endpoint::Endpoint;
use crate::endpoint::Terms;
use crate::instance;
use crate::instance::Fleet;
use crate::instance::Instance;
use crate::store::Store;
use crate::Case;
use crate::Verdict;

/// How long the endpoints are in trouble.
const TROUBLE: Duration = Duration::from_millis(5_500);

fn work(number: u64) -> Duration {
    Duration::from_millis(20 + number.wrapping_mul(0x9e37_79b9_7f4a_7c15) % 200)
}

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start();
    let config = clients::configuration(
        &clients::route("/seals/", "safe", 2_000, 300, 2, "sealbook"),
        &clients::service("sealbook", "3.0", "6.4"),
    );
    store.put("config", "main", config);
    let zones = vec![("duluth", "superior"), ("marquette", "superior")];
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let endpoints: Vec<Endpoint> = (0..10)
        .map(|number| {
            let terms = Terms {
                service: "sealbook",
                zone: zones[number % 2].0,
                slots: 9,
                cold: Duration::ZERO,
                work,
                fatal: "",
                closes_one_in: 10,
                most_cold: usize::MAX,
                downtime: Duration::ZERO,
            };
            Endpoint::start(number, terms, &store, record, &arrivals)
        })
        .collect();
    let fleet = Fleet {
        zones: zones.clone(),
        store: store.addr,
        grace_s: 6,
        dir: case.dir.clone(),
    };
    let instances: Vec<Arc<Instance>> = (0..4)
        .map(|at| {
            Arc::new(Instance::new(
                &fleet,
                record,
                at + 1,
                zones[usize::from(at) % 2].0,
            ))
        })
        .collect();
    instance::start_all(&instances);
    thread::sleep(Duration::from_secs(5));
    let places: Vec<_> = (0..150).map(|at| zones[at % 2]).collect();
    let group = Clients::start(record, &instances, &places, |_| Habit {
        method: "GET",
        prefix: "/seals/",
        deadline: Duration::from_secs(2),
        pause: Duration::from_millis(250),
        keeps: 1,
        lanes: 1,
    });
    thread::sleep(Duration::from_secs(8));
    // Six tenths of the endpoints.
    if case.trouble {
        endpoints
            .iter()
            .take(6)
            .for_each(|endpoint| endpoint.set_spoils(true));
        thread::sleep(TROUBLE);
        endpoints
            .iter()
            .for_each(|endpoint| endpoint.set_spoils(false));
    } else {
        thread::sleep(TROUBLE);
    }
    thread::sleep(Duration::from_secs(5));
    let attempts = group.finish();
    let served = attempts
        .iter()
        .filter(|a| a.status == 200 && a.stamped)
        .count();
    record.line(format!(
        "{served} of {} requests were served",
        attempts.len()
    ));
    if served < attempts.len() / 2 {
        return Verdict::Nothing(format!("{served} of {} were served", attempts.len()));
    }
    let wrong = attempts
        .iter()
        .filter(|a| (200..300).contains(&a.status) && !a.stamped);
    let wrong: Vec<_> = wrong.collect();
    for attempt in &wrong {
        record.line(format!(
            "success without a stamp: {}: {}",
            attempt.id, attempt.end
        ));
    }
    record.line(format!(
        "{} successes without the stamp of an endpoint",
        wrong.len()
    ));
    if wrong.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
