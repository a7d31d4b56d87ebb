//! BUDGET: a request that crashes endpoints comes again and again, while all instances are
//! stopped and started in turn, twice.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

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

/// The time for which a machine must have run undisturbed to count as in touch.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

const GRACE_S: u32 = 6;

/// The request that crashes the endpoints.
const FATAL: &str = "/transfers/fatal";

/// The pause between two sendings of it.
const PAUSE: Duration = Duration::from_millis(1_500);

fn work(_number: u64) -> Duration {
    Duration::from_millis(100)
}

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start();
    let config = clients::configuration(
        &clients::route("/transfers/", "unsafe", 3_000, 800, 1, "custody"),
        &clients::service("custody", "3.0", "6.4"),
    );
    store.put("config", "main", config);
    let zones = vec![
        ("duluth", "superior"),
        ("marquette", "superior"),
        ("toledo", "superior"),
    ];
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let endpoints: Vec<Endpoint> = (0..12)
        .map(|number| {
            let terms = Terms {
                service: "custody",
                zone: zones[number % 3].0,
                slots: 4,
                cold: Duration::ZERO,
                work,
                fatal: "fatal",
                closes_one_in: 0,
                most_cold: usize::MAX,
                downtime: Duration::from_secs(3),
            };
            Endpoint::start(number, terms, &store, record, &arrivals)
        })
        .collect();
    let fleet = Fleet {
        zones: zones.clone(),
        store: store.addr,
        grace_s: GRACE_S,
        dir: case.dir.clone(),
    };
    let instances: Vec<Arc<Instance>> = (0..3)
        .map(|at| {
            Arc::new(Instance::new(
                &fleet,
                record,
                at + 1,
                zones[usize::from(at)].0,
            ))
        })
        .collect();
    instance::start_all(&instances);
    thread::sleep(Duration::from_secs(5));
    let places: Vec<_> = (0..12).map(|at| zones[at % 3]).collect();
    let group = Clients::start(record, &instances, &places, |_| Habit {
        method: "POST",
        prefix: "/transfers/",
        deadline: Duration::from_secs(6),
        pause: Duration::from_secs(1),
        keeps: 1,
        lanes: 1,
    });
    thread::sleep(Duration::from_secs(3));
    // The crashing request comes from one caller, at each machine in turn.
    let mut sendings = Vec::new();
    let mut turn = 0;
    let mut until = |span: Duration, stopping: Option<&Arc<Instance>>| {
        let end = Instant::now() + span;
        while Instant::now() < end {
            let to = &instances[turn % instances.len()];
            turn += 1;
            if stopping.is_some_and(|stopping| stopping.name == to.name) {
                continue;
            }
            let age = to.age();
            let at = record.now();
            let limit = Duration::from_secs(6);
            let attempt = clients::send(record, to.callers(), "POST", FATAL, limit);
            sendings.push((at, age, attempt));
            thread::sleep(PAUSE.min(end.saturating_duration_since(Instant::now())));
        }
    };
    until(Duration::from_secs(15), None);
    for _ in 0..2 {
        for instance in &instances {
            if case.trouble {
                instance.terminate();
                instance.wait(Duration::from_secs(u64::from(GRACE_S)));
                thread::sleep(Duration::from_millis(500));
                instance.start();
            }
            until(Duration::from_secs(6), Some(instance));
        }
        // All machines are in touch meanwhile.
        until(Duration::from_secs(9), None);
    }
    let attempts = group.finish();
    drop(endpoints);
    let arrivals = arrivals.lock().expect("the arrivals");
    let served = attempts
        .iter()
        .filter(|a| a.status == 200 && a.stamped)
        .count();
    record.line(format!(
        "{served} of {} usual requests were served",
        attempts.len()
    ));
    if served < attempts.len() / 2 {
        return Verdict::Nothing(format!("{served} of {} were served", attempts.len()));
    }
    let fatal = arrivals
        .iter()
        .filter(|arrival| arrival.ran && arrival.path == FATAL);
    let mut crashes: Vec<Duration> = fatal.map(|arrival| arrival.at).collect();
    crashes.sort();
    let Some(third) = crashes.get(2) else {
        return Verdict::Nothing(format!("{} crashes", crashes.len()));
    };
    // Sent by machines in touch later than the window after the third crash.
    let mut reached = 0;
    for (at, age, attempt) in &sendings {
        let runs = arrivals
            .iter()
            .filter(|arrival| arrival.ran && arrival.id == attempt.id);
        let runs = runs.count();
        let counts = runs > 0 && *age >= STABLE_WINDOW && *at > *third + STABLE_WINDOW;
        reached += usize::from(counts);
        if runs > 0 {
            record.line(format!(
                "{} sent at {:.3} s to a machine that had run {:.3} s crashed {runs}: {}",
                attempt.id,
                at.as_secs_f64(),
                age.as_secs_f64(),
                if counts { "counts" } else { "doesn't count" }
            ));
        }
    }
    record.line(format!(
        "{} crashes, the third at {:.3} s; {reached} retries reached endpoints later than that \
         and the window, from machines in touch; allowed 3",
        crashes.len(),
        third.as_secs_f64()
    ));
    if reached > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
