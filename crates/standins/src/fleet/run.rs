//! Starts and stops a fleet and adds processes to it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use corianderway_model::raw;
use corianderway_model::Account;
use corianderway_model::Entry;
use corianderway_model::Region;
use serde_json::json;
use snafu::ResultExt;

use crate::fleet::error::ContractSnafu;
use crate::fleet::error::Error;
use crate::fleet::error::YamlSnafu;
use crate::fleet::folder::TempFolder;
use crate::fleet::keys::GrantedKey;
use crate::fleet::keys::KeyGenerator;
use crate::fleet::topology::Endpoint;
use crate::fleet::topology::EntryInstance;
use crate::fleet::topology::Links;
use crate::fleet::topology::Service;
use crate::fleet::topology::Topology;
use crate::harness;
use crate::harness::delay_flag;
use crate::harness::Daemon;
use crate::harness::Platform;
use crate::harness::Request;
use crate::harness::Server;

/// How long to wait for an entry instance to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// How long to wait for a graceful shutdown.
pub(super) const STOP_TIMEOUT: Duration = Duration::from_secs(30);

// Starts the platform stand-in in the first region, with an address for each
// region that adds the delay of the link.
fn platform(topology: &Topology) -> Result<Platform, Error> {
    let regions = topology.regions.iter();
    let home = topology.regions.first().map(|r| &r.name);
    let delay = |r| home.map_or(Duration::ZERO, |home| topology.links.delay(home, r));
    let addresses = regions.map(|r| (r.name.as_str(), delay(&r.name)));
    Ok(Platform::start_with_addresses(
        &addresses.collect::<Vec<_>>(),
    )?)
}

/// Options for the start of a fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of the keys and of the backend servers' random number generators.
    pub seed: u64,
    /// The log level of the entry instances.
    pub level: String,
    /// Texts that backend servers record as a caller's key.
    pub secrets: Vec<String>,
    /// The caller port of the first entry instance; further ones count up from
    /// it. Free ports are used if absent.
    pub port: Option<u16>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            level: "info".into(),
            secrets: Vec::new(),
            port: None,
        }
    }
}

/// One entry instance.
#[derive(Debug)]
pub struct Node {
    /// The name of the instance, which a restart doesn't change.
    pub name: String,
    /// The process.
    pub daemon: Daemon,
    /// Its entry in the instance list.
    pub entry: Entry,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The entry instances.
    pub nodes: Vec<Node>,
    /// The backend servers.
    pub servers: Vec<Server>,
    /// The platform stand-in.
    pub platform: Platform,
    pub(super) services: Vec<Service>,
    regions: Vec<Region>,
    links: Links,
    pub(super) keys: Vec<GrantedKey>,
    options: Options,
    key_generator: KeyGenerator,
    histories: Vec<PathBuf>,
    folder: TempFolder,
}

