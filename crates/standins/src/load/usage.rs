//! Processor time and memory of the entry instances, and the number of platform calls.

use serde::Serialize;

use crate::fleet::Fleet;
use crate::load::error::Error;

/// The kernel's clock ticks per second, the unit of processor time in /proc.
const TICKS_PER_S: f64 = 100.0;

/// The size of a page of memory, in bytes.
const PAGE_BYTES: u64 = 4096;

/// The resources that a fleet used during a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// The processor time of the entry instances that are running at the end, in
    /// seconds.
    pub processor: f64,
    /// The resident memory of the largest entry instance at the end, in bytes.
    pub memory: u64,
    /// The number of calls to the platform.
    pub calls: u64,
    /// The number of pending watches at the platform at the end.
    pub watches: usize,
}

/// The resource counters of a fleet at one time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reading {
    // Process ids with processor times in seconds, sorted.
    processors: Vec<(u32, f64)>,
    memory: u64,
    calls: u64,
    watches: usize,
}

impl Reading {
    /// Reads the counters, which start at zero with each process.
    pub(crate) fn take(fleet: &Fleet) -> Result<Self, Error> {
        let calls = fleet.platform.calls()?;
        let mut reading = Self {
            calls: calls.counts.iter().map(|c| c.calls).sum(),
            watches: calls.waiting,
            ..Self::default()
        };
        for node in &fleet.nodes {
            let id = node.daemon.process.id();
            // A process that has ended counts as zero.
            let (processor, memory) = read_process(id).unwrap_or_default();
            reading.processors.push((id, processor));
            reading.memory = reading.memory.max(memory);
        }
        reading.processors.sort_by_key(|(id, _)| *id);
        Ok(reading)
    }

    /// Returns the usage since an earlier reading. An instance that was started
    /// in between counts from its start.
    pub(crate) fn since(&self, earlier: &Self) -> Usage {
        let used = |(id, now): &(u32, f64)| (now - earlier.processor_time(*id)).max(0.0);
        Usage {
            processor: self.processors.iter().map(used).sum(),
            memory: self.memory,
            calls: self.calls.saturating_sub(earlier.calls),
            watches: self.watches,
        }
    }

    fn processor_time(&self, id: u32) -> f64 {
        let at = self.processors.binary_search_by_key(&id, |(id, _)| *id);
        at.map_or(0.0, |at| self.processors[at].1)
    }
}

fn read_process(id: u32) -> Option<(f64, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let (_, fields) = stat.rsplit_once(')')?;
    let fields = fields.split_whitespace().collect::<Vec<_>>();
    let ticks = |at: usize| fields.get(at)?.parse::<f64>().ok();
    let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
    let pages = statm.split_whitespace().nth(1)?.parse::<u64>().ok()?;
    Some(((ticks(11)? + ticks(12)?) / TICKS_PER_S, pages * PAGE_BYTES))
}
