//! Idle connections to backend servers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpStream;

/// The default time that a connection may stay idle.
const MAX_IDLE: Duration = Duration::from_secs(5);

/// The maximum number of idle connections to one backend server.
const MAX_IDLE_PER_SERVER: usize = 64;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    // Sorted by address.
    servers: Vec<(SocketAddr, Vec<Idle>)>,
}

#[derive(Debug)]
struct Idle {
    stream: TcpStream,
    since: Instant,
    // How long the connection may stay idle.
    ttl: Duration,
}

impl Pool {
    /// Removes and returns the connection that became idle last.
    pub fn take(&mut self, addr: SocketAddr) -> Option<TcpStream> {
        self.take_within(addr, MAX_IDLE)
    }

    /// Removes and returns the connection that became idle last, if it has been
    /// idle for less than `max_idle` and its own limit.
    pub fn take_within(&mut self, addr: SocketAddr, max_idle: Duration) -> Option<TcpStream> {
        let at = self.servers.binary_search_by_key(&addr, |row| row.0).ok()?;
        let last = self.servers[at].1.last()?;
        if last.since.elapsed() >= last.ttl.min(max_idle) {
            return None;
        }
        self.servers[at].1.pop().map(|idle| idle.stream)
    }

    /// Adds a connection on which no response is outstanding.
    pub fn put(&mut self, addr: SocketAddr, stream: TcpStream) {
        self.put_for(addr, stream, MAX_IDLE);
    }

    /// Adds a connection on which no response is outstanding, for at most `ttl`.
    pub fn put_for(&mut self, addr: SocketAddr, stream: TcpStream, ttl: Duration) {
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
            connections.push(Idle { stream, since, ttl });
        }
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
