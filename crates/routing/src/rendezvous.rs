//! Weighted rendezvous hashing.
//!
//! Each candidate wins a part of all keys equal to its part of all weights,
//! and a change of one weight moves keys only to or from that candidate.

use xxhash_rust::xxh3::xxh3_64;

use crate::hash;

/// The hash of a name or a key.
pub(crate) fn of_bytes(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// The draw of a candidate for a key, from above 0 up to 1.
pub(crate) fn draw(key: u64, candidate: u64) -> f64 {
    let drawn = hash::mix(key ^ candidate.rotate_left(u64::BITS / 2));
    hash::unit(drawn).max(f64::MIN_POSITIVE)
}

/// The score of a candidate for a key; the highest wins.
pub(crate) fn score(key: u64, candidate: u64, weight: f64) -> f64 {
    if weight > 0.0 {
        -weight / draw(key, candidate).ln()
    } else {
        0.0
    }
}

/// The place of the candidate with the highest score, of those above zero.
pub(crate) fn best(key: u64, candidates: impl Iterator<Item = (u64, f64)>) -> Option<usize> {
    let mut best = None;
    let mut highest = 0.0;
    for (at, (candidate, weight)) in candidates.enumerate() {
        let score = score(key, candidate, weight);
        if score > highest {
            (best, highest) = (Some(at), score);
        }
    }
    best
}
