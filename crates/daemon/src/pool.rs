//! Idle connections to backend servers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// The default time that a connection may stay idle.
const MAX_IDLE: Duration = Duration::from_secs(5);

/// The maximum number of idle connections to one backend server.
const MAX_IDLE_PER_SERVER: usize = 64;

/// Idle connections by address.
#[derive(Debug)]
pub struct Pool<C> {
    // Sorted by address.
    servers: Vec<(SocketAddr, Vec<Idle<C>>)>,
}

#[derive(Debug)]
struct Idle<C> {
    connection: C,
    since: Instant,
    // How long the connection may stay idle.
    ttl: Duration,
}

impl<C> Default for Pool<C> {
    fn default() -> Self {
        let servers = Vec::new();
        Self { servers }
    }
}

impl<C> Pool<C> {
    /// Removes and returns the connection that became idle last.
    pub fn take(&mut self, addr: SocketAddr) -> Option<C> {
        self.take_if(addr, MAX_IDLE, |_| true)
    }

    /// Removes and returns the connection that became idle last of those that are
    /// `usable` and have been idle for less than `max_idle` and their own limit.
    pub fn take_if(
        &mut self,
        addr: SocketAddr,
        max_idle: Duration,
        usable: impl Fn(&C) -> bool,
    ) -> Option<C> {
        let at = self.servers.binary_search_by_key(&addr, |row| row.0).ok()?;
        let connections = &mut self.servers[at].1;
        let found = connections.iter().rposition(|idle| {
            idle.since.elapsed() < idle.ttl.min(max_idle) && usable(&idle.connection)
        });
        Some(connections.remove(found?).connection)
    }

    /// Adds a connection on which no response is outstanding.
    pub fn put(&mut self, addr: SocketAddr, connection: C) {
        self.put_for(addr, connection, MAX_IDLE);
    }

    /// Adds a connection on which no response is outstanding, for at most `ttl`.
    pub fn put_for(&mut self, addr: SocketAddr, connection: C, ttl: Duration) {
        let at = match self.servers.binary_search_by_key(&addr, |row| row.0) {
            Ok(at) => at,
            Err(at) => {
                self.servers.insert(at, (addr, Vec::new()));
                at
            }
        };
        let connections = &mut self.servers[at].1;
        if connections.len() < MAX_IDLE_PER_SERVER {
            let since = Instant::now();
            connections.push(Idle {
                connection,
                since,
                ttl,
            });
        }
    }

    /// Closes the connection that has been idle for longest; returns whether there is one.
    pub fn close_oldest(&mut self) -> bool {
        let rows = self.servers.iter_mut().filter(|row| !row.1.is_empty());
        let oldest = rows.min_by_key(|row| row.1[0].since);
        oldest.map(|row| row.1.remove(0)).is_some()
    }

    /// Closes the connections that have been idle for too long.
    pub fn expire(&mut self) {
        for (_, connections) in &mut self.servers {
            connections.retain(|idle| idle.since.elapsed() < idle.ttl);
        }
        self.servers
            .retain(|(_, connections)| !connections.is_empty());
    }
}
