//! The analysis: how it merges reports, and its error rates.

use std::time::Duration;

use corianderway_model::Time;
use corianderway_rollout::Analysis;
use corianderway_rollout::AnalysisParams;
use corianderway_rollout::Arm;
use corianderway_rollout::MoveKey;
use corianderway_rollout::Outcome;
use corianderway_rollout::Report;
use corianderway_rollout::MAX_ROUTES;
use corianderway_rollout::PASS_ALPHA;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

const MARGIN: f64 = 0.05;

fn analysis() -> Analysis {
    let params = AnalysisParams {
        margin: MARGIN,
        span: Duration::from_mins(10),
        warm: Time::ZERO,
    };
    Analysis::new(params, Time::ZERO)
}

fn report(instance: &str) -> Report {
    let key = MoveKey {
        service: "finder".try_into().unwrap(),
        to: "v2".try_into().unwrap(),
        started: 0,
    };
    Report::new(key, instance.try_into().unwrap())
}

// Returns successive reports of one instance: between two of them, 19 requests at the
// old version and one at the new.
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

fn analyzed(reports: &[Report]) -> Analysis {
    let mut analysis = analysis();
    for (second, report) in reports.iter().enumerate() {
        analysis.apply(Time::from_millis(second as u64 * 1000), report);
    }
    analysis
}

/// Runs each property on arguments from a fixed seed, which `ROLLOUT_SEED` replaces.
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
    // The counts are cumulative, so repeated and late reports must not be added.
    fn repeated_and_late_reports_change_nothing(seed: u64, order: Vec<u8>) -> bool {
        let all = reports(seed, 40, 0.02, 0.02);
        let mut analysis = analyzed(&all);
        let before = analysis.evidence();
        for index in order {
            analysis.apply(Time::from_millis(60_000), &all[usize::from(index) % all.len()]);
        }
        analysis.evidence() == before
    }

    fn lost_reports_lose_no_request(seed: u64, kept: Vec<bool>) -> bool {
        let all = reports(seed, 40, 0.02, 0.02);
        let mut flags = kept.into_iter().chain(std::iter::repeat(true));
        // Without the first report, the next one would be the baseline. The last has all
        // counts.
        let some: Vec<Report> = all
            .iter()
            .enumerate()
            .filter(|(at, _)| flags.next() == Some(true) || *at == 0 || *at == 39)
            .map(|(_, r)| r.clone())
            .collect();
        analyzed(&some).evidence().new_total == 40
    }
}

#[test]
fn a_faulty_version_is_condemned_after_few_requests_and_a_good_one_never() {
    let first = |seed, bad| {
        let all = reports(seed, 600, 0.005, bad);
        (1..=600).find(|n| analyzed(&all[..*n]).condemned().is_some())
    };
    for seed in 0..3 {
        assert!(first(seed, 0.5).is_some_and(|n| n < 60), "seed {seed}");
    }
    let condemned = |seed| analyzed(&reports(seed, 600, 0.02, 0.02)).condemned();
    assert!((0..40).all(|seed| condemned(seed).is_none()));
}

// A fault that both versions have is no evidence against the new one.
#[test]
fn a_fault_of_both_versions_does_not_condemn_the_new_one() {
    for seed in 0..20 {
        let analysis = analyzed(&reports(seed, 300, 0.4, 0.4));
        assert_eq!(analysis.condemned(), None, "seed {seed}");
    }
}

// The test itself may use half of the stated error probability. So a version that is
// worse by the margin passes at most at half the rate, within three standard
// deviations.
#[test]
fn a_version_at_the_margin_rarely_passes() {
    const SEEDS: u64 = 300;
    let passes = |seed: &u64| {
        let all = reports(*seed, 400, 0.01, 0.01 + MARGIN);
        let mut analysis = analysis();
        all.iter().enumerate().any(|(second, report)| {
            analysis.apply(Time::from_millis(second as u64 * 1000), report);
            analysis.is_proven(PASS_ALPHA) && analysis.condemned().is_none()
        })
    };
    let passed = (0..SEEDS).filter(passes).count() as f64;
    let mean = SEEDS as f64 * PASS_ALPHA / 2.0;
    assert!(passed <= mean + 3.0 * mean.sqrt(), "{passed} of {SEEDS}");
}

#[test]
fn few_samples_neither_condemn_nor_pass() {
    let analysis = analyzed(&reports(1, 30, 0.005, 0.005));
    assert!(!analysis.is_proven(PASS_ALPHA));
    let mut unlucky = report("entry-1");
    let route = "find".try_into().unwrap();
    for _ in 0..38 {
        let answered = Outcome::Answered(Duration::from_millis(20));
        unlucky.count(&route, Arm::Old, answered);
    }
    unlucky.count(&route, Arm::New, Outcome::Failed);
    unlucky.count(&route, Arm::New, Outcome::Failed);
    unlucky.sequence = 1;
    assert_eq!(analyzed(&[unlucky]).condemned(), None);
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
fn reports_survive_a_json_round_trip() {
    let report = reports(1, 3, 0.1, 0.1).pop().unwrap();
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<Report>(&text).unwrap(), report);
}
