//! Connects the drains state machine with the fleet, the store and the other instances.

use std::sync::Arc;

use corianderway_control::Kind;
use corianderway_model::Time;
use corianderway_model::Version;
use corianderway_rollout::Drain;
use corianderway_rollout::DrainAction;
use corianderway_rollout::DrainEvent;
use corianderway_rollout::DrainScope;
use corianderway_rollout::DrainTrigger;
use corianderway_rollout::ServerLoad;
use corianderway_rollout::ServerLocation;
use corianderway_rollout::Stored;
use corianderway_routing::State as ServerState;

use crate::event::Action;
use crate::event::ReadOutcome;
use crate::event::StoredValue;
use crate::event::Write;
use crate::event::WriteOutcome;
use crate::message::Message;
use crate::node::Node;
use crate::record::Record;
use crate::tickets::Purpose;

/// The load of a backend server and the version that it runs.
pub(crate) struct VersionLoad {
    pub(crate) version: Version,
    pub(crate) load: ServerLoad,
}

impl Node {
    /// Steps the drains state machine and performs its actions.
    pub(crate) fn step_drains(&mut self, now: Time, event: DrainEvent, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        let at = self.moment(now);
        self.drains.step(at, event, &mut actions);
        for action in actions {
            match action {
                DrainAction::Write {
                    record,
                    expect,
                    trigger,
                } => self.write_drain(record, expect, trigger, out),
                DrainAction::Read(scope) => self.read_drain(scope, out),
                DrainAction::Report(report) => self.broadcast(&Message::Drain(report), out),
            }
        }
    }

    /// Reports the load to the drains state machine, applies what it withholds, and
    /// reports the requests in flight within the scope of each drain.
    pub(crate) fn update_drains(&mut self, now: Time, out: &mut Vec<Action>) {
        let loads = self.server_loads().map(|l| l.load).collect();
        self.step_drains(now, DrainEvent::Loads(loads), out);
        self.withhold(now);
        let scopes: Vec<DrainScope> = self.drains.records().map(|d| d.scope.clone()).collect();
        for scope in scopes {
            let busy = self.busy_at(&scope);
            self.step_drains(now, DrainEvent::Busy(scope, busy), out);
        }
    }

    /// Stops new work for the servers that drain, and resumes it for those that no
    /// longer do.
    pub(crate) fn withhold(&mut self, now: Time) {
        let plans: Vec<_> = self
            .places()
            .map(|place| {
                let withheld = self.drains.is_withheld(&place);
                (place.server, withheld)
            })
            .collect();
        for (server, withheld) in plans {
            self.fleet.set_drain_planned(&server, withheld, now);
        }
    }

    /// The load of every backend server. The total in flight is estimated as this
    /// instance's number times the number of live instances.
    pub(crate) fn server_loads(&self) -> impl Iterator<Item = VersionLoad> + '_ {
        let instances = self.live_entries().count().max(1) as f64;
        self.backends.iter().filter_map(move |backend| {
            let handle = self.fleet.find(&backend.id)?;
            let server = self.fleet.server(handle)?;
            let takes = match server.state() {
                ServerState::Cold | ServerState::Warm | ServerState::Suspect => true,
                ServerState::Ejected
                | ServerState::Refusing
                | ServerState::Draining
                | ServerState::Gone => false,
            };
            Some(VersionLoad {
                version: backend.version.clone(),
                load: ServerLoad {
                    location: place(backend),
                    service: backend.service.clone(),
                    slots: backend.slots,
                    busy: f64::from(server.in_flight()) * instances,
                    accepts_work: takes,
                },
            })
        })
    }

    fn places(&self) -> impl Iterator<Item = ServerLocation> + '_ {
        self.backends.iter().map(place)
    }

    fn busy_at(&self, scope: &DrainScope) -> u64 {
        let covered = self.places().filter(|p| scope.covers(p));
        let servers = covered.filter_map(|p| self.fleet.server(self.fleet.find(&p.server)?));
        servers.map(|s| u64::from(s.in_flight())).sum()
    }

    fn write_drain(
        &mut self,
        record: Drain,
        expect: u64,
        trigger: DrainTrigger,
        out: &mut Vec<Action>,
    ) {
        let Ok(text) = serde_json::to_string(&record) else {
            return;
        };
        let text: Arc<str> = text.into();
        let scope = record.scope;
        out.push(Action::Log(Record::Other {
            event: "drain",
            detail: format!("{scope} {trigger:?} {:?}", record.state).into(),
        }));
        let write = Write {
            kind: Kind::Drain.collection().into(),
            name: scope.object_name().into(),
            expect: Some(expect),
            value: Some(Arc::clone(&text)),
        };
        let ticket = self.tickets.issue(Purpose::Drain(scope, Some(text)));
        out.push(Action::Write { ticket, write });
    }

    fn read_drain(&mut self, scope: DrainScope, out: &mut Vec<Action>) {
        let name = scope.object_name().into();
        let ticket = self.tickets.issue(Purpose::Drain(scope, None));
        out.push(Action::Read {
            ticket,
            kind: Kind::Drain.collection().into(),
            name,
        });
    }

    /// Processes the result of writing a drain.
    pub(crate) fn drain_written(
        &mut self,
        now: Time,
        scope: DrainScope,
        text: Option<Arc<str>>,
        wrote: WriteOutcome,
        out: &mut Vec<Action>,
    ) {
        let event = match wrote {
            WriteOutcome::Written(version) => {
                let name = scope.object_name();
                self.apply_written(now, Kind::Drain, &name, version, text, out);
                DrainEvent::Written(scope, version)
            }
            WriteOutcome::Conflict(held) => {
                DrainEvent::Conflict(scope, held.as_ref().and_then(decode))
            }
            WriteOutcome::Unknown | WriteOutcome::NotSent => DrainEvent::Unknown(scope),
        };
        self.step_drains(now, event, out);
    }

    /// Processes the result of reading a drain.
    pub(crate) fn drain_read(
        &mut self,
        now: Time,
        scope: DrainScope,
        found: &ReadOutcome,
        out: &mut Vec<Action>,
    ) {
        let event = match found {
            ReadOutcome::Found(held) => DrainEvent::ReadBack(scope, decode(held)),
            ReadOutcome::Absent => DrainEvent::ReadBack(scope, None),
            ReadOutcome::Unknown => DrainEvent::Unknown(scope),
        };
        self.step_drains(now, event, out);
    }
}

fn place(backend: &corianderway_model::Backend) -> ServerLocation {
    ServerLocation {
        server: backend.id.clone(),
        domain: backend.domain.clone(),
        region: backend.region.clone(),
    }
}

fn decode(held: &StoredValue) -> Option<Stored<Drain>> {
    let value = serde_json::from_str(&held.value).ok()?;
    let version = held.version;
    Some(Stored { value, version })
}
