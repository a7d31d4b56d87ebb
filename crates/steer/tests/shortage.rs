//! Too little room: who waits, who is turned away, and in which order requests start.

mod rig;

use std::time::Duration;

use corianderway_model::Priority;
use corianderway_model::Replay;
use corianderway_model::Secret;
use corianderway_model::Time;
use corianderway_steer::AccountTerms;
use corianderway_steer::Action;
use corianderway_steer::Bounds;
use corianderway_steer::CallerLimits;
use corianderway_steer::Event;
use corianderway_steer::Load;
use corianderway_steer::Outcome;
use corianderway_steer::Plan;
use corianderway_steer::RequestId;
use corianderway_steer::ServiceTerms;

use crate::rig::Rig;

const SLOTS: usize = 4;
const WORK: Duration = Duration::from_millis(320);
const TARGET: Duration = Duration::from_millis(800);
const LIMIT: Duration = Duration::from_secs(6);

/// What became of a request.
#[derive(Clone, Debug)]
struct Fate {
    id: RequestId,
    path: &'static str,
    key: &'static str,
    sent: Time,
    started: Option<Time>,
    answered: Option<Time>,
    refused: Option<(Time, Duration)>,
}

/// One instance and one backend server with a few slots.
struct Bench {
    rig: Rig,
    slots: [Time; SLOTS],
    running: Vec<(Time, RequestId)>,
    fates: Vec<Fate>,
}

impl Bench {
    fn new() -> Self {
        let bounds = Bounds {
            long_waits: true,
            ..Bounds::default()
        };
        let mut rig = Rig::bare_within(rig::member("entry-1", "north", "north-a"), bounds);
        let route = |name, prefix, priority| {
            let mut route = rig::route(name, prefix, "bids", Replay::Once);
            (route.priority, route.timeout) = (priority, Some(LIMIT));
            route
        };
        let routes = vec![
            route("orders", "/orders/", Priority::Urgent),
            route("quotes", "/quotes/", Priority::Normal),
        ];
        let terms = ServiceTerms {
            cold_duration: Duration::from_secs(3),
            cold_rate: 6.0,
        };
        let services = [("bids".try_into().unwrap(), terms)].into_iter().collect();
        let accounts = ["salta", "jujuy"].map(|name: &str| {
            let terms = AccountTerms {
                account: name.try_into().unwrap(),
                priority: None,
                rate: None,
                burst: 0.0,
                regions: Vec::new(),
            };
            (terms, vec![Secret::new(name)])
        });
        let limits = CallerLimits::default();
        let plan = Plan::new(1, routes, services, accounts.into(), limits).unwrap();
        rig.settle(plan, vec![rig::server("one", "bids", "north", "north-a")]);
        let slots = [rig.now; SLOTS];
        Self {
            rig,
            slots,
            running: Vec::new(),
            fates: Vec::new(),
        }
    }

    fn send(&mut self, path: &'static str, key: &'static str) -> usize {
        let signature = 1_000 + self.fates.len() as u64;
        self.send_again(path, key, signature)
    }

    fn send_again(&mut self, path: &'static str, key: &'static str, signature: u64) -> usize {
        let mut query = self.rig.query(path, None);
        (query.key, query.time_limit) = (Some(Secret::new(key)), Some(LIMIT));
        query.signature = signature;
        self.fates.push(Fate {
            id: query.id,
            path,
            key,
            sent: self.rig.now,
            started: None,
            answered: None,
            refused: None,
        });
        let actions = self.rig.step(Event::Request(query)).to_vec();
        self.apply(&actions);
        self.fates.len() - 1
    }

