//! Bodies passed between the callers duty and the servers duty, whole or in chunks.

use std::future::Future;
use std::io;
use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use corianderway_wire::head::Framing;
use futures_lite::AsyncBufRead;
use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt as _;
use futures_util::stream;
use futures_util::TryStreamExt as _;
use http_types::Body;

/// Capacity of the ring of chunks of one body. When it is full, the sender waits.
const CHUNKS_CAPACITY: usize = 8;

/// The maximum size of a chunk.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// A chunk of a streamed body, or its end.
#[derive(Debug)]
pub enum Chunk {
    /// Some bytes.
    Data(Vec<u8>),
    /// The end of the body; a ring that closes without it means a truncated body.
    End,
}

/// The body of a request.
#[derive(Debug)]
pub enum Payload {
    /// A complete body, which can be sent again.
    Whole(Arc<[u8]>),
    /// A body that is still being received, with its length if known.
    Stream(Receiver<Chunk>, Option<usize>),
    /// A streamed body that was already used for an attempt.
    Spent,
}

impl Payload {
    /// Returns the body for one attempt; a stream only once.
    pub fn take(&mut self) -> Option<Body> {
        match std::mem::replace(self, Self::Spent) {
            Self::Whole(bytes) => {
                let body = Body::from_bytes(bytes.to_vec());
                *self = Self::Whole(bytes);
                Some(body)
            }
            Self::Stream(chunks, length) => Some(Body::from_reader(reader(chunks), length)),
            Self::Spent => None,
        }
    }
}

/// Makes the ring for one body.
pub fn ring() -> (Sender<Chunk>, Receiver<Chunk>) {
    async_channel::bounded(CHUNKS_CAPACITY)
}

/// Returns a reader of the chunks' bytes, which fails if the body was truncated.
pub fn reader(chunks: Receiver<Chunk>) -> impl AsyncBufRead + Send + Sync + Unpin + 'static {
    let chunks = stream::try_unfold(chunks, |chunks| async move {
        match chunks.recv().await {
            Ok(Chunk::Data(bytes)) => Ok(Some((bytes, chunks))),
            Ok(Chunk::End) => Ok(None),
            Err(_closed) => Err(truncated()),
        }
    });
    Box::pin(chunks).into_async_read()
}

/// Why a body was not passed on to its end.
#[derive(Debug)]
pub enum PumpError {
    /// The body can't be read, or its length differs from its framing.
    Truncated,
    /// The receiver needs no more of it.
    Unneeded,
}

/// Sends a body to a ring in chunks, and its end only if the body is complete. A body that ends
/// with its connection is complete if `is_orderly` resolves to true; it is polled only in that
/// case.
///
/// # Errors
///
/// Returns an error if the body is truncated, or if the receiver is closed.
pub async fn pump(
    mut body: impl AsyncRead + Unpin,
    framing: Framing,
    chunks: &Sender<Chunk>,
    is_orderly: impl Future<Output = bool>,
) -> Result<(), PumpError> {
    let mut total = 0;
    loop {
        let mut bytes = vec![0; MAX_CHUNK_BYTES];
        let read = body.read(&mut bytes).await;
        let count = read.map_err(|_broken| PumpError::Truncated)?;
        if count == 0 {
            break;
        }
        total += count as u64;
        bytes.truncate(count);
        let sent = chunks.send(Chunk::Data(bytes)).await;
        sent.map_err(|_closed| PumpError::Unneeded)?;
    }
    let is_complete = match framing {
        Framing::Length(length) => total == length,
        Framing::Chunked => true,
        Framing::Close => is_orderly.await,
    };
    if !is_complete {
        return Err(PumpError::Truncated);
    }
    let sent = chunks.send(Chunk::End).await;
    sent.map_err(|_closed| PumpError::Unneeded)
}

fn truncated() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the body was cut short")
}
