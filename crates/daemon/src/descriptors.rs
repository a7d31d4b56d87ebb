//! The file descriptors of the process, and the connections that they allow.
//!
//! Each use of connections by an instance on the platform has a share of its own, so that callers
//! who come back all at once leave descriptors for backend servers, the store and other instances.
//! In the other front end (`daemon.rs`), only callers' connections are bounded.

use std::io;

use corianderway_wire::log_line::LogLine;

/// The descriptors outside all shares: listeners, files, event queues, and calls and watches of
/// the store.
const RESERVED: u64 = 48;

/// The sum of all [`Share::parts`].
const PARTS: u64 = 32;

/// The minimum of each share, for a limit that is too low for all of them.
const MIN_SHARE: usize = 2;

/// The maximum of each share, since connections use memory as well.
const MAX_SHARE: usize = 2_500;

/// A use of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// Callers' requests.
    Callers,
    /// Requests to backend servers, and idle connections to them.
    Servers,
    /// Callers' lookups of the instance to use.
    Directory,
    /// Readiness checks.
    Readiness,
    /// Metrics and explanations.
    Metrics,
    /// Other instances that follow the replica of the store.
    Replicas,
}

/// The limit on open file descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    limit: u64,
}

impl Share {
    const fn parts(self) -> u64 {
        match self {
            Self::Callers => 16,
            Self::Servers => 10,
            Self::Directory | Self::Replicas => 2,
            Self::Readiness | Self::Metrics => 1,
        }
    }
}

impl Descriptors {
    /// Raises the process's limit as far as it is permitted to; `max` bounds what it uses of
    /// that.
    pub fn claim(max: Option<u64>) -> Self {
        let max = max.unwrap_or(u64::MAX);
        // A limit that can't be read shows when a descriptor is missing.
        let limit = raise_limit().unwrap_or(u64::MAX);
        Self {
            limit: limit.min(max),
        }
    }

    /// Returns the maximum number of connections of a share.
    pub fn share(self, share: Share) -> usize {
        let parts = self.limit.saturating_sub(RESERVED) / PARTS * share.parts();
        let rest = self.limit.saturating_sub(RESERVED) % PARTS * share.parts() / PARTS;
        let count = usize::try_from(parts + rest).unwrap_or(usize::MAX);
        count.clamp(MIN_SHARE, MAX_SHARE)
    }

    /// Returns the log line of the limit and of the largest shares.
    pub fn log_line(self) -> LogLine {
        LogLine::new("descriptors")
            .with("limit", self.limit)
            .with("reserved", RESERVED)
            .with("callers", self.share(Share::Callers))
            .with("servers", self.share(Share::Servers))
            .with("directory", self.share(Share::Directory))
            .with("replicas", self.share(Share::Replicas))
    }
}

// Raises the soft limit to the hard one and returns the soft limit in force.
fn raise_limit() -> io::Result<u64> {
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    #[expect(
        unsafe_code,
        reason = "the standard library doesn't read the limits of a process"
    )]
    // SAFETY: the pointer is to a value that lives for the call.
    let status = unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit) };
    if status != 0 {
        return Err(io::Error::last_os_error());
    }
    let raised = libc::rlimit {
        rlim_cur: limit.rlim_max,
        rlim_max: limit.rlim_max,
    };
    #[expect(
        unsafe_code,
        reason = "the standard library doesn't set the limits of a process"
    )]
    // SAFETY: the pointer is to a value that lives for the call.
    let status = unsafe { libc::setrlimit(libc::RLIMIT_NOFILE, &raw const raised) };
    Ok(if status == 0 {
        raised.rlim_cur
    } else {
        limit.rlim_cur
    })
}

/// Returns whether a connection failed for lack of a resource of this machine, which says
/// nothing of the peer.
pub fn is_local(error: &io::Error) -> bool {
    let codes = [
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EADDRNOTAVAIL,
    ];
    error
        .raw_os_error()
        .is_some_and(|code| codes.contains(&code))
}