    fn apply(&mut self, actions: &[Action]) {
        let now = self.rig.now;
        for action in actions {
            match action {
                Action::Forward { id, .. } => {
                    // Ends of requests that began together are spread.
                    let work = WORK.mul_f64(0.8 + 0.1 * (id.0 % 5) as f64);
                    let slot = self.slots.iter_mut().min().unwrap();
                    *slot = (*slot).max(now) + work;
                    let end = *slot;
                    self.running.push((end, *id));
                    self.fate(*id).started = Some(now);
                }
                Action::Deliver(id) => self.fate(*id).answered = Some(now),
                Action::Refuse { id, refusal } => {
                    let delay = refusal.retry_after.unwrap_or_default();
                    let fate = self.fate(*id);
                    fate.refused = Some((now, delay));
                    assert_eq!(fate.started, None, "a refused request has not run");
                }
                _ => (),
            }
        }
    }

    fn fate(&mut self, id: RequestId) -> &mut Fate {
        self.fates.iter_mut().find(|fate| fate.id == id).unwrap()
    }

    fn pass(&mut self, span: Duration) {
        let end = self.rig.now + span;
        loop {
            let ends = self.running.iter().map(|row| row.0).min();
            let tick = self.rig.steer.next_tick().max(self.rig.now);
            let next = ends.map_or(tick, |at| at.min(tick));
            if next > end {
                self.rig.now = end;
                return;
            }
            self.rig.now = next;
            let due = self.running.iter().position(|row| row.0 <= next);
            let event = match due {
                Some(at) => {
                    let (_, id) = self.running.swap_remove(at);
                    let held = self.running.len();
                    let load = Some(Load {
                        running: held.min(SLOTS) as u32,
                        waiting: held.saturating_sub(SLOTS) as u32,
                        slots: SLOTS as u32,
                        stretch: None,
                    });
                    let outcome = Outcome::Answered { status: 200, load };
                    Event::AttemptEnded { id, outcome }
                }
                None => Event::Tick,
            };
            let actions = self.rig.step(event).to_vec();
            self.apply(&actions);
        }
    }

    /// Offers requests at even intervals.
    fn offer(&mut self, count: usize, gap: Duration, path: &'static str, key: &'static str) {
        for _ in 0..count {
            self.send(path, key);
            self.pass(gap);
        }
    }

    fn served(&self, holds: impl Fn(&Fate) -> bool) -> usize {
        let served = |fate: &&Fate| fate.answered.is_some() && holds(fate);
        self.fates.iter().filter(served).count()
    }
}

fn in_time(fate: &Fate) -> bool {
    fate.answered
        .is_some_and(|at| at.since(fate.sent) <= TARGET)
}

// Load pattern: three times what the slots hold comes at once. All of it fits into the time
// limit, and half of it into the objective; a wait of an eighth turned two thirds away.
#[test]
fn a_burst_that_fits_into_the_time_limit_is_served() {
    let mut bench = Bench::new();
    bench.offer(SLOTS * 3, Duration::from_millis(2), "/quotes/1", "salta");
    bench.pass(LIMIT);
    assert!(bench.served(in_time) >= SLOTS * 2, "{:#?}", bench.fates);
    assert_eq!(bench.served(|_| true), SLOTS * 3, "{:#?}", bench.fates);
}

// Load pattern: twice the room's rate for 10 s. What can't be served must not be held: a
// caller that is turned away within an eighth of its objective can still go elsewhere.
#[test]
fn lasting_shortage_serves_in_time_and_refuses_early() {
    let mut bench = Bench::new();
    let rate = SLOTS as f64 / WORK.as_secs_f64();
    let gap = Duration::from_secs_f64(1.0 / rate / 2.0);
    let count = (10.0 * rate * 2.0) as usize;
    bench.offer(count, gap, "/quotes/1", "salta");
    bench.pass(LIMIT);
    // Half of what is offered fits; a tenth of that is left to the start of the shortage.
    let timely = bench.served(in_time);
    assert!(timely * 20 >= count * 9, "{timely} of {count} in time");
    let refused = bench
        .fates
        .iter()
        .filter_map(|fate| Some((fate.sent, fate.refused?)));
    let held = refused.map(|(sent, (at, _))| at.since(sent) > TARGET / 8);
    let held: Vec<bool> = held.collect();
    let late = held.iter().filter(|held| **held).count();
    assert!(
        late * 4 <= held.len(),
        "{late} of {} refused late",
        held.len()
    );
}

