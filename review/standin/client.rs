//! A stand-in of a client: one request after the other on a kept connection.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Clients allow this long for a new connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Why a request got no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    NoConnection,
    Closed,
    TimedOut,
}

impl Answer {
    /// Returns whether the connection ends after this answer.
    pub fn closes(&self) -> bool {
        self.head.to_ascii_lowercase().contains("connection: close")
    }
}

pub struct Client {
    stream: TcpStream,
    ahead: Vec<u8>,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> Result<Self, Failure> {
        let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT);
        let stream = stream.map_err(|_refused| Failure::NoConnection)?;
        drop(stream.set_nodelay(true));
        Ok(Self { stream, ahead: Vec::new() })
    }

    pub fn send(&mut self, bytes: &[u8]) -> Result<(), Failure> {
        self.stream.write_all(bytes).map_err(|_broken| Failure::Closed)
    }

    /// Reads a whole answer with a length.
    pub fn read(&mut self, timeout: Duration) -> Result<Answer, Failure> {
        drop(self.stream.set_read_timeout(Some(timeout)));
        let end = loop {
            if let Some(at) = self.ahead.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let lower = head.to_ascii_lowercase();
        let length = lower.lines().find_map(|line| line.strip_prefix("content-length:"));
        let length: usize = length.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
        while self.ahead.len() < end + length {
            self.fill()?;
        }
        let rest = self.ahead.split_off(end + length);
        let body = String::from_utf8_lossy(&self.ahead[end..]).into_owned();
        self.ahead = rest;
        Ok(Answer { status, head, body })
    }

    pub fn ask(&mut self, bytes: &[u8], timeout: Duration) -> Result<Answer, Failure> {
        self.send(bytes)?;
        self.read(timeout)
    }

    fn fill(&mut self) -> Result<(), Failure> {
        let mut bytes = [0; 4096];
        match self.stream.read(&mut bytes) {
            Ok(0) => Err(Failure::Closed),
            Ok(count) => {
                self.ahead.extend_from_slice(&bytes[..count]);
                Ok(())
            }
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                Err(Failure::TimedOut)
            }
            Err(_) => Err(Failure::Closed),
        }
    }
}

/// Builds a request without a body.
pub fn get(host: &str, path: &str, id: &str, deadline_ms: u64) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\r\n").into_bytes()
}
