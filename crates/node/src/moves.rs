//! Version moves: selects the version of each request and connects the rollout state
//! machine with the store and the other instances.

use std::sync::Arc;

use corianderway_control::Event as ControlEvent;
use corianderway_control::Id;
use corianderway_control::Kind;
use corianderway_control::Object;
use corianderway_model::Service;
use corianderway_model::Time;
use corianderway_model::Version;
use corianderway_rollout::Action as MoveAction;
use corianderway_rollout::Event as MoveEvent;
use corianderway_rollout::Moment;
use corianderway_rollout::Move;
use corianderway_rollout::Outcome as VersionOutcome;
use corianderway_rollout::Share;
use corianderway_rollout::State as MoveState;
use corianderway_rollout::Stored;
use rand::Rng as _;

use crate::event::Action;
use crate::event::AttemptOutcome;
use crate::event::ReadOutcome;
use crate::event::StoredValue;
use crate::event::Write;
use crate::event::WriteOutcome;
use crate::message::Message;
use crate::node::Node;
use crate::open::OpenRequest;
use crate::record::Record;
use crate::tickets::Purpose;

/// The fraction of a version's slots that its share of the load may occupy.
const MAX_UTILIZATION: f64 = 0.8;

impl Node {
    /// Converts `now` to a moment with the wall clock.
    pub(crate) fn moment(&self, now: Time) -> Moment {
        let since = now.since(self.wall_base.0).as_millis() as u64;
        Moment {
            time: now,
            wall: self.wall_base.1 + since,
        }
    }

    /// The wall clock in seconds since the Unix epoch.
    pub(crate) fn unix_seconds(&self, now: Time) -> u64 {
        self.moment(now).wall / 1_000
    }

    /// Steps the rollout state machine and performs its actions.
    pub(crate) fn step_moves(&mut self, now: Time, event: MoveEvent, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        let at = self.moment(now);
        self.rollout.step(at, event, &mut actions);
        for action in actions {
            match action {
                MoveAction::Write { record, expect } => self.write_move(record, expect, out),
                MoveAction::Read { service } => self.read_move(service, out),
                MoveAction::Report(report) => self.broadcast(&Message::Move(report), out),
                MoveAction::Stop(stop) => self.broadcast(&Message::MoveStop(stop), out),
                MoveAction::Log(decision) => out.push(Action::Log(Record::Other {
                    event: "move",
                    detail: serde_json::to_string(&decision).unwrap_or_default().into(),
                })),
            }
        }
    }

    /// Selects the version for a request, or none if its service has never moved.
    pub(crate) fn pick_version(&mut self, open: &mut OpenRequest) -> Option<Version> {
        let draw = self.rng.random();
        let picked = self.rollout.choose(&open.route.service, draw);
        open.picked_version.clone_from(&picked);
        picked
    }

    /// The base version, which may be used if no server of the target is free. None if
    /// the move is done or `picked` is not its target.
    pub(crate) fn base_version(&self, service: &Service, picked: &Version) -> Option<Version> {
        let record = self.rollout.snapshot(service)?.record.value;
        (record.to == *picked && record.state != MoveState::Done).then_some(record.from)
    }

    /// Records how a request ended at the version that was selected for it.
    pub(crate) fn record_version_outcome(
        &mut self,
        now: Time,
        open: &mut OpenRequest,
        end: VersionOutcome,
    ) {
        if let Some(version) = open.picked_version.take() {
            let at = self.moment(now);
            let (service, route) = (&open.route.service, &open.route.name);
            self.rollout
                .record_outcome(at, service, route, &version, end);
        }
    }

    /// Reports for each moving service the share of its load that the target's servers
    /// can carry.
    pub(crate) fn report_capacity(&mut self, now: Time, out: &mut Vec<Action>) {
        let services: Vec<Service> = self.rollout.services().cloned().collect();
        for service in services {
            let Some(standpoint) = self.rollout.snapshot(&service) else {
                continue;
            };
            let version = standpoint.record.value.to;
            let share = self.fitting_share(&service, &version);
            let event = MoveEvent::Capacity {
                service,
                version,
                share,
            };
            self.step_moves(now, event, out);
        }
    }

