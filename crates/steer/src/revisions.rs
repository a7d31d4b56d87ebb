//! Revisions of the store, by kind of input.
//!
//! Each kind is followed by calls of its own, so each has a revision of its own: one kind may
//! stand still while the others change.

use corianderway_model::Era;
use corianderway_model::Revision;
use serde::Deserialize;
use serde::Serialize;

/// A kind of input from the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputKind {
    /// The configuration.
    Plan,
    /// The entries of backend servers.
    Servers,
    /// The orders for version moves.
    Orders,
    /// The failure domains that must get no requests.
    Evacuations,
    /// The entries of instances.
    Members,
}

impl InputKind {
    /// Returns the name of the kind for logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Plan => "config",
            Self::Servers => "servers",
            Self::Orders => "orders",
            Self::Evacuations => "evacuations",
            Self::Members => "instances",
        }
    }
}

/// All kinds of input.
pub(crate) const INPUTS: [InputKind; 5] = [
    InputKind::Plan,
    InputKind::Servers,
    InputKind::Orders,
    InputKind::Evacuations,
    InputKind::Members,
];

/// One revision for each kind of input, all of one era; number 0 if there is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    // Instances of earlier builds know only the numbers.
    #[serde(rename = "u", default)]
    numbers: [u64; INPUTS.len()],
    #[serde(rename = "e", default, skip_serializing_if = "Era::is_first")]
    era: Era,
}

impl Revisions {
    /// Returns the revision of a kind.
    pub fn of(&self, kind: InputKind) -> Revision {
        Revision::new(self.era, self.numbers[kind as usize])
    }

    /// Returns the era of all revisions.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Begins an era, in which there is no revision yet; an earlier one changes nothing.
    pub fn enter(&mut self, era: Era) {
        if era > self.era {
            *self = Self {
                era,
                ..Self::default()
            };
        }
    }

    /// Raises the revision of a kind; an earlier one changes nothing.
    pub fn raise(&mut self, kind: InputKind, revision: Revision) {
        self.enter(revision.era);
        if revision.era == self.era {
            let known = &mut self.numbers[kind as usize];
            *known = revision.number.max(*known);
        }
    }

    /// Raises the revision of each kind to that in `other`.
    pub(crate) fn merge(&mut self, other: &Self) {
        for kind in INPUTS {
            self.raise(kind, other.of(kind));
        }
    }

    /// Returns the first kind whose revision is later in `other`.
    pub(crate) fn first_behind(&self, other: &Self) -> Option<InputKind> {
        INPUTS
            .into_iter()
            .find(|kind| self.of(*kind) < other.of(*kind))
    }
}
