//! The thread that owns the runner and the reply rings of queued requests.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_channel::Receiver;
use async_channel::Sender;
use corianderway_model::Time;

use crate::backend::faults::Faults;
use crate::backend::gauge::Load;
use crate::backend::history::Outcome;
use crate::backend::history::Record;
use crate::backend::plan::Plan;
use crate::backend::runner::Admission;
use crate::backend::runner::Arrival;
use crate::backend::runner::Runner;
use crate::backend::runner::State;
use crate::duty;

/// A call from the front end to the runner's thread.
#[derive(Debug)]
pub(crate) enum Event {
    Arrive(Arrival),
    Finish(u64, Outcome),
    Drain(bool),
    SetFaults(Faults),
    Health,
    Load,
    History,
}

/// The reply to a call.
#[derive(Debug)]
pub(crate) enum Answer {
    Run(Plan),
    Shed,
    Done,
    Health(State),
    Load(Load),
    History(Vec<Record>),
}

type Reply = Sender<Answer>;

/// Handles calls until the front end closes the ring.
pub(crate) async fn run(mut runner: Runner, calls: Receiver<duty::Call<Event, Answer>>) {
    let mut waiting: Vec<(u64, Reply)> = Vec::new();
    while let Ok(call) = calls.recv().await {
        let now = wall_clock();
        if let Some(answer) = handle(&mut runner, now, call.event, &call.reply, &mut waiting) {
            send(&call.reply, answer);
        }
    }
}

fn handle(
    runner: &mut Runner,
    now: Time,
    event: Event,
    reply: &Reply,
    waiting: &mut Vec<(u64, Reply)>,
) -> Option<Answer> {
    Some(match event {
        Event::Arrive(arrival) => {
            let id = arrival.id;
            match runner.arrive(now, arrival) {
                Admission::Run(plan) => Answer::Run(plan),
                Admission::Shed => Answer::Shed,
                Admission::Wait => {
                    waiting.push((id, reply.clone()));
                    return None;
                }
            }
        }
        Event::Finish(id, outcome) => {
            waiting.retain(|(w, _)| *w != id);
            if let Some((next, plan)) = runner.finish(now, id, outcome) {
                start_queued(waiting, next, plan);
            }
            Answer::Done
        }
        Event::Drain(drain) => {
            runner.drain(now, drain);
            Answer::Done
        }
        Event::SetFaults(faults) => {
            runner.set_faults(now, faults);
            Answer::Done
        }
        Event::Health => return runner.health(now).map(Answer::Health),
        Event::Load => return runner.load(now).map(Answer::Load),
        Event::History => Answer::History(runner.history().to_vec()),
    })
}

fn start_queued(waiting: &mut Vec<(u64, Reply)>, id: u64, plan: Plan) {
    if let Some(at) = waiting.iter().position(|(w, _)| *w == id) {
        let (_, reply) = waiting.swap_remove(at);
        send(&reply, Answer::Run(plan));
    }
}

fn send(reply: &Reply, answer: Answer) {
    // The ring has room for a call's only answer. A closed ring means that the
    // caller has disconnected.
    drop(reply.try_send(answer));
}

/// Returns the time since the Unix epoch, so that the histories of several
/// processes can be compared.
pub(crate) fn wall_clock() -> Time {
    let span = SystemTime::now().duration_since(UNIX_EPOCH);
    Time::ZERO + span.unwrap_or_default()
}
