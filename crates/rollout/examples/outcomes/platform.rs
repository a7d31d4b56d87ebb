//! The simulated platform: one record, its watches, and the list of instances.

use corianderway_model::InstanceId;
use corianderway_rollout::Event;
use corianderway_rollout::Move;
use corianderway_rollout::Stored;
use rand::Rng;

use super::Delivery;
use super::Fleet;
use super::CALL_TICKS;
use super::TICK;

/// The maximum delay of a watch's notice to an instance, in ticks.
const MAX_WATCH_TICKS: u64 = 10;
/// The same in seconds.
const MAX_WATCH_SECS: f64 = 1.0;
/// The delay until a change is in the list of instances, in ticks.
const LIST_TICKS: u64 = 50;

impl Fleet {
    pub(super) fn write(&mut self, instance: usize, record: Move, expect: u64) {
        let service = record.service.clone();
        if self.is_down(0.0) {
            self.answer(instance, Event::Unknown { service });
            return;
        }
        if expect != self.stored.version {
            let current = Some(self.stored.clone());
            self.answer(instance, Event::Conflict { service, current });
            return;
        }
        let version = expect + 1;
        self.stored = Stored {
            value: record,
            version,
        };
        self.history.push(self.stored.clone());
        self.answer_write(instance, version);
        self.notify_watches();
    }

    pub(super) fn read(&mut self, instance: usize) {
        let service = self.stored.value.service.clone();
        if self.is_down(0.0) {
            self.answer(instance, Event::Unknown { service });
            return;
        }
        let current = Some(self.stored.clone());
        self.answer(instance, Event::ReadBack { service, current });
    }

    // Answers a write, unless its writer is killed or the answer is lost.
    fn answer_write(&mut self, instance: usize, version: u64) {
        let service = self.stored.value.service.clone();
        if self.faults.killed_writer == Some(self.stored.value.state) {
            self.faults.killed_writer = None;
            self.kill(instance);
        } else if self.rng.random_bool(self.faults.lost_answers) {
            self.answer(instance, Event::Unknown { service });
        } else {
            self.answer(instance, Event::Written { service, version });
        }
    }

    // Notifies each instance after a random delay, and only after an outage has ended.
    fn notify_watches(&mut self) {
        for other in 0..self.rollouts.len() {
            let lag = self.rng.random_range(1..=MAX_WATCH_TICKS);
            let outage_end = (self.faults.outage.end / TICK.as_secs_f64()) as u64;
            let ticks = if self.is_down(MAX_WATCH_SECS) {
                outage_end.saturating_sub(self.tick) + lag
            } else {
                lag
            };
            let event = Event::Record(self.stored.clone());
            self.schedule(ticks, Delivery::Event(other, Box::new(event)));
        }
    }

    // Kills an instance. It is removed from the list of live ones after a delay.
    fn kill(&mut self, instance: usize) {
        self.dead[instance] = true;
        let alive = self.live.iter().zip(&self.dead).filter(|(_, dead)| !**dead);
        let live: Vec<InstanceId> = alive.map(|(id, _)| id.clone()).collect();
        for other in 0..self.rollouts.len() {
            let event = Event::Live(live.clone());
            self.schedule(LIST_TICKS, Delivery::Event(other, Box::new(event)));
        }
    }

    fn is_down(&self, within_secs: f64) -> bool {
        self.faults.outage.contains(&(self.secs() + within_secs))
    }

    fn answer(&mut self, instance: usize, event: Event) {
        self.schedule(CALL_TICKS, Delivery::Event(instance, Box::new(event)));
    }
}
