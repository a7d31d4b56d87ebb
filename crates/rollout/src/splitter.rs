//! The split of requests between two versions, with a strict bound on the share.

use crate::share::Share;

/// The credit that one request costs.
const REQUEST_CREDIT: u64 = Share::ONE.ppm() as u64;
/// The maximum credit, in requests.
const MAX_CREDIT_REQUESTS: u64 = 4;
/// The factor between the share and the probability that a request may use credit.
/// It is above one so that the credit is used up although requests are drawn at random.
const DRAW_FACTOR: f64 = 1.5;

/// The version that a request is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arm {
    /// The old version.
    Old,
    /// The new version.
    New,
}

/// Picks the version of each request on one instance.
///
/// Each request adds the share to the credit, and a request to the new version costs
/// a credit of one. The credit is bounded, so that it can't pile up: of any `n` successive requests at one share, the new version gets at
/// most `n * share + 4`.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    credit: u64,
}

impl Splitter {
    /// Picks the version of one request; `draw` is uniform over all of `u64`.
    pub fn choose(&mut self, share: Share, draw: u64) -> Arm {
        if share == Share::ZERO {
            self.credit = 0;
            return Arm::Old;
        }
        let earned = self.credit + u64::from(share.ppm());
        self.credit = earned.min(MAX_CREDIT_REQUESTS * REQUEST_CREDIT);
        if self.credit >= REQUEST_CREDIT && is_drawn(share, draw) {
            self.credit -= REQUEST_CREDIT;
            return Arm::New;
        }
        Arm::Old
    }
}

fn is_drawn(share: Share, draw: u64) -> bool {
    let probability = (share.ratio() * DRAW_FACTOR).min(1.0);
    (draw as f64) <= probability * u64::MAX as f64
}
