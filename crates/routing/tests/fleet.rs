//! Backend servers under any order of what the sources say of them.

mod common;

use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Presence;
use corianderway_model::Time;
use corianderway_routing::Fleet;
use corianderway_routing::Outcome;
use corianderway_routing::Report;
use corianderway_routing::Router;
use corianderway_routing::State;
use corianderway_routing::Ticket;

const SERVERS: usize = 7;
const TICK: Duration = Duration::from_millis(700);

// What the test knows of one backend server without looking at its state.
#[derive(Clone, Copy, Default)]
struct Known {
    left: bool,
    planned: bool,
    refused: bool,
    absent: u32,
}

impl Known {
    fn is_out(self) -> bool {
        self.left || self.planned || self.refused
    }
}

struct Bench {
    fleet: Fleet,
    router: Router,
    list: Vec<Backend>,
    known: Vec<Known>,
    tickets: Vec<Ticket>,
    now: Time,
}

impl Bench {
    fn new() -> Self {
        let list: Vec<_> = (0..SERVERS).map(common::backend).collect();
        let mut fleet = Fleet::new().unwrap();
        fleet.sync(&list, Time::ZERO);
        let router = Router::new(list[0].region.clone(), list[0].domain.clone());
        Self {
            fleet,
            router,
            known: vec![Known::default(); SERVERS],
            list,
            tickets: Vec::new(),
            now: Time::ZERO,
        }
    }

    fn act(&mut self, (kind, at): (u8, u8)) {
        let at = usize::from(at) % SERVERS;
        let id = self.list[at].id.clone();
        let handle = self.fleet.find(&id).unwrap();
        let now = self.now;
        match kind % 14 {
            0 => self.sync(None, Presence::Live),
            1 => self.sync(Some(at), Presence::Leaving),
            2 => self.omit(at),
            3 => self.fleet.report(&id, Report::Healthy, now),
            4 => self.fleet.report(&id, Report::Failing, now),
            5 => {
                self.fleet.report(&id, Report::Leaving, now);
                self.known[at].left = true;
            }
            6 => self.fleet.report(&id, Report::Load(at as u32), now),
            7 => {
                self.fleet.plan_drain(&id, true, now);
                self.known[at].planned = true;
            }
            8 => {
                self.fleet.plan_drain(&id, false, now);
                self.known[at].planned = false;
            }
            9 => self.finish(at, Outcome::Refused),
            10 => {
                self.fleet.probe(handle, true, now);
                self.known[at].refused &= self.state(at) != State::Cold;
            }
            11 => self.finish(at, Outcome::Failed),
            12 => self.finish(at, Outcome::Answered(Duration::from_millis(9))),
            _ => {
                self.now = self.now + TICK;
                self.fleet.tick(self.now);
            }
        }
    }

    fn state(&self, at: usize) -> State {
        let handle = self.fleet.find(&self.list[at].id).unwrap();
        self.fleet.server(handle).unwrap().state()
    }

    fn sync(&mut self, at: Option<usize>, presence: Presence) {
        let mut list = self.list.clone();
        if let Some(at) = at {
            list[at].presence = presence;
            self.known[at].left = true;
        }
        self.fleet.sync(&list, self.now);
        self.known.iter_mut().for_each(|k| k.absent = 0);
    }

    fn omit(&mut self, at: usize) {
        let mut list = self.list.clone();
        list.remove(at);
        self.fleet.sync(&list, self.now);
        for (place, known) in self.known.iter_mut().enumerate() {
            known.absent = if place == at { known.absent + 1 } else { 0 };
            known.left |= known.absent >= 2;
        }
    }

    fn finish(&mut self, at: usize, outcome: Outcome) {
        let handle = self.fleet.find(&self.list[at].id).unwrap();
        let ticket = self.fleet.begin(handle);
        self.fleet.finish(ticket, outcome, self.now);
        self.known[at].refused |= outcome == Outcome::Refused;
    }

    // No backend server that any source called leaving is chosen.
    fn routes_only_to_staying(&mut self, draw: u64) -> bool {
        let query = common::query(&self.list[0]);
        let decision = self.router.route(&self.fleet, &query, draw, |_| false);
        let Ok(decision) = decision else { return true };
        let id = self.fleet.server(decision.server).unwrap().id();
        let at = self.list.iter().position(|b| b.id == *id).unwrap();
        self.tickets.push(self.fleet.begin(decision.server));
        if self.tickets.len() > SERVERS {
            let ticket = self.tickets.remove(0);
            self.fleet.finish(ticket, Outcome::Cancelled, self.now);
        }
        !self.known[at].is_out()
    }

    // Of the backend servers that stay, at most half are ejected.
    fn keeps_half(&self) -> bool {
        let states: Vec<_> = self.fleet.servers().map(|(_, s)| s.state()).collect();
        let ejected = states.iter().filter(|s| **s == State::Ejected).count();
        let usable = states.iter().filter(|s| s.is_usable()).count();
        ejected <= usable
    }
}

fn run(ops: &[(u8, u8)], holds: impl Fn(&mut Bench, u64) -> bool) -> bool {
    let mut bench = Bench::new();
    let mut draw = 1_u64;
    ops.iter().all(|op| {
        bench.act(*op);
        draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23) ^ 1;
        holds(&mut bench, draw)
    })
}

#[test]
fn no_new_work_on_leaving_servers() {
    fn property(ops: Vec<(u8, u8)>) -> bool {
        run(&ops, Bench::routes_only_to_staying)
    }
    common::check(400, property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn ejection_leaves_half_in_use() {
    fn property(ops: Vec<(u8, u8)>) -> bool {
        // Failures are made frequent.
        let ops: Vec<_> = ops
            .iter()
            .map(|(kind, at)| (if kind % 3 == 0 { *kind } else { 11 }, *at))
            .collect();
        run(&ops, |bench, _| bench.keeps_half())
    }
    common::check(400, property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn a_failing_server_is_ejected_and_comes_back_cold() {
    let mut bench = Bench::new();
    for _ in 0..8 {
        bench.finish(0, Outcome::Failed);
    }
    assert_eq!(bench.state(0), State::Ejected);
    for _ in 0..4 {
        bench.act((13, 0));
    }
    assert_eq!(bench.state(0), State::Cold);
    let handle = bench.fleet.find(&bench.list[0].id).unwrap();
    assert!(bench.fleet.server(handle).unwrap().weight() < 0.3);
}

// Such as the requests of one client account that no backend server can serve.
#[test]
fn failures_that_all_servers_share_eject_none() {
    let mut bench = Bench::new();
    for round in 0..100 {
        bench.finish(round % SERVERS, Outcome::Failed);
    }
    assert!((0..SERVERS).all(|at| bench.state(at).is_usable()));
    for round in 0..20 * SERVERS {
        let at = round % SERVERS;
        let outcome = Outcome::Answered(TICK);
        bench.finish(at, if at == 2 { Outcome::Failed } else { outcome });
    }
    assert_eq!(bench.state(2), State::Ejected);
}

#[test]
fn own_success_outweighs_failing_reports() {
    let mut bench = Bench::new();
    let id = bench.list[0].id.clone();
    bench.finish(0, Outcome::Answered(TICK));
    for _ in 0..5 {
        bench.fleet.report(&id, Report::Failing, bench.now);
    }
    assert_eq!(bench.state(0), State::Warm);
}

#[test]
fn an_implausibly_short_list_drains_nothing() {
    let mut bench = Bench::new();
    for _ in 0..3 {
        bench.fleet.sync(&[], bench.now);
    }
    assert!((0..SERVERS).all(|at| bench.state(at) == State::Warm));
}
