//! The acts of a scenario: faults and changes that are applied to the fleet.

use std::time::Duration;

use corianderway_model::DurationText;
use corianderway_model::Presence;
use serde::Deserialize;
use serde_with::serde_as;

use crate::backend;
use crate::fleet::EntryInstance;
use crate::fleet::Fleet;
use crate::load::error::Error;
use crate::platform;

/// An act and its time.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Moment {
    /// The time since the start of the schedule.
    #[serde_as(as = "DurationText")]
    pub at: Duration,
    /// The act.
    pub act: Act,
}

/// A fault or change that is applied to a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Act {
    /// Kills a backend server.
    KillServer(String),
    /// Kills the entry instance with this index in the fleet.
    KillEntry(usize),
    /// Kills all backend servers and entry instances of a region.
    LoseRegion(String),
    /// Lists a failure domain's backend servers as leaving.
    LeaveDomain(String),
    /// Replaces this many entry instances one by one: starts the new one, then
    /// shuts down the oldest gracefully.
    ReplaceEntries(usize),
    /// Sets the platform's faults.
    Platform(platform::Faults),
    /// Sets the faults of one backend server.
    Server(String, backend::Faults),
    /// Withdraws the keys of a client account.
    WithdrawKey(String),
    /// Starts backend servers of another version in addition to the existing ones.
    StartVersion {
        /// The service.
        service: String,
        /// The version.
        version: String,
        /// The number of backend servers.
        count: usize,
        /// The faults of the new backend servers.
        #[serde(default)]
        faults: backend::Faults,
    },
    /// Runs the operator's command with these arguments.
    Operator(Vec<String>),
}

impl Act {
    /// Returns a short description for plots and reports.
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

    /// Applies the act to a fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be reached, or doesn't start or stop
    /// in time.
    pub(crate) fn apply(&self, fleet: &mut Fleet) -> Result<(), Error> {
        match self {
            Self::KillServer(id) => kill_servers(fleet, |b| b.id.as_str() == id),
            Self::KillEntry(at) => kill_entry(fleet, *at),
            Self::LoseRegion(region) => lose_region(fleet, region),
            Self::LeaveDomain(domain) => leave_domain(fleet, domain),
            Self::ReplaceEntries(count) => replace_entries(fleet, *count),
            Self::Platform(faults) => Ok(fleet.platform.set_faults(faults)?),
            Self::Server(id, faults) => set_faults(fleet, id, faults),
            Self::WithdrawKey(account) => Ok(fleet.withdraw_keys(account)?),
            Self::StartVersion {
                service,
                version,
                count,
                faults,
            } => start_version(fleet, service, version, *count, faults),
            // The run starts the command, since it waits for its end.
            Self::Operator(_) => Ok(()),
        }
    }
}

fn kill_servers(
    fleet: &mut Fleet,
    is_target: impl Fn(&corianderway_model::Backend) -> bool,
) -> Result<(), Error> {
    for server in &mut fleet.servers {
        if is_target(&server.describe()?) {
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
        let place = fleet.nodes.first().map(|n| EntryInstance {
            id: n.name.clone(),
            region: n.entry.region.clone(),
            domain: n.entry.domain.clone(),
        });
        let Some(place) = place else { return Ok(()) };
        fleet.add_entry(&place)?;
        fleet.wait_until_ready()?;
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
