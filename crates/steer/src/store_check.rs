//! Which kind of object the store is asked for next, and what follows from its answer.
//!
//! A watch that waits for changes can't be told from one that will never be answered. So a
//! cheap call at a short interval asks for the changes of a kind that are not known yet, and
//! is answered at once.

use std::time::Duration;

use crate::revisions::InputKind;
use crate::revisions::Revisions;

/// The interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The number of checks in a row without an answer after which the store is lost. One answer
/// may be lost to the network.
pub const MAX_MISSED: u32 = 2;

/// The kinds that are checked: those whose changes must be in force in time.
const CHECKED_KINDS: [InputKind; 3] = [InputKind::Plan, InputKind::Servers, InputKind::Evacuations];

/// The answer to a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckAnswer {
    /// The store did not answer.
    Missed,
    /// The store answered.
    Told {
        /// The store's revision, of all kinds; 0 if the answer doesn't tell.
        revision: u64,
        /// Whether there are changes of the kind after the revision that was known when it was
        /// asked for, and still is the latest known.
        news: bool,
    },
}

/// What must be done about calls that may never be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remedy {
    /// Sends the watch of a kind again.
    Resend(InputKind),
    /// Sends all calls that wait again.
    ResendAll,
    /// The store is lost.
    Lose,
}

/// The checks of the store by the instance that follows it.
#[derive(Clone, Debug, Default)]
pub struct StoreCheck {
    missed: u32,
    turn: usize,
    // A kind with unknown changes, and the revision up to which it was known.
    suspect: Option<(InputKind, u64)>,
}

impl StoreCheck {
    /// Returns the time until the next check.
    pub fn delay(&self, _known: &Revisions) -> Duration {
        // A call without an answer is repeated at once.
        match self.missed {
            0 => CHECK_INTERVAL,
            _ => Duration::ZERO,
        }
    }

    /// Returns the kind to ask for, given the revisions up to which each kind is known.
    pub fn choose(&mut self, _known: &Revisions) -> InputKind {
        // A suspect kind is checked again: its watch may be about to bring the changes.
        if let Some((kind, _)) = self.suspect {
            return kind;
        }
        let kind = CHECKED_KINDS[self.turn];
        self.turn = (self.turn + 1) % CHECKED_KINDS.len();
        kind
    }

    /// Applies the answer to a check of a kind.
    pub fn answer(
        &mut self,
        known: &Revisions,
        kind: InputKind,
        answer: CheckAnswer,
    ) -> Option<Remedy> {
        let CheckAnswer::Told { news, .. } = answer else {
            self.missed += 1;
            return (self.missed == MAX_MISSED).then_some(Remedy::Lose);
        };
        let missed = std::mem::take(&mut self.missed);
        let row = (kind, known.of(kind));
        let is_deaf = news && self.suspect == Some(row);
        self.suspect = (news && !is_deaf).then_some(row);
        match (missed > 0, is_deaf) {
            (true, _) => Some(Remedy::ResendAll),
            (false, true) => Some(Remedy::Resend(kind)),
            (false, false) => None,
        }
    }
}
