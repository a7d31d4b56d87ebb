//! Which instances watch the platform, without an election.

use corianderway_model::InstanceId;
use corianderway_model::Region;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Instances in each region that watch the platform.
pub const WATCHERS_PER_REGION: usize = 2;

/// Whether `own` is among the watchers of its region.
///
/// Every instance ranks the live members of its region by a hash (rendezvous
/// hashing), so instances with the same members agree, and one that leaves
/// is replaced by the next. While views differ there are more watchers or
/// fewer for a moment, which costs calls or a delay and nothing else.
pub fn is_watcher<'m>(
    own: &InstanceId,
    region: &Region,
    members: impl IntoIterator<Item = (&'m InstanceId, &'m Region)>,
) -> bool {
    let mine = (weight(own), own);
    let ahead = members
        .into_iter()
        .filter(|(id, at)| *at == region && *id != own && (weight(id), *id) > mine);
    ahead.count() < WATCHERS_PER_REGION
}

/// Whether `own` is the one instance that removes old claims.
pub fn is_sweeper<'m>(own: &InstanceId, members: impl IntoIterator<Item = &'m InstanceId>) -> bool {
    let mine = (weight(own), own);
    members.into_iter().all(|id| (weight(id), id) <= mine)
}

/// The rank of an instance among those of its region; the highest watch.
pub(crate) fn weight(id: &InstanceId) -> u64 {
    xxh3_64_with_seed(id.as_str().as_bytes(), SEED)
}

/// Keeps the ranking apart from other uses of the hash.
const SEED: u64 = 0x7761_7463;
