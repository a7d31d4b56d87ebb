//! Merging the platform's instance list into the table.
//!
//! A backend server that is announced as leaving, or is absent from several
//! lists in a row, starts to drain and doesn't come back under that identity
//! until it was absent for `ABSENCE_TTL`. A list that lacks too many of the known ones
//! adds backend servers but removes none.

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

// A backend server is leaving once this many lists in a row lack it.
const MISSED_LISTS_UNTIL_ABSENT: u32 = 2;
// A list that lacks more than this share of the backend servers that don't leave is
// implausible. It counts those that refuse connections, since all may be lost at once.
const MAX_PLAUSIBLE_LOSS: f64 = 0.5;
// With fewer of them, every list is plausible.
const MIN_CHECKED_SERVERS: usize = 4;
// A backend server that is gone is removed once it was absent from the lists for
// this long; then its identity can be used again.
const ABSENCE_TTL: Duration = Duration::from_mins(10);

/// The result of merging an instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncResult {
    /// The whole list was merged.
    Merged,
    /// Too many known backend servers were absent at once. Additions and
    /// announcements of leaving were merged, but absence was ignored.
    Implausible,
}

impl Fleet {
    /// Merges the platform's instance list.
    ///
    /// A backend server that is leaving stays out of use, even if a delayed list
    /// has it as live.
    pub fn sync(&mut self, list: &[Backend], now: Time) -> SyncResult {
        let mut present = vec![false; self.servers.len()];
        let mut next = 0;
        for backend in list {
            if let Some(handle) = self.find_after(&mut next, &backend.id) {
                present[handle.0 as usize] = true;
                self.merge(handle, backend, now);
                continue;
            }
            let at = self.add_server(backend, now) as usize;
            if let Some(is_present) = present.get_mut(at) {
                *is_present = true;
            }
        }
        self.is_synced |= !list.is_empty();
        if !self.is_plausible(&present) {
            return SyncResult::Implausible;
        }
        self.mark_absent(&present, now);
        SyncResult::Merged
    }

    // Finds a backend server by its identity. `next` is the index in `ids` after
    // the last one found, so a list sorted by identity needs no binary search.
    fn find_after(&self, next: &mut usize, id: &ServerId) -> Option<Handle> {
        let expected = self.ids.get(*next).filter(|(known, _)| known == id);
        if let Some((_, at)) = expected {
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
        server.missed_lists = 0;
        server.is_absent = false;
        server.last_listed = now;
        server.backend.slots = backend.slots;
        let is_replaced = !server.is_same(backend);
        if is_replaced || backend.presence == Presence::Leaving {
            self.handle_event(handle, Event::Leaving, now);
        }
    }

    fn is_plausible(&self, present: &[bool]) -> bool {
        let (mut known, mut absent) = (0, 0);
        for (server, present) in self.servers.iter().zip(present) {
            let stays = |s: &Server| !matches!(s.state, State::Draining | State::Gone);
            if server.as_ref().is_some_and(stays) {
                known += 1;
                absent += usize::from(!present);
            }
        }
        known < MIN_CHECKED_SERVERS || absent as f64 <= MAX_PLAUSIBLE_LOSS * known as f64
    }

    fn mark_absent(&mut self, present: &[bool], now: Time) {
        for (at, _) in present.iter().enumerate().filter(|(_, present)| !**present) {
            let Some(server) = self.servers[at].as_mut() else {
                continue;
            };
            server.missed_lists += 1;
            if server.missed_lists >= MISSED_LISTS_UNTIL_ABSENT && !server.is_absent {
                server.is_absent = true;
                self.handle_event(Handle(at as u32), Event::Leaving, now);
            }
        }
    }

    fn add_server(&mut self, backend: &Backend, now: Time) -> u32 {
        let group = self.add_group(&backend.service, &backend.region);
        let pool = self.groups[group as usize].add_pool(&backend.version) as u32;
        let indices = (group, pool);
        let server = Server::new(backend.clone(), self.chart.initial(), indices, now);
        let at = self.vacant.pop().unwrap_or_else(|| {
            self.servers.push(None);
            self.servers.len() as u32 - 1
        });
        self.servers[at as usize] = Some(server);
        let by_id = self.ids.binary_search_by(|(id, _)| id.cmp(&backend.id));
        let entry = (backend.id.clone(), at);
        self.ids.insert(by_id.unwrap_or_else(|free| free), entry);
        let pool = &mut self.groups[group as usize].pools[pool as usize];
        pool.members.push(at);
        pool.usable.push(at);
        self.recompute_group(group);
        let handle = Handle(at);
        if !self.is_synced {
            self.handle_event(handle, Event::Established, now);
        }
        if backend.presence == Presence::Leaving {
            self.handle_event(handle, Event::Leaving, now);
        }
        at
    }

    fn add_group(&mut self, service: &Service, region: &Region) -> u32 {
        let key_of = |at: &u32| {
            let group = &self.groups[*at as usize];
            (&group.service, &group.region)
        };
        let found = self
            .group_index
            .binary_search_by(|at| key_of(at).cmp(&(service, region)));
        let free = match found {
            Ok(at) => return self.group_index[at],
            Err(free) => free,
        };
        let group = self.groups.len() as u32;
        self.groups
            .push(Group::new(service.clone(), region.clone()));
        self.group_index.insert(free, group);
        group
    }

    // Removes the backend servers that are gone and were absent for long enough.
    pub(crate) fn remove_gone(&mut self, now: Time) {
        let mut any_removed = false;
        for at in 0..self.servers.len() {
            let is_expired = self.servers[at].as_ref().is_some_and(|s| {
                s.state == State::Gone
                    && s.is_absent
                    && s.load.own == 0
                    && now.since(s.last_listed) >= ABSENCE_TTL
            });
            if is_expired {
                self.remove(at as u32);
                any_removed = true;
            }
        }
        if any_removed {
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
