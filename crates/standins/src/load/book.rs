//! The addresses that callers use, and the choice among them.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Fleet;
use crate::load::error::Error;
use crate::load::scenario::Callers;

/// Where the tested requests go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// To the entry instances.
    #[default]
    Entries,
    /// To backend servers in turn, without the system.
    RoundRobin,
    /// To the backend server with the fewest open requests of the same caller.
    LeastConnections,
}

impl std::str::FromStr for Target {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "entries" => Ok(Self::Entries),
            "round-robin" => Ok(Self::RoundRobin),
            "least-connections" => Ok(Self::LeastConnections),
            _ => Err("give entries, round-robin or least-connections".into()),
        }
    }
}

/// The addresses of a fleet at one time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Book {
    entries: Vec<SocketAddr>,
    // Sorted by service.
    services: Vec<(Arc<str>, Vec<SocketAddr>)>,
}

impl Book {
    /// Lists the addresses of a fleet; backend servers that died stay listed.
    pub(crate) fn of(fleet: &Fleet) -> Result<Self, Error> {
        let mut book = Self {
            entries: fleet.nodes.iter().map(|n| n.daemon.callers).collect(),
            services: Vec::new(),
        };
        for server in &fleet.servers {
            book.add(server.describe()?.service.as_str(), server.addr);
        }
        Ok(book)
    }

    /// The entry instances to try, best first.
    pub(crate) fn entries(&self, callers: Callers, draw: u64) -> Vec<SocketAddr> {
        let start = match callers {
            Callers::Spread => draw as usize,
            Callers::Crowded => 0,
        };
        let count = self.entries.len();
        let at = |n| self.entries[(start % count + n) % count];
        (0..count).map(at).collect()
    }

    /// The backend servers of a service.
    pub(crate) fn servers(&self, service: &str) -> &[SocketAddr] {
        let found = self.find(service).ok();
        found.map_or(&[], |at| &self.services[at].1)
    }

    fn add(&mut self, service: &str, addr: SocketAddr) {
        match self.find(service) {
            Ok(at) => self.services[at].1.push(addr),
            Err(at) => self.services.insert(at, (service.into(), vec![addr])),
        }
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|(name, _)| (**name).cmp(service))
    }
}
