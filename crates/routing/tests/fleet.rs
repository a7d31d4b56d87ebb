//! Tests of the states of backend servers under any order of reports, results,
//! probes, drain plans and instance lists.

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

// What the inputs so far imply for one backend server, tracked apart from `Fleet`.
#[derive(Clone, Copy, Default)]
struct Expected {
    is_leaving: bool,
    is_planned: bool,
    has_refused: bool,
    missed_lists: u32,
}

impl Expected {
    fn is_out(self) -> bool {
        self.is_leaving || self.is_planned || self.has_refused
    }
}

struct Harness {
    fleet: Fleet,
    router: Router,
    list: Vec<Backend>,
    expected: Vec<Expected>,
    tickets: Vec<Ticket>,
    now: Time,
}

impl Harness {
    fn new() -> Self {
        let list: Vec<_> = (0..SERVERS).map(common::backend).collect();
        let mut fleet = Fleet::new().unwrap();
        fleet.sync(&list, Time::ZERO);
        let router = Router::new(list[0].region.clone(), list[0].domain.clone());
        Self {
            fleet,
            router,
            expected: vec![Expected::default(); SERVERS],
            list,
            tickets: Vec::new(),
            now: Time::ZERO,
        }
    }

    fn apply(&mut self, (kind, at): (u8, u8)) {
        let at = usize::from(at) % SERVERS;
        let id = self.list[at].id.clone();
        let handle = self.fleet.find(&id).unwrap();
        let now = self.now;
        match kind % 14 {
            0 => self.sync(None, Presence::Live),
            1 => self.sync(Some(at), Presence::Leaving),
            2 => self.omit(at),
            3 => self.fleet.record_report(&id, Report::Healthy, now),
            4 => self.fleet.record_report(&id, Report::Failing, now),
            5 => {
                self.fleet.record_report(&id, Report::Leaving, now);
                self.expected[at].is_leaving = true;
            }
            6 => self.fleet.record_report(&id, Report::Load(at as u32), now),
            7 => {
                self.fleet.set_drain_planned(&id, true, now);
                self.expected[at].is_planned = true;
            }
            8 => {
                self.fleet.set_drain_planned(&id, false, now);
                self.expected[at].is_planned = false;
            }
            9 => self.finish(at, Outcome::Refused),
            10 => {
                self.fleet.record_probe(handle, true, now);
                self.expected[at].has_refused &= self.state(at) != State::Cold;
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
            self.expected[at].is_leaving = true;
        }
        self.fleet.sync(&list, self.now);
        self.expected.iter_mut().for_each(|k| k.missed_lists = 0);
    }

    fn omit(&mut self, at: usize) {
        let mut list = self.list.clone();
        list.remove(at);
        self.fleet.sync(&list, self.now);
        for (index, expected) in self.expected.iter_mut().enumerate() {
            expected.missed_lists = if index == at {
                expected.missed_lists + 1
            } else {
                0
            };
            expected.is_leaving |= expected.missed_lists >= 2;
        }
    }

    fn finish(&mut self, at: usize, outcome: Outcome) {
        let handle = self.fleet.find(&self.list[at].id).unwrap();
        let ticket = self.fleet.begin(handle);
        self.fleet.finish(ticket, outcome, self.now);
        self.expected[at].has_refused |= outcome == Outcome::Refused;
    }

    // No backend server that is leaving, draining or refusing is chosen.
    fn avoids_leaving_servers(&mut self, draw: u64) -> bool {
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
        !self.expected[at].is_out()
    }

    // At most as many backend servers are ejected as are usable.
    fn has_half_usable(&self) -> bool {
        let states: Vec<_> = self.fleet.servers().map(|(_, s)| s.state()).collect();
        let ejected = states.iter().filter(|s| **s == State::Ejected).count();
        let usable = states.iter().filter(|s| s.is_usable()).count();
        ejected <= usable
    }
}

fn check_steps(ops: &[(u8, u8)], holds: impl Fn(&mut Harness, u64) -> bool) -> bool {
    let mut harness = Harness::new();
    let mut draw = 1_u64;
    ops.iter().all(|op| {
        harness.apply(*op);
        draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23) ^ 1;
        holds(&mut harness, draw)
    })
}

#[test]
fn leaving_servers_get_no_new_requests() {
    fn property(ops: Vec<(u8, u8)>) -> bool {
        check_steps(&ops, Harness::avoids_leaving_servers)
    }
    common::check(400, property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn ejection_leaves_half_of_the_servers_usable() {
    fn property(ops: Vec<(u8, u8)>) -> bool {
        // Most operations are turned into failures, so that ejections are frequent.
        let ops: Vec<_> = ops
            .iter()
            .map(|(kind, at)| (if kind % 3 == 0 { *kind } else { 11 }, *at))
            .collect();
        check_steps(&ops, |harness, _| harness.has_half_usable())
    }
    common::check(400, property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn a_failing_server_is_ejected_and_returns_cold() {
    let mut harness = Harness::new();
    for _ in 0..8 {
        harness.finish(0, Outcome::Failed);
    }
    assert_eq!(harness.state(0), State::Ejected);
    for _ in 0..4 {
        harness.apply((13, 0));
    }
    assert_eq!(harness.state(0), State::Cold);
    let handle = harness.fleet.find(&harness.list[0].id).unwrap();
    assert!(harness.fleet.server(handle).unwrap().weight() < 0.3);
}

// Guards against ejecting all of them for requests that none can serve, such as
// those of one client account.
#[test]
fn failures_that_all_servers_share_eject_none() {
    let mut harness = Harness::new();
    for round in 0..100 {
        harness.finish(round % SERVERS, Outcome::Failed);
    }
    assert!((0..SERVERS).all(|at| harness.state(at).is_usable()));
    for round in 0..20 * SERVERS {
        let at = round % SERVERS;
        let outcome = Outcome::Answered(TICK);
        harness.finish(at, if at == 2 { Outcome::Failed } else { outcome });
    }
    assert_eq!(harness.state(2), State::Ejected);
}

#[test]
fn a_recent_success_overrides_failing_health_reports() {
    let mut harness = Harness::new();
    let id = harness.list[0].id.clone();
    harness.finish(0, Outcome::Answered(TICK));
    for _ in 0..5 {
        harness
            .fleet
            .record_report(&id, Report::Failing, harness.now);
    }
    assert_eq!(harness.state(0), State::Warm);
}

#[test]
fn an_implausibly_short_list_drains_nothing() {
    let mut harness = Harness::new();
    for _ in 0..3 {
        harness.fleet.sync(&[], harness.now);
    }
    assert!((0..SERVERS).all(|at| harness.state(at) == State::Warm));
}
