//! Connections that callers keep, and the requests open on each address.

use std::net::SocketAddr;

use async_std::net::TcpStream;
use futures_lite::future;

/// Idle connections kept for each address.
const IDLE_CONNECTIONS: usize = 64;

/// The connections of one worker, sorted by address.
#[derive(Debug, Default)]
pub(crate) struct Pool(Vec<Line>);

#[derive(Debug)]
struct Line {
    addr: SocketAddr,
    idle: Vec<TcpStream>,
    open: usize,
}

impl Pool {
    /// Counts a request as open.
    pub(crate) fn open(&mut self, addr: SocketAddr) {
        self.line(addr).open += 1;
    }

    /// Takes an idle connection.
    pub(crate) fn take(&mut self, addr: SocketAddr) -> Option<TcpStream> {
        self.line(addr).idle.pop()
    }

    /// Ends a request; a connection that can be used again is kept.
    pub(crate) fn give(&mut self, addr: SocketAddr, stream: Option<TcpStream>) {
        let line = self.line(addr);
        line.open -= 1;
        if line.idle.len() < IDLE_CONNECTIONS {
            line.idle.extend(stream);
        }
    }

    /// The address with the fewest open requests.
    pub(crate) fn least(&mut self, addrs: &[SocketAddr]) -> Option<SocketAddr> {
        addrs.iter().copied().min_by_key(|a| self.line(*a).open)
    }

    fn line(&mut self, addr: SocketAddr) -> &mut Line {
        let at = match self.0.binary_search_by_key(&addr, |l| l.addr) {
            Ok(at) => at,
            Err(at) => {
                let idle = Vec::new();
                self.0.insert(
                    at,
                    Line {
                        addr,
                        idle,
                        open: 0,
                    },
                );
                at
            }
        };
        &mut self.0[at]
    }
}

/// Whether an idle connection is open and holds no byte that nobody asked for.
pub(crate) async fn idle(stream: &TcpStream) -> bool {
    let mut byte = [0];
    future::poll_once(stream.peek(&mut byte)).await.is_none()
}
