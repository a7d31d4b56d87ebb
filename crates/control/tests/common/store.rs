//! A model of the platform's object store, with conditional writes and long-poll watches.

use std::time::Duration;

use corianderway_control::Id;
use corianderway_control::Object;
use corianderway_control::WatchEvent;
use corianderway_model::InstanceId;

#[derive(Clone, Debug)]
pub enum Call {
    List { call: u64 },
    Watch { call: u64, after: u64 },
    Write { object: Object, stored: u64 },
}

impl Call {
    pub fn number(&self) -> Option<u64> {
        match self {
            Self::List { call } | Self::Watch { call, .. } => Some(*call),
            Self::Write { .. } => None,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Store {
    pub revision: u64,
    pub down: bool,
    pub lose_answers: bool,
    pub answer_delay: Duration,
    pub max_waiting: usize,
    // Each object, tombstones included, with the revision of its last write.
    objects: Vec<(Object, u64)>,
    // The open watches: number, caller, call and revision.
    waiters: Vec<(u64, InstanceId, u64, u64)>,
    last_waiter: u64,
}

impl Store {
    pub fn version(&self, id: &Id) -> u64 {
        let found = self.objects.iter().find(|(o, _)| o.id == *id);
        found.map_or(0, |(o, _)| o.version)
    }

    pub fn get(&self, id: &Id) -> Option<&Object> {
        self.objects.iter().find(|(o, _)| o.id == *id).map(|o| &o.0)
    }

    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.iter().map(|(object, _)| object)
    }

    /// Writes on condition that the stored version is still `stored`.
    pub fn write(&mut self, object: Object, stored: u64) -> bool {
        if self.version(&object.id) != stored {
            return false;
        }
        self.revision += 1;
        let revision = self.revision;
        match self.objects.iter_mut().find(|(o, _)| o.id == object.id) {
            Some(held) => *held = (object, revision),
            None => self.objects.push((object, revision)),
        }
        true
    }

    /// Inserts objects that are not stored yet, without a check for each.
    pub fn insert_all(&mut self, objects: impl IntoIterator<Item = Object>) {
        for object in objects {
            self.revision += 1;
            self.objects.push((object, self.revision));
        }
    }

    /// Returns to an earlier state, as the restore of a backup does.
    pub fn roll_back(&mut self, earlier: &Self) {
        self.objects.clone_from(&earlier.objects);
        self.revision = earlier.revision;
    }

    pub fn answer(&mut self, call: &Call) -> Option<WatchEvent> {
        let revision = self.revision;
        match call {
            Call::List { call } => Some(WatchEvent::Listed {
                call: *call,
                revision,
                objects: self.objects().cloned().collect(),
            }),
            Call::Watch { call, after } => {
                let newer = self.objects.iter().filter(|(_, at)| at > after);
                Some(WatchEvent::Watched {
                    call: *call,
                    revision,
                    objects: newer.map(|(o, _)| o.clone()).collect(),
                })
            }
            Call::Write { object, stored } => {
                self.write(object.clone(), *stored);
                None
            }
        }
    }

    pub fn wait(&mut self, id: InstanceId, call: u64, after: u64) -> u64 {
        self.last_waiter += 1;
        self.waiters.push((self.last_waiter, id, call, after));
        self.max_waiting = self.max_waiting.max(self.waiters.len());
        self.last_waiter
    }

    pub fn take_waiter(&mut self, waiter: u64) -> Option<(InstanceId, u64, u64)> {
        let at = self.waiters.iter().position(|w| w.0 == waiter)?;
        let (_, id, call, after) = self.waiters.swap_remove(at);
        Some((id, call, after))
    }

    pub fn changed_waiters(&mut self) -> Vec<(InstanceId, u64, u64)> {
        let revision = self.revision;
        let all = std::mem::take(&mut self.waiters);
        let (changed, same) = all.into_iter().partition(|w| w.3 != revision);
        self.waiters = same;
        let changed: Vec<(u64, InstanceId, u64, u64)> = changed;
        changed.into_iter().map(|w| (w.1, w.2, w.3)).collect()
    }
}
