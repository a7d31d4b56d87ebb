//! The entry daemon as a child process.

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

/// A running entry daemon.
#[derive(Debug)]
pub struct Daemon {
    /// The process, to freeze, stop or kill.
    pub process: Process,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it takes peers.
    pub peers: SocketAddr,
    /// Where it serves metrics, health and status.
    pub metrics: SocketAddr,
}

impl Daemon {
    /// Starts it with a settings file.
    ///
    /// # Errors
    ///
    /// Fails when it does not get ready.
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

    /// What the instance list says of it.
    ///
    /// # Errors
    ///
    /// Fails when a name can't be used.
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

    /// Sends any request to the callers' address.
    ///
    /// # Errors
    ///
    /// Fails when there is no whole answer.
    pub fn call(&self, request: &Request) -> Result<Reply, Error> {
        client::call(self.callers, request)
    }
}
