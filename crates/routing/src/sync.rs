//! Merging the platform's instance list into the table.

use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Presence;
use corianderway_model::Region;
use corianderway_model::ServerId;
use corianderway_model::Service;
use corianderway_model::Time;

use crate::fleet::Fleet;
use crate::fleet::Handle;
use crate::group::Group;
use crate::lifecycle::Event;
use crate::lifecycle::State;
use crate::server::Server;

// A backend server leaves when this many lists in succession lack it.
const MISSES: u32 = 2;
// A list that lacks more than this part of the known backend servers is held back.
const PLAUSIBLE_LOSS: f64 = 0.5;
// Smaller tables are not judged.
const JUDGED_SIZE: usize = 4;
// An identity is free for a new backend server once no list has had it for this long.
const FORGET: Duration = Duration::from_mins(10);

/// What became of an instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sync {
    /// Merged.
    Merged,
    /// Additions and leaving marks were merged; too much is missing at once to
    /// be believed, so nothing was taken to leave for being absent.
    Implausible,
}

impl Fleet {
    /// Merges the platform's instance list.
    ///
    /// What leaves stays out, however often a late list calls it live.
    pub fn sync(&mut self, list: &[Backend], now: Time) -> Sync {
        let mut present = vec![false; self.servers.len()];
        let mut next = 0;
        for backend in list {
            if let Some(handle) = self.find_after(&mut next, &backend.id) {
                present[handle.0 as usize] = true;
                self.merge(handle, backend, now);
                continue;
            }
            let at = self.admit(backend, now) as usize;
            if let Some(mark) = present.get_mut(at) {
                *mark = true;
            }
        }
        self.is_synced |= !list.is_empty();
        if !self.is_plausible(&present) {
            return Sync::Implausible;
        }
        self.miss(&present, now);
        Sync::Merged
    }

    // Finds an identity; a list sorted by identity needs no search.
    fn find_after(&self, next: &mut usize, id: &ServerId) -> Option<Handle> {
        let row = self.ids.get(*next).filter(|(known, _)| known == id);
        if let Some((_, at)) = row {
            *next += 1;
            return Some(Handle(*at));
        }
        let at = self.ids.binary_search_by(|(known, _)| known.cmp(id)).ok()?;
        *next = at + 1;
        Some(Handle(self.ids[at].1))
    }

    fn merge(&mut self, handle: Handle, backend: &Backend, now: Time) {
        let Some(server) = self.servers[handle.0 as usize].as_mut() else {
            return;
        };
        server.misses = 0;
        server.missing = false;
        server.listed = now;
        server.backend.slots = backend.slots;
        let moved = !server.is_same(backend);
        if moved || backend.presence == Presence::Leaving {
            self.step(handle, Event::Leaving, now);
        }
    }

    fn is_plausible(&self, present: &[bool]) -> bool {
        let (mut known, mut lost) = (0, 0);
        for (server, present) in self.servers.iter().zip(present) {
            if server.as_ref().is_some_and(|s| s.state.is_usable()) {
                known += 1;
                lost += usize::from(!present);
            }
        }
        known < JUDGED_SIZE || lost as f64 <= PLAUSIBLE_LOSS * known as f64
    }

    fn miss(&mut self, seen: &[bool], now: Time) {
        for (at, _) in seen.iter().enumerate().filter(|(_, seen)| !**seen) {
            let Some(server) = self.servers[at].as_mut() else {
                continue;
            };
            server.misses += 1;
            if server.misses >= MISSES && !server.missing {
                server.missing = true;
                self.step(Handle(at as u32), Event::Leaving, now);
            }
        }
    }

    fn admit(&mut self, backend: &Backend, now: Time) -> u32 {
        let group = self.add_group(&backend.service, &backend.region);
        let pool = self.groups[group as usize].add_pool(&backend.version) as u32;
        let place = (group, pool);
        let server = Server::new(backend.clone(), self.chart.initial(), place, now);
        let at = self.vacant.pop().unwrap_or_else(|| {
            self.servers.push(None);
            self.servers.len() as u32 - 1
        });
        self.servers[at as usize] = Some(server);
        let by_id = self.ids.binary_search_by(|(id, _)| id.cmp(&backend.id));
        let row = (backend.id.clone(), at);
        self.ids.insert(by_id.unwrap_or_else(|free| free), row);
        let pool = &mut self.groups[group as usize].pools[pool as usize];
        pool.members.push(at);
        pool.usable.push(at);
        self.recount(group);
        let handle = Handle(at);
        if !self.is_synced {
            self.step(handle, Event::Established, now);
        }
        if backend.presence == Presence::Leaving {
            self.step(handle, Event::Leaving, now);
        }
        at
    }

    fn add_group(&mut self, service: &Service, region: &Region) -> u32 {
        let key = |at: &u32| {
            let group = &self.groups[*at as usize];
            (&group.service, &group.region)
        };
        let place = self
            .index
            .binary_search_by(|at| key(at).cmp(&(service, region)));
        let free = match place {
            Ok(at) => return self.index[at],
            Err(free) => free,
        };
        let group = self.groups.len() as u32;
        self.groups
            .push(Group::new(service.clone(), region.clone()));
        self.index.insert(free, group);
        group
    }

    // Drops what left and was absent from every list for long enough.
    pub(crate) fn sweep(&mut self, now: Time) {
        let mut dropped = false;
        for at in 0..self.servers.len() {
            let done = self.servers[at].as_ref().is_some_and(|s| {
                s.state == State::Gone
                    && s.missing
                    && s.load.own == 0
                    && now.since(s.listed) >= FORGET
            });
            if done {
                self.remove(at as u32);
                dropped = true;
            }
        }
        if dropped {
            let servers = &self.servers;
            self.ids.retain(|(_, at)| servers[*at as usize].is_some());
        }
    }

    fn remove(&mut self, at: u32) {
        if let Some(server) = self.servers[at as usize].take() {
            let pool = &mut self.groups[server.group as usize].pools[server.pool as usize];
            pool.members.retain(|member| *member != at);
            self.vacant.push(at);
        }
    }
}
