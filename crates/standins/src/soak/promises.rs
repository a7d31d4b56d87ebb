//! The promises, checked on the history of a run.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::estate::RequestRecord;
use crate::soak::history::Call;
use crate::soak::history::Change;
use crate::soak::history::End;
use crate::soak::history::History;
use crate::soak::history::Kind;
use crate::soak::history::SETTLED;
use crate::soak::world::BURST;
use crate::soak::world::LIMITED;
use crate::soak::world::RATE;
use crate::soak::world::TIMEOUT;

/// The platform's bound on the time from a change to its being in force.
const IN_FORCE: Duration = Duration::from_millis(2_500);

/// The platform's bound on the time after which a leaving endpoint gets nothing.
const DRAINED: Duration = Duration::from_millis(2_500);

/// The platform's bound on a run that goes back to an older configuration.
const REGRESS: Duration = Duration::from_millis(250);

/// How much longer than its route allows a request may take.
const LATE: Duration = Duration::from_millis(500);

/// What the scheduling of a busy machine may add to any bound on times.
const SLACK: Duration = Duration::from_millis(500);

/// The window over which a rate is counted.
const WINDOW: Duration = Duration::from_secs(5);

/// The part of the requests of a recovered fleet that has to be served.
const RECOVERED: f64 = 0.9;

/// The service that the route goes to at first.
const FIRST_SERVICE: &str = "s1";

/// The longest part of a history that is told of one broken promise.
const TOLD: usize = 3;

/// Checks every promise; gives back a line for each that is broken.
pub(super) fn check(history: &History, ended: bool) -> Vec<String> {
    let mut calls = BTreeMap::new();
    for call in &history.calls {
        calls.insert(call.id.as_str(), call);
    }
    let mut runs: BTreeMap<&str, Vec<&RequestRecord>> = BTreeMap::new();
    for seen in &history.seen {
        runs.entry(seen.id.as_str()).or_default().push(seen);
    }
    let mut broken = Vec::new();
    let mut tell = |promise: &str, lines: Vec<String>| {
        let count = lines.len();
        let some = lines.into_iter().take(TOLD);
        broken.extend(some.map(|line| format!("{promise} ({count}): {line}")));
    };
    tell("runs once at most", twice(&calls, &runs));
    tell("a refusal is true", untrue(history, &runs));
    tell("the answer is the request's own", mixed(history));
    tell("the account is the key's", accounts(&calls, &runs));
    tell("a withdrawn key stops", withdrawn(history, &runs));
    tell("a leaving endpoint gets nothing", drained(history, &calls));
    tell("a configuration is soon in force", stale(history, &runs));
    tell("a configuration never reverts", reverts(history, &runs));
    tell("a planned stop cuts off nothing", cut(history, &runs));
    tell("a rate holds", over_rate(history, &calls));
    tell("a final answer comes in time", late(history));
    if ended {
        tell("a fleet recovers", unrecovered(history));
    }
    broken
}

type Calls<'a> = BTreeMap<&'a str, &'a Call>;
type Runs<'a> = BTreeMap<&'a str, Vec<&'a RequestRecord>>;

fn twice(calls: &Calls<'_>, runs: &Runs<'_>) -> Vec<String> {
    let twice = runs.iter().filter(|(_, seen)| seen.len() > 1);
    let once = twice.filter(|(id, _)| calls.get(*id).is_some_and(|c| c.kind == Kind::Write));
    once.map(|(id, seen)| format!("{id} ran {} times", seen.len()))
        .collect()
}

fn untrue(history: &History, runs: &Runs<'_>) -> Vec<String> {
    let refused = history.calls.iter().filter(|call| {
        let End::Answered {
            status, stamped, ..
        } = call.end
        else {
            return false;
        };
        call.kind == Kind::Write && !stamped && matches!(status, 408 | 421 | 429 | 503)
    });
    let ran = refused.filter(|call| runs.contains_key(call.id.as_str()));
    ran.map(|call| format!("{} was refused and ran: {:?}", call.id, call.end))
        .collect()
}

fn mixed(history: &History) -> Vec<String> {
    let wrong = history.calls.iter().filter(|call| {
        let End::Answered {
            status,
            stamped,
            names,
            body,
        } = &call.end
        else {
            return false;
        };
        let other = names.as_ref().is_some_and(|names| *names != call.id);
        let hollow = *status == 200 && !(*stamped && body.starts_with("answer of "));
        other || hollow
    });
    wrong
        .map(|call| format!("{}: {:?}", call.id, call.end))
        .collect()
}

