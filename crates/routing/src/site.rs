//! Sites, the blocks of client addresses assigned to them, and the result of a
//! lookup.

use std::sync::Arc;

use corianderway_model::Region;

use crate::prefix::Prefix;

/// A site that serves blocks of client addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Unique name.
    pub name: Arc<str>,
    /// The region of the site.
    pub region: Region,
    /// The share of its own blocks that it serves, 0 to 1; zero when it failed.
    pub keep_share: f64,
    /// Its weight among the sites that serve the remaining blocks of others.
    pub overflow_weight: f64,
}

/// A block of client addresses and the site that it is assigned to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// The addresses of the block.
    pub prefix: Prefix,
    /// The name of the site.
    pub site: Arc<str>,
}

/// The site chosen for an address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteMatch<'l> {
    /// The chosen site.
    pub site: &'l Site,
    /// Why it was chosen.
    pub cause: Cause,
    /// The prefix length of the block; zero if the address is in no block.
    pub length: u8,
}

/// Why a site was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The block is assigned to it.
    Assigned,
    /// The assigned site doesn't serve the block; another one in its region does.
    Moved,
    /// No site in the region of the assigned one serves the block; one in
    /// another region does.
    MovedFar,
    /// The address is in no block.
    Unlisted,
}

impl Cause {
    /// Returns the name of the cause in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Assigned => "assigned",
            Self::Moved => "moved",
            Self::MovedFar => "moved-far",
            Self::Unlisted => "unlisted",
        }
    }
}
