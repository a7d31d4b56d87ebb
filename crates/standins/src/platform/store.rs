//! The state of the platform stand-in, without I/O and clock.

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Time;

use crate::platform::calls::Calls;
use crate::platform::faults::Faults;
use crate::platform::faults::Outage;
use crate::platform::instances::ListHistory;
use crate::platform::objects::Object;
use crate::platform::objects::Objects;
use crate::platform::operation::Condition;
use crate::platform::operation::Control;
use crate::platform::operation::Operation;
use crate::platform::operation::Reply;
use crate::platform::operation::Watch;

/// How the front end proceeds with a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Sends the reply after a delay.
    Answer(Reply, Duration),
    /// Waits until a watched object changes or the watch times out.
    Wait(Watch),
    /// Sends no answer, and closes the connection once the faults change.
    Hang,
    /// Closes the connection without an answer.
    Drop,
}

/// Objects, instance list, faults and call counts of the platform stand-in.
#[derive(Debug, Default)]
pub struct Store {
    objects: Objects,
    list: ListHistory,
    faults: Faults,
    calls: Calls,
}

impl Store {
    /// Applies an operation under the current faults.
    pub fn step(&mut self, now: Time, operation: Operation) -> Decision {
        if let Operation::Control(control) = operation {
            return Decision::Answer(self.apply_control(now, control), Duration::ZERO);
        }
        self.count(&operation);
        match self.faults.down {
            Outage::No => self.serve(now, operation),
            Outage::Refuse => Decision::Drop,
            Outage::Hang => Decision::Hang,
        }
    }

    /// Returns the reply to a watch, or `None` while nothing has changed.
    pub fn poll_watch(&self, watch: &Watch) -> Option<Reply> {
        let now = self.visible_revision();
        let Some(mut objects) = self.objects.changes(watch.since, now) else {
            return Some(Reply::Gone);
        };
        objects.retain(|o| watch.kinds.is_empty() || watch.kinds.contains(&o.kind));
        (!objects.is_empty()).then_some(Reply::Objects(now, objects))
    }

    /// Returns the reply to a watch that has timed out.
    pub fn watch_timeout(&self) -> Reply {
        Reply::Objects(self.visible_revision(), Vec::new())
    }

    /// Returns whether the platform is down, and how.
    pub fn down(&self) -> Outage {
        self.faults.down
    }

    /// Sets the number of pending watches in the call counts.
    pub fn set_waiting(&mut self, waiting: usize) {
        self.calls.waiting = waiting;
    }

    // The newest revision that reads return.
    fn visible_revision(&self) -> u64 {
        let newest = self.objects.revision();
        self.faults.back_to.map_or(newest, |r| r.min(newest))
    }

    fn count(&mut self, operation: &Operation) {
        match operation {
            Operation::Get(kind, _) => self.calls.add("get", kind),
            Operation::Put(kind, ..) => self.calls.add("put", kind),
            Operation::Delete(kind, ..) => self.calls.add("delete", kind),
            Operation::List(kind) => self.calls.add("list", kind),
            Operation::Watch(watch) => self.calls.add("watch", &watch.kinds.join(",")),
            Operation::Instances => self.calls.add("instances", ""),
            Operation::Control(_) => {}
        }
    }

    fn serve(&mut self, now: Time, operation: Operation) -> Decision {
        let reply = match operation {
            Operation::Get(kind, name) => self.get(&kind, &name),
            Operation::Put(kind, name, condition, value) => {
                return self.write(&kind, &name, condition, Some(value));
            }
            Operation::Delete(kind, name, condition) => {
                return self.write(&kind, &name, condition, None);
            }
            Operation::List(kind) => self.list(&kind),
            Operation::Watch(watch) => match self.poll_watch(&watch) {
                Some(reply) => reply,
                None => return Decision::Wait(watch),
            },
            Operation::Instances => Reply::Instances(self.list.as_of(now, self.list_lag())),
            Operation::Control(_) => Reply::Done,
        };
        Decision::Answer(reply, self.answer_delay())
    }

    fn get(&self, kind: &str, name: &str) -> Reply {
        let found = match self.faults.back_to {
            None => self.objects.get(kind, name).cloned(),
            Some(_) => self.get_past(kind, name),
        };
        found.map_or(Reply::Missing, Reply::Object)
    }

    fn get_past(&self, kind: &str, name: &str) -> Option<Object> {
        let mut objects = self.objects.snapshot(self.faults.back_to).into_iter();
        objects.find(|o| &*o.kind == kind && &*o.name == name)
    }

    fn list(&self, kind: &str) -> Reply {
        let mut objects = self.objects.snapshot(self.faults.back_to);
        objects.retain(|o| &*o.kind == kind);
        Reply::Objects(self.visible_revision(), objects)
    }

    fn write(
        &mut self,
        kind: &str,
        name: &str,
        condition: Option<Condition>,
        value: Option<Arc<serde_json::Value>>,
    ) -> Decision {
        let current = self.objects.get(kind, name);
        let is_met = match (condition, current) {
            (None, _) => return Decision::Answer(Reply::Unconditional, self.answer_delay()),
            (Some(Condition::Absent), None) => value.is_some(),
            (Some(Condition::Version(version)), Some(object)) => object.version == version,
            _ => false,
        };
        if !is_met {
            let missing = value.is_none() && current.is_none();
            let conflict = Reply::Conflict(current.cloned());
            let reply = if missing { Reply::Missing } else { conflict };
            return Decision::Answer(reply, self.answer_delay());
        }
        let version = self.objects.put(kind, name, value);
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return Decision::Drop;
        }
        Decision::Answer(Reply::Written(version), self.answer_delay())
    }

    fn apply_control(&mut self, now: Time, control: Control) -> Reply {
        match control {
            Control::PutEntry(entry) => self.list.change(now, |l| l.put_entry(entry)),
            Control::PutBackend(backend) => self.list.change(now, |l| l.put_backend(backend)),
            Control::DropEntry(id) => {
                let other_id = |e: &corianderway_model::Entry| e.id.as_str() != &*id;
                self.list.change(now, |l| l.entries.retain(other_id));
            }
            Control::DropBackend(id) => {
                let other_id = |b: &corianderway_model::Backend| b.id.as_str() != &*id;
                self.list.change(now, |l| l.backends.retain(other_id));
            }
            Control::SetFaults(faults) => self.faults = faults,
            Control::Calls => return Reply::Calls(self.calls.clone()),
            Control::Dump => {
                return Reply::Objects(self.objects.revision(), self.objects.snapshot(None));
            }
        }
        Reply::Done
    }

    fn list_lag(&self) -> Duration {
        Duration::from_millis(self.faults.list_lag_ms)
    }

    fn answer_delay(&self) -> Duration {
        Duration::from_millis(self.faults.slow_ms)
    }
}
