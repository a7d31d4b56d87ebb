//! A backend server stand-in as a child process.

use std::net::SocketAddr;

use corianderway_model::Backend;
use corianderway_model::Presence;
use snafu::ResultExt;

use crate::backend::Faults;
use crate::backend::Load;
use crate::backend::Record;
use crate::backend::Settings;
use crate::harness::client;
use crate::harness::error::Error;
use crate::harness::error::NameSnafu;
use crate::harness::message::Reply;
use crate::harness::message::Request;
use crate::harness::process::Process;
use crate::serve::MAIN_ADDRESS;

/// A running backend server stand-in.
#[derive(Debug)]
pub struct Server {
    /// The process, to suspend or kill.
    pub process: Process,
    /// Its address.
    pub addr: SocketAddr,
    args: Vec<String>,
}

impl Server {
    /// Starts a backend server stand-in with flags of the example `backend`.
    ///
    /// # Errors
    ///
    /// Fails when it doesn't become ready.
    pub fn start(args: &[&str]) -> Result<Self, Error> {
        let process = Process::start("backend", args)?;
        Ok(Self {
            addr: process.addr(MAIN_ADDRESS)?,
            process,
            args: args.iter().map(|a| (*a).to_owned()).collect(),
        })
    }

    /// Builds its entry in the instance list, from its flags and their defaults.
    ///
    /// # Errors
    ///
    /// Fails when a name in its flags is invalid.
    pub fn describe(&self) -> Result<Backend, Error> {
        let fallback = Settings::default();
        let flag = |name: &str, fallback: &str| self.flag(name).unwrap_or(fallback).to_owned();
        let slots = self.flag("--slots").and_then(|s| s.parse().ok());
        Ok(Backend {
            id: flag("--id", &fallback.id).try_into().context(NameSnafu)?,
            addr: self.addr,
            service: flag("--service", &fallback.service)
                .try_into()
                .context(NameSnafu)?,
            version: flag("--version", &fallback.version)
                .try_into()
                .context(NameSnafu)?,
            region: flag("--region", &fallback.region)
                .try_into()
                .context(NameSnafu)?,
            domain: flag("--domain", &fallback.domain)
                .try_into()
                .context(NameSnafu)?,
            slots: slots.unwrap_or(fallback.slots),
            presence: Presence::Live,
        })
    }

    /// Sends a request to it.
    ///
    /// # Errors
    ///
    /// Fails when no complete response arrives.
    pub fn call(&self, request: &Request) -> Result<Reply, Error> {
        client::call(self.addr, request)
    }

    /// Replaces the injected faults.
    ///
    /// # Errors
    ///
    /// Fails when the process doesn't answer.
    pub fn set_faults(&self, faults: &Faults) -> Result<(), Error> {
        let request = Request::put("/standin/faults").json(faults);
        self.call(&request)?.expect(200, "faults").map(drop)
    }

    /// Starts draining it, or ends that.
    ///
    /// # Errors
    ///
    /// Fails when the process doesn't answer.
    pub fn drain(&self, drain: bool) -> Result<(), Error> {
        let method = if drain { "PUT" } else { "DELETE" };
        let request = Request::new(method, "/standin/drain");
        self.call(&request)?.expect(200, "drain").map(drop)
    }

    /// Returns the records of the requests that it ran.
    ///
    /// # Errors
    ///
    /// Fails when the process doesn't answer.
    pub fn history(&self) -> Result<Vec<Record>, Error> {
        let reply = self.call(&Request::get("/standin/history"))?;
        reply.expect(200, "history")?.json()
    }

    /// Returns the response of its `/load` endpoint.
    ///
    /// # Errors
    ///
    /// Fails when the process doesn't answer.
    pub fn load(&self) -> Result<Load, Error> {
        let reply = self.call(&Request::get("/load"))?;
        reply.expect(200, "load")?.json()
    }

    fn flag(&self, name: &str) -> Option<&str> {
        let at = self.args.iter().position(|a| a == name)?;
        self.args.get(at + 1).map(String::as_str)
    }
}
