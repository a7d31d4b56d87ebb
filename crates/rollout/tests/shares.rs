//! The bounds on the share that the splitter gives the new version.

use corianderway_rollout::Arm;
use corianderway_rollout::Share;
use corianderway_rollout::Splitter;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

/// The maximum of requests that the new version may get beyond its share.
const MAX_EXCESS: u64 = 4;

fn arms(ppm: u32, draws: impl Iterator<Item = u64>) -> Vec<Arm> {
    let mut splitter = Splitter::default();
    draws
        .map(|draw| splitter.choose(Share::from(ppm), draw))
        .collect()
}

fn count(arms: &[Arm]) -> u64 {
    arms.iter().filter(|arm| **arm == Arm::New).count() as u64
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
    fn no_run_of_requests_exceeds_the_share(ppm: u32, draws: Vec<u64>) -> bool {
        let ppm = ppm % (Share::ONE.ppm() + 1);
        let arms = arms(ppm, draws.into_iter());
        (0..arms.len()).all(|from| {
            let run = &arms[from..];
            let bound = run.len() as u64 * u64::from(ppm) / u64::from(Share::ONE.ppm());
            count(run) <= bound + MAX_EXCESS + 1
        })
    }

    fn the_share_is_used_up(seed: u64, ppm: u32) -> bool {
        let ppm = ppm % (Share::ONE.ppm() + 1);
        let mut rng = SmallRng::seed_from_u64(seed);
        let n = 20_000_u32;
        let actual = count(&arms(ppm, (0..n).map(|_| rng.random()))) as f64;
        let expected = f64::from(n) * Share::from(ppm).ratio();
        actual <= expected + 1.0 && actual >= expected * 0.9 - 20.0
    }
}

#[test]
fn a_draw_that_always_allows_the_new_version_is_bounded() {
    let new = count(&arms(50_000, std::iter::repeat_n(0, 10_000)));
    assert!((495..=500).contains(&new), "{new}");
}

#[test]
fn a_zero_share_gets_no_request_and_clears_the_credit() {
    let mut splitter = Splitter::default();
    for _ in 0..100 {
        splitter.choose(Share::from_ratio(0.05), u64::MAX);
    }
    assert_eq!(splitter.choose(Share::ZERO, 0), Arm::Old);
    assert_eq!(splitter.choose(Share::from_ratio(0.5), 0), Arm::Old);
}
