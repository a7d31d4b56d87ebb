//! The decision duty: runs the decision core and executes its actions.
//!
//! The duty receives requests and events, passes them to [`Steer`], and sends the
//! resulting actions to the other duties. Changes of the store have a ring of their own
//! and go first, so that they don't wait behind the requests of an instance that is
//! behind with its work. It never blocks on a
//! ring: if an output ring is full, the attempt ends as not sent or the message
//! is dropped. Each request gets at most one reply. The duty owns the head and the
//! body of each request, from its arrival until the action that ends it.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

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
use crate::descriptors::Descriptors;
use crate::descriptors::Share;
use crate::edge::body_memory::Reservation;
use crate::edge::limits::SharedLimits;
use crate::edge::recent::Recent;
use crate::edge::rings::Answer;
use crate::edge::rings::DutyInput;
use crate::edge::rings::Input;
use crate::edge::rings::Job;
use crate::edge::rings::PeerMessage;
use crate::edge::rings::Reply;
use crate::edge::rings::ServerCommand;
use crate::edge::rings::StoreCommand;
use crate::logs::Log;
use crate::park;
use crate::prioritized::Prioritized;
use crate::slots::Slots;

/// State that duties share without a ring.
#[derive(Clone, Debug, Default)]
pub struct SharedState {
    /// Whether the instance serves callers.
    pub ready: Arc<AtomicBool>,
    /// The number of requests that the decision core has not finished.
    pub open: Arc<AtomicUsize>,
    /// The number of requests that are being read from callers, decided, or
    /// answered.
    pub active: Arc<AtomicUsize>,
    /// The number of requests that were read behind an open one of their connection and are
    /// not answered.
    pub behind: Arc<AtomicUsize>,
    /// The number of requests whose head and body the decision duty holds.
    pub held: Arc<AtomicUsize>,
    /// The number of requests that wait for room at a backend server.
    pub waiting: Arc<AtomicUsize>,
    /// The number of open connections from callers.
    pub connections: Arc<AtomicUsize>,
    /// The fencing token of the duty that this instance holds, or 0.
    pub duty_token: Arc<AtomicU64>,
    /// The limits on callers' requests.
    pub limits: SharedLimits,
}

impl SharedState {
    /// Returns the slots of callers' connections.
    pub fn caller_slots(&self, descriptors: Descriptors) -> Slots {
        let used = Arc::clone(&self.connections);
        Slots::new(used, descriptors.share(Share::Callers))
    }
}

/// The rings to which the decision duty sends.
#[derive(Debug)]
pub struct Outputs {
    /// To the servers duty.
    pub servers: Sender<ServerCommand>,
    /// To the store duty.
    pub store: Sender<StoreCommand>,
    /// To the peers duty.
    pub peers: Sender<PeerMessage>,
    /// To the metrics duty.
    pub samples: Sender<Note>,
    /// To the duties thread, if there are duties.
    pub duties: Option<Sender<DutyInput>>,
}

/// The state of the decision duty.
#[derive(Debug)]
pub struct DecisionDuty {
    steer: Steer,
    clock: Clock,
    outputs: Outputs,
    shared: SharedState,
    log: Log,
    recent: Recent,
    requests: SortedMap<RequestId, OpenRequest>,
    actions: Vec<Action>,
}

/// A request that has no reply yet, or whose attempt still runs.
#[derive(Debug)]
struct OpenRequest {
    outbound: Option<Outbound>,
    reply: Sender<Reply>,
    attempt: Option<RunningAttempt>,
    answer: Option<Answer>,
    // The memory of the body, also while its caller has gone.
    #[expect(dead_code, reason = "held for its drop")]
    reservation: Option<Reservation>,
}

/// An attempt that runs. Dropping it cancels the attempt.
#[derive(Debug)]
struct RunningAttempt {
    #[expect(dead_code, reason = "held for its drop")]
    cancel: Sender<()>,
    // Set if nothing may be sent any more, unless the first byte has been.
    recalled: Arc<AtomicBool>,
}

impl DecisionDuty {
    /// Creates the duty with no open requests.
    pub fn new(
        steer: Steer,
        clock: Clock,
        outputs: Outputs,
        shared: SharedState,
        log: Log,
    ) -> Self {
        Self {
            steer,
            clock,
            outputs,
            shared,
            log,
            recent: Recent::default(),
            requests: SortedMap::default(),
            actions: Vec::new(),
        }
    }

    /// Processes inputs until `done` is set or every sender has been dropped.
    pub fn run(mut self, inputs: &Prioritized<Input>, done: &AtomicBool) {
        while !done.load(Ordering::Acquire) {
            let wait = self.clock.until(self.steer.next_tick());
            // Checked before the ring, which may never be empty under load.
            if wait.is_zero() {
                self.step(Event::Tick);
                continue;
            }
            match park::wait_for(inputs.next(), wait) {
                Some(Ok(input)) => self.receive(input),
                Some(Err(_closed)) => return,
                None => (),
            }
        }
    }

