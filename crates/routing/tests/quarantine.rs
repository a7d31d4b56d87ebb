//! Tests that requests that crash backend servers are refused, and harmless ones
//! beside them are not.

mod common;

use std::time::Duration;

use corianderway_model::Time;
use corianderway_routing::Crash;
use corianderway_routing::Quarantine;
use corianderway_routing::Suspicion;
use corianderway_routing::Verdict;

const CRASHING: u64 = 1;
// The signature of the first harmless request.
const FIRST_HARMLESS: u64 = 100;
const SERVERS: u64 = 5;
const STEP_MS: u64 = 50;
// The crashing request is sent again after this number of rounds.
const RESEND_ROUNDS: u64 = 4;

fn crash(server: u64, signatures: &[u64]) -> Crash {
    Crash {
        server: format!("finder-{server}").try_into().unwrap(),
        signatures: signatures.to_vec(),
    }
}

fn second(seconds: u64) -> Time {
    Time::from_millis(seconds * 1000)
}

// A simulation in which a caller sends a crashing request again and again. The
// harmless requests beside it are retried after a crash, and complete unless their
// backend server crashes.
struct Simulation {
    random_state: u64,
    instances: Vec<Quarantine>,
    // By instance: the requests in flight with their backend servers, and those
    // that wait.
    in_flight: Vec<Vec<(u64, u64)>>,
    waiting: Vec<Vec<u64>>,
    // Messages that were sent and not yet delivered, with the sender.
    messages: Vec<(usize, Suspicion)>,
    trials: bool,
    has_crashing: bool,
    crashes: u64,
    refused: u64,
    next_harmless: u64,
}

