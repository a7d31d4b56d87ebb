//! Helpers shared by the tests of this package.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::env;
use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Presence;
use corianderway_model::Priority;
use corianderway_routing::Query;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

/// The environment variable that sets the seed of every property.
pub const SEED_VAR: &str = "ROUTING_SEED";
const DEFAULT_SEED: u64 = 41;
const INPUT_SIZE: usize = 120;

/// Checks a property with the seed from [`SEED_VAR`] or the default, and prints
/// the seed.
pub fn check(tests: u64, property: impl Testable) {
    let text = env::var(SEED_VAR).ok();
    let seed = text.map_or(DEFAULT_SEED, |s| s.parse().expect("a seed is a number"));
    println!("{SEED_VAR}={seed}");
    let generator = Gen::from_size_and_seed(INPUT_SIZE, seed);
    QuickCheck::new()
        .rng(generator)
        .tests(tests)
        .quickcheck(property);
}

/// Returns a backend server of service `finder` in region `north`.
pub fn backend(number: usize) -> Backend {
    let side = if number.is_multiple_of(2) { "a" } else { "b" };
    backend_in(number, "north", side)
}

/// Returns a backend server of service `finder` in a region and one of its failure
/// domains.
pub fn backend_in(number: usize, region: &str, side: &str) -> Backend {
    Backend {
        id: format!("finder-{number}").try_into().unwrap(),
        addr: format!("10.0.{}.{}:80", number / 250, number % 250)
            .parse()
            .unwrap(),
        service: "finder".try_into().unwrap(),
        version: "v1".try_into().unwrap(),
        region: region.try_into().unwrap(),
        domain: format!("{region}-{side}").try_into().unwrap(),
        slots: 4,
        presence: Presence::Live,
    }
}

/// Returns an urgent query for the service and region of a backend server.
pub fn query(backend: &Backend) -> Query<'_> {
    Query {
        service: &backend.service,
        home: &backend.region,
        versions: &[],
        priority: Priority::Urgent,
        remaining: Duration::from_secs(2),
        tried: &[],
    }
}
