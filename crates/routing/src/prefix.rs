//! Prefixes of client addresses.

use std::fmt;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;

use snafu::ensure;
use snafu::OptionExt;

use crate::error::Error;
use crate::error::HostBitsSnafu;
use crate::error::PrefixSnafu;

const V4_BITS: u32 = 32;
// An IPv6 client has a whole /64, so no longer prefix is accepted.
const V6_BITS: u32 = 64;

/// A prefix of client addresses: IPv4 up to /32, or IPv6 up to /64.
///
/// No bit past the length is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prefix {
    family: Family,
    // The leading 64 bits of the address; an IPv4 address is in the upper half.
    start: u64,
    length: u8,
}

/// An address family.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Family {
    /// IPv4.
    V4,
    /// IPv6.
    V6,
}

impl Prefix {
    /// Returns the family of its addresses.
    pub fn family(self) -> Family {
        self.family
    }

    /// Returns the number of leading bits that its addresses share.
    pub fn length(self) -> u8 {
        self.length
    }

    /// Returns whether it contains an address. An IPv4-mapped IPv6 address counts as
    /// IPv4.
    pub fn contains(self, addr: IpAddr) -> bool {
        let (family, leading) = leading_bits(addr);
        family == self.family && leading & mask(self.length) == self.start
    }

    pub(crate) fn start(self) -> u64 {
        self.start
    }
}

impl TryFrom<&str> for Prefix {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        let (prefix, addr) = parse(text).context(PrefixSnafu { text })?;
        let bits = match prefix.family {
            Family::V4 => V4_BITS,
            Family::V6 => V6_BITS,
        };
        let is_short_enough = u32::from(prefix.length) <= bits;
        ensure!(is_short_enough, PrefixSnafu { text });
        let low_bits = match addr {
            IpAddr::V4(_) => 0,
            IpAddr::V6(addr) => addr.to_bits() as u64,
        };
        let is_clear = prefix.start & !mask(prefix.length) == 0 && low_bits == 0;
        ensure!(is_clear, HostBitsSnafu { text });
        Ok(prefix)
    }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let addr = match self.family {
            Family::V4 => IpAddr::V4(Ipv4Addr::from_bits((self.start >> V4_BITS) as u32)),
            Family::V6 => IpAddr::V6(Ipv6Addr::from_bits(u128::from(self.start) << V6_BITS)),
        };
        write!(f, "{addr}/{}", self.length)
    }
}

fn parse(text: &str) -> Option<(Prefix, IpAddr)> {
    let (addr, length) = text.split_once('/')?;
    let addr: IpAddr = addr.parse().ok()?;
    let (family, start) = match addr {
        IpAddr::V4(_) => leading_bits(addr),
        IpAddr::V6(addr) => (Family::V6, (addr.to_bits() >> V6_BITS) as u64),
    };
    let length = length.parse().ok()?;
    let prefix = Prefix {
        family,
        start,
        length,
    };
    Some((prefix, addr))
}

/// Returns the family of an address and its leading 64 bits. An IPv4 address is in
/// the upper half, and an IPv4-mapped IPv6 address counts as IPv4.
pub(crate) fn leading_bits(addr: IpAddr) -> (Family, u64) {
    match addr.to_canonical() {
        IpAddr::V4(addr) => (Family::V4, u64::from(addr.to_bits()) << V4_BITS),
        IpAddr::V6(addr) => (Family::V6, (addr.to_bits() >> V6_BITS) as u64),
    }
}

/// Returns the mask of a prefix of this length.
pub(crate) const fn mask(length: u8) -> u64 {
    match u64::MAX.checked_shl(u64::BITS - length as u32) {
        Some(mask) => mask,
        None => 0,
    }
}
