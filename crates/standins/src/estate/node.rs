//! An instance on the platform, as a process with a loopback address of its own.

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
pub const CALLERS: u16 = 8_686;

/// The port at which the platform asks whether an instance is ready.
pub const READY: u16 = 8_680;

/// The port at which callers ask which instance to use.
pub const DIRECTORY: u16 = 8_684;

/// The port of the instance's copy of the store.
pub const COPY: u16 = 8_688;

/// The port of metrics and explanations.
pub const ADMIN: u16 = 9_464;

/// The host that every request names.
pub const HOST: &str = "desk.example";

/// Instances listen on addresses of their own, since their ports are alike.
static HOSTS: AtomicU16 = AtomicU16::new(1);

/// Where an instance runs and what it is told.
#[derive(Clone, Debug)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// Its loopback address.
    pub ip: IpAddr,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub domain: String,
    /// The platform's store, or a link to it.
    pub store: SocketAddr,
    /// The time from a planned stop's signal to the forced end, in seconds.
    pub grace: u32,
}

/// A running instance.
#[derive(Debug)]
pub struct Node {
    /// The process.
    pub process: Process,
    /// Where it runs.
    pub site: Site,
}

impl Site {
    /// A site with a loopback address that no other one of this process has.
    pub fn new(region: &str, domain: &str, store: SocketAddr) -> Self {
        let host = HOSTS.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        // Test programs run beside each other, so addresses differ by process.
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
        }
    }

    /// The settings file of the platform; `regions` are the regions of all
    /// failure domains.
    pub fn settings(&self, regions: &[(&str, &str)]) -> String {
        let zones: Vec<String> = regions.iter().map(|(d, r)| format!("{d}: {r}")).collect();
        let (name, ip, domain, region) = (&self.name, self.ip, &self.domain, &self.region);
        format!(
            "node_name: {name}\nzone: {domain}\nregion: {region}\nzones: {{ {} }}\n\
             listen: {{ front: '{ip}:{CALLERS}', ready: '{ip}:{READY}', control: '{ip}:{COPY}', \
             directory: '{ip}:{DIRECTORY}' }}\n\
             port_range: [7740, 7755]\nseeds: []\nbounds: {{ grace_s: {} }}\n\
             platform: {{ address: '{}' }}\n",
            zones.join(", "),
            self.grace,
            self.store
        )
    }
}

impl Node {
    /// Starts the instance with a settings file in `dir`.
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
        std::fs::write(&file, site.settings(regions)).expect("a folder for settings");
        let path = file.to_string_lossy();
        let args = ["--platform", "--settings", &path];
        let process = Process::spawn("corianderwayd", &args)?;
        Ok(Self { process, site })
    }

    /// Where one of its ports is.
    pub fn addr(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.site.ip, port)
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let reply = self.call("GET", READY, "/ready", &[]);
        reply.is_some_and(|reply| reply.status == 200)
    }

    /// Makes a call; none if no whole answer came.
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

    /// The lines that `grep request=ID` finds in its log.
    pub fn lines_of(&self, id: &str) -> Vec<String> {
        let id = format!("request={id} ");
        let lines = self.process.lines().into_iter();
        lines.filter(|line| line.contains(&id)).collect()
    }
}
