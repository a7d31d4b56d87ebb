//! The bound on a version's share, over any run of requests.

use corianderway_rollout::Arm;
use corianderway_rollout::Share;
use corianderway_rollout::Splitter;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

/// Requests beyond the share that the new version may get.
const BURST: u64 = 4;

fn arms(parts: u32, draws: impl Iterator<Item = u64>) -> Vec<Arm> {
    let mut splitter = Splitter::default();
    draws
        .map(|draw| splitter.choose(Share::from(parts), draw))
        .collect()
}

fn count(arms: &[Arm]) -> u64 {
    arms.iter().filter(|arm| **arm == Arm::New).count() as u64
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
    fn no_run_of_requests_passes_the_share(parts: u32, draws: Vec<u64>) -> bool {
        let parts = parts % (Share::ONE.parts() + 1);
        let arms = arms(parts, draws.into_iter());
        (0..arms.len()).all(|from| {
            let run = &arms[from..];
            let bound = run.len() as u64 * u64::from(parts) / u64::from(Share::ONE.parts());
            count(run) <= bound + BURST + 1
        })
    }

    fn the_share_is_used_up(seed: u64, parts: u32) -> bool {
        let parts = parts % (Share::ONE.parts() + 1);
        let mut rng = SmallRng::seed_from_u64(seed);
        let n = 20_000_u32;
        let got = count(&arms(parts, (0..n).map(|_| rng.random()))) as f64;
        let owed = f64::from(n) * Share::from(parts).ratio();
        got <= owed + 1.0 && got >= owed * 0.9 - 20.0
    }
}

#[test]
fn a_coin_that_always_falls_to_the_new_version_is_bounded() {
    let new = count(&arms(50_000, std::iter::repeat_n(0, 10_000)));
    assert!((495..=500).contains(&new), "{new}");
}

#[test]
fn no_share_means_no_request_and_no_credit_left_over() {
    let mut splitter = Splitter::default();
    for _ in 0..100 {
        splitter.choose(Share::from_ratio(0.05), u64::MAX);
    }
    assert_eq!(splitter.choose(Share::ZERO, 0), Arm::Old);
    assert_eq!(splitter.choose(Share::from_ratio(0.5), 0), Arm::Old);
}
