//! Hashes of names and keys, equal on all instances.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the hash of the bytes.
pub(crate) fn of(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the hash of a name shortened to 32 bits, for messages between
/// instances.
pub(crate) fn short(name: &str) -> u32 {
    of(name.as_bytes()) as u32
}

/// Returns the rendezvous hash of a candidate for a key; the highest one wins.
pub(crate) fn rank(key: u64, candidate: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&candidate.to_le_bytes());
    of(&bytes)
}
