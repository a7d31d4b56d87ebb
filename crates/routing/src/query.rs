//! What the router is asked, and what it answers.

use std::fmt;
use std::time::Duration;

use corianderway_model::Priority;
use corianderway_model::Region;
use corianderway_model::Service;
use corianderway_model::Version;
use snafu::Snafu;

use crate::fleet::Fleet;
use crate::fleet::Handle;
use crate::group::Occupancy;

/// A request that needs a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Query<'q> {
    /// The service that runs the request.
    pub service: &'q Service,
    /// The region that is tried first.
    pub home: &'q Region,
    /// The versions that may run it; the first is the proven one, and takes
    /// over where another has no backend server. Empty means any version.
    pub versions: &'q [Share<'q>],
    /// What waits first under overload.
    pub priority: Priority,
    /// The time left until the answer is due.
    pub remaining: Duration,
    /// Backend servers that were tried for this request already.
    pub tried: &'q [Handle],
}

/// A version and its part of the requests.
#[derive(Clone, Copy, Debug)]
pub struct Share<'q> {
    /// The version.
    pub version: &'q Version,
    /// Its weight among the versions listed.
    pub weight: f64,
}

/// The backend server chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// The backend server.
    pub server: Handle,
    /// Why its region was taken.
    pub reach: Reach,
    /// Why it was taken within its region.
    pub why: Why,
    /// The cost expected of it: seconds weighted by load.
    pub cost: f64,
    /// The next best candidate and its cost.
    pub second: Option<(Handle, f64)>,
    /// How full the service is in its region.
    pub occupancy: Occupancy,
}

/// Why a region was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// The home region has room.
    Home,
    /// The home region has no usable backend server.
    HomeLost,
    /// The home region is full.
    HomeFull,
}

/// Why a backend server was taken within its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// No other could be taken.
    Only,
    /// The least cost of those drawn.
    Drawn,
    /// The least cost of all: they are few, or those drawn were full or tried.
    Scanned,
}

/// Why no backend server was chosen; the request was not run.
///
/// Where regions differ, the last of these in order is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Snafu)]
pub enum Refusal {
    /// No region has the service.
    #[snafu(display("no region has the service; list its backend servers"))]
    NoRegion,
    /// No region has a usable backend server that was not tried.
    #[snafu(display("no backend server is usable; send the request again later"))]
    NoServer,
    /// The answer is due before any backend server can be reached.
    #[snafu(display("no backend server can be reached in time; give a later deadline"))]
    TooLate,
    /// Every region that may take it is full.
    #[snafu(display("every region is full; send the request again later"))]
    Overloaded,
    /// Another region has room, but no more traffic may shift there now.
    #[snafu(display("the shift cap of every other region is used up; send it again later"))]
    ShiftCapped,
}

impl Refusal {
    /// The reason as a word for log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRegion => "no-region",
            Self::NoServer => "no-server",
            Self::Overloaded => "overloaded",
            Self::ShiftCapped => "shift-capped",
            Self::TooLate => "too-late",
        }
    }
}

impl Reach {
    /// The reason as a word for log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::HomeLost => "home-lost",
            Self::HomeFull => "home-full",
        }
    }
}

impl Why {
    /// The reason as a word for log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Only => "only",
            Self::Drawn => "drawn",
            Self::Scanned => "scanned",
        }
    }
}

impl Decision {
    /// The decision as key=value pairs with names, for a log line.
    pub fn explain<'f>(&'f self, fleet: &'f Fleet) -> Explain<'f> {
        Explain {
            decision: self,
            fleet,
        }
    }
}

/// A decision as key=value pairs; made by [`Decision::explain`].
#[derive(Debug)]
pub struct Explain<'f> {
    decision: &'f Decision,
    fleet: &'f Fleet,
}

impl fmt::Display for Explain<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let chosen = self.decision;
        let Some(server) = self.fleet.server(chosen.server) else {
            return f.write_str("server=-");
        };
        write!(
            f,
            "server={} region={} domain={} version={} state={} reach={} why={} \
             cost_ms={:.1} in_flight={} taken={:.1} slots={:.0}",
            server.id(),
            server.region(),
            server.domain(),
            server.version(),
            server.state().as_str(),
            chosen.reach.as_str(),
            chosen.why.as_str(),
            chosen.cost * 1e3,
            server.in_flight(),
            chosen.occupancy.taken,
            chosen.occupancy.slots,
        )?;
        let second = chosen.second.and_then(|(handle, cost)| {
            let server = self.fleet.server(handle)?;
            Some((server, cost))
        });
        match second {
            Some((server, cost)) => {
                let id = server.id();
                write!(f, " second={id} second_ms={:.1}", cost * 1e3)
            }
            None => Ok(()),
        }
    }
}
