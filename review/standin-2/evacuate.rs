//! FAILBACK: a zone is emptied and taken back; its endpoints became cold shortly before.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::clients;
use crate::clients::Clients;
use crate::clients::Habit;
use crate::endpoint::Arrival;
use crate::endpoint::Endpoint;
use crate::endpoint::Terms;
use crate::instance;
use crate::instance::Fleet;
use crate::instance::Instance;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::Case;
use crate::Verdict;

const COLD_PER_S: f64 = 6.4;
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const COLD: Duration = Duration::from_secs(3);

/// How long before the end of the evacuation the endpoints become cold.
const BEFORE: Duration = Duration::from_millis(300);

fn work(_number: u64) -> Duration {
    Duration::from_millis(60)
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
    let endpoints: Vec<Endpoint> = (0..6)
        .map(|number| {
            let terms = Terms {
                service: "sealbook",
                zone: zones[number % 2].0,
                slots: 9,
                cold: COLD,
                work,
                fatal: "",
                closes_one_in: 0,
                most_cold: 30,
                downtime: Duration::from_secs(3),
            };
            // Reports of different endpoints come at different times.
            thread::sleep(Duration::from_millis(230));
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
    let places: Vec<_> = (0..40).map(|at| zones[at % 2]).collect();
    let group = Clients::start(record, &instances, &places, |_| Habit {
        method: "GET",
        prefix: "/seals/",
        deadline: Duration::from_secs(2),
        pause: Duration::from_millis(250),
        keeps: 1,
        lanes: 1,
    });
    thread::sleep(Duration::from_secs(10));
    if case.trouble {
        record.line("EVACUATE duluth");
        store.put("evacuations", "duluth", Json::obj(&[]));
        thread::sleep(Duration::from_secs(8) - BEFORE);
        record.line("COLD endpoints of duluth");
        endpoints.iter().step_by(2).for_each(Endpoint::chill);
        thread::sleep(BEFORE);
        record.line("TAKEN BACK duluth");
        store.remove("evacuations", "duluth");
    } else {
        thread::sleep(Duration::from_secs(8));
    }
    thread::sleep(Duration::from_secs(8));
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
    let arrivals = arrivals.lock().expect("the arrivals");
    judge(record, &arrivals, endpoints.len())
}

/// Checks how many requests reached each cold endpoint in one second.
fn judge(record: &Record, arrivals: &[Arrival], endpoints: usize) -> Verdict {
    let allowed = COLD_PER_S * COLD_OVER + COLD_SLACK;
    let mut most = 0;
    for endpoint in 0..endpoints {
        // A request to another incarnation is answered 421 and isn't counted.
        let cold = arrivals
            .iter()
            .filter(|a| a.endpoint == endpoint && !a.cold_left.is_zero());
        let mut times: Vec<Duration> = cold.map(|a| a.at).collect();
        times.sort();
        for (at, begun) in times.iter().enumerate() {
            let count = times[at..]
                .iter()
                .filter(|t| **t < *begun + Duration::from_secs(1))
                .count();
            if count > most {
                most = count;
                record.line(format!(
                    "endpoint {endpoint}: {count} requests in the second from {:.3} s, allowed \
                     {allowed:.1}",
                    begun.as_secs_f64()
                ));
            }
        }
    }
    record.line(format!(
        "{most} requests in one second at a cold endpoint at most"
    ));
    if most as f64 > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
