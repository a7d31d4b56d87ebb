//! Selects the owners of a limit by rendezvous hashing.

use corianderway_model::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

use crate::epoch::Epoch;
use crate::epoch::MAX_OWNERS;
use crate::share::Share;

/// The members of an epoch and their hashes.
#[derive(Clone, Debug)]
pub(crate) struct Ranking {
    // In the order of the epoch's members.
    members: Vec<InstanceId>,
    keys: Vec<u64>,
    own_key: Option<u64>,
}

impl Ranking {
    pub(crate) fn new(epoch: &Epoch, own_id: &InstanceId) -> Self {
        let key = |id: &InstanceId| xxh3_64(id.as_str().as_bytes());
        Self {
            members: epoch.members().to_vec(),
            keys: epoch.members().iter().map(key).collect(),
            own_key: epoch.contains(own_id).then(|| key(own_id)),
        }
    }

    /// This instance's floor of a limit. Does not allocate.
    pub(crate) fn floor(&self, limit: u64) -> Share {
        let Some(own_key) = self.own_key else {
            return Share::NONE;
        };
        let score = mix(limit ^ own_key);
        let ranks_before = |key: &&u64| mix(limit ^ **key) < score;
        if self.keys.len() > MAX_OWNERS
            && self.keys.iter().filter(ranks_before).count() >= MAX_OWNERS
        {
            return Share::NONE;
        }
        self.owner_floor()
    }

    /// The floor of each owner of a limit.
    pub(crate) fn owner_floor(&self) -> Share {
        let owners = self.members.len().clamp(1, MAX_OWNERS);
        Share::new(Share::WHOLE.get() / owners as u64)
    }

    /// The index at which an instance starts in a list of owners.
    pub(crate) fn start_index(id: &InstanceId, owners: usize) -> usize {
        (xxh3_64(id.as_str().as_bytes()) % owners.max(1) as u64) as usize
    }

    /// The owners of a limit, best rank first.
    pub(crate) fn owners(&self, limit: u64) -> Vec<InstanceId> {
        let mut ranked: Vec<_> = (self.keys.iter().enumerate())
            .map(|(index, key)| (mix(limit ^ key), index))
            .collect();
        if ranked.len() > MAX_OWNERS {
            ranked.select_nth_unstable(MAX_OWNERS - 1);
            ranked.truncate(MAX_OWNERS);
        }
        ranked.sort_unstable();
        ranked
            .iter()
            .map(|&(_, index)| self.members[index].clone())
            .collect()
    }
}

// The finalizer of SplitMix64.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
