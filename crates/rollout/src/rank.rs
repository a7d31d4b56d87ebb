//! The order in which instances act on a subject; all compute the same one.

use std::time::Duration;

use corianderway_model::InstanceId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The highest rank that the delay grows with.
const MAX_DELAY_RANK: usize = 8;

/// Returns the rank of an instance by rendezvous hashing of a subject, 0 for the first.
///
/// `live` must be sorted. An instance that isn't in it ranks after all that are.
pub(crate) fn rank(subject: &str, own: &InstanceId, live: &[InstanceId]) -> usize {
    let weight = |id: &InstanceId| {
        let seed = xxh3_64_with_seed(subject.as_bytes(), 0);
        xxh3_64_with_seed(id.as_str().as_bytes(), seed)
    };
    if live.binary_search(own).is_err() {
        return live.len();
    }
    let own_weight = (weight(own), own);
    live.iter()
        .filter(|id| (weight(id), *id) > own_weight)
        .count()
}

/// Returns how long an instance waits, so that those with a lower rank act first.
pub(crate) fn delay(rank: usize, stagger: Duration) -> Duration {
    stagger * rank.min(MAX_DELAY_RANK) as u32
}
