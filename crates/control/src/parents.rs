//! The instances from which an instance learns how recent the platform's data is.
//!
//! The instances of a region form a shallow tree. Its top level are all
//! watchers of the region, so that no single root can fail.

use std::sync::Arc;

use corianderway_model::Entry;
use corianderway_model::InstanceId;

use crate::member::MemberState;
use crate::watchers::weight;
use crate::watchers::WATCHERS_PER_REGION;

/// The factor by which the ranks covered by the tree grow with each level.
const LEVEL_GROWTH: usize = 8;

/// Returns the instances of the region on the level above `own`; none for a watcher.
///
/// The region's live and leaving instances are ranked by the hash that also
/// selects the watchers. The watchers are the first level, and each further
/// level makes the tree eight times as large.
pub(crate) fn of<'m>(
    own: &Entry,
    members: impl Iterator<Item = (&'m Arc<Entry>, MemberState)>,
) -> Vec<InstanceId> {
    let in_region =
        members.filter(|(e, state)| e.region == own.region && *state <= MemberState::Leaving);
    let mut ranked = in_region
        .map(|(e, _)| (weight(&e.id), &e.id))
        .collect::<Vec<_>>();
    ranked.sort_by(|a, b| b.cmp(a));
    let rank = ranked.iter().position(|(_, id)| **id == own.id);
    let level = rank.map_or(0..0, parent_level);
    let above = ranked.get(level).unwrap_or_default();
    above.iter().map(|(_, id)| (*id).clone()).collect()
}

fn parent_level(rank: usize) -> std::ops::Range<usize> {
    let mut above = 0..0;
    let mut end = WATCHERS_PER_REGION;
    while rank >= end {
        above = above.end..end;
        end *= LEVEL_GROWTH;
    }
    above
}
