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
}

impl Pool {
    /// Takes the connection that became idle last.
    pub fn take(&mut self, addr: SocketAddr) -> Option<TcpStream> {
        let at = self.rows.binary_search_by_key(&addr, |row| row.0).ok()?;
        let idle = self.rows[at].1.pop()?;
        (idle.since.elapsed() < IDLE).then_some(idle.stream)
    }

    /// Keeps a connection on which no answer is owed.
    pub fn put(&mut self, addr: SocketAddr, stream: TcpStream) {
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
            kept.push(Idle { stream, since });
        }
    }

    /// Closes the connections that were idle for too long.
    pub fn expire(&mut self) {
        for (_, kept) in &mut self.rows {
            kept.retain(|idle| idle.since.elapsed() < IDLE);
        }
        self.rows.retain(|(_, kept)| !kept.is_empty());
    }
}
