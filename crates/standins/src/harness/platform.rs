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
    /// The process, to suspend or kill.
    pub process: Process,
    /// Its main address.
    pub addr: SocketAddr,
}

#[derive(serde::Deserialize)]
struct Written {
    version: u64,
}

#[derive(serde::Deserialize)]
struct Listing {
    objects: Vec<Object>,
}

impl Platform {
    /// Starts a platform stand-in on a free port.
    ///
    /// # Errors
    ///
    /// Fails when it doesn't become ready.
    pub fn start() -> Result<Self, Error> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts a platform stand-in on an address.
    ///
    /// # Errors
    ///
    /// Fails when it doesn't become ready.
    pub fn start_at(listen: SocketAddr) -> Result<Self, Error> {
        Self::run(&["--listen", &listen.to_string()])
    }

    /// Starts a platform stand-in with further named addresses, each with a one-way
    /// delay.
    ///
    /// # Errors
    ///
    /// Fails when it doesn't become ready.
    pub fn start_with_addresses(addresses: &[(&str, Duration)]) -> Result<Self, Error> {
        let flags = addresses
            .iter()
            .map(|(name, delay)| delay_flag(name, *delay));
        let flags = flags.collect::<Vec<_>>();
        let args = flags.iter().flat_map(|d| ["--door", d]);
        Self::run(&args.collect::<Vec<_>>())
    }

    fn run(args: &[&str]) -> Result<Self, Error> {
        let process = Process::start("platform", args)?;
        let addr = process.addr(MAIN_ADDRESS)?;
        Ok(Self { process, addr })
    }

    /// Returns the address with a name, or the main address if there is none.
    pub fn named_addr(&self, door: &str) -> SocketAddr {
        self.process.addr(door).unwrap_or(self.addr)
    }

    /// Creates an object and returns its version.
    ///
    /// # Errors
    ///
    /// Fails when the object exists or the platform is unavailable.
    pub fn create(&self, kind: &str, name: &str, value: &impl Serialize) -> Result<u64, Error> {
        let path = format!("/objects/{kind}/{name}");
        let request = Request::put(&path).header("if-none-match", "*").json(value);
        self.write(&request)
    }

    /// Replaces an object at a version and returns the new version.
    ///
    /// # Errors
    ///
    /// Fails when the object has another version or the platform is unavailable.
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
        self.write(&request.json(value))
    }

    /// Removes an object at a version and returns the new version.
    ///
    /// # Errors
    ///
    /// Fails when the object has another version or the platform is unavailable.
    pub fn remove(&self, kind: &str, name: &str, version: u64) -> Result<u64, Error> {
        let path = format!("/objects/{kind}/{name}");
        let condition = format!("\"{version}\"");
        self.write(&Request::delete(&path).header("if-match", condition))
    }

    /// Reads an object; `None` when there is none.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unavailable.
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
    /// Fails when the platform is unavailable.
    pub fn list(&self, kind: &str) -> Result<Vec<Object>, Error> {
        let listed = self.read::<Listing>(&format!("/objects/{kind}"))?;
        Ok(listed.objects)
    }

    /// Reads all objects, unaffected by injected faults.
    ///
    /// # Errors
    ///
    /// Fails when the process doesn't answer.
    pub fn dump(&self) -> Result<Vec<Object>, Error> {
        self.read::<Listing>("/standin/dump").map(|l| l.objects)
    }

    /// Adds an instance to the instance list.
    ///
    /// # Errors
    ///
    /// Fails when the process doesn't answer.
    pub fn register_entry(&self, entry: &Entry) -> Result<(), Error> {
        let path = format!("/standin/entries/{}", entry.id);
        self.send_control(&Request::put(&path).json(entry))
    }

    /// Adds a backend server to the instance list.
    ///
    /// # Errors
    ///
    /// Fails when the process doesn't answer.
    pub fn register_backend(&self, backend: &Backend) -> Result<(), Error> {
        let path = format!("/standin/backends/{}", backend.id);
        self.send_control(&Request::put(&path).json(backend))
    }

    /// Removes an instance from the instance list.
    ///
    /// # Errors
    ///
    /// Fails when the process doesn't answer.
    pub fn remove_entry(&self, id: &str) -> Result<(), Error> {
        self.send_control(&Request::delete(&format!("/standin/entries/{id}")))
    }

    /// Removes a backend server from the instance list.
    ///
    /// # Errors
    ///
    /// Fails when the process doesn't answer.
    pub fn remove_backend(&self, id: &str) -> Result<(), Error> {
        self.send_control(&Request::delete(&format!("/standin/backends/{id}")))
    }

    /// Replaces the injected faults.
    ///
    /// # Errors
    ///
    /// Fails when the process doesn't answer.
    pub fn set_faults(&self, faults: &Faults) -> Result<(), Error> {
        self.send_control(&Request::put("/standin/faults").json(faults))
    }

    /// Reads the call counts.
    ///
    /// # Errors
    ///
    /// Fails when the process doesn't answer.
    pub fn calls(&self) -> Result<Calls, Error> {
        self.read("/standin/calls")
    }

    /// Sends a request to its main address.
    ///
    /// # Errors
    ///
    /// Fails when no complete response arrives.
    pub fn call(&self, request: &Request) -> Result<Reply, Error> {
        client::call(self.addr, request)
    }

    fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(&Request::get(path))?.expect(200, path)?.json()
    }

    fn write(&self, request: &Request) -> Result<u64, Error> {
        let reply = self.call(request)?.expect(200, &request.path)?;
        reply.json::<Written>().map(|w| w.version)
    }

    fn send_control(&self, request: &Request) -> Result<(), Error> {
        let reply = self.call(request)?.expect(200, &request.path)?;
        reply.json::<Value>().map(drop)
    }
}

/// Formats the flag value of a named address or link: `NAME=MILLISECONDS`.
pub(crate) fn delay_flag(name: &str, delay: Duration) -> String {
    format!("{name}={}", delay.as_secs_f64() * 1000.0)
}
