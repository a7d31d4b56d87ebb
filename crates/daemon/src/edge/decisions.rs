//! The decision duty: owns the decisions, and carries their actions to the other duties.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use corianderway_model::SortedMap;
use corianderway_platform::front::Outbound;
use corianderway_steer::Action;
use corianderway_steer::Event;
use corianderway_steer::Note;
use corianderway_steer::Outcome;
use corianderway_steer::RequestId;
use corianderway_steer::Severity;
use corianderway_steer::Steer;
use corianderway_wire::log_line::LogLine;
use log::Level;

use crate::clock::Clock;
use crate::edge::limits::SharedLimits;
use crate::edge::recent::Recent;
use crate::edge::rings::Answer;
use crate::edge::rings::Input;
use crate::edge::rings::Job;
use crate::edge::rings::Letter;
use crate::edge::rings::Reply;
use crate::edge::rings::StoreOrder;
use crate::logs::Log;
use crate::park;

/// What the duty tells the others without a ring.
#[derive(Clone, Debug, Default)]
pub struct Board {
    /// Whether the instance serves callers.
    pub ready: Arc<AtomicBool>,
    /// Requests whose end is not known yet.
    pub open: Arc<AtomicUsize>,
    /// Requests that callers are sending, or whose answers they take.
    pub carried: Arc<AtomicUsize>,
    /// What callers may send.
    pub limits: SharedLimits,
}

/// The sending ends that the decision duty holds.
#[derive(Debug)]
pub struct Outputs {
    /// To the servers duty.
    pub jobs: Sender<Job>,
    /// To the store duty.
    pub store: Sender<StoreOrder>,
    /// To the peers duty.
    pub peers: Sender<Letter>,
    /// To the metrics duty.
    pub samples: Sender<Note>,
}

/// Everything that the decision duty owns.
#[derive(Debug)]
pub struct Decisions {
    steer: Steer,
    clock: Clock,
    outputs: Outputs,
    board: Board,
    log: Log,
    recent: Recent,
    requests: SortedMap<RequestId, Held>,
    actions: Vec<Action>,
}

/// What the duty holds of an open request.
#[derive(Debug)]
struct Held {
    outbound: Option<Outbound>,
    reply: Sender<Reply>,
    // Dropped to stop the attempt that runs.
    attempt: Option<Sender<()>>,
    answer: Option<Answer>,
}

impl Decisions {
    /// Puts the duty together.
    pub fn new(steer: Steer, clock: Clock, outputs: Outputs, board: Board, log: Log) -> Self {
        Self {
            steer,
            clock,
            outputs,
            board,
            log,
            recent: Recent::default(),
            requests: SortedMap::default(),
            actions: Vec::new(),
        }
    }

