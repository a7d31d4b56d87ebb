//! The platform stand-in as a child process.

use std::net::SocketAddr;
use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Entry;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;

use crate::harness::client;
use crate::harness::error::Error;
use crate::harness::message::Reply;
use crate::harness::message::Request;
use crate::harness::process::Process;
use crate::platform::Calls;
use crate::platform::Faults;
use crate::platform::Object;
use crate::serve::MAIN_ADDRESS;

/// A running platform stand-in.
#[derive(Debug)]
pub struct Platform {
    /// The process, to freeze or kill.
    pub process: Process,
    /// Its address.
    pub addr: SocketAddr,
}

#[derive(serde::Deserialize)]
struct Written {
    version: u64,
}

#[derive(serde::Deserialize)]
struct Listed {
    objects: Vec<Object>,
}

impl Platform {
    /// Starts it on a free port.
    ///
    /// # Errors
    ///
    /// Fails when it does not get ready.
    pub fn start() -> Result<Self, Error> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts it at an address.
    ///
    /// # Errors
    ///
    /// Fails when it does not get ready.
    pub fn start_at(listen: SocketAddr) -> Result<Self, Error> {
        Self::run(&["--listen", &listen.to_string()])
    }

    /// Starts it with further addresses for callers at one-way delays.
    ///
    /// # Errors
    ///
    /// Fails when it does not get ready.
    pub fn start_with(doors: &[(&str, Duration)]) -> Result<Self, Error> {
        let doors = doors.iter().map(|(name, delay)| door(name, *delay));
        let doors = doors.collect::<Vec<_>>();
        let args = doors.iter().flat_map(|d| ["--door", d]);
        Self::run(&args.collect::<Vec<_>>())
    }

    fn run(args: &[&str]) -> Result<Self, Error> {
        let process = Process::start("platform", args)?;
        let addr = process.addr(MAIN_ADDRESS)?;
        Ok(Self { process, addr })
    }

    /// The address with a name; the usual one when there is no such address.
    pub fn addr_of(&self, door: &str) -> SocketAddr {
        self.process.addr(door).unwrap_or(self.addr)
    }

    /// Creates an object and gives its version.
    ///
    /// # Errors
    ///
    /// Fails when the object exists or the platform is out.
    pub fn create(&self, kind: &str, name: &str, value: &impl Serialize) -> Result<u64, Error> {
        let path = format!("/objects/{kind}/{name}");
        let request = Request::put(&path).header("if-none-match", "*").json(value);
        self.written(&request)
    }

    /// Replaces an object of a version and gives the new version.
    ///
    /// # Errors
    ///
    /// Fails when the version is another one or the platform is out.
    pub fn update(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        value: &impl Serialize,
    ) -> Result<u64, Error> {
        let path = format!("/objects/{kind}/{name}");
        let condition = format!("\"{version}\"");
        let request = Request::put(&path).header("if-match", condition);
        self.written(&request.json(value))
    }

    /// Removes an object of a version.
    ///
    /// # Errors
    ///
    /// Fails when the version is another one or the platform is out.
    pub fn remove(&self, kind: &str, name: &str, version: u64) -> Result<u64, Error> {
        let path = format!("/objects/{kind}/{name}");
        let condition = format!("\"{version}\"");
        self.written(&Request::delete(&path).header("if-match", condition))
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails when the platform is out.
    pub fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error> {
        let reply = self.call(&Request::get(&format!("/objects/{kind}/{name}")))?;
        if reply.status == 404 {
            return Ok(None);
        }
        reply.expect(200, "get")?.json().map(Some)
    }

    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// Fails when the platform is out.
    pub fn list(&self, kind: &str) -> Result<Vec<Object>, Error> {
        let listed = self.read::<Listed>(&format!("/objects/{kind}"))?;
        Ok(listed.objects)
    }

    /// Everything that the platform holds, faults or not.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub fn dump(&self) -> Result<Vec<Object>, Error> {
        self.read::<Listed>("/standin/dump").map(|l| l.objects)
    }

    /// Puts an entry instance on the instance list.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub fn register_entry(&self, entry: &Entry) -> Result<(), Error> {
        let path = format!("/standin/entries/{}", entry.id);
        self.control(&Request::put(&path).json(entry))
    }

    /// Puts a backend server on the instance list.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub fn register_backend(&self, backend: &Backend) -> Result<(), Error> {
        let path = format!("/standin/backends/{}", backend.id);
        self.control(&Request::put(&path).json(backend))
    }

    /// Takes an entry instance off the instance list.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub fn forget_entry(&self, id: &str) -> Result<(), Error> {
        self.control(&Request::delete(&format!("/standin/entries/{id}")))
    }

    /// Takes a backend server off the instance list.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub fn forget_backend(&self, id: &str) -> Result<(), Error> {
        self.control(&Request::delete(&format!("/standin/backends/{id}")))
    }

    /// Replaces the faults.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub fn set_faults(&self, faults: &Faults) -> Result<(), Error> {
        self.control(&Request::put("/standin/faults").json(faults))
    }

    /// Reads the call counts.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub fn calls(&self) -> Result<Calls, Error> {
        self.read("/standin/calls")
    }

    /// Sends any request.
    ///
    /// # Errors
    ///
    /// Fails when there is no whole answer.
    pub fn call(&self, request: &Request) -> Result<Reply, Error> {
        client::call(self.addr, request)
    }

    fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(&Request::get(path))?.expect(200, path)?.json()
    }

    fn written(&self, request: &Request) -> Result<u64, Error> {
        let reply = self.call(request)?.expect(200, &request.path)?;
        reply.json::<Written>().map(|w| w.version)
    }

    fn control(&self, request: &Request) -> Result<(), Error> {
        let reply = self.call(request)?.expect(200, &request.path)?;
        reply.json::<Value>().map(drop)
    }
}

/// The flag value of a door or a link.
pub(crate) fn door(name: &str, delay: Duration) -> String {
    format!("{name}={}", delay.as_secs_f64() * 1000.0)
}
