//! The record of a drain, as the platform stores it.

use std::fmt;
use std::sync::Arc;

use corianderway_model::FailureDomain;
use corianderway_model::Region;
use corianderway_model::ServerId;
use serde::Deserialize;
use serde::Serialize;

use crate::drain_chart::DrainChart;
use crate::drain_chart::DrainEffect;
use crate::drain_chart::DrainGuard;
use crate::drain_chart::DrainState;
use crate::drain_chart::DrainTrigger;

/// The backend servers that a drain covers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainScope {
    /// One backend server.
    Server(ServerId),
    /// All backend servers of a failure domain.
    Domain(FailureDomain),
    /// All backend servers of a region.
    Region(Region),
}

/// The location of a backend server in the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerLocation {
    /// The backend server.
    pub server: ServerId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its region.
    pub region: Region,
}

/// A drain: the object `drains/<scope>` of the platform.
///
/// Each change of state makes a new revision; the scope and the start are the same in
/// all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The backend servers that are drained.
    pub scope: DrainScope,
    /// The state of the drain.
    pub state: DrainState,
    /// Whether the backend servers of the scope get no new work.
    pub withheld: bool,
    /// When it was planned, in milliseconds since the Unix epoch.
    pub started: u64,
    /// The last change of state, in milliseconds since the Unix epoch.
    pub changed: u64,
    /// Who wrote this revision.
    pub who: Arc<str>,
    /// The number of this revision, from 1.
    pub revision: u64,
}

/// The conditions that the guards of the drain chart check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainConditions {
    /// Whether the remaining backend servers can carry the load.
    pub fits: bool,
    /// Whether no instance has a request in flight at the scope.
    pub empty: bool,
}

impl DrainScope {
    /// Returns the name of the platform's object, which is unique for each scope.
    pub fn object_name(&self) -> String {
        self.to_string().replace(' ', "-")
    }

    /// Returns whether a backend server is in the scope.
    pub fn covers(&self, place: &ServerLocation) -> bool {
        match self {
            Self::Server(server) => *server == place.server,
            Self::Domain(domain) => *domain == place.domain,
            Self::Region(region) => *region == place.region,
        }
    }
}

impl fmt::Display for DrainScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Server(server) => write!(f, "server {server}"),
            Self::Domain(domain) => write!(f, "domain {domain}"),
            Self::Region(region) => write!(f, "region {region}"),
        }
    }
}

impl Drain {
    /// Creates a planned drain; `wall` is in milliseconds since the Unix epoch.
    pub fn new(scope: DrainScope, wall: u64, who: impl Into<Arc<str>>) -> Self {
        Self {
            scope,
            state: DrainState::Planned,
            withheld: false,
            started: wall,
            changed: wall,
            who: who.into(),
            revision: 1,
        }
    }

    /// Returns whether the drain has ended.
    pub fn is_over(&self) -> bool {
        matches!(self.state, DrainState::Drained | DrainState::Cancelled)
    }

    /// Returns the next revision after a trigger, or `None` if the chart has no change
    /// for it.
    pub fn advance(
        &self,
        chart: &DrainChart,
        trigger: DrainTrigger,
        conditions: DrainConditions,
        wall: u64,
        who: impl Into<Arc<str>>,
    ) -> Option<Self> {
        let step = chart.step(self.state, trigger, |guard| match guard {
            DrainGuard::Fits => conditions.fits,
            DrainGuard::Empty => conditions.empty,
        });
        if step.to == self.state {
            return None;
        }
        let withheld = step.actions.iter().fold(self.withheld, |_, e| match e {
            DrainEffect::WithholdWork => true,
            DrainEffect::AllowWork => false,
        });
        Some(Self {
            scope: self.scope.clone(),
            state: step.to,
            withheld,
            started: self.started,
            changed: wall.max(self.changed),
            who: who.into(),
            revision: self.revision + 1,
        })
    }

    /// Returns whether this drain was planned before another one.
    pub(crate) fn is_before(&self, other: &Self) -> bool {
        (self.started, &self.scope) < (other.started, &other.scope)
    }
}
