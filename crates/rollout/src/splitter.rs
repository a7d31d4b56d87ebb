//! Splitting requests between two versions without ever passing the share.

use crate::share::Share;

/// One request, in the units of the credit counter.
const REQUEST: u64 = Share::ONE.parts() as u64;
/// The most requests the new version may be owed.
const BURST: u64 = 4;
/// How much likelier than its share a request is tried for the new version,
/// so that the credit is used up in spite of the coin.
const EAGERNESS: f64 = 1.5;

/// The version that takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arm {
    /// The version in service before the move.
    Old,
    /// The version that takes over.
    New,
}

/// Counts what one instance may still send to the new version.
///
/// Of any `n` requests in a row at one share, the new version takes at most
/// `n * share + 4`.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    credit: u64,
}

impl Splitter {
    /// Picks the version for one request; `draw` is uniform over all of `u64`.
    pub fn choose(&mut self, share: Share, draw: u64) -> Arm {
        if share == Share::ZERO {
            self.credit = 0;
            return Arm::Old;
        }
        let earned = self.credit + u64::from(share.parts());
        self.credit = earned.min(BURST * REQUEST);
        if self.credit >= REQUEST && tried(share, draw) {
            self.credit -= REQUEST;
            return Arm::New;
        }
        Arm::Old
    }
}

fn tried(share: Share, draw: u64) -> bool {
    let chance = (share.ratio() * EAGERNESS).min(1.0);
    (draw as f64) <= chance * u64::MAX as f64
}
