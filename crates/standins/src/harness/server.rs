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
    /// The process, to freeze or kill.
    pub process: Process,
    /// Its address.
    pub addr: SocketAddr,
    args: Vec<String>,
}

impl Server {
    /// Starts it with flags of the example `backend`.
    ///
    /// # Errors
    ///
    /// Fails when it does not get ready.
    pub fn start(args: &[&str]) -> Result<Self, Error> {
        let process = Process::start("backend", args)?;
        Ok(Self {
            addr: process.addr(MAIN_ADDRESS)?,
            process,
            args: args.iter().map(|a| (*a).to_owned()).collect(),
        })
    }

    /// What the instance list says of it.
    ///
    /// # Errors
    ///
    /// Fails when a name in its flags can't be used.
    pub fn describe(&self) -> Result<Backend, Error> {
        let usual = Settings::default();
        let flag = |name: &str, usual: &str| self.flag(name).unwrap_or(usual).to_owned();
        let slots = self.flag("--slots").and_then(|s| s.parse().ok());
        Ok(Backend {
            id: flag("--id", &usual.id).try_into().context(NameSnafu)?,
            addr: self.addr,
            service: flag("--service", &usual.service)
                .try_into()
                .context(NameSnafu)?,
            version: flag("--version", &usual.version)
                .try_into()
                .context(NameSnafu)?,
            region: flag("--region", &usual.region)
                .try_into()
                .context(NameSnafu)?,
            domain: flag("--domain", &usual.domain)
                .try_into()
                .context(NameSnafu)?,
            slots: slots.unwrap_or(usual.slots),
            presence: Presence::Live,
        })
    }

    /// Sends any request.
    ///
    /// # Errors
    ///
    /// Fails when there is no whole answer.
    pub fn call(&self, request: &Request) -> Result<Reply, Error> {
        client::call(self.addr, request)
    }

    /// Replaces the faults.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub fn set_faults(&self, faults: &Faults) -> Result<(), Error> {
        let request = Request::put("/standin/faults").json(faults);
        self.call(&request)?.expect(200, "faults").map(drop)
    }

    /// Begins or ends the drain.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub fn drain(&self, drain: bool) -> Result<(), Error> {
        let method = if drain { "PUT" } else { "DELETE" };
        let request = Request::new(method, "/standin/drain");
        self.call(&request)?.expect(200, "drain").map(drop)
    }

    /// What has run.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub fn history(&self) -> Result<Vec<Record>, Error> {
        let reply = self.call(&Request::get("/standin/history"))?;
        reply.expect(200, "history")?.json()
    }

    /// What the load endpoint says.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub fn load(&self) -> Result<Load, Error> {
        let reply = self.call(&Request::get("/load"))?;
        reply.expect(200, "load")?.json()
    }

    fn flag(&self, name: &str) -> Option<&str> {
        let at = self.args.iter().position(|a| a == name)?;
        self.args.get(at + 1).map(String::as_str)
    }
}