fn accounts(calls: &Calls<'_>, runs: &Runs<'_>) -> Vec<String> {
    let mut wrong = Vec::new();
    for (id, seen) in runs {
        let Some(call) = calls.get(id) else { continue };
        let own = if call.kind == Kind::Limited {
            LIMITED
        } else {
            "t1"
        };
        for run in seen {
            let named = run.account.as_deref() == Some(own);
            let keyed = run.headers.iter().any(|name| name == "key");
            if !named || keyed {
                wrong.push(format!(
                    "{id}: account {:?}, key passed on: {keyed}",
                    run.account
                ));
            }
        }
    }
    wrong
}

fn withdrawn(history: &History, runs: &Runs<'_>) -> Vec<String> {
    let mut wrong = Vec::new();
    for (at, change) in &history.changes {
        let Change::KeyGone(key) = change else {
            continue;
        };
        let after = *at + IN_FORCE + SLACK;
        let late = history
            .calls
            .iter()
            .filter(|c| c.key == *key && c.sent > after);
        let ran = late.filter(|c| runs.contains_key(c.id.as_str()));
        let calm = ran.filter(|c| history.was_calm(c.node, *at, c.ended));
        wrong.extend(calm.map(|c| format!("{} with {key}, {:?} after", c.id, c.sent - *at)));
    }
    wrong
}

fn drained(history: &History, calls: &Calls<'_>) -> Vec<String> {
    let mut wrong = Vec::new();
    for (at, change) in &history.changes {
        let Change::Leaving(endpoint) = change else {
            continue;
        };
        let back = history.changes.iter().find(|(later, change)| {
            later > at && matches!(change, Change::Back(id) if id == endpoint)
        });
        let end = back.map(|row| row.0);
        let after = *at + DRAINED + SLACK;
        for seen in history.seen.iter().filter(|seen| seen.by == *endpoint) {
            let within = seen.at > after && end.is_none_or(|end| seen.at < end);
            let Some(call) = calls.get(seen.id.as_str()).filter(|_| within) else {
                continue;
            };
            if history.was_calm(call.node, *at, seen.at) {
                let late = seen.at - *at;
                wrong.push(format!(
                    "{} by node {} at {endpoint}, {late:?} after",
                    seen.id, call.node
                ));
            }
        }
    }
    wrong
}

// The services that the route goes to, one after the other, and since when.
fn routes(history: &History) -> Vec<(Instant, &'static str)> {
    let changes = history.changes.iter();
    let routes = changes.filter_map(|(at, change)| match change {
        Change::Route(service) => Some((*at, *service)),
        _ => None,
    });
    routes.collect()
}

// The endpoint's service, by its name.
fn service(seen: &RequestRecord) -> &str {
    seen.by.rsplit('-').next().unwrap_or_default()
}

fn stale(history: &History, runs: &Runs<'_>) -> Vec<String> {
    let routes = routes(history);
    let mut wrong = Vec::new();
    for (number, (at, to)) in routes.iter().enumerate() {
        let until = routes.get(number + 1).map(|row| row.0);
        let after = *at + IN_FORCE + SLACK;
        let moved = history.calls.iter().filter(|c| c.kind == Kind::Moved);
        let late = moved.filter(|c| c.sent > after && until.is_none_or(|u| c.ended < u));
        for call in late {
            let Some(run) = runs.get(call.id.as_str()).and_then(|seen| seen.last()) else {
                continue;
            };
            if service(run) != *to && history.was_calm(call.node, *at, call.ended) {
                let after = call.sent - *at;
                let by = &run.by;
                wrong.push(format!(
                    "{} at {by}, {after:?} after the move to {to}",
                    call.id
                ));
            }
        }
    }
    wrong
}

