//! A thread that sends its part of the schedule.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use async_channel::Sender;

use crate::load::caller::Caller;
use crate::load::sample::Sample;
use crate::load::schedule::Schedule;

/// The part of the schedule that a worker sends.
#[derive(Debug)]
pub(crate) struct Part {
    pub(crate) schedule: Arc<Schedule>,
    pub(crate) seed: u64,
    pub(crate) number: usize,
    pub(crate) workers: usize,
    pub(crate) start: Instant,
}

/// Sends every request of the part at its time and reports all samples at the end.
pub(crate) async fn run(part: Part, caller: Caller, samples: Sender<Vec<Sample>>) {
    let (part, caller) = (Rc::new(part), Rc::new(caller));
    let mut sent = Vec::new();
    let arrivals = part.schedule.arrivals.iter().enumerate();
    for (at, arrival) in arrivals.skip(part.number).step_by(part.workers) {
        let due = part.start + arrival.at;
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            async_std::task::sleep(wait).await;
        }
        let task = send(part.clone(), caller.clone(), at, due);
        sent.push(async_std::task::spawn_local(task));
    }
    let mut done = Vec::with_capacity(sent.len());
    for task in sent {
        done.push(task.await);
    }
    // The run that asked for the samples waits for them.
    drop(samples.send(done).await);
}

/// The beginning of every request id of a run; other runs on the machine have others.
pub(crate) fn run_id(seed: u64) -> String {
    format!("q{}x{seed}-", std::process::id())
}

async fn send(part: Rc<Part>, caller: Rc<Caller>, at: usize, due: Instant) -> Sample {
    let arrival = &part.schedule.arrivals[at];
    let class = part.schedule.class(arrival);
    let id = format!("{}{at}", run_id(part.seed));
    let sendings = caller.send(arrival, class, &id).await;
    Sample {
        arrival: at,
        latency: due.elapsed(),
        sendings,
    }
}
