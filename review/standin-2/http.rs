//! HTTP/1.1 messages on blocking connections.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// The head and the body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// How a client attempt ended.
#[derive(Clone, Debug)]
pub enum End {
    /// A whole answer.
    Answer(Message),
    /// No connection was established; nothing was sent.
    NoConnection,
    /// The connection ended without a whole answer.
    Cut,
    /// The client's deadline passed.
    Deadline,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|row| row.1.as_str())
    }

    pub fn word(&self, at: usize) -> &str {
        self.line.split(' ').nth(at).unwrap_or_default()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a message whose body has a length; `None` at the end of the connection.
pub fn read(stream: &mut TcpStream, ahead: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = ahead.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if fill(stream, ahead)? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&ahead[..end]).into_owned();
    ahead.drain(..end);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        line: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let length = message
        .header("content-length")
        .and_then(|n| n.parse().ok());
    let length: usize = length.unwrap_or(0);
    while ahead.len() < length {
        if fill(stream, ahead)? == 0 {
            return Ok(None);
        }
    }
    message.body = ahead.drain(..length).collect();
    Ok(Some(message))
}

fn fill(stream: &mut TcpStream, ahead: &mut Vec<u8>) -> io::Result<usize> {
    let mut bytes = [0; 8192];
    let count = stream.read(&mut bytes)?;
    ahead.extend_from_slice(&bytes[..count]);
    Ok(count)
}

/// Makes one client attempt on a new connection. Calls `sent` once the request is written.
pub fn call(addr: SocketAddr, request: &[u8], limit: Duration, sent: impl FnOnce()) -> End {
    let begun = Instant::now();
    // Clients allow one second for a new connection.
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1).min(limit))
    else {
        return End::NoConnection;
    };
    drop(stream.set_nodelay(true));
    if stream.write_all(request).is_err() {
        return End::Cut;
    }
    sent();
    let mut ahead = Vec::new();
    let left = limit.saturating_sub(begun.elapsed());
    if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
        return End::Deadline;
    }
    match read(&mut stream, &mut ahead) {
        Ok(Some(answer)) => End::Answer(answer),
        Ok(None) => End::Cut,
        Err(error) => match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => End::Deadline,
            _ => End::Cut,
        },
    }
}