// Metastable: the trigger is over, so must the shortage be, within a few service times.
#[test]
fn after_a_burst_newcomers_are_served_in_time_within_two_seconds() {
    let mut bench = Bench::new();
    bench.offer(100, Duration::from_millis(10), "/quotes/1", "salta");
    bench.pass(Duration::from_secs(2));
    let first = bench.fates.len();
    bench.offer(60, Duration::from_millis(100), "/quotes/1", "salta");
    bench.pass(LIMIT);
    let timely = bench.fates[first..].iter().filter(|fate| in_time(fate));
    assert!(timely.count() >= 58, "{:#?}", &bench.fates[first..]);
}

// Load pattern: less urgent requests fill the line before urgent ones come.
#[test]
fn urgent_requests_start_first_and_others_are_not_starved() {
    let mut bench = Bench::new();
    for _ in 0..200 {
        bench.send("/quotes/1", "salta");
        bench.send("/orders/1", "salta");
        bench.pass(Duration::from_millis(50));
    }
    bench.pass(LIMIT);
    let orders = bench.served(|fate| fate.path == "/orders/1");
    let quotes = bench.served(|fate| fate.path == "/quotes/1");
    assert!(orders >= quotes, "orders {orders}, quotes {quotes}");
    // The platform's rule: no kind is served less than a quarter as often as all.
    assert!(
        quotes * 8 >= orders + quotes,
        "orders {orders}, quotes {quotes}"
    );
}

// Load pattern: one account offers ten times what another does.
#[test]
fn an_account_with_little_load_is_served_beside_a_greedy_one() {
    let mut bench = Bench::new();
    for _ in 0..100 {
        for _ in 0..10 {
            bench.send("/quotes/1", "salta");
        }
        bench.send("/quotes/1", "jujuy");
        bench.pass(Duration::from_millis(100));
    }
    bench.pass(LIMIT);
    let small = bench.served(|fate| fate.key == "jujuy");
    // Half of the room serves 62; no account may get less than half of its share.
    assert!(small >= 31, "{small} of 100");
}

// A caller that is turned away can be in time only if it comes back within the slack of its
// objective, and honours no more than a third of the time it has left.
#[test]
fn callers_of_a_lasting_shortage_come_back_while_they_can_be_in_time() {
    let mut bench = Bench::new();
    bench.offer(200, Duration::from_millis(5), "/quotes/1", "salta");
    let told = bench.fates.iter().filter_map(|fate| {
        let (at, delay) = fate.refused?;
        let left = (fate.sent + LIMIT).since(at);
        assert!(!delay.is_zero() && delay * 3 <= left, "{fate:?}");
        Some(delay)
    });
    let told: Vec<Duration> = told.collect();
    assert!(told.len() > 100, "{}", told.len());
    let early = told
        .iter()
        .filter(|delay| **delay <= TARGET.saturating_sub(WORK));
    assert!(early.count() * 10 >= told.len() * 9, "{told:?}");
}

// A caller that comes back as it was told doesn't come a third time.
#[test]
fn a_caller_that_comes_back_goes_before_newcomers() {
    let mut bench = Bench::new();
    bench.offer(60, Duration::from_millis(10), "/quotes/1", "salta");
    let at = bench.fates.iter().position(|fate| fate.refused.is_some());
    let at = at.expect("a refusal");
    let (refused, delay) = bench.fates[at].refused.unwrap();
    while bench.rig.now < refused + delay {
        bench.offer(1, Duration::from_millis(10), "/quotes/1", "salta");
    }
    // A newcomer that came before it is overtaken.
    let newcomer = bench.send("/quotes/1", "salta");
    let back = bench.send_again("/quotes/1", "salta", 1_000 + at as u64);
    bench.pass(LIMIT);
    let started = bench.fates[back].started.expect("it is served");
    let other = bench.fates[newcomer].started;
    assert!(
        other.is_none_or(|other| started <= other),
        "{other:?} {started:?}"
    );
}
