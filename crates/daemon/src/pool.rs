//! Idle connections to backend servers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpStream;

/// The longest time that a connection stays idle.
const IDLE: Duration = Duration::from_secs(5);

/// Idle connections kept for one backend server.
const KEPT: usize = 64;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    // Sorted by address.
    rows: Vec<(SocketAddr, Vec<Idle>)>,
}

#[derive(Debug)]
struct Idle {
    stream: TcpStream,
    since: Instant,
    // How long the connection may stay idle.
    keep: Duration,
}

impl Pool {
    /// Takes the connection that became idle last.
    pub fn take(&mut self, addr: SocketAddr) -> Option<TcpStream> {
        self.take_within(addr, IDLE)
    }

    /// Takes the connection that became idle last, if that is not longer ago
    /// than `most`.
    pub fn take_within(&mut self, addr: SocketAddr, most: Duration) -> Option<TcpStream> {
        let at = self.rows.binary_search_by_key(&addr, |row| row.0).ok()?;
        let last = self.rows[at].1.last()?;
        if last.since.elapsed() >= last.keep.min(most) {
            return None;
        }
        self.rows[at].1.pop().map(|idle| idle.stream)
    }

    /// Keeps a connection on which no answer is owed.
    pub fn put(&mut self, addr: SocketAddr, stream: TcpStream) {
        self.put_for(addr, stream, IDLE);
    }

    /// Keeps a connection on which no answer is owed, for a span at most.
    pub fn put_for(&mut self, addr: SocketAddr, stream: TcpStream, keep: Duration) {
        let at = match self.rows.binary_search_by_key(&addr, |row| row.0) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, (addr, Vec::new()));
                at
            }
        };
        let kept = &mut self.rows[at].1;
        if kept.len() < KEPT {
            let since = Instant::now();
            kept.push(Idle {
                stream,
                since,
                keep,
            });
        }
    }

    /// Closes the connections that were idle for too long.
    pub fn expire(&mut self) {
        for (_, kept) in &mut self.rows {
            kept.retain(|idle| idle.since.elapsed() < idle.keep);
        }
        self.rows.retain(|(_, kept)| !kept.is_empty());
    }
}
