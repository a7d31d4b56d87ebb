//! Idempotency keys in the format that instances accept.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The version bits of a UUID of version 7.
const VERSION: u64 = 0x7000;

/// The variant bits of a UUID.
const VARIANT: u64 = 0x8000_0000_0000_0000;

/// Builds a UUID of version 7 from the current time and random bits.
pub fn request_key(random: u64) -> String {
    let span = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = span.unwrap_or_default().as_millis() as u64;
    let middle = VERSION | (random >> 52);
    let low = VARIANT | (random & (VARIANT / 2 - 1));
    let (time, rest) = (millis >> 16, millis & 0xffff);
    let (variant, node) = (low >> 48, low & 0xffff_ffff_ffff);
    format!("{time:08x}-{rest:04x}-{middle:04x}-{variant:04x}-{node:012x}")
}
