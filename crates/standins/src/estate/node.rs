//! An instance on the platform, run as a process with its own loopback address.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use crate::harness::call;
use crate::harness::Error;
use crate::harness::Process;
use crate::harness::Reply;
use crate::harness::Request;

/// The port for callers' requests.
pub const CALLERS_PORT: u16 = 8_686;

/// The port of the platform's readiness probe.
pub const READY_PORT: u16 = 8_680;

/// The port at which callers look up the instance to use.
pub const DIRECTORY_PORT: u16 = 8_684;

/// The port at which an instance serves its replica of the store.
pub const REPLICA_PORT: u16 = 8_688;

/// The port of `/metrics` and `/explain`.
pub const ADMIN_PORT: u16 = 9_464;

/// The `Host` header of every request.
pub const HOST: &str = "desk.example";

/// The number of the next loopback address. All instances use the same ports, so
/// each needs its own address.
static NEXT_HOST: AtomicU16 = AtomicU16::new(1);

/// The location and the settings of an instance.
#[derive(Clone, Debug)]
pub struct Site {
    /// Its node name.
    pub name: String,
    /// Its loopback address.
    pub ip: IpAddr,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub domain: String,
    /// The address of the platform's store or of a proxy in front of it.
    pub store: SocketAddr,
    /// The time from SIGTERM to the forced end of a planned stop, in seconds.
    pub grace: u32,
    /// The window over which retries are limited, in seconds.
    pub retry_window: u32,
    /// The maximum number of open file descriptors, if it differs from this process's.
    pub descriptors: Option<u32>,
}

/// A running instance.
#[derive(Debug)]
pub struct Node {
    /// The process.
    pub process: Process,
    /// Its location and settings.
    pub site: Site,
}

impl Site {
    /// Creates a site with a loopback address that is unique within this process.
    pub fn new(region: &str, domain: &str, store: SocketAddr) -> Self {
        let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        // Test programs run concurrently, so the address also depends on the process id.
        let ip = [
            127,
            (20 + pid % 200) as u8,
            (pid / 200 % 250) as u8,
            host as u8,
        ];
        Self {
            name: format!("node-{host:02}"),
            ip: ip.into(),
            region: region.to_owned(),
            domain: domain.to_owned(),
            store,
            grace: 4,
            retry_window: 10,
            descriptors: None,
        }
    }

    /// Returns the contents of the settings file; `regions` lists each failure domain
    /// with its region.
    pub fn settings(&self, regions: &[(&str, &str)]) -> String {
        let zones: Vec<String> = regions.iter().map(|(d, r)| format!("{d}: {r}")).collect();
        let (name, ip, domain, region) = (&self.name, self.ip, &self.domain, &self.region);
        format!(
            "node_name: {name}\nzone: {domain}\nregion: {region}\nzones: {{ {} }}\n\
             listen: {{ front: '{ip}:{CALLERS_PORT}', ready: '{ip}:{READY_PORT}', control: '{ip}:{REPLICA_PORT}', \
             directory: '{ip}:{DIRECTORY_PORT}' }}\n\
             port_range: [7740, 7755]\nseeds: []\nbounds: {{ grace_s: {}, budget_window_s: {} }}\n\
             platform: {{ address: '{}' }}\n",
            zones.join(", "),
            self.grace,
            self.retry_window,
            self.store
        )
    }
}

impl Node {
    /// Starts the instance with a settings file in `dir`, without waiting for readiness.
    ///
    /// # Errors
    ///
    /// Fails when the program is not built or can't be started.
    ///
    /// # Panics
    ///
    /// Panics when the settings file can't be written.
    pub fn start(site: Site, regions: &[(&str, &str)], dir: &Path) -> Result<Self, Error> {
        let file = dir.join(format!("{}-{}.yaml", std::process::id(), site.name));
        std::fs::write(&file, site.settings(regions)).expect("the settings file can be written");
        let path = file.to_string_lossy();
        let args = ["--platform", "--settings", &path];
        let process = match site.descriptors {
            Some(limit) => Process::spawn_limited("corianderwayd", &args, limit)?,
            None => Process::spawn("corianderwayd", &args)?,
        };
        Ok(Self { process, site })
    }

    /// Returns the address of one of its ports.
    pub fn addr(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.site.ip, port)
    }

    /// Reports whether its readiness probe succeeds.
    pub fn is_ready(&self) -> bool {
        let reply = self.call("GET", READY_PORT, "/ready", &[]);
        reply.is_some_and(|reply| reply.status == 200)
    }

    /// Sends a request; `None` when no complete response arrived.
    pub fn call(
        &self,
        method: &str,
        port: u16,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Option<Reply> {
        let mut request = Request::new(method, path).header("Host", HOST);
        for (name, value) in headers {
            request = request.header(name, value);
        }
        call(self.addr(port), &request).ok()
    }

    /// Returns the log lines with `request=ID`.
    pub fn request_lines(&self, id: &str) -> Vec<String> {
        let id = format!("request={id} ");
        let lines = self.process.lines().into_iter();
        lines.filter(|line| line.contains(&id)).collect()
    }
}
