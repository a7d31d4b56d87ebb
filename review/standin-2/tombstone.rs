//! DRAIN: endpoints leave, and another writer puts an entry that can't be read in their place.

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
use crate::json::Json;
use crate::store::Store;
use crate::Case;
use crate::Verdict;

const DRAIN: Duration = Duration::from_millis(2_500);

/// How long an endpoint goes on serving after the store has removed its entry.
const STAY: Duration = Duration::from_secs(6);

/// How long after the removal the other writer puts its entry.
const LATER: Duration = Duration::from_millis(20);

fn work(_number: u64) -> Duration {
    Duration::from_millis(300)
}

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start();
    let config = clients::configuration(
        &clients::route("/transfers/", "unsafe", 2_000, 800, 1, "custody"),
        &clients::service("custody", "3.0", "6.4"),
    );
    store.put("config", "main", config);
    let zones = vec![("duluth", "superior"), ("marquette", "superior")];
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let endpoints: Vec<Endpoint> = (0..12)
        .map(|number| {
            let terms = Terms {
                service: "custody",
                zone: zones[number % 2].0,
                slots: 4,
                cold: Duration::ZERO,
                work,
                fatal: "",
                closes_one_in: 0,
                most_cold: usize::MAX,
                downtime: Duration::ZERO,
            };
            // Reports of different endpoints come at different times.
            thread::sleep(Duration::from_millis(110));
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
    let places: Vec<_> = (0..30).map(|at| zones[at % 2]).collect();
    let group = Clients::start(record, &instances, &places, |_| Habit {
        method: "POST",
        prefix: "/transfers/",
        deadline: Duration::from_secs(6),
        pause: Duration::from_millis(700),
        keeps: 1,
        lanes: 1,
    });
    thread::sleep(Duration::from_secs(6));
    let mut gone = Vec::new();
    for (number, endpoint) in endpoints.iter().enumerate().take(6) {
        let id = endpoint.leave();
        store.remove("servers", &id);
        gone.push((number, record.now()));
        record.line(format!("REMOVED {id}"));
        if case.trouble {
            thread::sleep(LATER);
            // Fields are missing, and the state isn't one of the page.
            let status = Json::obj(&[("state", Json::str("left"))]);
            store.put("servers", &id, Json::obj(&[("status", status)]));
            record.line(format!("FOREIGN entry {id}"));
        }
        let leaving = endpoint.clone();
        thread::spawn(move || {
            thread::sleep(STAY);
            leaving.crash();
        });
        thread::sleep(Duration::from_millis(2_000));
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
    let mut late = 0;
    for (number, removed) in gone {
        let own = arrivals.iter().filter(|a| a.endpoint == number && a.ran);
        let own: Vec<_> = own.filter(|a| a.at > removed + DRAIN).collect();
        let after = |at: Duration| (at - removed).as_secs_f64();
        for arrival in &own {
            let attempt = attempts.iter().find(|attempt| attempt.id == arrival.id);
            let end = attempt.map_or("still open".to_owned(), |attempt| attempt.end.clone());
            record.line(format!(
                "endpoint {number} gets {} {:.3} s after its removal: {end}",
                arrival.id,
                after(arrival.at)
            ));
        }
        late += own.len();
    }
    record.line(format!(
        "{late} requests reached endpoints later than drain_ms after their removal"
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
