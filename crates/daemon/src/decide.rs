//! The decision duty: owns the node, and carries its actions to the other duties.

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
use crate::rings::Input;
use crate::rings::Order;
use crate::rings::Outputs;
use crate::rings::Probe;
use crate::rings::Question;
use crate::rings::Verdict;

/// The time between two lists for the measurement duty.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Everything that the decision duty owns.
#[derive(Debug)]
pub struct Decisions {
    node: Node,
    clock: Clock,
    outputs: Outputs,
    probes: Sender<Probe>,
    samples: Sender<Record>,
    log: Log,
    history: History,
    // The rings of open requests, sorted by number.
    verdicts: Vec<(RequestId, Sender<Verdict>)>,
    actions: Vec<Action>,
    // When the measurement duty was last given a list.
    listed: Time,
}

impl Decisions {
    /// Puts the duty together.
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
            listed: Time::ZERO,
        }
    }

    /// Decides until `done` is set.
    pub fn run(mut self, inputs: Receiver<Input>, done: Arc<AtomicBool>) {
        let mut next = self.clock.now() + TICK_INTERVAL;
        while !done.load(Ordering::Acquire) {
            let wait = self.clock.until(next);
            // Looked at before the ring, which may never be empty under load.
            if wait.is_zero() {
                self.step(Event::Tick {
                    wall: clock::wall(),
                });
                next = self.clock.now() + TICK_INTERVAL;
                self.list_probes();
            } else if let Some(input) = receive(&inputs, wait) {
                self.take(input);
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Request(query, ring) => {
                self.open(query.id, ring);
                self.step(Event::Request(query));
            }
            Input::Directory(id, client, ring) => {
                self.open(id, ring);
                let client = client.ip();
                self.step(Event::Directory { id, client });
                self.close(id);
            }
            Input::Event(event) => self.pass(event),
            Input::Ask(question, answer) => {
                let text = self.answer(&question);
                // A questioner that left needs no answer.
                drop(answer.try_send(text));
            }
        }
    }

    // Tells the measurement duty which servers to look at.
    fn list_probes(&mut self) {
        let now = self.clock.now();
        if now.since(self.listed) < PROBE_PERIOD {
            return;
        }
        self.listed = now;
        // A full ring is followed by a later list.
        let list = self.node.polled_servers().to_vec();
        drop(self.probes.try_send(Probe::List(list)));
    }

    fn pass(&mut self, event: Event) {
        let ended = match &event {
            Event::RequestEnded { id, .. } => Some(*id),
            _ => None,
        };
        self.step(event);
        if let Some(id) = ended {
            self.close(id);
        }
    }

    fn step(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.node.step(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry(action);
        }
        self.actions = actions;
    }

    fn carry(&mut self, action: Action) {
        match action {
            Action::Forward {
                id,
                server,
                start_by,
                deadline,
                fresh,
                keep,
            } => {
                let verdict = Verdict::Forward {
                    server,
                    start_by,
                    deadline,
                    fresh,
                    keep,
                };
                self.tell(id, verdict);
            }
            Action::Refuse { id, refusal } => self.tell(id, Verdict::Refuse(refusal)),
            Action::Replay { id, answer } => self.tell(id, Verdict::Replay(answer)),
            Action::Advise { id, entries, ttl } => self.tell(id, Verdict::Direct(entries, ttl)),
            Action::Write { ticket, write } => {
                let order = Order::Write(ticket, write);
                if self.outputs.platform.try_send(order).is_err() {
                    let wrote = WriteOutcome::NotSent;
                    self.step_nested(Event::WriteEnded { ticket, wrote });
                }
            }
            Action::Read { ticket, kind, name } => {
                let order = Order::Read(ticket, kind, name);
                if self.outputs.platform.try_send(order).is_err() {
                    let found = ReadOutcome::Unknown;
                    self.step_nested(Event::ReadEnded { ticket, found });
                }
            }
            Action::ListConfig { call } => self.call(call, Order::List(call)),
            Action::WatchConfig { call, after } => self.call(call, Order::Watch(call, after)),
            Action::ListClaims => {
                if self.outputs.platform.try_send(Order::Claims).is_err() {
                    self.step_nested(Event::ClaimsListed(None));
                }
            }
            Action::Send { to, message } => self.send(to, message),
            Action::Probe { server, addr } => {
                // A full ring leaves it to the next list.
                drop(self.probes.try_send(Probe::One(server, addr)));
            }
            Action::Log(record) => self.note(record),
        }
    }

    fn call(&mut self, call: u64, order: Order) {
        if self.outputs.platform.try_send(order).is_err() {
            self.step_nested(Event::ConfigCallFailed { call });
        }
    }

    // Steps while the actions of another step are carried out.
    fn step_nested(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.node.step(self.clock.now(), event, &mut actions);
        for action in actions {
            self.carry(action);
        }
    }

    fn send(&mut self, to: std::net::SocketAddr, message: corianderway_node::Message) {
        if self.outputs.peers.is_full() {
            // The oldest message gives way.
            drop(self.outputs.crowded.try_recv());
        }
        // The ring has room now, for this duty is its only sender.
        drop(self.outputs.peers.try_send((to, message)));
    }

    fn note(&mut self, record: Record) {
        self.history.note(&record);
        self.log.put(record::level(&record), record::line(&record));
        // The metrics duty counts what it records; a full ring loses a sample.
        drop(self.samples.try_send(record));
    }

    fn answer(&mut self, question: &Question) -> String {
        match question {
            Question::Ready if self.node.is_ready() => "ready".to_owned(),
            Question::Ready => "not-ready".to_owned(),
            Question::Status => {
                let status = self.node.status();
                serde_json::to_string(&status).unwrap_or_default()
            }
            Question::InForce(id, version) => {
                let mut actions = Vec::new();
                let now = self.clock.now();
                let reach = self.node.in_force_status(now, id, *version, &mut actions);
                for action in actions {
                    self.carry(action);
                }
                serde_json::to_string(&reach).unwrap_or_default()
            }
            Question::Explain(trace) => self.history.explain(trace),
        }
    }

    fn open(&mut self, id: RequestId, ring: Sender<Verdict>) {
        let at = self.verdicts.partition_point(|row| row.0 < id);
        self.verdicts.insert(at, (id, ring));
    }

    fn close(&mut self, id: RequestId) {
        if let Ok(at) = self.verdicts.binary_search_by_key(&id, |row| row.0) {
            self.verdicts.remove(at);
        }
    }

    fn tell(&self, id: RequestId, verdict: Verdict) {
        if let Ok(at) = self.verdicts.binary_search_by_key(&id, |row| row.0) {
            // A caller that left has closed its ring.
            drop(self.verdicts[at].1.try_send(verdict));
        }
    }
}

// Waits for an input, or for the time to pass.
fn receive(inputs: &Receiver<Input>, wait: Duration) -> Option<Input> {
    park::wait_for(inputs.recv(), wait)?.ok()
}
