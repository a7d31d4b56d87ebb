//! A randomized soak test of instances on the platform.
//!
//! Instances run as real processes, and faults are injected from outside them. The
//! guarantees are checked on what callers and endpoints observe.
//!
//! A run's faults and requests derive from a seed, though the timing of its processes
//! varies. [`plan`] generates the faults, [`world`] injects them into processes and
//! links, [`callers`] send requests throughout, and [`guarantees`] checks the
//! [`history`] each second, and once more some seconds after every process has ended.

mod callers;
mod guarantees;
mod history;
mod plan;
mod promises;
mod world;

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::harness::Error;
pub use crate::soak::history::Call;
pub use crate::soak::history::End;
pub use crate::soak::history::Kind;
pub use crate::soak::plan::Fault;
pub use crate::soak::plan::Step;
pub use crate::soak::promises::false_refusals;
use crate::soak::promises::is_refused_write;
pub use crate::soak::promises::Calls;
pub use crate::soak::promises::Runs;
use crate::soak::world::World;

/// The time after the last fault in which all components must recover.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// The time for which callers continue after the recovery.
const FINAL_CALL_TIME: Duration = Duration::from_secs(2);

/// The time after the end of every process in which endpoints may still run requests;
/// longer than a caller waits.
const AFTERMATH_TIME: Duration = Duration::from_millis(3_500);

/// The interval at which the guarantees are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of the faults and of the callers.
    pub seed: u64,
    /// The time during which faults are injected.
    pub span: Duration,
    /// The number of instances, assigned to three failure domains in turn.
    pub instances: usize,
    /// The number of callers, each with its own connection.
    pub callers: usize,
    /// The folder for settings files.
    pub dir: PathBuf,
}

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// The faults, by time.
    pub steps: Vec<Step>,
    /// A line for each reported violation of a guarantee; empty on success.
    pub violations: Vec<String>,
    /// The number of requests that were sent.
    pub requests: usize,
    /// The number of requests that were served successfully.
    pub served: usize,
    /// The number of writes that were refused with a status that says that they have not run.
    pub refused: usize,
    /// The number of those that an endpoint had rejected before.
    pub rejected: usize,
    /// The longest time for which the run injected and ended no faults, as its own thread was
    /// held up.
    pub stall: Duration,
    /// The log lines of each instance, with its name; empty on success.
    pub logs: Vec<(String, Vec<String>)>,
}

/// Runs the soak once.
///
/// # Errors
///
/// Fails when a process or a link can't be started.
pub fn run(options: &Options) -> Result<Report, Error> {
    let steps = plan::generate(options.seed, options.span, options.instances);
    let mut world = World::start(options)?;
    let callers = callers::start(&world, options);
    let started = Instant::now();
    let mut next = 0;
    let mut checked = started;
    let mut broken = Vec::new();
    let end = options.span + RECOVERY_TIME + FINAL_CALL_TIME;
    let mut stall = Duration::ZERO;
    let mut turn = started;
    while started.elapsed() < end && broken.is_empty() {
        stall = stall.max(turn.elapsed());
        turn = Instant::now();
        while next < steps.len() && started.elapsed() >= steps[next].at {
            world.inject(steps[next].fault);
            next += 1;
        }
        world.recover();
        if checked.elapsed() >= CHECK_INTERVAL {
            checked = Instant::now();
            broken = guarantees::check(&world.history(), false);
        }
        thread::sleep(Duration::from_millis(10));
    }
    stall = stall.max(turn.elapsed());
    callers.stop();
    if broken.is_empty() {
        world.end();
        thread::sleep(AFTERMATH_TIME);
    }
    let history = world.history();
    if broken.is_empty() {
        broken = guarantees::check(&history, true);
    }
    let successes = history.calls.iter().filter(|call| call.is_served());
    let served = successes.count();
    let refused = history.calls.iter().filter(|call| is_refused_write(call));
    let refused: BTreeSet<&str> = refused.map(|call| call.id.as_str()).collect();
    let rejections = history.rejections.iter().map(|row| row.id.as_str());
    let rejected: BTreeSet<&str> = rejections.filter(|id| refused.contains(id)).collect();
    let (refused, rejected) = (refused.len(), rejected.len());
    let logs = if broken.is_empty() {
        Vec::new()
    } else {
        world.logs()
    };
    Ok(Report {
        steps,
        violations: broken,
        requests: history.calls.len(),
        served,
        refused,
        rejected,
        stall,
        logs,
    })
}
