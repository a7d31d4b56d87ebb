//! A randomized soak of instances on the platform: real processes, faults from
//! outside them, and the promises checked on what callers and endpoints see.
//!
//! A run is drawn from a seed: [`plan`] draws the faults, [`world`] carries
//! them out on processes and links, [`callers`] ask all the while, and
//! [`promises`] checks the [`history`] each second and at the end.

mod callers;
mod history;
mod plan;
mod promises;
mod world;

use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::harness::Error;
pub use crate::soak::history::Call;
pub use crate::soak::plan::Fault;
pub use crate::soak::plan::Step;
use crate::soak::world::World;

/// The time after the last fault in which everything has to be well again.
const RECOVERY: Duration = Duration::from_secs(15);

/// The time for which callers go on after that.
const CALM: Duration = Duration::from_secs(2);

/// The time between two checks of the promises.
const CHECK: Duration = Duration::from_secs(1);

/// What a run is drawn from.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of the faults and of the callers.
    pub seed: u64,
    /// For how long faults are injected.
    pub span: Duration,
    /// The instances; they stand in three failure domains in turn.
    pub instances: usize,
    /// The callers, a connection each.
    pub callers: usize,
    /// Where settings files are written.
    pub dir: PathBuf,
}

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// The faults, in their order.
    pub steps: Vec<Step>,
    /// The promises that were broken, a line each.
    pub broken: Vec<String>,
    /// Requests that were asked, and those that were answered with success.
    pub asked: usize,
    /// Those that were answered with success.
    pub served: usize,
    /// The logs of all instances, by name; kept if a promise was broken.
    pub logs: Vec<(String, Vec<String>)>,
}

/// Plays one run.
///
/// # Errors
///
/// Fails when a process or a link can't be started.
pub fn run(options: &Options) -> Result<Report, Error> {
    let steps = plan::draw(options.seed, options.span, options.instances);
    let mut world = World::start(options)?;
    let callers = callers::start(&world, options);
    let begun = Instant::now();
    let mut next = 0;
    let mut checked = begun;
    let mut broken = Vec::new();
    let end = options.span + RECOVERY + CALM;
    while begun.elapsed() < end && broken.is_empty() {
        while next < steps.len() && begun.elapsed() >= steps[next].at {
            world.inject(steps[next].fault);
            next += 1;
        }
        world.repair();
        if checked.elapsed() >= CHECK {
            checked = Instant::now();
            broken = promises::check(&world.history(), false);
        }
        thread::sleep(Duration::from_millis(10));
    }
    callers.stop();
    let history = world.history();
    if broken.is_empty() {
        broken = promises::check(&history, true);
    }
    let answered = history.calls.iter().filter(|call| call.is_served());
    let served = answered.count();
    let logs = if broken.is_empty() {
        Vec::new()
    } else {
        world.logs()
    };
    Ok(Report {
        steps,
        broken,
        asked: history.calls.len(),
        served,
        logs,
    })
}
