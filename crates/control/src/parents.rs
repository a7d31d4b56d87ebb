//! Where an instance hears of the platform: a shallow tree without a root to lose.

use std::sync::Arc;

use corianderway_model::Entry;
use corianderway_model::InstanceId;

use crate::member::MemberState;
use crate::watchers::weight;
use crate::watchers::WATCHERS_PER_REGION;

/// How many more instances the next level of the tree has.
const LEVEL_FACTOR: usize = 8;

/// The instances of the region on the level above `own`; none for a watcher.
///
/// The region's live instances are ranked by the hash that also chooses the
/// watchers. The first level are the watchers, and each further level is
/// eight times as large as the one above.
pub(crate) fn of<'m>(
    own: &Entry,
    members: impl Iterator<Item = (&'m Arc<Entry>, MemberState)>,
) -> Vec<InstanceId> {
    let near =
        members.filter(|(e, state)| e.region == own.region && *state <= MemberState::Leaving);
    let mut ranked = near
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
        end *= LEVEL_FACTOR;
    }
    above
}
