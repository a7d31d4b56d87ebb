//! Rates of client accounts over several instances that tell each other their demand.

mod rig;

use std::ops::Range;

use corianderway_model::Time;
use corianderway_steer::Event;
use corianderway_steer::Member;
use corianderway_steer::Plan;
use corianderway_steer::RequestId;
use quickcheck::QuickCheck;
use rand::rngs::SmallRng;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::rig::crowd::Crowd;

/// The rate and the burst of the account.
const RATE: f64 = 60.0;

/// The span in which requests are counted, as on the platform.
const WINDOW: usize = 500;

/// What is asked of an instance in a turn, by phase.
type Load = [u8; 3];

// Two instances of one failure domain, and one of another.
fn members() -> [Member; 3] {
    [
        rig::member("entry-1", "north", "north-a"),
        rig::member("entry-2", "north", "north-a"),
        rig::member("entry-3", "north", "north-b"),
    ]
}

// The moment of a turn.
fn at(turn: usize) -> Time {
    Time::from_millis(10_000 + turn as u64 * 10)
}

// Plays three instances for three phases of four seconds, and gives back what
// was let through in each turn. A cut instance hears nobody and is not heard.
fn play(loads: [Load; 3], cut: Option<usize>) -> Vec<u32> {
    play_with_restart(loads, cut, usize::MAX)
}

// The same; in one turn all instances start anew.
fn play_with_restart(loads: [Load; 3], cut: Option<usize>, restart: usize) -> Vec<u32> {
    let mut crowd = Crowd::start(members().to_vec(), at(0), plan);
    crowd.cut = cut.into_iter().collect();
    let mut passed = Vec::new();
    for turn in 0..1_200_usize {
        if turn == restart {
            crowd.restart(at(turn), plan);
        }
        let asked = loads[turn / 400].into_iter().map(|load| {
            let load = usize::from(load);
            // Loads are requests for each second.
            (turn + 1) * load / 100 - turn * load / 100
        });
        passed.push(turn_of(&mut crowd, turn, asked));
    }
    passed
}

fn plan() -> Plan {
    rig::plan(1, rig::routes(), Some(RATE))
}

// Plays one turn in which so much is asked of each instance; gives back how
// many requests were let through.
fn turn_of(crowd: &mut Crowd, turn: usize, asked: impl Iterator<Item = usize>) -> u32 {
    crowd.turn(at(turn));
    for (number, count) in asked.enumerate() {
        for _ in 0..count {
            crowd.rigs[number].ask("/bids/1", None);
            crowd.collect(number);
        }
    }
    let forwarded = std::mem::take(&mut crowd.forwarded);
    for (number, id, _) in &forwarded {
        let (id, outcome) = (*id, rig::answered(200));
        crowd.step(*number, Event::Attempted { id, outcome });
    }
    forwarded.len() as u32
}

// Nine failure domains of three regions, with seven instances each.
fn fleet() -> Crowd {
    let members = (0..63).map(|number| {
        let region = ["north", "south", "west"][number % 3];
        let domain = format!("{region}-{}", ["a", "b", "c"][number / 3 % 3]);
        rig::member(&format!("entry-{number:02}"), region, &domain)
    });
    Crowd::start(members.collect(), at(0), plan)
}

/// Requests of some turns.
#[derive(Debug, Default)]
struct Counts {
    asked: u32,
    passed: u32,
}

impl Counts {
    fn part(&self) -> f64 {
        f64::from(self.passed) / f64::from(self.asked)
    }
}

