//! When this instance last learnt of each kind of object, and from whom.
//!
//! Each answer that is complete up to its revision counts, also one without changes. Changes
//! are logged with the time since the answer before: the kind may have been that old.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use corianderway_model::Revision;
use corianderway_platform::store::Kind;
use corianderway_platform::store::KINDS;
use corianderway_wire::log_line::LogLine;
use log::Level;

use crate::logs::Log;

/// The minimum time between two lines about one kind.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// From whom an instance learns of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A list of the store.
    List,
    /// A watch of the store.
    Watch,
    /// The replica at this address.
    Replica(SocketAddr),
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::List => f.write_str("list"),
            Self::Watch => f.write_str("watch"),
            Self::Replica(addr) => write!(f, "replica:{addr}"),
        }
    }
}

/// The latest answers about each kind.
#[derive(Debug, Default)]
pub struct Learnt([LatestAnswer; KINDS.len()]);

#[derive(Clone, Copy, Debug, Default)]
struct LatestAnswer {
    at: Option<Instant>,
    logged: Option<Instant>,
    // The answers with changes since the latest line.
    unlogged: u32,
}

impl Learnt {
    /// Records that a kind is known up to now, and logs the changes if the latest line about
    /// the kind is old enough.
    pub fn record(
        &mut self,
        log: &Log,
        kind: Kind,
        origin: Origin,
        revision: Revision,
        changes: usize,
    ) {
        let now = Instant::now();
        let latest = &mut self.0[kind as usize];
        let before = latest.at.replace(now);
        if changes == 0 {
            return;
        }
        if latest.logged.is_some_and(|at| now - at < LINE_INTERVAL) {
            latest.unlogged += 1;
            return;
        }
        let since = before.map_or("-".to_owned(), |at| (now - at).as_millis().to_string());
        let line = LogLine::new("learnt")
            .with("kind", kind.as_str())
            .with("from", origin)
            .with("revision", revision)
            .with("changes", changes)
            .with("since_ms", since)
            .with("unlogged", std::mem::take(&mut latest.unlogged));
        latest.logged = Some(now);
        log.put(Level::Info, line);
    }

    /// Records that all kinds are known up to now.
    pub fn confirm(&mut self) {
        let now = Instant::now();
        self.0.iter_mut().for_each(|latest| latest.at = Some(now));
    }
}
