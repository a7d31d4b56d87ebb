//! Selects the instances that watch the platform, by rendezvous hashing.

use corianderway_model::InstanceId;
use corianderway_model::Region;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of instances in each region that watch the platform.
pub const WATCHERS_PER_REGION: usize = 2;

/// Returns whether `own` is among the watchers of its region.
///
/// Every instance ranks the given members of its region by a hash of their
/// identities, so instances that see the same members agree without an
/// election, and the next in rank replaces one that leaves. While views differ
/// there may be more or fewer watchers, which costs extra calls or a delay and
/// nothing else.
pub fn is_watcher<'m>(
    own: &InstanceId,
    region: &Region,
    members: impl IntoIterator<Item = (&'m InstanceId, &'m Region)>,
) -> bool {
    let own_rank = (weight(own), own);
    let higher = members
        .into_iter()
        .filter(|(id, at)| *at == region && *id != own && (weight(id), *id) > own_rank);
    higher.count() < WATCHERS_PER_REGION
}

/// Returns whether `own` ranks highest of all members, and so is the one that
/// removes old claims.
pub fn is_sweeper<'m>(own: &InstanceId, members: impl IntoIterator<Item = &'m InstanceId>) -> bool {
    let own_rank = (weight(own), own);
    members.into_iter().all(|id| (weight(id), id) <= own_rank)
}

/// Returns the weight by which instances are ranked; the highest are selected.
pub(crate) fn weight(id: &InstanceId) -> u64 {
    xxh3_64_with_seed(id.as_str().as_bytes(), HASH_SEED)
}

/// The hash seed, which makes the ranking independent of other uses of the hash.
const HASH_SEED: u64 = 0x7761_7463;
