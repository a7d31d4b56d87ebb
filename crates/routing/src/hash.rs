//! A mixing function for pseudo-random choices and for rendezvous hashing.

// Constants of splitmix64: the increment and the multipliers of its finaliser.
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
const MULTIPLIER_A: u64 = 0xbf58_476d_1ce4_e5b9;
const MULTIPLIER_B: u64 = 0x94d0_49bb_1331_11eb;
// Number of bits that an f64 represents exactly.
const FLOAT_BITS: u32 = 53;

/// Returns the splitmix64 output for `value`, a bijection with well mixed bits.
pub(crate) const fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(INCREMENT);
    z = (z ^ (z >> 30)).wrapping_mul(MULTIPLIER_A);
    z = (z ^ (z >> 27)).wrapping_mul(MULTIPLIER_B);
    z ^ (z >> 31)
}

/// Maps a random number to an index below `count`, which must be above zero.
pub(crate) fn index_below(random: u64, count: usize) -> usize {
    ((u128::from(random) * count as u128) >> 64) as usize
}

/// Maps a random number to a float from 0 to 1, without 1.
pub(crate) fn unit(random: u64) -> f64 {
    (random >> (u64::BITS - FLOAT_BITS)) as f64 / (1_u64 << FLOAT_BITS) as f64
}
