//! The bytes of one message, and not one more, as the HTTP library reads them.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use async_std::net::TcpStream;
use corianderway_wire::head;
use corianderway_wire::head::Framing;
use corianderway_wire::head::HeadError;
use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt as _;
use futures_lite::AsyncWrite;

/// Bytes read from a connection at a time.
const READ_BYTES: usize = 4 * 1024;

/// Why no head could be read.
#[derive(Debug)]
pub enum HeadFailure {
    /// The connection ended or broke.
    Closed,
    /// The head can't be accepted.
    Refused(HeadError),
}

/// A connection cut to the bytes of one message.
///
/// A clone reads from the same place as the original did when it was made, so
/// only one of the two may be read.
#[derive(Clone, Debug)]
pub struct Feed {
    stream: TcpStream,
    // Bytes that were read already: the head and the start of the body.
    start: Arc<[u8]>,
    at: usize,
    // Bytes of the body still to be read from the stream; none without bound.
    left: Option<u64>,
}

/// Reads to the end of a head, and returns it; `carry` holds what was read beyond.
///
/// # Errors
///
/// Fails when the connection ends first or the head can't be accepted.
pub async fn read_head(stream: &TcpStream, carry: &mut Vec<u8>) -> Result<Vec<u8>, HeadFailure> {
    read_head_within(stream, carry, head::MAX_HEAD_BYTES).await
}

/// Reads to the end of a head of at most `most` bytes, as [`read_head`] does.
///
/// # Errors
///
/// Fails as [`read_head`] does.
pub async fn read_head_within(
    stream: &TcpStream,
    carry: &mut Vec<u8>,
    most: usize,
) -> Result<Vec<u8>, HeadFailure> {
    loop {
        let found = head::head_length_within(carry, most);
        if let Some(end) = found.map_err(HeadFailure::Refused)? {
            let rest = carry.split_off(end);
            return Ok(std::mem::replace(carry, rest));
        }
        let mut bytes = [0; READ_BYTES];
        let mut source = stream;
        match source.read(&mut bytes).await {
            Ok(0) | Err(_) => return Err(HeadFailure::Closed),
            Ok(count) => carry.extend_from_slice(&bytes[..count]),
        }
    }
}

impl Feed {
    /// Makes the feed of a message whose head was read; takes its part of `carry`.
    pub fn new(stream: TcpStream, head: Vec<u8>, framing: Framing, carry: &mut Vec<u8>) -> Self {
        let held = carry.len() as u64;
        let (taken, left) = match framing {
            Framing::Length(length) => (held.min(length), Some(length.saturating_sub(held))),
            Framing::Chunked | Framing::Close => (held, None),
        };
        let rest = carry.split_off(taken as usize);
        let mut start = head;
        start.append(carry);
        *carry = rest;
        Self {
            stream,
            start: start.into(),
            at: 0,
            left,
        }
    }
}

impl AsyncRead for Feed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.at < self.start.len() {
            let count = buf.len().min(self.start.len() - self.at);
            buf[..count].copy_from_slice(&self.start[self.at..self.at + count]);
            self.at += count;
            return Poll::Ready(Ok(count));
        }
        let most = self
            .left
            .map_or(buf.len() as u64, |left| left.min(buf.len() as u64));
        if most == 0 {
            return Poll::Ready(Ok(0));
        }
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..most as usize]);
        if let (Poll::Ready(Ok(count)), Some(left)) = (&read, &mut self.left) {
            *left -= *count as u64;
        }
        read
    }
}

impl AsyncWrite for Feed {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
