//! Idle connections and counts of open requests, by address.

use std::net::SocketAddr;

use async_std::net::TcpStream;
use futures_lite::future;

/// The maximum number of idle connections per address.
const MAX_IDLE_PER_ADDR: usize = 64;

/// The connections of one worker, sorted by address.
#[derive(Debug, Default)]
pub(crate) struct Pool(Vec<AddrState>);

#[derive(Debug)]
struct AddrState {
    addr: SocketAddr,
    idle: Vec<TcpStream>,
    open: usize,
}

impl Pool {
    /// Counts a request as open.
    pub(crate) fn begin(&mut self, addr: SocketAddr) {
        self.addr_state(addr).open += 1;
    }

    /// Removes and returns an idle connection.
    pub(crate) fn take_idle(&mut self, addr: SocketAddr) -> Option<TcpStream> {
        self.addr_state(addr).idle.pop()
    }

    /// Counts a request as finished, and keeps its connection if one is given.
    pub(crate) fn finish(&mut self, addr: SocketAddr, stream: Option<TcpStream>) {
        let addr_state = self.addr_state(addr);
        addr_state.open -= 1;
        if addr_state.idle.len() < MAX_IDLE_PER_ADDR {
            addr_state.idle.extend(stream);
        }
    }

    /// Returns the address with the fewest open requests.
    pub(crate) fn least_loaded(&mut self, addrs: &[SocketAddr]) -> Option<SocketAddr> {
        addrs
            .iter()
            .copied()
            .min_by_key(|a| self.addr_state(*a).open)
    }

    fn addr_state(&mut self, addr: SocketAddr) -> &mut AddrState {
        let at = match self.0.binary_search_by_key(&addr, |l| l.addr) {
            Ok(at) => at,
            Err(at) => {
                let idle = Vec::new();
                self.0.insert(
                    at,
                    AddrState {
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

/// Returns whether an idle connection is open and has no unread bytes.
pub(crate) async fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0];
    future::poll_once(stream.peek(&mut byte)).await.is_none()
}
