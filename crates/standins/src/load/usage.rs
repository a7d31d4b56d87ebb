//! Processor time and memory of the entry daemons, and the platform's calls.

use serde::Serialize;

use crate::fleet::Fleet;
use crate::load::error::Error;

/// The kernel's unit of processor time in /proc, per second.
const TICKS: f64 = 100.0;

/// The size of a page of memory, in bytes.
const PAGE_BYTES: u64 = 4096;

/// What the fleet used in a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time of all entry daemons, in seconds.
    pub processor: f64,
    /// Resident memory of the largest entry daemon, in bytes.
    pub memory: u64,
    /// Calls to the platform.
    pub calls: u64,
    /// Watches that wait at the platform.
    pub watches: usize,
}

impl Usage {
    /// Reads what has been used since the start of the processes.
    pub(crate) fn read(fleet: &Fleet) -> Result<Self, Error> {
        let mut usage = Self::default();
        for node in &fleet.nodes {
            // A daemon that has died uses nothing any more.
            let (processor, memory) = process(node.daemon.process.id()).unwrap_or_default();
            usage.processor += processor;
            usage.memory = usage.memory.max(memory);
        }
        let calls = fleet.platform.calls()?;
        usage.calls = calls.counts.iter().map(|c| c.calls).sum();
        usage.watches = calls.waiting;
        Ok(usage)
    }

    /// What was used since an earlier reading.
    #[must_use]
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        Self {
            processor: (self.processor - earlier.processor).max(0.0),
            memory: self.memory,
            calls: self.calls.saturating_sub(earlier.calls),
            watches: self.watches,
        }
    }
}

fn process(id: u32) -> Option<(f64, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let (_, fields) = stat.rsplit_once(')')?;
    let fields = fields.split_whitespace().collect::<Vec<_>>();
    let ticks = |at: usize| fields.get(at)?.parse::<f64>().ok();
    let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
    let pages = statm.split_whitespace().nth(1)?.parse::<u64>().ok()?;
    Some(((ticks(11)? + ticks(12)?) / TICKS, pages * PAGE_BYTES))
}
