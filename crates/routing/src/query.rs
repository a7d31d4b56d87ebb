//! The input and the results of routing one request.

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
    /// The versions that may run the request, with their weights.
    ///
    /// The first one is the fallback where another version has no backend
    /// server with room. If the list is empty, any version may run the request.
    pub versions: &'q [VersionShare<'q>],
    /// Decides how full a region may be for this request to enter it.
    pub priority: Priority,
    /// The time left until the deadline.
    pub remaining: Duration,
    /// Backend servers that this request was already sent to; they are excluded.
    pub tried: &'q [Handle],
}

/// A version and its weight among the versions of a query.
#[derive(Clone, Copy, Debug)]
pub struct VersionShare<'q> {
    /// The version.
    pub version: &'q Version,
    /// Weight relative to the sum over the query; negative counts as zero.
    pub weight: f64,
}

/// The backend server chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// The chosen backend server.
    pub server: Handle,
    /// Why its region was chosen.
    pub region_reason: RegionReason,
    /// Why it was chosen within its region.
    pub server_reason: ServerReason,
    /// Its cost: expected latency in seconds, weighted by utilization.
    pub cost: f64,
    /// The candidate of second lowest cost, with its cost.
    pub runner_up: Option<(Handle, f64)>,
    /// The occupancy of the service in the chosen region.
    pub occupancy: Occupancy,
}

/// Why a region was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegionReason {
    /// It is the home region, and it has room.
    Home,
    /// The home region has no usable backend server.
    HomeLost,
    /// The home region is full.
    HomeFull,
}

/// Why a backend server was chosen within its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerReason {
    /// It was the only candidate.
    Only,
    /// It had the lowest cost in a random sample.
    Drawn,
    /// It had the lowest cost of all candidates. All are compared where they are
    /// few, and where each one in the sample was full or excluded.
    Scanned,
}

/// Why no backend server was chosen; the request has not run.
///
/// Where the reasons of several regions differ, the last of these variants in
/// declaration order is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Snafu)]
pub enum Refusal {
    /// No region has the service.
    #[snafu(display("no region has the service; list its backend servers"))]
    NoRegion,
    /// No region has a usable backend server that is not excluded.
    #[snafu(display("no backend server is usable; send the request again later"))]
    NoServer,
    /// The deadline passes before a backend server can be reached.
    #[snafu(display("no backend server can be reached in time; give a later deadline"))]
    TooLate,
    /// Every region that may run the request is full.
    #[snafu(display("every region is full; send the request again later"))]
    Overloaded,
    /// Another region has room, but the shift cap is used up.
    #[snafu(display("the shift cap of every other region is used up; send it again later"))]
    ShiftCapped,
}

impl Refusal {
    /// Returns the name of the reason in log lines.
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

impl RegionReason {
    /// Returns the name of the reason in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::HomeLost => "home-lost",
            Self::HomeFull => "home-full",
        }
    }
}

impl ServerReason {
    /// Returns the name of the reason in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Only => "only",
            Self::Drawn => "drawn",
            Self::Scanned => "scanned",
        }
    }
}

impl Decision {
    /// Formats the decision as key=value pairs for a log line.
    pub fn explain<'f>(&'f self, fleet: &'f Fleet) -> Explain<'f> {
        Explain {
            decision: self,
            fleet,
        }
    }
}

/// Displays a decision as key=value pairs; returned by [`Decision::explain`].
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
            chosen.region_reason.as_str(),
            chosen.server_reason.as_str(),
            chosen.cost * 1e3,
            server.in_flight(),
            chosen.occupancy.in_flight,
            chosen.occupancy.slots,
        )?;
        let runner_up = chosen.runner_up.and_then(|(handle, cost)| {
            let server = self.fleet.server(handle)?;
            Some((server, cost))
        });
        match runner_up {
            Some((server, cost)) => {
                let id = server.id();
                write!(f, " second={id} second_ms={:.1}", cost * 1e3)
            }
            None => Ok(()),
        }
    }
}
