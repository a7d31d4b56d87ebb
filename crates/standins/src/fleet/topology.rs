//! The topology file of a deployment: its regions, links, backend servers and entry instances.

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

/// The name of the topology file. All other YAML files of a deployment's folder
/// are contracts.
const TOPOLOGY_FILE: &str = "topology.yaml";

/// The regions, links and processes of a deployment.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// The name of the deployment.
    pub deployment: String,
    /// The one-way delays between processes; zero if absent.
    #[serde(default)]
    pub links: Links,
    /// The regions and their failure domains.
    pub regions: Vec<Region>,
    /// The services and their backend servers.
    pub services: Vec<Service>,
    /// The entry instances.
    pub entries: Vec<EntryInstance>,
}

/// The one-way delays between processes.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Links {
    /// The delay within a region.
    #[serde_as(as = "DurationText")]
    pub domains: Duration,
    /// The delay between two regions.
    #[serde_as(as = "DurationText")]
    pub regions: Duration,
}

impl Links {
    /// Returns the one-way delay from a region to another or to itself.
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
    /// The version that its backend servers run.
    pub version: Version,
    /// The mean service time of a request.
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
    /// Its id.
    pub id: ServerId,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The maximum number of running requests.
    pub slots: u32,
}

/// One entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryInstance {
    /// The name of the instance.
    pub id: String,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: FailureDomain,
}

impl Topology {
    /// Reads and validates the topology file in a deployment's folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, isn't a valid topology,
    /// refers to a region or failure domain that it doesn't list, lists an id
    /// twice, or has a backend server without slots.
    pub fn read(folder: &Path) -> Result<Self, Error> {
        let path = folder.join(TOPOLOGY_FILE);
        let file = path.display().to_string();
        let text = std::fs::read_to_string(&path).context(FileSnafu { file: &file })?;
        let topology: Self = serde_yaml_ng::from_str(&text).context(YamlSnafu { file: &file })?;
        topology.check(&file)?;
        Ok(topology)
    }

    /// Returns all backend servers, each with its service.
    pub fn endpoints(&self) -> impl Iterator<Item = (&Service, &Endpoint)> {
        self.services.iter().flat_map(service_endpoints)
    }

    fn check(&self, file: &str) -> Result<(), Error> {
        for (_, endpoint) in self.endpoints() {
            self.check_location(file, &endpoint.region, &endpoint.domain)?;
            if endpoint.slots == 0 {
                let remedy = "give at least one slot";
                return invalid_field(file, "slots", endpoint.id.as_str(), remedy);
            }
        }
        for entry in &self.entries {
            self.check_location(file, &entry.region, &entry.domain)?;
        }
        let ids = self.endpoints().map(|(_, e)| e.id.as_str());
        check_unique(file, "endpoints.id", ids)?;
        check_unique(
            file,
            "entries.id",
            self.entries.iter().map(|e| e.id.as_str()),
        )
    }

    fn check_location(
        &self,
        file: &str,
        region: &RegionName,
        domain: &FailureDomain,
    ) -> Result<(), Error> {
        let known = self.regions.iter().find(|r| r.name == *region);
        match known {
            None => invalid_field(file, "region", region.as_str(), "list it under regions"),
            Some(known) if !known.domains.contains(domain) => {
                invalid_field(file, "domain", domain.as_str(), "list it under its region")
            }
            Some(_) => Ok(()),
        }
    }
}

fn service_endpoints(service: &Service) -> impl Iterator<Item = (&Service, &Endpoint)> {
    service.endpoints.iter().map(move |e| (service, e))
}

/// Reads every contract in a deployment's folder, in the order of the file names.
///
/// # Errors
///
/// Returns an error if a file can't be read or isn't a valid contract.
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

fn check_unique<'n>(
    file: &str,
    field: &'static str,
    names: impl Iterator<Item = &'n str>,
) -> Result<(), Error> {
    let mut names = names.collect::<Vec<_>>();
    names.sort_unstable();
    match names.windows(2).find(|w| w[0] == w[1]) {
        Some(pair) => invalid_field(file, field, pair[0], "list it once"),
        None => Ok(()),
    }
}

fn invalid_field(
    file: &str,
    field: &'static str,
    value: &str,
    remedy: &'static str,
) -> Result<(), Error> {
    FieldSnafu {
        file,
        field,
        value,
        remedy,
    }
    .fail()
}