    /// Decides until `done` is set or every sender is gone.
    pub fn run(mut self, inputs: &Receiver<Input>, done: &AtomicBool) {
        while !done.load(Ordering::Acquire) {
            let wait = self.clock.until(self.steer.next_tick());
            // Looked at before the ring, which may never be empty under load.
            if wait.is_zero() {
                self.step(Event::Tick);
                continue;
            }
            match park::wait_for(inputs.recv(), wait) {
                Some(Ok(input)) => self.take(input),
                Some(Err(_closed)) => return,
                None => (),
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Request(query, outbound, reply) => {
                self.hold(query.id, Some(outbound), reply);
                self.step(Event::Request(query));
            }
            Input::Directory(id, region, domain, reply) => {
                self.hold(id, None, reply);
                self.step(Event::Directory { id, region, domain });
            }
            Input::Attempted(id, outcome, answer) => {
                if let Some(held) = self.requests.get_mut(&id) {
                    held.attempt = None;
                    held.answer = answer.or(held.answer.take());
                }
                self.step(Event::Attempted { id, outcome });
                self.drop_orphan(id);
            }
            Input::Event(Event::CallerGone(id)) => {
                self.step(Event::CallerGone(id));
                self.drop_orphan(id);
            }
            Input::Event(event) => self.step(event),
            Input::Explain(trace, answer) => {
                // A questioner that left needs no answer.
                drop(answer.try_send(self.recent.explain(&trace)));
            }
        }
    }

    fn step(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.steer.step(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry(action);
        }
        self.actions = actions;
        self.board
            .ready
            .store(self.steer.is_ready(), Ordering::Release);
        self.board
            .open
            .store(self.steer.open_requests(), Ordering::Release);
        self.board.limits.set(self.steer.caller_limits());
    }

    fn carry(&mut self, action: Action) {
        match action {
            Action::Forward {
                id,
                server,
                addr,
                account,
                deadline,
                once,
            } => {
                let (running, stopped) = async_channel::bounded(1);
                let held = self.requests.get_mut(&id);
                let Some((held, outbound)) =
                    held.and_then(|held| held.outbound.clone().map(|outbound| (held, outbound)))
                else {
                    return;
                };
                held.attempt = Some(running);
                let job = Job {
                    id,
                    server,
                    addr,
                    account,
                    outbound,
                    deadline,
                    once,
                    stopped,
                };
                if self.outputs.jobs.try_send(job).is_err() {
                    let outcome = Outcome::NotSent;
                    self.step_nested(Event::Attempted { id, outcome });
                }
            }
            Action::Cancel(id) => {
                if let Some(held) = self.requests.get_mut(&id) {
                    held.attempt = None;
                }
            }
            Action::Deliver(id) => {
                if let Some(held) = self.requests.remove(&id) {
                    if let Some(answer) = held.answer {
                        reply(&held.reply, Reply::Answer(answer));
                    }
                }
            }
            Action::Refuse { id, refusal } => {
                if let Some(held) = self.requests.remove(&id) {
                    reply(&held.reply, Reply::Refuse(refusal));
                }
            }
            Action::AnswerDirectory { id, entries, ttl } => {
                if let Some(held) = self.requests.remove(&id) {
                    reply(&held.reply, Reply::Direct(entries, ttl));
                }
            }
            Action::Send { to, message } => {
                // A full ring loses a message; the next one says more.
                drop(self.outputs.peers.try_send((to, message)));
            }
            Action::Report {
                order, progress, ..
            } => self.order_store(StoreOrder::Report(order, progress)),
            Action::RemoveEntry(member) => self.order_store(StoreOrder::Forget(member)),
            Action::Reread => self.order_store(StoreOrder::Reread),
            Action::Follow(source) => self.order_store(StoreOrder::Follow(source)),
            Action::Probe => self.order_store(StoreOrder::Probe),
            Action::Log(note) => self.note(note),
        }
    }

    // Steps while the actions of another step are carried out.
    fn step_nested(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.steer.step(self.clock.now(), event, &mut actions);
        for action in actions {
            self.carry(action);
        }
    }

    fn hold(&mut self, id: RequestId, outbound: Option<Outbound>, reply: Sender<Reply>) {
        let held = Held {
            outbound,
            reply,
            attempt: None,
            answer: None,
        };
        self.requests.insert(id, held);
    }

    // Drops what is held of a request whose caller left and whose attempts are over.
    fn drop_orphan(&mut self, id: RequestId) {
        let over = self
            .requests
            .get(&id)
            .is_some_and(|held| held.attempt.is_none() && held.reply.is_closed());
        if over {
            self.requests.remove(&id);
        }
    }

    fn order_store(&self, order: StoreOrder) {
        if self.outputs.store.try_send(order).is_err() {
            let line = LogLine::new("store-order-dropped").with("why", "ring-full");
            self.log.put(Level::Warn, line);
        }
    }

    fn note(&mut self, note: Note) {
        let line = line(&note);
        self.recent.note(&note, &line);
        match note.severity {
            Severity::Routine => self.log.put_plain(Level::Info, line),
            Severity::Notable => self.log.put(Level::Info, line),
            Severity::Alert => self.log.put(Level::Warn, line),
        }
        // The metrics duty counts what it records; a full ring loses a sample.
        drop(self.outputs.samples.try_send(note));
    }
}

fn reply(to: &Sender<Reply>, reply: Reply) {
    // A caller that left has closed its ring.
    drop(to.try_send(reply));
}

fn line(note: &Note) -> LogLine {
    let mut line = LogLine::new(note.event);
    if let Some(trace) = &note.trace {
        line = line.with("request", trace);
    }
    note.fields
        .iter()
        .fold(line, |line, (name, value)| line.with(name, value))
}
