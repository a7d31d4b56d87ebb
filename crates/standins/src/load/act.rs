//! What happens to a fleet during a scenario.

use std::time::Duration;

use corianderway_model::DurationText;
use corianderway_model::Presence;
use serde::Deserialize;
use serde_with::serde_as;

use crate::backend;
use crate::fleet::Fleet;
use crate::fleet::Place;
use crate::load::error::Error;
use crate::platform;

/// Something that happens at a time.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Moment {
    /// The time after the first request.
    #[serde_as(as = "DurationText")]
    pub at: Duration,
    /// What happens.
    pub act: Act,
}

/// What can happen to a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Act {
    /// A backend server dies.
    KillServer(String),
    /// The entry instance at this place of the topology dies.
    KillEntry(usize),
    /// Everything in a region dies at once.
    LoseRegion(String),
    /// A failure domain's backend servers are announced as leaving.
    LeaveDomain(String),
    /// The first entry instances, this many, are stopped as planned and replaced one by one.
    ReplaceEntries(usize),
    /// The platform's faults change.
    Platform(platform::Faults),
    /// The faults of one backend server change.
    Server(String, backend::Faults),
    /// The keys of a client account are withdrawn.
    WithdrawKey(String),
    /// Backend servers of another version start beside the old ones.
    StartVersion {
        /// The service.
        service: String,
        /// The version.
        version: String,
        /// How many.
        count: usize,
        /// The faults of the version.
        #[serde(default)]
        faults: backend::Faults,
    },
    /// The operator's command runs with these arguments.
    Operator(Vec<String>),
}

impl Act {
    /// A few words, for plots.
    pub fn label(&self) -> String {
        match self {
            Self::KillServer(id) => format!("kill {id}"),
            Self::KillEntry(at) => format!("kill entry {at}"),
            Self::LoseRegion(region) => format!("lose {region}"),
            Self::LeaveDomain(domain) => format!("drain {domain}"),
            Self::ReplaceEntries(count) => format!("replace {count} entries"),
            Self::Platform(faults) => format!("platform {:?}", faults.down).to_lowercase(),
            Self::Server(id, _) => format!("faults of {id}"),
            Self::WithdrawKey(account) => format!("withdraw key of {account}"),
            Self::StartVersion {
                service, version, ..
            } => format!("start {service} {version}"),
            Self::Operator(args) => args.join(" "),
        }
    }

    /// Lets it happen.
    ///
    /// # Errors
    ///
    /// Fails when a process can't be reached or does not stop or start in time.
    pub(crate) fn apply(&self, fleet: &mut Fleet) -> Result<(), Error> {
        match self {
            Self::KillServer(id) => kill_servers(fleet, |b| b.id.as_str() == id),
            Self::KillEntry(at) => kill_entry(fleet, *at),
            Self::LoseRegion(region) => lose_region(fleet, region),
            Self::LeaveDomain(domain) => leave_domain(fleet, domain),
            Self::ReplaceEntries(count) => replace_entries(fleet, *count),
            Self::Platform(faults) => Ok(fleet.platform.set_faults(faults)?),
            Self::Server(id, faults) => set_faults(fleet, id, faults),
            Self::WithdrawKey(account) => Ok(fleet.withdraw(account)?),
            Self::StartVersion {
                service,
                version,
                count,
                faults,
            } => start_version(fleet, service, version, *count, faults),
            // The run keeps the process and watches it.
            Self::Operator(_) => Ok(()),
        }
    }
}

fn kill_servers(
    fleet: &mut Fleet,
    chosen: impl Fn(&corianderway_model::Backend) -> bool,
) -> Result<(), Error> {
    for server in &mut fleet.servers {
        if chosen(&server.describe()?) {
            server.process.kill()?;
        }
    }
    Ok(())
}

fn kill_entry(fleet: &mut Fleet, at: usize) -> Result<(), Error> {
    if let Some(node) = fleet.nodes.get_mut(at) {
        node.daemon.process.kill()?;
    }
    Ok(())
}

fn lose_region(fleet: &mut Fleet, region: &str) -> Result<(), Error> {
    kill_servers(fleet, |b| b.region.as_str() == region)?;
    for node in &mut fleet.nodes {
        if node.entry.region.as_str() == region {
            node.daemon.process.kill()?;
        }
    }
    Ok(())
}

fn leave_domain(fleet: &mut Fleet, domain: &str) -> Result<(), Error> {
    for server in &fleet.servers {
        let mut backend = server.describe()?;
        if backend.domain.as_str() == domain {
            backend.presence = Presence::Leaving;
            fleet.platform.register_backend(&backend)?;
        }
    }
    Ok(())
}

fn replace_entries(fleet: &mut Fleet, count: usize) -> Result<(), Error> {
    for _ in 0..count.min(fleet.nodes.len()) {
        let place = fleet.nodes.first().map(|n| Place {
            id: n.name.clone(),
            region: n.entry.region.clone(),
            domain: n.entry.domain.clone(),
        });
        let Some(place) = place else { return Ok(()) };
        fleet.add_entry(&place)?;
        fleet.settle()?;
        fleet.stop_entry(0)?;
    }
    Ok(())
}

fn start_version(
    fleet: &mut Fleet,
    service: &str,
    version: &str,
    count: usize,
    faults: &backend::Faults,
) -> Result<(), Error> {
    for id in fleet.add_version(service, version, count)? {
        set_faults(fleet, &id, faults)?;
    }
    Ok(())
}

fn set_faults(fleet: &Fleet, id: &str, faults: &backend::Faults) -> Result<(), Error> {
    for server in &fleet.servers {
        if server.describe()?.id.as_str() == id {
            server.set_faults(faults)?;
        }
    }
    Ok(())
}
