//! LOST: instances are stopped and started in turn; `grace_s` is 10.

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

const GRACE_S: u32 = 10;
const GRACE: Duration = Duration::from_secs(GRACE_S as u64);
const ROUTE_TIMEOUT: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(20);

/// The time after a SIGTERM up to which the rule excuses an answer that is broken off late.
const EXCUSED: Duration = Duration::from_secs(3);

/// One filing in four takes long.
fn work(number: u64) -> Duration {
    let is_long = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 62 == 0;
    Duration::from_millis(if is_long { 7_000 } else { 1_000 })
}

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start();
    let config = clients::configuration(
        &clients::route("/transfers/", "unsafe", 10_000, 2_500, 1, "custody"),
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
                slots: 27,
                cold: Duration::ZERO,
                work,
                fatal: "",
                closes_one_in: 0,
                most_cold: usize::MAX,
                downtime: Duration::ZERO,
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
    thread::sleep(Duration::from_secs(3));
    let places: Vec<_> = (0..64).map(|at| zones[at % 3]).collect();
    let group = Clients::start(record, &instances, &places, |number| Habit {
        method: "POST",
        prefix: "/transfers/",
        deadline: DEADLINE,
        pause: Duration::from_secs(4),
        // Some clients keep an answer of the directory three times as long.
        keeps: if number % 2 == 0 { 3 } else { 1 },
        lanes: 10,
    });
    thread::sleep(Duration::from_secs(14));
    let mut stops = Vec::new();
    for instance in &instances {
        if case.trouble {
            stops.push((instance.callers(), record.now()));
            instance.terminate();
            instance.wait(GRACE);
            thread::sleep(Duration::from_millis(500));
            instance.start();
            thread::sleep(Duration::from_secs(6));
        } else {
            thread::sleep(GRACE + Duration::from_millis(6_500));
        }
    }
    let attempts = group.finish();
    drop(endpoints);
    let arrivals = arrivals.lock().expect("the arrivals");
    record.line(format!(
        "{} attempts, {} arrivals",
        attempts.len(),
        arrivals.len()
    ));
    let served = attempts
        .iter()
        .filter(|a| a.status == 200 && a.stamped)
        .count();
    if served < attempts.len() / 2 {
        return Verdict::Nothing(format!("{served} of {} were served", attempts.len()));
    }
    let mut broken = 0;
    for attempt in attempts.iter().filter(|a| !a.stamped) {
        let Some(sent) = attempt.sent else { continue };
        let Some(stop) = stops.iter().find(|s| s.0 == attempt.to).map(|s| s.1) else {
            continue;
        };
        // Planned work is the SIGTERM, until a second after the grace.
        let during =
            attempt.ended >= stop && attempt.ended <= stop + GRACE + Duration::from_secs(1);
        let run = arrivals
            .iter()
            .find(|arrival| arrival.id == attempt.id && arrival.ran);
        let Some((run, (over, whole))) = run.and_then(|run| Some((run, run.over?))) else {
            continue;
        };
        // The endpoint was at work and noticed the end of the connection.
        if !during || whole {
            continue;
        }
        let held = attempt.ended.saturating_sub(sent);
        let in_time = held + Duration::from_millis(300) < ROUTE_TIMEOUT.min(DEADLINE);
        let late_work = over >= stop + GRACE * 5 / 6;
        let excused = late_work && sent <= stop + EXCUSED;
        record.line(format!(
            "{} {}: sent {:.3} s after the SIGTERM, at work at endpoint {} from {:.3} s, \
             broken off {:.3} s after the SIGTERM, held {:.3} s: {}",
            if in_time && !excused {
                "LOST"
            } else {
                "excused"
            },
            attempt.id,
            (sent.as_secs_f64() - stop.as_secs_f64()),
            run.endpoint,
            run.at.as_secs_f64(),
            (over.as_secs_f64() - stop.as_secs_f64()),
            held.as_secs_f64(),
            attempt.end,
        ));
        broken += u32::from(in_time && !excused);
    }
    record.line(format!("{broken} requests were lost"));
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
