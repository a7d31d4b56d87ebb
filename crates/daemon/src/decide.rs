//! The decision duty: feeds events to the node and sends its actions to the other duties.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use corianderway_model::Time;
use corianderway_node::Action;
use corianderway_node::Event;
use corianderway_node::Node;
use corianderway_node::ReadOutcome;
use corianderway_node::Record;
use corianderway_node::RequestId;
use corianderway_node::WriteOutcome;
use corianderway_node::TICK_INTERVAL;

use crate::clock;
use crate::clock::Clock;
use crate::history::History;
use crate::logs::Log;
use crate::park;
use crate::record;
use crate::rings::AdminQuery;
use crate::rings::Command;
use crate::rings::Input;
use crate::rings::Outputs;
use crate::rings::Probe;
use crate::rings::Verdict;

/// Interval at which the list of backend servers to probe is sent.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The state of the decision duty.
///
/// It receives an [`Input`], steps the node, and executes the actions that the
/// node returns. Only this duty accesses the node.
#[derive(Debug)]
pub struct DecisionDuty {
    node: Node,
    clock: Clock,
    outputs: Outputs,
    probes: Sender<Probe>,
    samples: Sender<Record>,
    log: Log,
    history: History,
    // Verdict senders of open requests, sorted by request id.
    verdicts: Vec<(RequestId, Sender<Verdict>)>,
    actions: Vec<Action>,
    // When the last list was sent to the measurement duty.
    last_probe_list: Time,
}

impl DecisionDuty {
    pub fn new(
        node: Node,
        clock: Clock,
        outputs: Outputs,
        probes: Sender<Probe>,
        samples: Sender<Record>,
        log: Log,
    ) -> Self {
        Self {
            node,
            clock,
            outputs,
            probes,
            samples,
            log,
            history: History::default(),
            verdicts: Vec::new(),
            actions: Vec::new(),
            last_probe_list: Time::ZERO,
        }
    }

