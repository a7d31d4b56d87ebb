//! Weighted rendezvous hashing.
//!
//! Each candidate wins a share of the keys equal to its share of the weights, and
//! a change of one weight moves keys only to or from that candidate.

use xxhash_rust::xxh3::xxh3_64;

use crate::hash;

/// Hashes the bytes of a name or a key.
pub(crate) fn hash_bytes(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns a uniform pseudo-random number for a candidate and a key, above 0 and
/// below 1.
pub(crate) fn uniform(key: u64, candidate: u64) -> f64 {
    let mixed = hash::mix(key ^ candidate.rotate_left(u64::BITS / 2));
    hash::unit(mixed).max(f64::MIN_POSITIVE)
}

/// Returns the score of a candidate for a key; the highest wins.
pub(crate) fn score(key: u64, candidate: u64, weight: f64) -> f64 {
    if weight > 0.0 {
        -weight / uniform(key, candidate).ln()
    } else {
        0.0
    }
}

/// Returns the index of the candidate with the highest score, or `None` if no
/// weight is above zero.
pub(crate) fn best(key: u64, candidates: impl Iterator<Item = (u64, f64)>) -> Option<usize> {
    let mut best = None;
    let mut highest = 0.0;
    for (index, (candidate, weight)) in candidates.enumerate() {
        let score = score(key, candidate, weight);
        if score > highest {
            (best, highest) = (Some(index), score);
        }
    }
    best
}
