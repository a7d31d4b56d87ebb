//! Child processes that are killed when they are dropped.

use std::collections::VecDeque;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use snafu::ResultExt;

use crate::harness::error::Error;
use crate::harness::error::SystemSnafu;
use crate::harness::wait;

/// The maximum number of output lines kept for each process.
const MAX_LINES: usize = 50_000;

/// The maximum wait for the `ready` line.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A child process, with its output; it is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    ready: String,
    lines: Lines,
}

#[derive(Clone, Debug, Default)]
struct Lines(Arc<Mutex<VecDeque<String>>>);

impl Process {
    /// Starts a program of this workspace and waits for its `ready` line.
    ///
    /// # Errors
    ///
    /// Fails when the program is not built, or when it ends or times out before it prints
    /// the line.
    pub fn start(name: &str, args: &[&str]) -> Result<Self, Error> {
        let mut process = Self::spawn(name, args)?;
        // A timeout is reported below, like a process that ended without the line.
        drop(wait::until("ready line", START_TIMEOUT, || process.poll()));
        if process.ready.is_empty() {
            let name = name.to_owned();
            let output = process.lines().join("\n");
            return Err(Error::NotReady { name, output });
        }
        Ok(process)
    }

    /// Starts a program of this workspace without waiting for its `ready` line.
    ///
    /// # Errors
    ///
    /// Fails when the program is not built or can't be started.
    pub fn spawn(name: &str, args: &[&str]) -> Result<Self, Error> {
        Self::spawn_command(name, Command::new(find(name)?), args)
    }

    /// Starts a program of this workspace with at most this many open file descriptors,
    /// without waiting for its `ready` line.
    ///
    /// # Errors
    ///
    /// Fails when the program is not built or can't be started.
    pub fn spawn_limited(name: &str, args: &[&str], descriptors: u32) -> Result<Self, Error> {
        let mut command = Command::new("sh");
        let script = format!("ulimit -n {descriptors} && exec \"$0\" \"$@\"");
        command.args(["-c", &script]).arg(find(name)?);
        Self::spawn_command(name, command, args)
    }

    fn spawn_command(name: &str, mut command: Command, args: &[&str]) -> Result<Self, Error> {
        command.args(args);
        command.stdin(Stdio::null());
        command.stdout(Stdio::piped());
        command.stderr(Stdio::piped());
        let mut child = command.spawn().context(SystemSnafu { what: name })?;
        let lines = Lines::default();
        let (out, err) = (child.stdout.take(), child.stderr.take());
        let process = Self {
            name: name.into(),
            child,
            ready: String::new(),
            lines: lines.clone(),
        };
        out.into_iter().try_for_each(|o| lines.collect(o))?;
        err.into_iter().try_for_each(|e| lines.collect(e))?;
        Ok(process)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the name of the program.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the `ready` line, which is empty before it is read.
    pub fn ready(&self) -> &str {
        &self.ready
    }

    /// Returns the value of a field of the `ready` line.
    pub fn field(&self, field: &str) -> Option<&str> {
        let pairs = self.ready.split_whitespace();
        pairs
            .filter_map(|p| p.split_once('='))
            .find(|(n, _)| *n == field)
            .map(|(_, v)| v)
    }

    /// Returns an address on the `ready` line.
    ///
    /// # Errors
    ///
    /// Fails when the line has no such field or its value is not an address.
    pub fn addr(&self, field: &str) -> Result<SocketAddr, Error> {
        let addr = self.field(field).and_then(|v| v.parse().ok());
        addr.ok_or_else(|| Error::Field {
            field: field.to_owned(),
            line: self.ready.clone(),
        })
    }

    /// Returns the output so far, at most the last 50,000 lines.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().iter().cloned().collect()
    }

    /// Kills the process (SIGKILL) and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the system call fails.
    pub fn kill(&mut self) -> Result<(), Error> {
        let what = &self.name;
        self.child.kill().context(SystemSnafu { what })?;
        self.child.wait().context(SystemSnafu { what })?;
        Ok(())
    }

    /// Suspends the process (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Fails when the system call fails.
    pub fn suspend(&mut self) -> Result<(), Error> {
        self.signal(libc::SIGSTOP)
    }

    /// Resumes a suspended process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Fails when the system call fails.
    pub fn resume(&mut self) -> Result<(), Error> {
        self.signal(libc::SIGCONT)
    }

    /// Asks the process to stop (SIGTERM).
    ///
    /// # Errors
    ///
    /// Fails when the system call fails.
    pub fn terminate(&mut self) -> Result<(), Error> {
        self.signal(libc::SIGTERM)
    }

    /// Tells the process that its settings have changed (SIGHUP).
    ///
    /// # Errors
    ///
    /// Fails when the system call fails.
    pub fn hang_up(&mut self) -> Result<(), Error> {
        self.signal(libc::SIGHUP)
    }

    /// Returns the exit status if the process has ended.
    ///
    /// # Errors
    ///
    /// Fails when the system call fails.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>, Error> {
        let what = &self.name;
        self.child.try_wait().context(SystemSnafu { what })
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    ///
    /// Fails when the deadline passes first.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus, Error> {
        let what = format!("end of {}", self.name);
        wait::until(&what, limit, || self.exit_status().transpose())?
    }

    fn signal(&mut self, signal: libc::c_int) -> Result<(), Error> {
        // The system may have reused the id of a process that has been waited for.
        if self.exit_status()?.is_some() {
            return Ok(());
        }
        let id = self.child.id() as libc::pid_t;
        #[expect(
            unsafe_code,
            reason = "the standard library can send no signal other than SIGKILL"
        )]
        // SAFETY: kill takes two integers and accesses no memory of this process.
        let status = unsafe { libc::kill(id, signal) };
        if status == 0 {
            return Ok(());
        }
        let what = format!("signal {signal} to {}", self.name);
        Err(std::io::Error::last_os_error()).context(SystemSnafu { what })
    }

    // Stores the ready line; `None` while the process runs and has not printed it.
    fn poll(&mut self) -> Option<()> {
        let ended = matches!(self.child.try_wait(), Ok(Some(_)));
        let lines = self.lines.lock();
        if let Some(line) = lines.iter().find(|l| l.starts_with("ready ")) {
            self.ready.clone_from(line);
            return Some(());
        }
        ended.then_some(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            log::warn!("event=child-left name={} error={error:?}", self.name);
        }
    }
}

impl Lines {
    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<String>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // Spawns a thread that collects the lines of a stream.
    fn collect(&self, stream: impl Read + Send + 'static) -> Result<(), Error> {
        let lines = self.clone();
        let thread = std::thread::Builder::new().name("output".into());
        let spawned = thread.spawn(move || {
            for line in BufReader::new(stream).lines().map_while(Result::ok) {
                lines.push(line);
            }
        });
        spawned.map(drop).context(SystemSnafu { what: "thread" })
    }

    fn push(&self, line: String) {
        let mut lines = self.lock();
        lines.push_back(line);
        if lines.len() > MAX_LINES {
            lines.pop_front();
        }
    }
}

// Programs are in the build folder of the running test or in its `examples` folder.
fn find(name: &str) -> Result<PathBuf, Error> {
    let here = std::env::current_exe().context(SystemSnafu { what: name })?;
    let places = here.ancestors().skip(1).take(3);
    let paths = places.flat_map(|d| [d.join(name), d.join("examples").join(name)]);
    let found = paths.into_iter().find(|p| p.is_file());
    found.ok_or_else(|| Error::Program { name: name.into() })
}