    /// Handles inputs and ticks until `done` is set.
    pub fn run(mut self, inputs: Receiver<Input>, done: Arc<AtomicBool>) {
        let mut next = self.clock.now() + TICK_INTERVAL;
        while !done.load(Ordering::Acquire) {
            let wait = self.clock.until(next);
            // Ticks come before inputs, since the ring may never be empty under load.
            if wait.is_zero() {
                self.step(Event::Tick {
                    wall: clock::wall(),
                });
                next = self.clock.now() + TICK_INTERVAL;
                self.list_probes();
            } else if let Some(input) = receive(&inputs, wait) {
                self.handle_input(input);
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Request(head, sender) => {
                self.register(head.id, sender);
                self.step(Event::Request(head));
            }
            Input::Directory(id, client, sender) => {
                self.register(id, sender);
                let client = client.ip();
                self.step(Event::Directory { id, client });
                self.unregister(id);
            }
            Input::Event(event) => self.handle_event(event),
            Input::Query(query, answers) => {
                let text = self.answer_query(&query);
                // The connection that asked may be closed.
                drop(answers.try_send(text));
            }
        }
    }

    // Sends the measurement duty the servers to probe, once per interval.
    fn list_probes(&mut self) {
        let now = self.clock.now();
        if now.since(self.last_probe_list) < PROBE_INTERVAL {
            return;
        }
        self.last_probe_list = now;
        // If the ring is full, a later list replaces this one.
        let list = self.node.polled_servers().to_vec();
        drop(self.probes.try_send(Probe::List(list)));
    }

    fn handle_event(&mut self, event: Event) {
        let ended = match &event {
            Event::RequestEnded { id, .. } => Some(*id),
            _ => None,
        };
        self.step(event);
        if let Some(id) = ended {
            self.unregister(id);
        }
    }

    fn step(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.node.step(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Forward {
                id,
                server,
                start_by,
                deadline,
                new_connection,
                record_response,
            } => {
                let verdict = Verdict::Forward {
                    server,
                    start_by,
                    deadline,
                    new_connection,
                    record_response,
                };
                self.reply(id, verdict);
            }
            Action::Refuse { id, refusal } => self.reply(id, Verdict::Refuse(refusal)),
            Action::Replay { id, answer } => self.reply(id, Verdict::Replay(answer)),
            Action::Advise { id, entries, ttl } => self.reply(id, Verdict::Entries(entries, ttl)),
            Action::Write { ticket, write } => {
                let command = Command::Write(ticket, write);
                if self.outputs.platform.try_send(command).is_err() {
                    let outcome = WriteOutcome::NotSent;
                    self.step_nested(Event::WriteEnded { ticket, outcome });
                }
            }
            Action::Read { ticket, kind, name } => {
                let command = Command::Read(ticket, kind, name);
                if self.outputs.platform.try_send(command).is_err() {
                    let outcome = ReadOutcome::Unknown;
                    self.step_nested(Event::ReadEnded { ticket, outcome });
                }
            }
            Action::ListConfig { call } => self.call(call, Command::List(call)),
            Action::WatchConfig { call, after } => self.call(call, Command::Watch(call, after)),
            Action::ListClaims => {
                if self.outputs.platform.try_send(Command::Claims).is_err() {
                    self.step_nested(Event::ClaimsListed(None));
                }
            }
            Action::Send { to, message } => self.send(to, message),
            Action::Probe { server, addr } => {
                // If the ring is full, the next list covers this server.
                drop(self.probes.try_send(Probe::One(server, addr)));
            }
            Action::Log(record) => self.log_record(record),
        }
    }

    fn call(&mut self, call: u64, command: Command) {
        if self.outputs.platform.try_send(command).is_err() {
            self.step_nested(Event::ConfigCallFailed { call });
        }
    }

    // Steps the node while the actions of another step are being executed, for
    // which `self.actions` is in use.
    fn step_nested(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.node.step(self.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn send(&mut self, to: std::net::SocketAddr, message: corianderway_node::Message) {
        if self.outputs.peers.is_full() {
            // Drops the oldest message.
            drop(self.outputs.queued_messages.try_recv());
        }
        // The ring has room, since this duty is its only sender.
        drop(self.outputs.peers.try_send((to, message)));
    }

    fn log_record(&mut self, record: Record) {
        self.history.add(&record);
        self.log.put(record::level(&record), record::line(&record));
        // If the ring is full, the sample is lost.
        drop(self.samples.try_send(record));
    }

    fn answer_query(&mut self, query: &AdminQuery) -> String {
        match query {
            AdminQuery::Ready if self.node.is_ready() => "ready".to_owned(),
            AdminQuery::Ready => "not-ready".to_owned(),
            AdminQuery::Status => {
                let status = self.node.status();
                serde_json::to_string(&status).unwrap_or_default()
            }
            AdminQuery::InForce(id, version) => {
                let mut actions = Vec::new();
                let now = self.clock.now();
                let reach = self.node.in_force_status(now, id, *version, &mut actions);
                for action in actions {
                    self.execute(action);
                }
                serde_json::to_string(&reach).unwrap_or_default()
            }
            AdminQuery::Explain(request_id) => self.history.explain(request_id),
        }
    }

    fn register(&mut self, id: RequestId, sender: Sender<Verdict>) {
        let at = self.verdicts.partition_point(|row| row.0 < id);
        self.verdicts.insert(at, (id, sender));
    }

    fn unregister(&mut self, id: RequestId) {
        if let Ok(at) = self.verdicts.binary_search_by_key(&id, |row| row.0) {
            self.verdicts.remove(at);
        }
    }

    fn reply(&self, id: RequestId, verdict: Verdict) {
        if let Ok(at) = self.verdicts.binary_search_by_key(&id, |row| row.0) {
            // The ring is closed if the caller has disconnected.
            drop(self.verdicts[at].1.try_send(verdict));
        }
    }
}

// Returns the next input, or nothing once `wait` has passed.
fn receive(inputs: &Receiver<Input>, wait: Duration) -> Option<Input> {
    park::wait_for(inputs.recv(), wait)?.ok()
}