    fn fitting_share(&self, service: &Service, version: &Version) -> Share {
        let servers = || self.server_loads().filter(|l| l.load.service == *service);
        let usable = servers().filter(|l| l.load.accepts_work && l.version == *version);
        let slots: f64 = usable.map(|l| f64::from(l.load.slots)).sum();
        let busy: f64 = servers().map(|l| l.load.busy).sum();
        if slots == 0.0 {
            return Share::ZERO;
        }
        Share::from_ratio(MAX_UTILIZATION * slots / busy.max(1.0))
    }

    fn write_move(&mut self, record: Move, expect: u64, out: &mut Vec<Action>) {
        let Ok(text) = serde_json::to_string(&record) else {
            return;
        };
        let text: Arc<str> = text.into();
        let service = record.service;
        let write = Write {
            kind: Kind::Move.collection().into(),
            name: service.as_str().into(),
            expect: Some(expect),
            value: Some(Arc::clone(&text)),
        };
        let ticket = self.tickets.issue(Purpose::Move(service, Some(text)));
        out.push(Action::Write { ticket, write });
    }

    fn read_move(&mut self, service: Service, out: &mut Vec<Action>) {
        let name = service.as_str().into();
        let ticket = self.tickets.issue(Purpose::Move(service, None));
        out.push(Action::Read {
            ticket,
            kind: Kind::Move.collection().into(),
            name,
        });
    }

    /// Processes the result of writing a move.
    pub(crate) fn move_written(
        &mut self,
        now: Time,
        service: Service,
        text: Option<Arc<str>>,
        wrote: WriteOutcome,
        out: &mut Vec<Action>,
    ) {
        let event = match wrote {
            WriteOutcome::Written(version) => {
                self.apply_written(now, Kind::Move, service.as_str(), version, text, out);
                MoveEvent::Written { service, version }
            }
            WriteOutcome::Conflict(held) => MoveEvent::Conflict {
                current: held.as_ref().and_then(decode),
                service,
            },
            WriteOutcome::Unknown | WriteOutcome::NotSent => MoveEvent::Unknown { service },
        };
        self.step_moves(now, event, out);
    }

    /// Processes the result of reading a move.
    pub(crate) fn move_read(
        &mut self,
        now: Time,
        service: Service,
        found: &ReadOutcome,
        out: &mut Vec<Action>,
    ) {
        let event = match found {
            ReadOutcome::Found(held) => MoveEvent::ReadBack {
                current: decode(held),
                service,
            },
            ReadOutcome::Absent => MoveEvent::ReadBack {
                current: None,
                service,
            },
            ReadOutcome::Unknown => MoveEvent::Unknown { service },
        };
        self.step_moves(now, event, out);
    }

    /// Applies and publishes what this instance has written, without waiting for a
    /// watch to return it.
    pub(crate) fn apply_written(
        &mut self,
        now: Time,
        kind: Kind,
        name: &str,
        version: u64,
        text: Option<Arc<str>>,
        out: &mut Vec<Action>,
    ) {
        if let Some(text) = text {
            let object = Object::new(Id::new(kind, name), version, text);
            self.step_control(now, ControlEvent::Written(object), out);
        }
    }

    /// Sends a message to every live instance.
    pub(crate) fn broadcast(&self, message: &Message, out: &mut Vec<Action>) {
        for peer in self.control.reachable().iter() {
            self.send_to(peer, message.clone(), out);
        }
    }
}

/// The evidence that an attempt gives about its version.
pub(crate) fn version_outcome(outcome: AttemptOutcome) -> VersionOutcome {
    match outcome {
        AttemptOutcome::Answered { status, took } if status < 500 => VersionOutcome::Answered(took),
        AttemptOutcome::Answered { .. }
        | AttemptOutcome::Broken
        | AttemptOutcome::TimedOut
        | AttemptOutcome::Unreachable => VersionOutcome::Failed,
        AttemptOutcome::Shed | AttemptOutcome::NotSent => VersionOutcome::Inconclusive,
    }
}

fn decode(held: &StoredValue) -> Option<Stored<Move>> {
    let value = serde_json::from_str(&held.value).ok()?;
    let version = held.version;
    Some(Stored { value, version })
}