// Asks a large fleet for half of the rate, each time at any one instance that
// lives; counts some turns and lets what is open then end.
fn ask_for_half(seed: u64, counted: Range<usize>, disturb: impl Fn(&mut Crowd, usize)) -> Counts {
    let mut crowd = fleet();
    let mut draw = SmallRng::seed_from_u64(seed);
    let mut counts = Counts::default();
    for turn in 0..counted.end + 100 {
        disturb(&mut crowd, turn);
        let begins = turn < counted.end && draw.random_bool(RATE / 200.0);
        let at = begins.then(|| draw.random_range(0..63));
        let at = at.filter(|at| !crowd.cut.contains(at));
        let count = |number| usize::from(at == Some(number));
        let passed = turn_of(&mut crowd, turn, (0..63).map(count));
        if turn >= counted.start {
            counts.asked += u32::from(at.is_some());
            counts.passed += passed;
        }
    }
    counts
}

fn most(passed: &[u32]) -> u32 {
    let sums = passed.windows(WINDOW).map(|w| w.iter().sum());
    sums.max().unwrap_or(0)
}

// The platform's bound: rate and burst of a window, a tenth and 20 more.
fn bound() -> f64 {
    (RATE * 5.0 + RATE) * 1.1 + 20.0
}

#[test]
fn no_window_exceeds_the_rate_whatever_is_asked_where() {
    fn holds(loads: [[u8; 3]; 3], cut: u8) -> bool {
        let cut = Some(usize::from(cut)).filter(|at| *at < 3);
        f64::from(most(&play(loads, cut))) <= bound()
    }
    let check = holds as fn([[u8; 3]; 3], u8) -> bool;
    QuickCheck::new().tests(25).quickcheck(Loads(check));
}

/// Makes the property testable: quickcheck draws tuples, not nested arrays.
struct Loads(fn([[u8; 3]; 3], u8) -> bool);

impl quickcheck::Testable for Loads {
    fn result(&self, gen: &mut quickcheck::Gen) -> quickcheck::TestResult {
        let check = self.0;
        let mut draw = || <u8 as quickcheck::Arbitrary>::arbitrary(gen);
        let loads = [(); 3].map(|()| [(); 3].map(|()| draw()));
        let cut = draw() % 5;
        if check(loads, cut) {
            quickcheck::TestResult::passed()
        } else {
            quickcheck::TestResult::error(format!("loads {loads:?} cut {cut}"))
        }
    }
}

#[test]
fn a_hot_account_that_begins_everywhere_at_once_stays_within_its_rate() {
    let calm = [6, 6, 6];
    let hot = [150, 150, 150];
    let passed = play([calm, hot, hot], None);
    assert!(f64::from(most(&passed)) <= bound());
}

#[test]
fn an_account_within_its_rate_is_served() {
    for loads in [[16, 16, 16], [40, 4, 4], [2, 44, 2]] {
        let passed: u32 = play([loads; 3], None)[400..].iter().sum();
        let asked: u32 = loads.iter().map(|l| u32::from(*l)).sum::<u32>() * 8;
        assert!(f64::from(passed) >= f64::from(asked) * 0.97, "{loads:?}");
    }
}

#[test]
fn a_restart_of_all_instances_brings_no_second_burst() {
    for restart in [450, 600, 800] {
        let hot = [200, 200, 200];
        let passed = play_with_restart([hot; 3], None, restart);
        let most = f64::from(most(&passed));
        assert!(most <= bound(), "restart at {restart}: {most}");
    }
}

// Failed before instances began with tokens: of the first second after a start
// a third was refused, within the rate.
#[test]
fn an_account_within_its_rate_is_served_from_the_start() {
    let passed = play([[14, 14, 14]; 3], None);
    let first: u32 = passed[..100].iter().sum();
    assert!(f64::from(first) >= 42.0 * 0.9, "{first} of 42");
}

// On the grown deployments 8% of all requests were refused as over the rate,
// nearly all of them of accounts that asked for half of it: a share of one
// request in a second or two does not carry two that come at once.
#[test]
fn an_account_within_its_rate_is_served_by_a_large_fleet() {
    let counts = ask_for_half(11, 400..1_200, |_, _| ());
    assert!(counts.part() >= 0.97, "{counts:?}");
}

