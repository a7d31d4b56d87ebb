//! Reads whole message bodies from a connection.
//!
//! All sizes are bounded, and the memory for a body is reserved as it grows.

use std::io;

use async_std::net::TcpStream;
use async_std::task;
use corianderway_wire::head::Framing;
use futures_lite::AsyncReadExt as _;

use crate::edge::body_memory::Reservation;

/// The maximum number of bytes per read.
const READ_BYTES: usize = 16 * 1024;

/// The maximum length of the line with a chunk's size, in bytes.
const MAX_LINE: usize = 256;

/// The maximum length of a chunked body's trailers, beyond one read.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// An error while reading a body.
#[derive(Debug)]
pub enum BodyError {
    /// The connection ended or failed before the end of the body.
    Cut,
    /// The body is longer than allowed.
    TooLarge,
    /// The bodies of all connections use up the memory budget.
    NoMemory,
    /// The chunked encoding is invalid.
    Malformed,
}

/// Reads a whole body. On entry `ahead` holds what was read beyond the head, on
/// return what was read beyond the body.
///
/// # Errors
///
/// Fails if the body is cut off, malformed or longer than `max_bytes`, or if the
/// memory budget for bodies is used up.
pub async fn read(
    stream: &TcpStream,
    ahead: &mut Vec<u8>,
    framing: Framing,
    max_bytes: u64,
    reservation: &mut Reservation,
) -> Result<Vec<u8>, BodyError> {
    match framing {
        Framing::Length(length) if length > max_bytes => Err(BodyError::TooLarge),
        // Refused before it is read: the budget will never suffice.
        Framing::Length(length) if !reservation.can_hold(length) => Err(BodyError::NoMemory),
        Framing::Length(length) => {
            let length = length as usize;
            while ahead.len() < length {
                fill(stream, ahead).await?;
                reserve(reservation, ahead.len())?;
            }
            let rest = ahead.split_off(length);
            Ok(std::mem::replace(ahead, rest))
        }
        Framing::Chunked => read_chunks(stream, ahead, max_bytes, reservation).await,
        Framing::Close => {
            while read_some(stream, ahead)
                .await
                .map_err(|_broken| BodyError::Cut)?
            {
                if ahead.len() as u64 > max_bytes {
                    return Err(BodyError::TooLarge);
                }
                reserve(reservation, ahead.len())?;
            }
            Ok(std::mem::take(ahead))
        }
    }
}

async fn read_chunks(
    stream: &TcpStream,
    ahead: &mut Vec<u8>,
    max_bytes: u64,
    reservation: &mut Reservation,
) -> Result<Vec<u8>, BodyError> {
    let mut body = Vec::new();
    loop {
        let (start, size) = chunk_size(stream, ahead).await?;
        ahead.drain(..start);
        if size == 0 {
            skip_trailers(stream, ahead).await?;
            return Ok(body);
        }
        if (body.len() as u64).saturating_add(size) > max_bytes {
            return Err(BodyError::TooLarge);
        }
        let size = size as usize;
        while ahead.len() < size + 2 {
            fill(stream, ahead).await?;
            reserve(reservation, body.len() + ahead.len())?;
        }
        if &ahead[size..size + 2] != b"\r\n" {
            return Err(BodyError::Malformed);
        }
        body.extend_from_slice(&ahead[..size]);
        ahead.drain(..size + 2);
    }
}

// Returns the length of the line with the next chunk's size, and the size.
async fn chunk_size(stream: &TcpStream, ahead: &mut Vec<u8>) -> Result<(usize, u64), BodyError> {
    loop {
        match httparse::parse_chunk_size(ahead) {
            Ok(httparse::Status::Complete(found)) => return Ok(found),
            Ok(httparse::Status::Partial) if ahead.len() < MAX_LINE => fill(stream, ahead).await?,
            Ok(httparse::Status::Partial) | Err(_) => return Err(BodyError::Malformed),
        }
    }
}

// Discards the trailers after the last chunk, up to and with the empty line.
async fn skip_trailers(stream: &TcpStream, ahead: &mut Vec<u8>) -> Result<(), BodyError> {
    let mut skipped = 0;
    loop {
        let line = ahead.windows(2).position(|pair| pair == b"\r\n");
        match line {
            Some(0) => {
                ahead.drain(..2);
                return Ok(());
            }
            Some(at) => {
                ahead.drain(..at + 2);
                skipped += at + 2;
            }
            None => fill(stream, ahead).await?,
        }
        if skipped + ahead.len() > MAX_TRAILER_BYTES + READ_BYTES {
            return Err(BodyError::Malformed);
        }
    }
}

fn reserve(reservation: &mut Reservation, bytes: usize) -> Result<(), BodyError> {
    reservation
        .grow_to(bytes)
        .then_some(())
        .ok_or(BodyError::NoMemory)
}

// Reads some bytes; fails at the end of the connection.
async fn fill(stream: &TcpStream, ahead: &mut Vec<u8>) -> Result<(), BodyError> {
    match read_some(stream, ahead).await {
        Ok(true) => Ok(()),
        Ok(false) | Err(_) => Err(BodyError::Cut),
    }
}

// Reads some bytes; returns false at the end of the connection.
async fn read_some(mut stream: &TcpStream, ahead: &mut Vec<u8>) -> io::Result<bool> {
    let start = ahead.len();
    ahead.resize(start + READ_BYTES, 0);
    let read = stream.read(&mut ahead[start..]).await;
    // Yields, since a connection that always has bytes would otherwise starve the
    // others.
    task::yield_now().await;
    ahead.truncate(start + read.as_ref().map_or(0, |count| *count));
    Ok(read? > 0)
}
