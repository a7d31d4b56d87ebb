//! Which members are the homes of a limit.

use corianderway_model::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

use crate::epoch::Epoch;
use crate::epoch::HOMES;
use crate::parts::Parts;

/// An epoch's members with their hashes, for rendezvous hashing.
#[derive(Clone, Debug)]
pub(crate) struct Ranking {
    // Sorted as the epoch's members.
    members: Vec<InstanceId>,
    keys: Vec<u64>,
    own: Option<u64>,
}

impl Ranking {
    pub(crate) fn new(epoch: &Epoch, me: &InstanceId) -> Self {
        let key = |id: &InstanceId| xxh3_64(id.as_str().as_bytes());
        Self {
            members: epoch.members().to_vec(),
            keys: epoch.members().iter().map(key).collect(),
            own: epoch.has(me).then(|| key(me)),
        }
    }

    /// The floor of this instance in a limit; allocation free.
    pub(crate) fn floor(&self, limit: u64) -> Parts {
        let Some(own) = self.own else {
            return Parts::NONE;
        };
        let score = mix(limit ^ own);
        let ahead = |key: &&u64| mix(limit ^ **key) < score;
        if self.keys.len() > HOMES && self.keys.iter().filter(ahead).count() >= HOMES {
            return Parts::NONE;
        }
        self.whole_floor()
    }

    /// The floor of each home.
    pub(crate) fn whole_floor(&self) -> Parts {
        let homes = self.members.len().clamp(1, HOMES);
        Parts::new(Parts::WHOLE.get() / homes as u64)
    }

    /// Where an instance begins in a list of homes.
    pub(crate) fn start(id: &InstanceId, homes: usize) -> usize {
        (xxh3_64(id.as_str().as_bytes()) % homes.max(1) as u64) as usize
    }

    /// The homes of a limit, best first.
    pub(crate) fn homes(&self, limit: u64) -> Vec<InstanceId> {
        let mut ranked: Vec<_> = (self.keys.iter().enumerate())
            .map(|(at, key)| (mix(limit ^ key), at))
            .collect();
        if ranked.len() > HOMES {
            ranked.select_nth_unstable(HOMES - 1);
            ranked.truncate(HOMES);
        }
        ranked.sort_unstable();
        ranked
            .iter()
            .map(|&(_, at)| self.members[at].clone())
            .collect()
    }
}

// The finaliser of SplitMix64.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
