//! Instances of corianderway, started with the command of the deploy file.

use std::fs::File;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::End;
use crate::record::Record;

/// Ports of every instance; each has a loopback address of its own.
const CALLERS: u16 = 8686;
const READY: u16 = 8680;
const CONTROL: u16 = 8688;
const DIRECTORY: u16 = 8684;

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

/// The option of `prctl` that ends a process with the thread that started it.
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

/// What all instances of a run have in common.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Failure domains with their regions.
    pub zones: Vec<(&'static str, &'static str)>,
    pub store: SocketAddr,
    pub grace_s: u32,
    pub dir: PathBuf,
}

/// An instance, which may be down.
#[derive(Debug)]
pub struct Instance {
    pub name: String,
    pub ip: IpAddr,
    pub zone: &'static str,
    fleet: Fleet,
    record: Record,
    child: Mutex<Option<Child>>,
    started: Mutex<Instant>,
}

impl Instance {
    /// Creates an instance that doesn't run yet; `number` is unique within the run.
    pub fn new(fleet: &Fleet, record: &Record, number: u8, zone: &'static str) -> Self {
        let pid = std::process::id();
        let ip = [127, (50 + pid % 150) as u8, (pid / 150 % 250) as u8, number];
        Self {
            name: format!("front-{zone}-{number}"),
            ip: ip.into(),
            zone,
            fleet: fleet.clone(),
            record: record.clone(),
            child: Mutex::new(None),
            started: Mutex::new(Instant::now()),
        }
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS)
    }

    pub fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.ip, DIRECTORY)
    }

    /// Returns how long the process has run.
    pub fn age(&self) -> Duration {
        self.started.lock().expect("the time").elapsed()
    }

    /// Starts the process.
    pub fn start(&self) {
        let settings = self.fleet.dir.join(format!("{}.yaml", self.name));
        std::fs::write(&settings, self.settings()).expect("the settings can be written");
        let log = self.fleet.dir.join(format!("{}.log", self.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        let errors = log.try_clone().expect("a log");
        let mut command = Command::new("target/release/corianderwayd");
        // SAFETY: the call is one system call with plain numbers.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .arg("--platform")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CORIANDERWAY_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|error| {
            eprintln!("target/release/corianderwayd: {error}");
            std::process::exit(2);
        });
        self.record.line(format!("START {}", self.name));
        *self.started.lock().expect("the time") = Instant::now();
        *self.child.lock().expect("the child") = Some(child);
    }

    fn settings(&self) -> String {
        let fleet = &self.fleet;
        let region = fleet
            .zones
            .iter()
            .find(|row| row.0 == self.zone)
            .map_or("", |row| row.1);
        let zones: String = fleet
            .zones
            .iter()
            .map(|(z, r)| format!("  {z}: \"{r}\"\n"))
            .collect();
        let (name, ip, zone, store) = (&self.name, self.ip, self.zone, fleet.store);
        let grace = fleet.grace_s;
        format!(
            "node_name: \"{name}\"\nrole: \"entry\"\nmachine_class: \"front\"\n\
             serves: [\"front\", \"control\", \"directory\"]\n\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"{region}\"\nzones:\n{zones}\
             listen:\n  front: \"{ip}:{CALLERS}\"\n  ready: \"{ip}:{READY}\"\n  \
             control: \"{ip}:{CONTROL}\"\n  directory: \"{ip}:{DIRECTORY}\"\n\
             port_range: [7740, 7755]\nseeds: []\nfirst_start: false\n\
             limits:\n  cpu_share: 1.0\n  cpu_cores: 1\n  memory_mb: 260\n  max_fds: 4100\n  \
             link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\ndiscovery: \"platform\"\n\
             entry: \"directory\"\nheartbeat_ms: 1500\n\
             contracts: [base, drain, config, cost, retry, recover, places, platform]\n\
             bounds:\n  seed_lag_s: 3\n  reuse_delay_s: 2\n  stable_window_ms: 4000\n  \
             drain_ms: 2500\n  grace_s: {grace}\n  loss_slack_ms: 200\n  \
             config_apply_ms: 2500\n  budget_ratio: 0.2\n  budget_window_s: 10\n  \
             budget_extra: 60\n  cold_over: 1.5\n  cold_slack: 5\n  evac_ms: 5000\n  \
             recover_s: 15\n  ttl_max_s: 5\n  max_shift: 0.15\n\
             platform:\n  address: \"{store}\"\n  form: \"objects\"\n  writes_per_s: 400\n  \
             reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n"
        )
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = self.child.lock().expect("the child").as_ref() {
            // SAFETY: a call with plain numbers; the child is not reaped yet.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.record.line(format!("SIGTERM {}", self.name));
        self.signal(SIGTERM);
    }

    /// Waits for the end of the process, and kills it after the limit.
    pub fn wait(&self, limit: Duration) {
        let until = Instant::now() + limit;
        loop {
            let mut child = self.child.lock().expect("the child");
            let Some(running) = child.as_mut() else {
                return;
            };
            if let Ok(Some(status)) = running.try_wait() {
                self.record.line(format!("END {} ({status})", self.name));
                *child = None;
                return;
            }
            drop(child);
            if Instant::now() >= until {
                self.record.line(format!("SIGKILL {}", self.name));
                self.signal(SIGKILL);
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Kills the process at once.
    pub fn kill(&self) {
        self.record.line(format!("SIGKILL {}", self.name));
        self.signal(SIGKILL);
        self.wait(Duration::from_secs(5));
    }

    /// Returns whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let addr = SocketAddr::new(self.ip, READY);
        let end = http::call(addr, request, Duration::from_secs(1), || ());
        matches!(end, End::Answer(answer) if answer.status() == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Ok(mut child) = self.child.lock() {
            if let Some(mut child) = child.take() {
                // It may have ended by itself.
                drop(child.kill());
                drop(child.wait());
            }
        }
    }
}

/// Starts all instances and waits until all are ready.
pub fn start_all(instances: &[std::sync::Arc<Instance>]) {
    instances.iter().for_each(|instance| instance.start());
    let until = Instant::now() + Duration::from_secs(15);
    while !instances.iter().all(|instance| instance.is_ready()) {
        if Instant::now() >= until {
            eprintln!("the instances don't become ready");
            instances.iter().for_each(|instance| instance.kill());
            std::process::exit(2);
        }
        thread::sleep(Duration::from_millis(100));
    }
}
