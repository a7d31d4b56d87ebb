//! A reader that ends with one HTTP message, since the HTTP library would read beyond it.

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

/// An error while reading a head.
#[derive(Debug)]
pub enum HeadFailure {
    /// The connection ended or broke.
    Closed,
    /// The head is invalid or too long.
    Refused(HeadError),
}

/// Reads the bytes of one message from a connection.
///
/// A clone starts at the position of the original but reads from the same
/// connection, so only one of the two may be read.
#[derive(Clone, Debug)]
pub struct MessageReader {
    stream: TcpStream,
    // Bytes that were already read: the head and the start of the body.
    buffered: Arc<[u8]>,
    at: usize,
    // Bytes of the body still to be read from the stream, if the length is known.
    left: Option<u64>,
}

/// Reads and returns a head. `read_ahead` holds bytes that were read already, and
/// afterwards those read beyond the head.
///
/// # Errors
///
/// Returns an error if the connection ends first or the head is invalid.
pub async fn read_head(
    stream: &TcpStream,
    read_ahead: &mut Vec<u8>,
) -> Result<Vec<u8>, HeadFailure> {
    read_head_within(stream, read_ahead, head::MAX_HEAD_BYTES).await
}

/// Reads a head of at most `max_bytes` bytes, as [`read_head`] does.
///
/// # Errors
///
/// Returns the errors of [`read_head`].
pub async fn read_head_within(
    stream: &TcpStream,
    read_ahead: &mut Vec<u8>,
    max_bytes: usize,
) -> Result<Vec<u8>, HeadFailure> {
    let length = |bytes: &[u8]| head::head_length_within(bytes, max_bytes);
    read_until(stream, read_ahead, length).await
}

/// Reads the head of a response, of at most `max_bytes` bytes, as [`read_head`] does. Bytes
/// that are no response are rejected as they arrive.
///
/// # Errors
///
/// Returns the errors of [`read_head`].
pub async fn read_response_head(
    stream: &TcpStream,
    read_ahead: &mut Vec<u8>,
    max_bytes: usize,
) -> Result<Vec<u8>, HeadFailure> {
    let length = |bytes: &[u8]| head::response_head_length(bytes, max_bytes);
    read_until(stream, read_ahead, length).await
}

async fn read_until(
    stream: &TcpStream,
    read_ahead: &mut Vec<u8>,
    length: impl Fn(&[u8]) -> Result<Option<usize>, HeadError>,
) -> Result<Vec<u8>, HeadFailure> {
    loop {
        if let Some(end) = length(read_ahead).map_err(HeadFailure::Refused)? {
            let rest = read_ahead.split_off(end);
            return Ok(std::mem::replace(read_ahead, rest));
        }
        let mut bytes = [0; READ_BYTES];
        let mut source = stream;
        match source.read(&mut bytes).await {
            Ok(0) | Err(_) => return Err(HeadFailure::Closed),
            Ok(count) => read_ahead.extend_from_slice(&bytes[..count]),
        }
    }
}

impl MessageReader {
    /// Makes a reader for a message whose head was read. Moves the bytes of its body
    /// out of `read_ahead`.
    pub fn new(
        stream: TcpStream,
        head: Vec<u8>,
        framing: Framing,
        read_ahead: &mut Vec<u8>,
    ) -> Self {
        let available = read_ahead.len() as u64;
        let (used, left) = match framing {
            Framing::Length(length) => (
                available.min(length),
                Some(length.saturating_sub(available)),
            ),
            Framing::Chunked | Framing::Close => (available, None),
        };
        let rest = read_ahead.split_off(used as usize);
        let mut buffered = head;
        buffered.append(read_ahead);
        *read_ahead = rest;
        Self {
            stream,
            buffered: buffered.into(),
            at: 0,
            left,
        }
    }
}

impl AsyncRead for MessageReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.at < self.buffered.len() {
            let count = buf.len().min(self.buffered.len() - self.at);
            buf[..count].copy_from_slice(&self.buffered[self.at..self.at + count]);
            self.at += count;
            return Poll::Ready(Ok(count));
        }
        let max_bytes = self
            .left
            .map_or(buf.len() as u64, |left| left.min(buf.len() as u64));
        if max_bytes == 0 {
            return Poll::Ready(Ok(0));
        }
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..max_bytes as usize]);
        if let (Poll::Ready(Ok(count)), Some(left)) = (&read, &mut self.left) {
            *left -= *count as u64;
        }
        read
    }
}

impl AsyncWrite for MessageReader {
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