#[test]
fn an_account_that_begins_everywhere_in_a_large_fleet_stays_within_its_rate() {
    for load in [2, 20] {
        let mut crowd = fleet();
        let count = |turn: usize| {
            if turn < 500 {
                0
            } else {
                (turn + 1) * load / 100 - turn * load / 100
            }
        };
        let passed: Vec<u32> = (0..1_200)
            .map(|turn| turn_of(&mut crowd, turn, (0..63).map(|_| count(turn))))
            .collect();
        let most = f64::from(most(&passed));
        assert!(most <= bound(), "{load} a second at each instance: {most}");
    }
}

// The relay of a domain dies, and its instances ask in vain for a while.
#[test]
fn a_large_fleet_serves_an_account_within_its_rate_although_relays_die() {
    let counts = ask_for_half(12, 400..1_200, |crowd, turn| {
        if turn == 600 {
            crowd.cut = vec![crowd.relay_of("north-a"), crowd.relay_of("south-b")];
        }
    });
    assert!(counts.part() >= 0.95, "{counts:?}");
}

// A relay that falls silent, and callers that leave while a token is asked for.
#[test]
fn a_request_for_which_no_token_is_lent_ends_soon_and_truly() {
    let mut crowd = fleet();
    for turn in 0..400 {
        turn_of(&mut crowd, turn, std::iter::empty());
    }
    crowd.cut = vec![crowd.relay_of("north-a")];
    let near = |at: &usize| crowd.members[*at].entry.domain.as_str() == "north-a";
    let at = (0..63).filter(near).find(|at| !crowd.cut.contains(at));
    let at = at.unwrap();
    let ids: Vec<RequestId> = (0..6)
        .map(|_| crowd.rigs[at].ask("/bids/1", None))
        .collect();
    crowd.collect(at);
    crowd.step(at, Event::Left(ids[5]));
    crowd.refused.clear();
    let sent = crowd.forwarded.len();
    for turn in 400..415 {
        turn_of(&mut crowd, turn, std::iter::empty());
    }
    let refused: Vec<RequestId> = crowd.refused.iter().map(|row| row.1).collect();
    assert_eq!(refused, ids[sent..5], "each but the one whose caller left");
    for (_, _, refusal) in &crowd.refused {
        assert_eq!(refusal.status(), 429);
        assert!(!refusal.may_have_run && refusal.retry_after.is_some());
    }
}

// What a hot account costs the relay is bounded, however hot it is.
#[test]
fn an_instance_that_was_told_that_there_is_no_token_does_not_ask_again_at_once() {
    let mut crowd = fleet();
    let hot = |turn: usize| if turn < 400 { 0 } else { 3 };
    for turn in 0..1_000 {
        turn_of(&mut crowd, turn, (0..63).map(|_| hot(turn)));
    }
    // An answer takes two turns, after which an instance waits for two more.
    let most = 63 * 600 * 3 * 2 / 4;
    assert!(
        crowd.asks > 0 && crowd.asks <= most,
        "{} of {most}",
        crowd.asks
    );
}

#[test]
fn a_restart_of_a_large_fleet_brings_no_second_burst() {
    for (load, restart) in [(20, 450), (20, 600), (5, 700)] {
        let mut crowd = fleet();
        let count = |turn: usize| (turn + 1) * load / 100 - turn * load / 100;
        let mut passed = Vec::new();
        for turn in 0..1_200 {
            if turn == restart {
                crowd.restart(at(turn), plan);
            }
            passed.push(turn_of(&mut crowd, turn, (0..63).map(|_| count(turn))));
        }
        let most = f64::from(most(&passed));
        assert!(
            most <= bound(),
            "{load} a second, restart at {restart}: {most}"
        );
    }
}

// Where requests waited for 0.4 s only until a relay was known, 8 of 63 were
// refused.
#[test]
fn a_large_fleet_serves_an_account_within_its_rate_from_the_start() {
    let counts = ask_for_half(13, 0..200, |_, _| ());
    assert!(counts.part() >= 0.9, "{counts:?}");
}
