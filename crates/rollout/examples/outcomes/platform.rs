//! The platform of a run: one record, its watches, and the list of instances.

use corianderway_model::InstanceId;
use corianderway_rollout::Event;
use corianderway_rollout::Move;
use corianderway_rollout::Stored;
use rand::Rng;

use super::Delivery;
use super::Fleet;
use super::CALL_TICKS;
use super::TICK;

/// Ticks until a watch tells an instance of a change, at most.
const WATCH_TICKS: u64 = 10;
/// The same in seconds.
const WATCH_SECS: f64 = 1.0;
/// Ticks until the list of instances tells of a change.
const LIST_TICKS: u64 = 50;

impl Fleet {
    pub(super) fn write(&mut self, node: usize, record: Move, expect: u64) {
        let service = record.service.clone();
        if self.is_out(0.0) {
            self.answer(node, Event::Unknown { service });
            return;
        }
        if expect != self.stored.version {
            let current = Some(self.stored.clone());
            self.answer(node, Event::Conflict { service, current });
            return;
        }
        let version = expect + 1;
        self.stored = Stored {
            value: record,
            version,
        };
        self.history.push(self.stored.clone());
        self.settle(node, version);
        self.spread();
    }

    pub(super) fn read(&mut self, node: usize) {
        let service = self.stored.value.service.clone();
        if self.is_out(0.0) {
            self.answer(node, Event::Unknown { service });
            return;
        }
        let current = Some(self.stored.clone());
        self.answer(node, Event::ReadBack { service, current });
    }

    // Answers a write, unless its author dies or the answer is lost.
    fn settle(&mut self, node: usize, version: u64) {
        let service = self.stored.value.service.clone();
        if self.trouble.killer == Some(self.stored.value.state) {
            self.trouble.killer = None;
            self.kill(node);
        } else if self.rng.random_bool(self.trouble.lost) {
            self.answer(node, Event::Unknown { service });
        } else {
            self.answer(node, Event::Written { service, version });
        }
    }

    // Watches tell each instance in its time, after an outage at the earliest.
    fn spread(&mut self) {
        for other in 0..self.nodes.len() {
            let lag = self.rng.random_range(1..=WATCH_TICKS);
            let back = (self.trouble.outage.end / TICK.as_secs_f64()) as u64;
            let ticks = if self.is_out(WATCH_SECS) {
                back.saturating_sub(self.tick) + lag
            } else {
                lag
            };
            let event = Event::Record(self.stored.clone());
            self.later(ticks, Delivery::Event(other, Box::new(event)));
        }
    }

    // The list of instances lags by a few seconds.
    fn kill(&mut self, node: usize) {
        self.dead[node] = true;
        let alive = self.live.iter().zip(&self.dead).filter(|(_, dead)| !**dead);
        let live: Vec<InstanceId> = alive.map(|(id, _)| id.clone()).collect();
        for other in 0..self.nodes.len() {
            let event = Event::Live(live.clone());
            self.later(LIST_TICKS, Delivery::Event(other, Box::new(event)));
        }
    }

    fn is_out(&self, within: f64) -> bool {
        self.trouble.outage.contains(&(self.secs() + within))
    }

    fn answer(&mut self, node: usize, event: Event) {
        self.later(CALL_TICKS, Delivery::Event(node, Box::new(event)));
    }
}
