//! Merging of reports, and the error rates of the judgement.

use std::time::Duration;

use corianderway_model::Time;
use corianderway_rollout::Arm;
use corianderway_rollout::Judge;
use corianderway_rollout::MoveKey;
use corianderway_rollout::Outcome;
use corianderway_rollout::Report;
use corianderway_rollout::Terms;
use corianderway_rollout::MAX_ROUTES;
use corianderway_rollout::PASS_ERROR;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

const MARGIN: f64 = 0.05;

fn judge() -> Judge {
    let terms = Terms {
        margin: MARGIN,
        span: Duration::from_mins(10),
        warm: Time::ZERO,
    };
    Judge::new(terms, Time::ZERO)
}

fn report(instance: &str) -> Report {
    let key = MoveKey {
        service: "finder".try_into().unwrap(),
        to: "v2".try_into().unwrap(),
        started: 0,
    };
    Report::new(key, instance.try_into().unwrap())
}

// Reports of one instance: in each, 19 old requests and one new one.
fn reports(seed: u64, steps: u64, old: f64, new: f64) -> Vec<Report> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut report = report("entry-1");
    let route = "find".try_into().unwrap();
    let step = |sequence| {
        for request in 0..20 {
            let (arm, bad) = match request {
                0 => (Arm::New, new),
                _ => (Arm::Old, old),
            };
            let latency = Duration::from_millis(rng.random_range(10..30));
            let outcome = if rng.random_bool(bad) {
                Outcome::Failed
            } else {
                Outcome::Answered(latency)
            };
            report.count(&route, arm, outcome);
        }
        report.sequence = sequence;
        report.clone()
    };
    (1..=steps).map(step).collect()
}

fn judged(reports: &[Report]) -> Judge {
    let mut judge = judge();
    for (second, report) in reports.iter().enumerate() {
        judge.take(Time::from_millis(second as u64 * 1000), report);
    }
    judge
}

/// Runs properties on arguments from a seed, which `ROLLOUT_SEED` replaces.
macro_rules! properties {
    ($($(#[$doc:meta])* fn $name:ident($($arg:ident: $kind:ty),*) -> bool $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            fn property($($arg: $kind),*) -> bool $body
            let seed = std::env::var("ROLLOUT_SEED").map_or(41, |s| s.parse().unwrap());
            println!("seed {seed}");
            let draws = Gen::from_size_and_seed(100, seed);
            let property: fn($($kind),*) -> bool = property;
            QuickCheck::new().rng(draws).quickcheck(property);
        }
    )*};
}

properties! {
    // A judge that hears reports twice and out of order sums up the same.
    fn repeated_and_late_reports_change_nothing(seed: u64, order: Vec<u8>) -> bool {
        let all = reports(seed, 40, 0.02, 0.02);
        let mut judge = judged(&all);
        let before = judge.evidence();
        for index in order {
            judge.take(Time::from_millis(60_000), &all[usize::from(index) % all.len()]);
        }
        judge.evidence() == before
    }

    fn lost_reports_lose_no_request(seed: u64, kept: Vec<bool>) -> bool {
        let all = reports(seed, 40, 0.02, 0.02);
        let mut flags = kept.into_iter().chain(std::iter::repeat(true));
        // The first tells the judge where to begin.
        let some: Vec<Report> = all
            .iter()
            .enumerate()
            .filter(|(at, _)| flags.next() == Some(true) || *at == 0 || *at == 39)
            .map(|(_, r)| r.clone())
            .collect();
        judged(&some).evidence().new_total == 40
    }
}

#[test]
fn a_faulty_version_is_condemned_by_few_requests_and_a_good_one_by_none() {
    let first = |seed, bad| {
        let all = reports(seed, 600, 0.005, bad);
        (1..=600).find(|n| judged(&all[..*n]).condemned().is_some())
    };
    for seed in 0..3 {
        assert!(first(seed, 0.5).is_some_and(|n| n < 60), "seed {seed}");
    }
    let condemned = |seed| judged(&reports(seed, 600, 0.02, 0.02)).condemned();
    assert!((0..40).all(|seed| condemned(seed).is_none()));
}

// What both versions suffer is no evidence against the new one.
#[test]
fn a_shared_fault_condemns_nobody_and_proves_nothing_quickly() {
    for seed in 0..20 {
        let judge = judged(&reports(seed, 300, 0.4, 0.4));
        assert_eq!(judge.condemned(), None, "seed {seed}");
    }
}

// Versions that are worse by the margin pass at half of the stated rate, which
// is what the test itself may use, within three standard deviations.
#[test]
fn a_version_at_the_margin_rarely_passes() {
    const SEEDS: u64 = 300;
    let passes = |seed: &u64| {
        let all = reports(*seed, 400, 0.01, 0.01 + MARGIN);
        let mut judge = judge();
        all.iter().enumerate().any(|(second, report)| {
            judge.take(Time::from_millis(second as u64 * 1000), report);
            judge.is_proven(PASS_ERROR) && judge.condemned().is_none()
        })
    };
    let passed = (0..SEEDS).filter(passes).count() as f64;
    let mean = SEEDS as f64 * PASS_ERROR / 2.0;
    assert!(passed <= mean + 3.0 * mean.sqrt(), "{passed} of {SEEDS}");
}

#[test]
fn few_samples_neither_condemn_nor_pass() {
    let judge = judged(&reports(1, 30, 0.005, 0.005));
    assert!(!judge.is_proven(PASS_ERROR));
    let mut unlucky = report("entry-1");
    let route = "find".try_into().unwrap();
    for _ in 0..38 {
        let answered = Outcome::Answered(Duration::from_millis(20));
        unlucky.count(&route, Arm::Old, answered);
    }
    unlucky.count(&route, Arm::New, Outcome::Failed);
    unlucky.count(&route, Arm::New, Outcome::Failed);
    unlucky.sequence = 1;
    assert_eq!(judged(&[unlucky]).condemned(), None);
}

#[test]
fn routes_beyond_the_bound_share_a_tally() {
    let mut report = report("entry-1");
    for n in 0..100 {
        let route = format!("route-{n}").try_into().unwrap();
        report.count(&route, Arm::New, Outcome::Failed);
    }
    assert_eq!(report.routes.len(), MAX_ROUTES);
    let total: u64 = report.routes.iter().map(|r| r.new.total).sum();
    assert_eq!(total, 100);
}

#[test]
fn reports_travel_as_json() {
    let report = reports(1, 3, 0.1, 0.1).pop().unwrap();
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<Report>(&text).unwrap(), report);
}
