//! A worker thread, which sends its share of the schedule.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use async_channel::Sender;

use crate::load::caller::Caller;
use crate::load::sample::Sample;
use crate::load::schedule::Schedule;

/// The share of the schedule that a worker sends: every `workers`th request from
/// `number` on.
#[derive(Debug)]
pub(crate) struct WorkerShare {
    pub(crate) schedule: Arc<Schedule>,
    pub(crate) seed: u64,
    pub(crate) number: usize,
    pub(crate) workers: usize,
    pub(crate) start: Instant,
}

/// Sends every request of the share at its scheduled time, and all samples to
/// `samples` at the end.
pub(crate) async fn run(share: WorkerShare, caller: Caller, samples: Sender<Vec<Sample>>) {
    let (share, caller) = (Rc::new(share), Rc::new(caller));
    let mut sent = Vec::new();
    let arrivals = share.schedule.arrivals.iter().enumerate();
    for (at, arrival) in arrivals.skip(share.number).step_by(share.workers) {
        let scheduled = share.start + arrival.at;
        let wait = scheduled.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            async_std::task::sleep(wait).await;
        }
        let task = send(share.clone(), caller.clone(), at, scheduled);
        sent.push(async_std::task::spawn_local(task));
    }
    let mut done = Vec::with_capacity(sent.len());
    for task in sent {
        done.push(task.await);
    }
    // Fails only if the run has ended with an error and dropped the receiver.
    drop(samples.send(done).await);
}

/// Returns the prefix of every request id of a run, which differs from those of
/// other runs on the machine.
pub(crate) fn id_prefix(seed: u64) -> String {
    format!("q{}x{seed}-", std::process::id())
}

async fn send(share: Rc<WorkerShare>, caller: Rc<Caller>, at: usize, scheduled: Instant) -> Sample {
    let arrival = &share.schedule.arrivals[at];
    let class = share.schedule.class(arrival);
    let id = format!("{}{at}", id_prefix(share.seed));
    let attempts = caller.send(arrival, class, &id).await;
    Sample {
        arrival: at,
        latency: scheduled.elapsed(),
        attempts,
    }
}
