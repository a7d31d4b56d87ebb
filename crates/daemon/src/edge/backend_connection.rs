//! A connection to a backend server, with the ids of the requests that were answered on it.
//!
//! An answer is matched to its request by the request's id. A second, late copy of an answer
//! bears the id of an earlier exchange, so a request must not be sent on a connection on which
//! its id was answered before.

use std::collections::VecDeque;

use async_std::net::TcpStream;
use xxhash_rust::xxh3::xxh3_64;

use crate::slots::Slot;

/// The maximum number of answered requests that a connection remembers.
const MAX_ANSWERED: usize = 32;

/// A connection to a backend server.
#[derive(Debug)]
pub struct Connection {
    /// The stream.
    pub stream: TcpStream,
    // Hashes of the ids of the latest answered requests, oldest first.
    answered: VecDeque<u64>,
    #[expect(dead_code, reason = "held for its drop")]
    slot: Slot,
}

impl Connection {
    /// Creates a connection on which no request has been answered.
    pub fn new(stream: TcpStream, slot: Slot) -> Self {
        Self {
            stream,
            answered: VecDeque::new(),
            slot,
        }
    }

    /// Returns whether a request with this id was answered on the connection.
    pub fn has_answered(&self, id: &str) -> bool {
        self.answered.contains(&xxh3_64(id.as_bytes()))
    }

    /// Returns whether no request has been answered on the connection.
    pub fn is_new(&self) -> bool {
        self.answered.is_empty()
    }

    /// Records that a request with this id was answered.
    pub fn record_answered(&mut self, id: &str) {
        if self.answered.len() == MAX_ANSWERED {
            self.answered.pop_front();
        }
        self.answered.push_back(xxh3_64(id.as_bytes()));
    }
}
