//! The versions of a service that a request may be routed to.

use corianderway_model::Version;

/// A filter on the versions of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum VersionFilter {
    /// Any version.
    Any,
    /// Only this version.
    Only(Version),
    /// Any version but these.
    AnyExcept(Vec<Version>),
}

impl VersionFilter {
    /// Returns whether the filter admits a version.
    pub(crate) fn admits(&self, version: &Version) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == version,
            Self::AnyExcept(excluded) => !excluded.contains(version),
        }
    }
}
