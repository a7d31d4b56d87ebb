//! The addresses that callers send requests to.

use std::net::SocketAddr;
use std::sync::Arc;

use corianderway_model::Region;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Fleet;
use crate::fleet::Node;
use crate::load::error::Error;
use crate::load::scenario::Callers;

/// The processes that tested requests are sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// Entry instances.
    #[default]
    Entries,
    /// Backend servers in turn, bypassing the entry instances.
    RoundRobin,
    /// The backend server with the fewest open requests of the same worker,
    /// bypassing the entry instances.
    LeastConnections,
}

impl std::str::FromStr for Target {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "entries" => Ok(Self::Entries),
            "round-robin" => Ok(Self::RoundRobin),
            "least-connections" => Ok(Self::LeastConnections),
            _ => Err("must be entries, round-robin or least-connections".into()),
        }
    }
}

/// The addresses of a fleet's processes at one time.
#[derive(Clone, Debug, Default)]
pub(crate) struct AddressBook {
    // Each address with its region.
    entries: Vec<(SocketAddr, Region)>,
    // The addresses by service, sorted by its name.
    services: Vec<(Arc<str>, Vec<SocketAddr>)>,
}

impl AddressBook {
    /// Lists the addresses of a fleet, including those of killed processes.
    pub(crate) fn of(fleet: &Fleet) -> Result<Self, Error> {
        let entry = |n: &Node| (n.daemon.callers, n.entry.region.clone());
        let mut book = Self {
            entries: fleet.nodes.iter().map(entry).collect(),
            services: Vec::new(),
        };
        for server in &fleet.servers {
            book.add(server.describe()?.service.as_str(), server.addr);
        }
        Ok(book)
    }

    /// Returns the entry instances with their regions, in the order in which to
    /// try them.
    pub(crate) fn entries(&self, callers: Callers, draw: u64) -> Vec<(SocketAddr, &Region)> {
        let count = self.entries.len();
        let start = match callers {
            Callers::Spread => draw as usize % count,
            Callers::Crowded => 0,
        };
        let rotated = self.entries.iter().cycle().skip(start).take(count);
        rotated.map(|(addr, region)| (*addr, region)).collect()
    }

    /// Returns the backend servers of a service.
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