impl Simulation {
    fn new(seed: u64, instances: usize, trials: bool) -> Self {
        Self {
            random_state: seed | 1,
            instances: vec![Quarantine::new(); instances],
            in_flight: vec![Vec::new(); instances],
            waiting: vec![Vec::new(); instances],
            messages: Vec::new(),
            trials,
            has_crashing: true,
            crashes: 0,
            refused: 0,
            next_harmless: FIRST_HARMLESS,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random_state = self
            .random_state
            .wrapping_mul(0x5851_f42d_4c95_7f2d)
            .wrapping_add(9);
        (self.random_state >> 33) % below
    }

    // `beside` harmless requests run beside the crashing one on each instance. Of
    // the requests in flight, `slow` percent don't end within a round.
    fn run(&mut self, beside: u64, slow: u64) {
        for round in 1..400 {
            let now = Time::from_millis(round * STEP_MS);
            self.deliver(now);
            for at in 0..self.instances.len() {
                self.start_waiting(at, now);
            }
            if round.is_multiple_of(RESEND_ROUNDS) {
                let at = self.draw(self.instances.len() as u64) as usize;
                match self.verdict(at, CRASHING, now) {
                    Verdict::Refuse => return,
                    Verdict::Run => self.crash_server(beside, round, now),
                    Verdict::Wait => {}
                }
            }
            for at in 0..self.instances.len() {
                self.finish_some(at, slow, now);
            }
        }
    }

    fn verdict(&mut self, at: usize, signature: u64, now: Time) -> Verdict {
        if self.trials {
            return self.instances[at].admit(signature, now);
        }
        if self.instances[at].is_refused(signature, now) {
            Verdict::Refuse
        } else {
            Verdict::Run
        }
    }

    fn deliver(&mut self, now: Time) {
        for (from, suspicion) in std::mem::take(&mut self.messages) {
            let age = Duration::from_millis(STEP_MS);
            for (at, quarantine) in self.instances.iter_mut().enumerate() {
                if at != from {
                    quarantine.merge(&suspicion, age, now);
                }
            }
        }
    }

    fn start_waiting(&mut self, at: usize, now: Time) {
        for signature in std::mem::take(&mut self.waiting[at]) {
            match self.verdict(at, signature, now) {
                Verdict::Run => {
                    let server = self.draw(SERVERS);
                    self.in_flight[at].push((signature, server));
                }
                Verdict::Wait => self.waiting[at].push(signature),
                Verdict::Refuse => self.refused += 1,
            }
        }
    }

    // Crashes that no request causes. Returns the share of the requests that were
    // in flight at a crash and were refused after it.
    fn run_without_cause(&mut self, beside: u64, slow: u64) -> f64 {
        for round in 1..400 {
            let now = Time::from_millis(round * STEP_MS);
            self.deliver(now);
            for at in 0..self.instances.len() {
                self.start_waiting(at, now);
            }
            if round.is_multiple_of(10 * RESEND_ROUNDS) {
                self.crash_server(beside, round, now);
            }
            for at in 0..self.instances.len() {
                self.finish_some(at, slow, now);
            }
        }
        self.refused as f64 / (self.next_harmless - FIRST_HARMLESS) as f64
    }

    fn crash_server(&mut self, beside: u64, round: u64, now: Time) {
        self.crashes += 1;
        let target = self.draw(SERVERS);
        for at in 0..self.instances.len() {
            let in_flight = std::mem::take(&mut self.in_flight[at]);
            let (lost, rest): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(|f| f.1 == target);
            self.in_flight[at] = rest;
            let mut signatures: Vec<u64> = lost.iter().map(|f| f.0).collect();
            signatures.extend(self.next_harmless..self.next_harmless + beside);
            self.next_harmless += beside;
            self.waiting[at].extend(&signatures);
            if self.has_crashing {
                signatures.push(CRASHING);
            }
            let suspicion = self.instances[at].record_crash(crash(round, &signatures), now);
            self.messages.push((at, suspicion));
        }
    }

    fn finish_some(&mut self, at: usize, slow: u64, now: Time) {
        for (signature, server) in std::mem::take(&mut self.in_flight[at]) {
            if self.draw(100) < slow {
                self.in_flight[at].push((signature, server));
            } else if let Some(cleared) = self.instances[at].record_completion(signature, now) {
                self.messages.push((at, cleared));
            }
        }
    }
}

#[test]
fn a_crashing_request_is_refused_soon_and_harmless_ones_are_not() {
    fn property(seed: u64) -> bool {
        let (instances, beside) = (1 + seed as usize % 4, seed % 7);
        let mut simulation = Simulation::new(seed, instances, true);
        simulation.run(beside, 50);
        simulation.crashes <= 5 && simulation.refused == 0
    }
    common::check(300, property as fn(u64) -> bool);
}

#[test]
fn a_crashing_request_usually_causes_two_or_three_crashes() {
    let tally = |trials| {
        let mut by_crashes = [0_u64; 9];
        let mut refused = 0;
        for seed in 1..=500 {
            let mut simulation = Simulation::new(seed, 3, trials);
            simulation.run(3, 80);
            by_crashes[simulation.crashes.min(8) as usize] += 1;
            refused += simulation.refused;
        }
        println!("trials={trials} crashes={by_crashes:?} harmless_refused={refused}");
        (by_crashes, refused)
    };
    tally(false);
    let (by_crashes, refused) = tally(true);
    assert!(by_crashes[2] + by_crashes[3] >= 490 && refused == 0);
}

// Nine crashes in 20 s that no request causes, beside requests of 250 ms and of
// 2.5 s.
#[test]
fn crashes_without_a_cause_refuse_few_requests() {
    for (slow, limit) in [(80, 0.001), (98, 0.05)] {
        let shares = (1..=100).map(|seed| {
            let mut simulation = Simulation::new(seed, 3, true);
            simulation.has_crashing = false;
            simulation.run_without_cause(3, slow)
        });
        let mean = shares.sum::<f64>() / 100.0;
        println!("slow={slow} harmless_refused={mean:.5}");
        assert!(mean <= limit, "{mean}");
    }
}

#[test]
fn the_loss_of_a_region_refuses_no_request() {
    let mut quarantine = Quarantine::new();
    let now = second(1);
    for server in 0..20 {
        // A request that was retried, and so was in flight at two of the crashes.
        let retried = if server < 2 { 7 } else { 100 + server };
        quarantine.record_crash(crash(server, &[retried]), now);
    }
    assert!(!quarantine.is_refused(7, now));
}

// Guards against a request that is refused for ten minutes since it was in flight at all
// servers that were lost together; one that does crash servers is tried once more.
#[test]
fn a_request_at_a_common_loss_is_tried_again() {
    let mut quarantine = Quarantine::new();
    for server in 0..6 {
        quarantine.record_crash(crash(server, &[7]), second(1));
    }
    assert_eq!(quarantine.admit(7, second(2)), Verdict::Refuse);
    assert_eq!(quarantine.admit(7, second(12)), Verdict::Run);
    assert_eq!(quarantine.admit(7, second(12)), Verdict::Wait);
    let mut cleared = quarantine.clone();
    cleared.record_completion(7, second(13));
    assert_eq!(cleared.admit(7, second(13)), Verdict::Run);
    quarantine.record_crash(crash(6, &[7]), second(13));
    assert_eq!(quarantine.admit(7, second(500)), Verdict::Refuse);
}

#[test]
fn completion_clears_a_suspect_and_ends_its_refusal() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(crash(1, &[7]), second(1));
    quarantine.record_crash(crash(2, &[7]), second(2));
    assert!(quarantine.is_refused(7, second(2)));
    let cleared = quarantine.record_completion(7, second(3));
    assert_eq!(cleared, Some(Suspicion::Cleared(7)));
    assert!(!quarantine.is_refused(7, second(3)));
    assert_eq!(quarantine.record_completion(7, second(4)), None);
}

