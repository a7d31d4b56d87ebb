//! Which versions of a service a request may go to.

use corianderway_model::Version;

/// Which versions of a service a request may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Lane {
    /// Any.
    Any,
    /// Only this one.
    Only(Version),
    /// Any but these.
    Not(Vec<Version>),
}

impl Lane {
    /// Whether the lane leads to a version.
    pub(crate) fn admits(&self, version: &Version) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == version,
            Self::Not(not) => !not.contains(version),
        }
    }
}