// Within one run of an instance, a request that was sent after an endpoint saw
// the effect of a version must not be served as only an older one allows. Two
// versions may name the same service: each request counts as the effect of the
// earliest that explains it.
fn reverts(history: &History, runs: &Runs<'_>) -> Vec<String> {
    let changes = routes(history);
    let Some(first) = changes.first() else {
        return Vec::new();
    };
    let mut versions = vec![(first.0, FIRST_SERVICE)];
    versions.extend(changes);
    let mut of_run: BTreeMap<(usize, u32), Vec<(&Call, &RequestRecord)>> = BTreeMap::new();
    for call in history.calls.iter().filter(|c| c.kind == Kind::Moved) {
        let seen = runs.get(call.id.as_str()).and_then(|seen| seen.last());
        let rows = of_run.entry((call.node, call.run)).or_default();
        rows.extend(seen.map(|seen| (call, *seen)));
    }
    let mut wrong = Vec::new();
    for rows in of_run.values_mut() {
        rows.sort_by_key(|row| row.1.at);
        let mut shown: Vec<(Instant, usize)> = Vec::new();
        for (call, seen) in rows {
            let earlier = shown.iter().filter(|row| row.0 + REGRESS < call.sent);
            let least = earlier.map(|row| row.1).max().unwrap_or(0);
            let explains = |number: &usize| {
                let (at, to) = versions[*number];
                to == service(seen) && (*number == 0 || at <= seen.at + SLACK)
            };
            match (least..versions.len()).find(explains) {
                Some(number) => shown.push((seen.at, number)),
                None => wrong.push(format!(
                    "{} at {}, after version {least} of the route",
                    call.id, seen.by
                )),
            }
        }
    }
    wrong
}

fn cut(history: &History, runs: &Runs<'_>) -> Vec<String> {
    let stops = history.disturbed.iter().filter(|d| d.planned);
    let mut wrong = Vec::new();
    for stop in stops {
        let during = history.calls.iter().filter(|c| {
            let until = stop.to.unwrap_or(c.ended);
            c.node == stop.node && c.end == End::Cut && c.sent <= until && c.ended >= stop.from
        });
        for call in during {
            // Only the stop itself may have disturbed the instance and the endpoint.
            let from = call.sent.checked_sub(SETTLED).unwrap_or(call.sent);
            let others = history
                .disturbed
                .iter()
                .filter(|d| d.node == call.node && !d.planned);
            let mut others =
                others.filter(|d| d.from <= call.ended && d.to.is_none_or(|to| to >= from));
            let Some(run) = runs.get(call.id.as_str()).and_then(|seen| seen.last()) else {
                continue;
            };
            let mut faults = history.endpoints.iter().filter(|e| e.0 == run.by);
            let sound = !faults.any(|e| e.1 <= call.ended && e.2.is_none_or(|to| to >= from));
            if others.next().is_none() && sound {
                wrong.push(format!(
                    "{} at node {} ran at {} and was cut",
                    call.id, call.node, run.by
                ));
            }
        }
    }
    wrong
}

fn over_rate(history: &History, calls: &Calls<'_>) -> Vec<String> {
    let limited = history.seen.iter().filter(|seen| {
        let call = calls.get(seen.id.as_str());
        call.is_some_and(|call| call.kind == Kind::Limited)
    });
    let mut times: Vec<Instant> = limited.map(|seen| seen.at).collect();
    times.sort_unstable();
    let most = ((RATE * WINDOW.as_secs_f64() + BURST) * 1.1 + 20.0) as usize;
    let mut start = 0;
    for (end, at) in times.iter().enumerate() {
        while *at - times[start] > WINDOW {
            start += 1;
        }
        if end - start + 1 > most {
            return vec![format!(
                "{} requests in {WINDOW:?}, {most} allowed",
                end - start + 1
            )];
        }
    }
    Vec::new()
}

fn late(history: &History) -> Vec<String> {
    let most = TIMEOUT + LATE + SLACK;
    let late = history
        .calls
        .iter()
        .filter(|call| call.ended - call.sent > most);
    let calm = late.filter(|call| history.was_calm(call.node, call.sent, call.ended));
    calm.map(|call| {
        format!(
            "{} took {:?} at node {}",
            call.id,
            call.ended - call.sent,
            call.node
        )
    })
    .collect()
}

// The last second, at which every fault is long over.
fn unrecovered(history: &History) -> Vec<String> {
    let Some(last) = history.calls.iter().map(|call| call.sent).max() else {
        return vec!["no request was sent".to_owned()];
    };
    let recent = history
        .calls
        .iter()
        .filter(|c| c.kind != Kind::Limited && last - c.sent < Duration::from_secs(1));
    let recent: Vec<&Call> = recent.collect();
    let served = recent.iter().filter(|call| call.is_served()).count();
    if served as f64 >= recent.len() as f64 * RECOVERED {
        return Vec::new();
    }
    let failed = recent.iter().filter(|call| !call.is_served());
    let some: Vec<String> = failed
        .take(2)
        .map(|c| format!("{} {:?}", c.id, c.end))
        .collect();
    vec![format!("{served} of {} served: {some:?}", recent.len())]
}
