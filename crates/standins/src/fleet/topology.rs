//! The instances of a deployment, as its file lists them.

use std::path::Path;
use std::time::Duration;

use corianderway_model::raw;
use corianderway_model::Contract;
use corianderway_model::DurationText;
use corianderway_model::FailureDomain;
use corianderway_model::Region as RegionName;
use corianderway_model::ServerId;
use corianderway_model::Service as ServiceName;
use corianderway_model::Version;
use serde::Deserialize;
use serde_with::serde_as;
use snafu::ResultExt;

use crate::fleet::error::ContractSnafu;
use crate::fleet::error::Error;
use crate::fleet::error::FieldSnafu;
use crate::fleet::error::FileSnafu;
use crate::fleet::error::YamlSnafu;

/// The file of a deployment's folder that is no contract.
const TOPOLOGY_FILE: &str = "topology.yaml";

/// The instances of a deployment.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// The name of the deployment.
    pub deployment: String,
    /// The one-way delays between processes; none when absent.
    #[serde(default)]
    pub links: Links,
    /// The regions and their failure domains.
    pub regions: Vec<Region>,
    /// The services and their backend servers.
    pub services: Vec<Service>,
    /// The entry instances.
    pub entries: Vec<Place>,
}

/// The one-way delays between processes.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Links {
    /// Within a region.
    #[serde_as(as = "DurationText")]
    pub domains: Duration,
    /// Between two regions.
    #[serde_as(as = "DurationText")]
    pub regions: Duration,
}

impl Links {
    /// The one-way delay from a region to another or the same one.
    pub fn delay(&self, from: &RegionName, to: &RegionName) -> Duration {
        if from == to {
            self.domains
        } else {
            self.regions
        }
    }
}

/// One region.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The name.
    pub name: RegionName,
    /// Its failure domains.
    pub domains: Vec<FailureDomain>,
}

/// One service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name.
    pub name: ServiceName,
    /// The version that runs.
    pub version: Version,
    /// The mean time to run a request.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "service-time")]
    pub service_time: Duration,
    /// The backend servers.
    pub endpoints: Vec<Endpoint>,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Its identity.
    pub id: ServerId,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Requests it runs at once.
    pub slots: u32,
}

/// One entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The name of the instance.
    pub id: String,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: FailureDomain,
}

impl Topology {
    /// Reads and checks the topology in a deployment's folder.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read, is no topology or names a region or
    /// failure domain that it does not list.
    pub fn read(folder: &Path) -> Result<Self, Error> {
        let path = folder.join(TOPOLOGY_FILE);
        let file = path.display().to_string();
        let text = std::fs::read_to_string(&path).context(FileSnafu { file: &file })?;
        let topology: Self = serde_yaml_ng::from_str(&text).context(YamlSnafu { file: &file })?;
        topology.check(&file)?;
        Ok(topology)
    }

    /// All backend servers with their services.
    pub fn endpoints(&self) -> impl Iterator<Item = (&Service, &Endpoint)> {
        self.services.iter().flat_map(iter_pairs)
    }

    fn check(&self, file: &str) -> Result<(), Error> {
        for (_, endpoint) in self.endpoints() {
            self.check_place(file, &endpoint.region, &endpoint.domain)?;
            if endpoint.slots == 0 {
                let remedy = "give at least one slot";
                return refuse(file, "slots", endpoint.id.as_str(), remedy);
            }
        }
        for entry in &self.entries {
            self.check_place(file, &entry.region, &entry.domain)?;
        }
        let ids = self.endpoints().map(|(_, e)| e.id.as_str());
        unique(file, "endpoints.id", ids)?;
        unique(
            file,
            "entries.id",
            self.entries.iter().map(|e| e.id.as_str()),
        )
    }

    fn check_place(
        &self,
        file: &str,
        region: &RegionName,
        domain: &FailureDomain,
    ) -> Result<(), Error> {
        let known = self.regions.iter().find(|r| r.name == *region);
        match known {
            None => refuse(file, "region", region.as_str(), "list it under regions"),
            Some(known) if !known.domains.contains(domain) => {
                refuse(file, "domain", domain.as_str(), "list it under its region")
            }
            Some(_) => Ok(()),
        }
    }
}

fn iter_pairs(service: &Service) -> impl Iterator<Item = (&Service, &Endpoint)> {
    service.endpoints.iter().map(move |e| (service, e))
}

/// Reads every contract in a deployment's folder, in the order of the file names.
///
/// # Errors
///
/// Fails when a file can't be read or is no contract that can be used.
pub fn read_contracts(folder: &Path) -> Result<Vec<raw::Contract>, Error> {
    let file = folder.display().to_string();
    let listed = std::fs::read_dir(folder).context(FileSnafu { file: &file })?;
    let paths = listed.map(|e| e.map(|e| e.path()));
    let paths = paths.collect::<Result<Vec<_>, _>>();
    let mut paths = paths.context(FileSnafu { file })?;
    paths.retain(|p| p.extension().is_some_and(|e| e == "yaml") && !p.ends_with(TOPOLOGY_FILE));
    paths.sort();
    paths.iter().map(|p| read_contract(p)).collect()
}

fn read_contract(path: &Path) -> Result<raw::Contract, Error> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).context(FileSnafu { file: &file })?;
    Contract::parse(&file, &text).context(ContractSnafu)?;
    serde_yaml_ng::from_str(&text).context(YamlSnafu { file })
}

fn unique<'n>(
    file: &str,
    field: &'static str,
    names: impl Iterator<Item = &'n str>,
) -> Result<(), Error> {
    let mut names = names.collect::<Vec<_>>();
    names.sort_unstable();
    match names.windows(2).find(|w| w[0] == w[1]) {
        Some(pair) => refuse(file, field, pair[0], "list it once"),
        None => Ok(()),
    }
}

fn refuse(file: &str, field: &'static str, value: &str, remedy: &'static str) -> Result<(), Error> {
    FieldSnafu {
        file,
        field,
        value,
        remedy,
    }
    .fail()
}
