//! State changes, the counts of groups and pools, and the limit on ejections.
//!
//! Ejections leave at least `MIN_USABLE_SHARE` of a pool's slots usable: a backend
//! server is ejected only if its peers can serve the requests, and ejected ones
//! are put back in use when usable ones drop out for another reason.

use corianderway_model::Time;

use crate::fleet::Fleet;
use crate::fleet::Handle;
use crate::fleet::StateChange;
use crate::group::counted_share;
use crate::group::Pool;
use crate::lifecycle::Event;
use crate::lifecycle::State;
use crate::server::PeerStats;
use crate::server::Server;

// Limit of `Fleet::changes`; later changes are dropped.
const MAX_PENDING_CHANGES: usize = 4096;
// Minimum share of the usable and ejected slots of a pool that stays usable,
// whatever the evidence.
const MIN_USABLE_SHARE: f64 = 0.5;
// Limit of the known requests over the slots that an ejection leaves.
const MAX_REMAINING_UTILIZATION: f64 = 0.8;

impl Fleet {
    /// Updates everything that depends on the time.
    ///
    /// Call it a few times a second.
    pub fn tick(&mut self, now: Time) {
        let elapsed = now.since(self.last_tick);
        self.last_tick = now;
        for at in 0..self.servers.len() {
            if self.servers[at].is_some() {
                self.handle_event(Handle(at as u32), Event::Tick, now);
            }
        }
        for server in self.servers.iter_mut().flatten() {
            let pool = &self.groups[server.group as usize].pools[server.pool as usize];
            server.decay_latency(pool.latency, elapsed, now);
            server.load.sample_own(elapsed);
            server.refresh(self.instance_count, now);
        }
        for group in 0..self.groups.len() {
            self.recompute_group(group as u32);
        }
        self.remove_gone(now);
    }

    pub(crate) fn handle_event(&mut self, handle: Handle, event: Event, now: Time) {
        let at = handle.0 as usize;
        let Some(server) = self.servers[at].as_ref() else {
            return;
        };
        let from = server.state;
        let peers = match event {
            Event::Failed | Event::ReportFailing => self.peer_stats(handle, server),
            Event::Succeeded | Event::ReportHealthy if from == State::Suspect => {
                self.peer_stats(handle, server)
            }
            _ => PeerStats::default(),
        };
        let step = self
            .chart
            .step(from, event, |g| server.satisfies(g, now, &peers));
        if step.to == from && step.actions.is_empty() {
            return;
        }
        let Some(server) = self.servers[at].as_mut() else {
            return;
        };
        for action in step.actions {
            server.apply(*action, now);
        }
        server.state = step.to;
        server.refresh(self.instance_count, now);
        if step.to != from {
            let (group, pool) = (server.group, server.pool);
            let to = step.to;
            let server = handle;
            if self.changes.len() < MAX_PENDING_CHANGES {
                self.changes.push(StateChange { server, from, to });
            }
            self.update_usable(group, pool, now);
        }
    }

    // Updates a pool's list of usable members after a state change, and puts
    // ejected ones back in use while too few are usable.
    fn update_usable(&mut self, group: u32, pool_index: u32, now: Time) {
        let servers = &self.servers;
        let pool = &mut self.groups[group as usize].pools[pool_index as usize];
        let usable = |at: &u32| {
            let server = servers[*at as usize].as_ref();
            server.is_some_and(|s| s.state.is_usable())
        };
        let members = pool.members.iter().copied();
        pool.usable.clear();
        pool.usable.extend(members.filter(usable));
        self.recompute_group(group);
        let pool = &self.groups[group as usize].pools[pool_index as usize];
        if let Some(ejected) = self.ejected_to_restore(pool) {
            self.handle_event(Handle(ejected), Event::CapacityLow, now);
        }
    }

    pub(crate) fn recompute_group(&mut self, group: u32) {
        let group = &mut self.groups[group as usize];
        (group.own, group.others, group.unreported) = (0.0, 0.0, 0.0);
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
                    let slots = server.slots() * counted_share(server.weight);
                    group.others += server.load.capped_others;
                    group.unreported += slots * (1.0 - server.load.trust);
                    group.slots += slots;
                }
                if server.latency > 0.0 {
                    sum += server.latency;
                    count += 1.0;
                }
            }
            pool.latency = if count > 0.0 { sum / count } else { 0.0 };
        }
        group.unreported /= group.slots.max(1.0);
    }

    // Computes what the guards need to know of the rest of a server's pool.
    fn peer_stats(&self, handle: Handle, server: &Server) -> PeerStats {
        let pool = &self.groups[server.group as usize].pools[server.pool as usize];
        let usage = self.usage(pool);
        let remaining = usage.usable - server.slots();
        let keeps_minimum = remaining >= MIN_USABLE_SHARE * (usage.usable + usage.ejected);
        let others = pool.usable.iter().filter(|at| **at != handle.0);
        let others = others.filter_map(|at| self.servers[*at as usize].as_ref());
        let (sum, count) = others.fold((0.0, 0.0), |(sum, count), s| {
            (sum + s.failure_rate, count + 1.0)
        });
        PeerStats {
            can_spare: keeps_minimum && usage.in_flight <= MAX_REMAINING_UTILIZATION * remaining,
            failure_rate: sum / f64::max(count, 1.0),
        }
    }

    fn ejected_to_restore(&self, pool: &Pool) -> Option<u32> {
        let usage = self.usage(pool);
        if usage.usable >= MIN_USABLE_SHARE * (usage.usable + usage.ejected) {
            return None;
        }
        let state = |at: &u32| self.servers[*at as usize].as_ref().map(|s| s.state);
        let mut members = pool.members.iter().copied();
        members.find(|at| state(at) == Some(State::Ejected))
    }

    fn usage(&self, pool: &Pool) -> PoolUsage {
        let mut usage = PoolUsage::default();
        let members = pool.members.iter();
        for server in members.filter_map(|at| self.servers[*at as usize].as_ref()) {
            match server.state {
                State::Ejected => usage.ejected += server.slots(),
                state if state.is_usable() => {
                    usage.usable += server.slots();
                    usage.in_flight += f64::from(server.load.own) + server.load.capped_others;
                }
                _ => {}
            }
        }
        usage
    }
}

// The usable and the ejected slots of a pool, and the known requests in flight
// at the usable ones.
#[derive(Debug, Default)]
struct PoolUsage {
    usable: f64,
    ejected: f64,
    in_flight: f64,
}