    fn receive(&mut self, input: Input) {
        match input {
            Input::Request(query, body, reply) => {
                let (outbound, reservation) = body;
                let entry = OpenRequest {
                    outbound: Some(outbound),
                    reply,
                    attempt: None,
                    answer: None,
                    reservation: Some(reservation),
                };
                self.requests.insert(query.id, entry);
                self.step(Event::Request(query));
            }
            Input::Directory(id, region, domain, reply) => {
                let entry = OpenRequest {
                    outbound: None,
                    reply,
                    attempt: None,
                    answer: None,
                    reservation: None,
                };
                self.requests.insert(id, entry);
                self.step(Event::Directory { id, region, domain });
            }
            Input::Attempted(id, outcome, answer) => {
                if let Some(entry) = self.requests.get_mut(&id) {
                    entry.attempt = None;
                    entry.answer = answer.or(entry.answer.take());
                }
                self.step(Event::AttemptEnded { id, outcome });
            }
            Input::Event(event) => {
                if let Event::Members(members) = &event {
                    self.send_to_duties(DutyInput::Members(members.clone()));
                }
                self.step(event);
            }
            Input::Note(note) => self.publish_note(note),
            Input::Explain(trace, answer) => {
                // Fails if the operator's connection has been closed.
                drop(answer.try_send(self.recent.explain(&trace)));
            }
        }
    }

    fn step(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.steer.step(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
        self.shared
            .ready
            .store(self.steer.is_ready(), Ordering::Release);
        self.shared
            .open
            .store(self.steer.open_requests(), Ordering::Release);
        self.shared
            .held
            .store(self.requests.len(), Ordering::Release);
        self.shared
            .waiting
            .store(self.steer.waiting_requests(), Ordering::Release);
        if let Some(plan) = self.steer.plan() {
            self.shared.limits.set(plan);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Forward {
                id,
                server,
                addr,
                account,
                deadline,
                begin_by,
                once,
            } => {
                let (cancel, cancelled) = async_channel::bounded(1);
                let entry = self.requests.get_mut(&id);
                let Some((entry, outbound)) = entry
                    .and_then(|entry| entry.outbound.clone().map(|outbound| (entry, outbound)))
                else {
                    return;
                };
                let recalled = Arc::new(AtomicBool::new(false));
                entry.attempt = Some(RunningAttempt {
                    cancel,
                    recalled: Arc::clone(&recalled),
                });
                let job = Job {
                    id,
                    server,
                    addr,
                    account,
                    outbound,
                    deadline,
                    begin_by,
                    recalled,
                    once,
                    cancelled,
                };
                let command = ServerCommand::Attempt(job);
                if self.outputs.servers.try_send(command).is_err() {
                    let outcome = Outcome::NotSent;
                    self.step_nested(Event::AttemptEnded { id, outcome });
                }
            }
            Action::CheckServer { server, addr } => {
                // Dropped if the ring is full; a failed attempt shows the same.
                drop(
                    self.outputs
                        .servers
                        .try_send(ServerCommand::Check(server, addr)),
                );
            }
            Action::Recall(id) => {
                let entry = self.requests.get_mut(&id);
                if let Some(attempt) = entry.and_then(|entry| entry.attempt.as_ref()) {
                    attempt.recalled.store(true, Ordering::Release);
                }
            }
            Action::Cancel(id) => {
                if let Some(entry) = self.requests.get_mut(&id) {
                    entry.attempt = None;
                }
            }
            Action::Deliver(id) => {
                if let Some(entry) = self.requests.remove(&id) {
                    if let Some(answer) = entry.answer {
                        send_reply(&entry.reply, Reply::Answer(answer));
                    }
                }
            }
            Action::Release(id) => {
                self.requests.remove(&id);
            }
            Action::Refuse { id, refusal } => {
                if let Some(entry) = self.requests.remove(&id) {
                    send_reply(&entry.reply, Reply::Refuse(refusal));
                }
            }
            Action::AnswerDirectory { id, entries, ttl } => {
                if let Some(entry) = self.requests.remove(&id) {
                    send_reply(&entry.reply, Reply::Instances(entries, ttl));
                }
            }
            Action::Send { to, message } => {
                // Dropped if the ring is full; the next message supersedes it.
                drop(self.outputs.peers.try_send((to, message)));
            }
            Action::RecordProgress {
                order, progress, ..
            } => self.send_to_store(StoreCommand::ReportProgress(order, progress)),
            Action::RemoveEntry(member) => self.send_to_store(StoreCommand::RemoveMember(member)),
            Action::Reread => self.send_to_store(StoreCommand::Reread),
            Action::Follow(source) => self.send_to_store(StoreCommand::Follow(source)),
            Action::Probe => self.send_to_store(StoreCommand::Probe),
            Action::CountAttempts(counts) => self.send_to_duties(DutyInput::Counted(counts)),
            Action::Log(note) => self.publish_note(note),
        }
    }

    // Runs a step from within the execution of another step's actions.
    fn step_nested(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.steer.step(self.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn send_to_store(&self, command: StoreCommand) {
        if self.outputs.store.try_send(command).is_err() {
            let line = LogLine::new("store-order-dropped").with("why", "ring-full");
            self.log.put(Level::Warn, line);
        }
    }

    fn send_to_duties(&self, input: DutyInput) {
        let Some(duties) = &self.outputs.duties else {
            return;
        };
        if duties.try_send(input).is_err() {
            let line = LogLine::new("duty-input-dropped").with("why", "ring-full");
            self.log.put(Level::Warn, line);
        }
    }

    fn publish_note(&mut self, note: Note) {
        let line = line(&note);
        self.recent.record(&note, &line);
        match note.severity {
            Severity::Routine => self.log.put_low_priority(Level::Info, line),
            Severity::Notable => self.log.put(Level::Info, line),
            Severity::Alert => self.log.put(Level::Warn, line),
        }
        // A sample is lost if the ring is full.
        drop(self.outputs.samples.try_send(note));
    }
}

fn send_reply(to: &Sender<Reply>, reply: Reply) {
    // Fails if the caller has disconnected.
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
