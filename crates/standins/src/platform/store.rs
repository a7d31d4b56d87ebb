//! The deciding part of the platform stand-in.

use std::sync::Arc;
use std::time::Duration;

use corianderway_model::Time;

use crate::platform::calls::Calls;
use crate::platform::faults::Down;
use crate::platform::faults::Faults;
use crate::platform::instances::Timeline;
use crate::platform::objects::Object;
use crate::platform::objects::Objects;
use crate::platform::operation::Condition;
use crate::platform::operation::Control;
use crate::platform::operation::Operation;
use crate::platform::operation::Reply;
use crate::platform::operation::Watch;

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is answered after a delay.
    Answer(Reply, Duration),
    /// It waits until objects change.
    Wait(Watch),
    /// It waits until the faults change, and then gets no answer.
    Hang,
    /// It gets no answer.
    Drop,
}

/// The state of the platform stand-in.
#[derive(Debug, Default)]
pub struct Store {
    objects: Objects,
    list: Timeline,
    faults: Faults,
    calls: Calls,
}

impl Store {
    /// Decides a call.
    pub fn step(&mut self, now: Time, operation: Operation) -> Verdict {
        if let Operation::Control(control) = operation {
            return Verdict::Answer(self.control(now, control), Duration::ZERO);
        }
        self.count(&operation);
        match self.faults.down {
            Down::No => self.serve(now, operation),
            Down::Refuse => Verdict::Drop,
            Down::Hang => Verdict::Hang,
        }
    }

    /// The answer to a watch, once there is one.
    pub fn poll(&self, watch: &Watch) -> Option<Reply> {
        let now = self.seen();
        let Some(mut objects) = self.objects.changes(watch.since, now) else {
            return Some(Reply::Gone);
        };
        objects.retain(|o| watch.kinds.is_empty() || watch.kinds.contains(&o.kind));
        (!objects.is_empty()).then_some(Reply::Objects(now, objects))
    }

    /// The answer to a watch whose wait has ended.
    pub fn expire(&self) -> Reply {
        Reply::Objects(self.seen(), Vec::new())
    }

    /// Whether the platform answers at all.
    pub fn down(&self) -> Down {
        self.faults.down
    }

    /// Tells the counts how many watches wait.
    pub fn set_waiting(&mut self, waiting: usize) {
        self.calls.waiting = waiting;
    }

    // The newest revision that reads show.
    fn seen(&self) -> u64 {
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

    fn serve(&mut self, now: Time, operation: Operation) -> Verdict {
        let reply = match operation {
            Operation::Get(kind, name) => self.get(&kind, &name),
            Operation::Put(kind, name, condition, value) => {
                return self.write(&kind, &name, condition, Some(value));
            }
            Operation::Delete(kind, name, condition) => {
                return self.write(&kind, &name, condition, None);
            }
            Operation::List(kind) => self.list(&kind),
            Operation::Watch(watch) => match self.poll(&watch) {
                Some(reply) => reply,
                None => return Verdict::Wait(watch),
            },
            Operation::Instances => Reply::Instances(self.list.shown(now, self.lag())),
            Operation::Control(_) => Reply::Done,
        };
        Verdict::Answer(reply, self.delay())
    }

    fn get(&self, kind: &str, name: &str) -> Reply {
        let found = match self.faults.back_to {
            None => self.objects.get(kind, name).cloned(),
            Some(_) => self.past(kind, name),
        };
        found.map_or(Reply::Missing, Reply::Object)
    }

    fn past(&self, kind: &str, name: &str) -> Option<Object> {
        let mut objects = self.objects.at(self.faults.back_to).into_iter();
        objects.find(|o| &*o.kind == kind && &*o.name == name)
    }

    fn list(&self, kind: &str) -> Reply {
        let mut objects = self.objects.at(self.faults.back_to);
        objects.retain(|o| &*o.kind == kind);
        Reply::Objects(self.seen(), objects)
    }

    fn write(
        &mut self,
        kind: &str,
        name: &str,
        condition: Option<Condition>,
        value: Option<Arc<serde_json::Value>>,
    ) -> Verdict {
        let current = self.objects.get(kind, name);
        let holds = match (condition, current) {
            (None, _) => return Verdict::Answer(Reply::Unconditional, self.delay()),
            (Some(Condition::Absent), None) => value.is_some(),
            (Some(Condition::Version(version)), Some(object)) => object.version == version,
            _ => false,
        };
        if !holds {
            let missing = value.is_none() && current.is_none();
            let conflict = Reply::Conflict(current.cloned());
            let reply = if missing { Reply::Missing } else { conflict };
            return Verdict::Answer(reply, self.delay());
        }
        let version = self.objects.put(kind, name, value);
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return Verdict::Drop;
        }
        Verdict::Answer(Reply::Written(version), self.delay())
    }

    fn control(&mut self, now: Time, control: Control) -> Reply {
        match control {
            Control::PutEntry(entry) => self.list.change(now, |l| l.put_entry(entry)),
            Control::PutBackend(backend) => self.list.change(now, |l| l.put_backend(backend)),
            Control::DropEntry(id) => {
                let edit = |e: &corianderway_model::Entry| e.id.as_str() != &*id;
                self.list.change(now, |l| l.entries.retain(edit));
            }
            Control::DropBackend(id) => {
                let edit = |b: &corianderway_model::Backend| b.id.as_str() != &*id;
                self.list.change(now, |l| l.backends.retain(edit));
            }
            Control::SetFaults(faults) => self.faults = faults,
            Control::Calls => return Reply::Calls(self.calls.clone()),
            Control::Dump => {
                return Reply::Objects(self.objects.revision(), self.objects.at(None));
            }
        }
        Reply::Done
    }

    fn lag(&self) -> Duration {
        Duration::from_millis(self.faults.list_lag_ms)
    }

    fn delay(&self) -> Duration {
        Duration::from_millis(self.faults.slow_ms)
    }
}
