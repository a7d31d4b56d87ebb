//! Hashes for draws and for rendezvous hashing.

// The finaliser of splitmix64.
const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
const MIX_A: u64 = 0xbf58_476d_1ce4_e5b9;
const MIX_B: u64 = 0x94d0_49bb_1331_11eb;
// Bits of a draw that a float holds exactly.
const FLOAT_BITS: u32 = 53;

/// Turns one number into another that looks unrelated to it.
pub(crate) const fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(GOLDEN);
    z = (z ^ (z >> 30)).wrapping_mul(MIX_A);
    z = (z ^ (z >> 27)).wrapping_mul(MIX_B);
    z ^ (z >> 31)
}

/// A place below `count`, which must be above zero.
pub(crate) fn place(draw: u64, count: usize) -> usize {
    ((u128::from(draw) * count as u128) >> 64) as usize
}

/// A number from 0 up to 1.
pub(crate) fn unit(draw: u64) -> f64 {
    (draw >> (u64::BITS - FLOAT_BITS)) as f64 / (1_u64 << FLOAT_BITS) as f64
}
