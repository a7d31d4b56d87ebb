//! Promises not to vouch for the current epoch.

/// The promises of one instance about the current epoch, by proposal.
///
/// A promise may be withdrawn only when its proposal can no longer be written.
/// It is never given again after that.
#[derive(Debug, Default)]
pub(crate) struct Promises {
    given: Vec<u64>,
    withdrawn: Vec<u64>,
}

impl Promises {
    pub(crate) fn any(&self) -> bool {
        !self.given.is_empty()
    }

    /// Gives a promise. Returns false if it was withdrawn.
    pub(crate) fn give(&mut self, nonce: u64) -> bool {
        if self.withdrawn.contains(&nonce) {
            return false;
        }
        if !self.given.contains(&nonce) {
            self.given.push(nonce);
        }
        true
    }

    pub(crate) fn withdraw(&mut self, nonce: u64) {
        self.given.retain(|given| *given != nonce);
        if !self.withdrawn.contains(&nonce) {
            self.withdrawn.push(nonce);
        }
    }
}