#[test]
fn two_crashes_refuse_briefly_and_three_for_longer() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(crash(1, &[7]), second(1));
    quarantine.record_crash(crash(2, &[7]), second(2));
    assert!(quarantine.is_refused(7, second(31)));
    assert_eq!(quarantine.admit(7, second(33)), Verdict::Run);
    quarantine.record_crash(crash(3, &[7]), second(34));
    assert!(quarantine.is_refused(7, second(500)));
}

#[test]
fn a_refusal_expires() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(crash(1, &[7]), second(1));
    quarantine.record_crash(crash(2, &[7]), second(2));
    let late = second(2) + Duration::from_mins(10);
    quarantine.expire(late);
    assert!(!quarantine.is_refused(7, late) && !quarantine.is_suspected(7));
}

// Reports of two instances lead to the same refusals in any order and with repeats.
#[test]
fn reports_merge_in_any_order() {
    fn property(order: Vec<u8>) -> bool {
        let messages = [
            (Suspicion::Died(crash(1, &[7, 8, 9])), 50),
            (Suspicion::Died(crash(1, &[5])), 49),
            (Suspicion::Died(crash(2, &[7, 8])), 40),
            (Suspicion::Cleared(8), 30),
            (Suspicion::Died(crash(3, &[5, 7])), 20),
        ];
        let now = second(100);
        let merge = |order: &[u8]| {
            let mut quarantine = Quarantine::new();
            for at in order.iter().copied().chain(0..5) {
                let (suspicion, age) = &messages[usize::from(at) % messages.len()];
                quarantine.merge(suspicion, Duration::from_secs(*age), now);
            }
            quarantine.refused(now).collect::<Vec<_>>()
        };
        merge(&order) == [7] && merge(&[]) == [7]
    }
    common::check(200, property as fn(Vec<u8>) -> bool);
}

// Guards against a longer refusal after the loss of two servers than after that of more.
#[test]
fn a_request_at_a_common_loss_of_two_servers_is_tried_again() {
    let mut quarantine = Quarantine::new();
    for server in 0..2 {
        quarantine.record_crash(crash(server, &[7]), second(1));
    }
    assert_eq!(quarantine.admit(7, second(2)), Verdict::Refuse);
    assert_eq!(quarantine.admit(7, second(16)), Verdict::Run);
}

// Guards against a refusal for ten minutes since one server crashed long before a common loss.
#[test]
fn an_old_crash_is_no_part_of_a_common_loss() {
    let mut quarantine = Quarantine::new();
    quarantine.record_crash(crash(9, &[7]), second(1));
    for server in 0..6 {
        quarantine.record_crash(crash(server, &[7]), second(400));
    }
    assert_eq!(quarantine.admit(7, second(401)), Verdict::Refuse);
    assert_eq!(quarantine.admit(7, second(415)), Verdict::Run);
}
