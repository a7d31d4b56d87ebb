//! Runs the operator's command as a process against a stand-in platform.
#![allow(dead_code, reason = "each test file uses some of these items")]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use corianderway_model::Backend;
use corianderway_model::Presence;
use corianderway_standins::harness::Platform;
use serde_json::Value;

// The exit codes of the command.
pub const DONE: i32 = 0;
pub const FAILED: i32 = 1;
pub const USAGE: i32 = 2;
pub const CONFLICT: i32 = 3;
pub const UNREACHABLE: i32 = 4;
pub const TIMEOUT: i32 = 5;

pub const CONTRACT: &str = "
account: finder
hosts: [finder.lakeshore.example]
rate: 200
burst: 400
routes:
  - { name: find, path: /capsules/, methods: [GET], service: finder }
regions:
  - { name: north, capacity: 400, shift: 40 }
versions: { share: 0.1, deadline: 10m, margin: 0.05 }
";

/// The exit code and the output of a finished command.
pub struct CommandResult {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl CommandResult {
    /// Parses standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|e| panic!("{e}: {}{}", self.out, self.err))
    }

    /// Asserts that the command succeeded.
    pub fn expect_success(self) -> Self {
        assert_eq!(self.code, DONE, "{}{}", self.out, self.err);
        self
    }
}

pub fn command(args: &[&str], platform: Option<&Platform>) -> CommandResult {
    command_at(args, platform.map(|p| p.addr))
}

/// Runs the command with the platform's address in the environment.
pub fn command_at(args: &[&str], platform: Option<SocketAddr>) -> CommandResult {
    let mut command = Command::new(env!("CARGO_BIN_EXE_corianderway"));
    command.args(args).env_remove("CORIANDERWAY_PLATFORM");
    if let Some(platform) = platform {
        command.env("CORIANDERWAY_PLATFORM", platform.to_string());
    }
    let Output {
        status,
        stdout,
        stderr,
    } = command.output().unwrap();
    CommandResult {
        code: status.code().unwrap(),
        out: String::from_utf8(stdout).unwrap(),
        err: String::from_utf8(stderr).unwrap(),
    }
}

/// Writes a temporary file and returns its path.
pub fn temp_file(text: &str) -> String {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("contract-{}-{count}.yaml", std::process::id());
    let path: PathBuf = [env!("CARGO_TARGET_TMPDIR"), &name].iter().collect();
    std::fs::write(&path, text).unwrap();
    path.to_string_lossy().into_owned()
}

/// Registers a backend server of service finder.
pub fn add_backend(platform: &Platform, id: &str, version: &str) {
    let backend = Backend {
        id: id.try_into().unwrap(),
        addr: ([127, 0, 0, 1], 9).into(),
        service: "finder".try_into().unwrap(),
        version: version.try_into().unwrap(),
        region: "north".try_into().unwrap(),
        domain: "north-a".try_into().unwrap(),
        slots: 3,
        presence: Presence::Live,
    };
    platform.register_backend(&backend).unwrap();
}

/// Starts a platform with [`CONTRACT`] applied and backend servers of two versions.
pub fn start_platform() -> Platform {
    let platform = Platform::start().unwrap();
    command(
        &["contract", "apply", &temp_file(CONTRACT)],
        Some(&platform),
    )
    .expect_success();
    add_backend(&platform, "b1", "v1");
    add_backend(&platform, "b2", "v2");
    platform
}

/// Overwrites fields of a stored object.
pub fn set_fields(platform: &Platform, kind: &str, name: &str, fields: &Value) {
    let object = platform.get(kind, name).unwrap().unwrap();
    let mut value = (*object.value).clone();
    for (field, new_value) in fields.as_object().unwrap() {
        value[field] = new_value.clone();
    }
    platform.update(kind, name, object.version, &value).unwrap();
}

/// Starts a stand-in for an instance's admin address that sends the same
/// response body to each request.
pub fn start_admin(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).unwrap();
                head.push(byte[0]);
            }
            let length = body.len();
            let reply = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
            stream.write_all(reply.as_bytes()).unwrap();
        }
    });
    addr
}
