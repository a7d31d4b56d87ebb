//! The settings of a backend server stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::serve::ListenAddress;

/// The settings of one backend server stand-in.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address on which it listens.
    pub listen: SocketAddr,
    /// Its id.
    pub id: String,
    /// The service it runs.
    pub service: String,
    /// The version it runs.
    pub version: String,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub domain: String,
    /// The maximum number of running requests.
    pub slots: u32,
    /// The maximum number of queued requests; more are shed.
    pub queue: u32,
    /// The seed of its random number generator.
    pub seed: u64,
    /// The mean service time once warm.
    pub service_time: Duration,
    /// The time from the start until it is warm.
    pub cold_start: Duration,
    /// The one-way delays of the links from other regions.
    pub links: Vec<LinkDelay>,
    /// A file to which each record of its history is appended, and which survives
    /// a crash.
    pub history: Option<PathBuf>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            id: "backend-1".into(),
            service: "finder".into(),
            version: "v1".into(),
            region: "north".into(),
            domain: "north-a".into(),
            slots: 4,
            queue: 32,
            seed: 1,
            service_time: Duration::from_millis(2),
            cold_start: Duration::ZERO,
            links: Vec::new(),
            history: None,
        }
    }
}

/// The one-way delay of the link from a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkDelay {
    /// The region.
    pub region: String,
    /// The delay.
    pub delay: Duration,
}

impl std::str::FromStr for LinkDelay {
    type Err = String;

    /// Reads `REGION=MILLISECONDS`.
    fn from_str(text: &str) -> Result<Self, String> {
        let door = text.parse::<ListenAddress>()?;
        Ok(Self {
            region: door.name,
            delay: door.delay,
        })
    }
}