impl Fleet {
    /// Starts the platform, the backend servers and the entry instances, and
    /// returns once every entry instance is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process doesn't become ready. The processes that
    /// were started are killed.
    pub fn start(
        topology: &Topology,
        contracts: &[raw::Contract],
        options: Options,
    ) -> Result<Self, Error> {
        let mut fleet = Self {
            nodes: Vec::new(),
            servers: Vec::new(),
            platform: platform(topology)?,
            services: topology.services.clone(),
            regions: topology.regions.iter().map(|r| r.name.clone()).collect(),
            links: topology.links,
            key_generator: KeyGenerator::new(options.seed),
            options,
            histories: Vec::new(),
            keys: Vec::new(),
            folder: TempFolder::new()?,
        };
        for contract in contracts {
            fleet
                .platform
                .create("contracts", &contract.account, contract)?;
        }
        for (service, endpoint) in topology.endpoints() {
            fleet.add_server(service, endpoint)?;
        }
        for place in &topology.entries {
            fleet.add_entry(place)?;
        }
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// Starts a backend server and adds it to the instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if it doesn't become ready.
    pub fn add_server(&mut self, service: &Service, endpoint: &Endpoint) -> Result<(), Error> {
        let seed = self.options.seed + self.servers.len() as u64;
        let millis = service.service_time.as_secs_f64() * 1000.0;
        let numbers = [
            millis.to_string(),
            seed.to_string(),
            endpoint.slots.to_string(),
        ];
        let mut args = vec!["--id", endpoint.id.as_str()];
        args.extend(["--service", service.name.as_str()]);
        args.extend(["--version", service.version.as_str()]);
        args.extend(["--region", endpoint.region.as_str()]);
        args.extend(["--domain", endpoint.domain.as_str()]);
        args.extend(["--service-ms", &numbers[0]]);
        args.extend(["--seed", &numbers[1]]);
        args.extend(["--slots", &numbers[2]]);
        for secret in &self.options.secrets {
            args.extend(["--secret", secret]);
        }
        let file = self.folder.path().join(format!("{}.jsonl", endpoint.id));
        let history = file.to_string_lossy();
        args.extend(["--history", &history]);
        let links = self.regions.iter().map(|r| {
            let delay = self.links.delay(r, &endpoint.region);
            delay_flag(r.as_str(), delay)
        });
        let links = links.collect::<Vec<_>>();
        args.extend(links.iter().flat_map(|d| ["--link", d]));
        let server = Server::start(&args)?;
        self.histories.push(file);
        self.platform.register_backend(&server.describe()?)?;
        self.servers.push(server);
        Ok(())
    }

    /// Starts an entry instance and adds it to the instance list.
    ///
    /// # Errors
    ///
    /// Returns an error if it doesn't start.
    pub fn add_entry(&mut self, place: &EntryInstance) -> Result<(), Error> {
        let text = self.settings(place)?;
        let path = self.folder.write(&format!("{}.yaml", place.id), &text)?;
        let daemon = Daemon::start(&path)?;
        let (region, domain) = (place.region.as_str(), place.domain.as_str());
        let entry = daemon.describe(&place.id, region, domain)?;
        self.platform.register_entry(&entry)?;
        self.nodes.push(Node {
            name: place.id.clone(),
            daemon,
            entry,
        });
        Ok(())
    }

    /// Returns the history files of all backend servers, including killed ones.
    pub fn histories(&self) -> Vec<PathBuf> {
        self.histories.clone()
    }

    /// Grants a key to a client account.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is invalid or the platform can't be reached.
    pub fn grant(&mut self, account: &str) -> Result<GrantedKey, Error> {
        let account = Account::try_from(account).context(ContractSnafu)?;
        let granted = self.key_generator.grant(&self.platform, &account)?;
        self.keys.push(granted.clone());
        Ok(granted)
    }

    /// Shuts down every entry instance gracefully, then kills the other processes.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry instance doesn't stop in time; it is killed.
    pub fn stop(mut self) -> Result<(), Error> {
        for node in &mut self.nodes {
            node.daemon.process.terminate()?;
        }
        for node in &mut self.nodes {
            node.daemon.process.wait(STOP_TIMEOUT)?;
        }
        Ok(())
    }

    /// Waits until every entry instance is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if one isn't ready in time.
    pub fn wait_until_ready(&self) -> Result<(), Error> {
        for node in &self.nodes {
            let what = format!("{} to be ready", node.entry.id);
            harness::until(&what, READY_TIMEOUT, || {
                let reply = harness::call(node.daemon.metrics, &Request::get("/ready"));
                reply.ok().filter(|r| r.status == 200)
            })?;
        }
        Ok(())
    }

    fn settings(&self, place: &EntryInstance) -> Result<String, Error> {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let number = self.nodes.len() as u16;
        let callers = self.options.port.map_or(0, |p| p + number);
        let bootstrap = self.nodes.iter().map(|n| n.daemon.peers);
        let settings = json!({
            "instance": place.id,
            "region": place.region,
            "domain": place.domain,
            "callers": local(callers),
            "peers": local(0),
            "metrics": local(0),
            "platform": self.platform.named_addr(place.region.as_str()),
            "bootstrap": bootstrap.collect::<Vec<_>>(),
            "level": self.options.level,
        });
        serde_yaml_ng::to_string(&settings).context(YamlSnafu { file: &place.id })
    }
}
