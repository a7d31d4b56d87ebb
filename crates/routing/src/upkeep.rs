//! State changes, counts and the bound on ejection.

use corianderway_model::Time;

use crate::fleet::Change;
use crate::fleet::Fleet;
use crate::fleet::Handle;
use crate::group::counted_part;
use crate::group::Pool;
use crate::lifecycle::Event;
use crate::lifecycle::State;
use crate::server::Peers;
use crate::server::Server;

// Changes kept until they are taken; later ones are dropped.
const MOST_CHANGES: usize = 4096;
// At least this part of a pool's slots stays in use, whatever the evidence.
const KEPT_PART: f64 = 0.5;
// Ejection also leaves the known requests at most this part of the slots kept.
const KEPT_FILL: f64 = 0.8;

impl Fleet {
    /// Brings everything that depends on the time up to date; call it a few
    /// times a second.
    pub fn tick(&mut self, now: Time) {
        let step = now.since(self.last_tick);
        self.last_tick = now;
        for at in 0..self.servers.len() {
            if self.servers[at].is_some() {
                self.step(Handle(at as u32), Event::Tick, now);
            }
        }
        for server in self.servers.iter_mut().flatten() {
            let pool = &self.groups[server.group as usize].pools[server.pool as usize];
            server.forget(pool.latency, step, now);
            server.load.sample(step);
            server.refresh(self.instances, now);
        }
        for group in 0..self.groups.len() {
            self.recount(group as u32);
        }
        self.sweep(now);
    }

    pub(crate) fn step(&mut self, handle: Handle, event: Event, now: Time) {
        let at = handle.0 as usize;
        let Some(server) = self.servers[at].as_ref() else {
            return;
        };
        let from = server.state;
        let peers = match event {
            Event::Failed | Event::ReportFailing => self.peers(handle, server),
            Event::Succeeded | Event::ReportHealthy if from == State::Suspect => {
                self.peers(handle, server)
            }
            _ => Peers::default(),
        };
        let step = self
            .chart
            .step(from, event, |g| server.holds(g, now, &peers));
        if step.to == from && step.actions.is_empty() {
            return;
        }
        let Some(server) = self.servers[at].as_mut() else {
            return;
        };
        for action in step.actions {
            server.act(*action, now);
        }
        server.state = step.to;
        server.refresh(self.instances, now);
        if step.to != from {
            let (group, pool) = (server.group, server.pool);
            let to = step.to;
            let server = handle;
            if self.changes.len() < MOST_CHANGES {
                self.changes.push(Change { server, from, to });
            }
            self.settle(group, pool, now);
        }
    }

    // Brings a pool's list of usable members up to date after a change, and
    // takes ejected ones back while too few are left.
    fn settle(&mut self, group: u32, pool: u32, now: Time) {
        let servers = &self.servers;
        let place = &mut self.groups[group as usize].pools[pool as usize];
        let usable = |at: &u32| {
            let server = servers[*at as usize].as_ref();
            server.is_some_and(|s| s.state.is_usable())
        };
        let members = place.members.iter().copied();
        place.usable.clear();
        place.usable.extend(members.filter(usable));
        self.recount(group);
        let place = &self.groups[group as usize].pools[pool as usize];
        if let Some(ejected) = self.ejected_beyond_bound(place) {
            self.step(Handle(ejected), Event::Recalled, now);
        }
    }

    pub(crate) fn recount(&mut self, group: u32) {
        let group = &mut self.groups[group as usize];
        (group.own, group.others, group.blind) = (0.0, 0.0, 0.0);
        (group.slots, group.usable) = (0.0, 0);
        for pool in &mut group.pools {
            group.usable += pool.usable.len();
            let (mut sum, mut count) = (0.0, 0.0);
            for at in &pool.members {
                let Some(server) = self.servers[*at as usize].as_ref() else {
                    continue;
                };
                group.own += f64::from(server.load.own);
                if server.state.is_usable() {
                    let slots = server.slots() * counted_part(server.weight);
                    group.others += server.load.counted;
                    group.blind += slots * (1.0 - server.load.trust);
                    group.slots += slots;
                }
                if server.latency > 0.0 {
                    sum += server.latency;
                    count += 1.0;
                }
            }
            pool.latency = if count > 0.0 { sum / count } else { 0.0 };
        }
        group.blind /= group.slots.max(1.0);
    }

    // What the rest of its pool says on the fate of a backend server.
    fn peers(&self, handle: Handle, server: &Server) -> Peers {
        let pool = &self.groups[server.group as usize].pools[server.pool as usize];
        let tally = self.tally(pool);
        let kept = tally.usable - server.slots();
        let enough = kept >= KEPT_PART * (tally.usable + tally.ejected);
        let others = pool.usable.iter().filter(|at| **at != handle.0);
        let others = others.filter_map(|at| self.servers[*at as usize].as_ref());
        let (sum, count) = others.fold((0.0, 0.0), |(sum, count), s| {
            (sum + s.failures, count + 1.0)
        });
        Peers {
            spare: enough && tally.taken <= KEPT_FILL * kept,
            failures: sum / f64::max(count, 1.0),
        }
    }

    fn ejected_beyond_bound(&self, pool: &Pool) -> Option<u32> {
        let tally = self.tally(pool);
        if tally.usable >= KEPT_PART * (tally.usable + tally.ejected) {
            return None;
        }
        let state = |at: &u32| self.servers[*at as usize].as_ref().map(|s| s.state);
        let mut members = pool.members.iter().copied();
        members.find(|at| state(at) == Some(State::Ejected))
    }

    fn tally(&self, pool: &Pool) -> Tally {
        let mut tally = Tally::default();
        let members = pool.members.iter();
        for server in members.filter_map(|at| self.servers[*at as usize].as_ref()) {
            match server.state {
                State::Ejected => tally.ejected += server.slots(),
                state if state.is_usable() => {
                    tally.usable += server.slots();
                    tally.taken += f64::from(server.load.own) + server.load.counted;
                }
                _ => {}
            }
        }
        tally
    }
}

// Slots of a pool by use, and the requests known to take them.
#[derive(Debug, Default)]
struct Tally {
    usable: f64,
    ejected: f64,
    taken: f64,
}
