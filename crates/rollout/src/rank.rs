//! The order in which instances act, computed alike by all of them.

use std::time::Duration;

use corianderway_model::InstanceId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How many instances of those before one in the order it waits for.
const MOST_WAITED: usize = 8;

/// The place of an instance in the rendezvous order for a subject.
///
/// An instance that is not in `live` comes after all that are. `live` is sorted.
pub(crate) fn rank(subject: &str, own: &InstanceId, live: &[InstanceId]) -> usize {
    let weight = |id: &InstanceId| {
        let seed = xxh3_64_with_seed(subject.as_bytes(), 0);
        xxh3_64_with_seed(id.as_str().as_bytes(), seed)
    };
    if live.binary_search(own).is_err() {
        return live.len();
    }
    let mine = (weight(own), own);
    live.iter().filter(|id| (weight(id), *id) > mine).count()
}

/// How long an instance lets those before it act first.
pub(crate) fn delay(rank: usize, stagger: Duration) -> Duration {
    stagger * rank.min(MOST_WAITED) as u32
}
