//! Sites, the blocks that belong to them, and where an address is placed.

use std::sync::Arc;

use corianderway_model::Region;

use crate::prefix::Prefix;

/// A site that serves blocks of clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Its name.
    pub name: Arc<str>,
    /// Its region.
    pub region: Region,
    /// The part of its own blocks that it keeps, 0 to 1; zero when it failed.
    pub keep: f64,
    /// Its weight among the sites that take blocks which others do not keep.
    pub room: f64,
}

/// A block of clients and the site that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// Its addresses.
    pub prefix: Prefix,
    /// The name of its site.
    pub site: Arc<str>,
}

/// The site chosen for an address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement<'l> {
    /// The site.
    pub site: &'l Site,
    /// Why it was chosen.
    pub cause: Cause,
    /// The length of the block's prefix; zero when no block has the address.
    pub length: u8,
}

/// Why a site was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The block belongs to it.
    Assigned,
    /// The block's own site does not keep it; another of its region does.
    Moved,
    /// No site of the region takes it.
    MovedFar,
    /// No block has the address.
    Unlisted,
}

impl Cause {
    /// The cause as a word for log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Assigned => "assigned",
            Self::Moved => "moved",
            Self::MovedFar => "moved-far",
            Self::Unlisted => "unlisted",
        }
    }
}
