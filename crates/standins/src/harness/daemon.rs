//! The daemon `corianderwayd` as a child process.

use std::net::SocketAddr;
use std::path::Path;

use corianderway_model::Entry;
use corianderway_model::Presence;
use snafu::ResultExt;

use crate::harness::client;
use crate::harness::error::Error;
use crate::harness::error::NameSnafu;
use crate::harness::message::Reply;
use crate::harness::message::Request;
use crate::harness::process::Process;

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// The process, to suspend, stop or kill.
    pub process: Process,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other instances.
    pub peers: SocketAddr,
    /// The address of metrics, health and status.
    pub metrics: SocketAddr,
}

impl Daemon {
    /// Starts a daemon with a settings file and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails when it doesn't become ready.
    pub fn start(settings: &Path) -> Result<Self, Error> {
        let path = settings.to_string_lossy();
        let process = Process::start("corianderwayd", &["--settings", &path])?;
        Ok(Self {
            callers: process.addr("callers")?,
            peers: process.addr("peers")?,
            metrics: process.addr("metrics")?,
            process,
        })
    }

    /// Builds its entry in the instance list. `id` applies when its `ready` line has no
    /// instance id.
    ///
    /// # Errors
    ///
    /// Fails when a name is invalid.
    pub fn describe(&self, id: &str, region: &str, domain: &str) -> Result<Entry, Error> {
        let id = self.process.field("instance").unwrap_or(id);
        Ok(Entry {
            id: id.try_into().context(NameSnafu)?,
            callers: self.callers,
            peers: self.peers,
            region: region.try_into().context(NameSnafu)?,
            domain: domain.try_into().context(NameSnafu)?,
            presence: Presence::Live,
        })
    }

    /// Sends a request to the address for callers.
    ///
    /// # Errors
    ///
    /// Fails when no complete response arrives.
    pub fn call(&self, request: &Request) -> Result<Reply, Error> {
        client::call(self.callers, request)
    }
}
