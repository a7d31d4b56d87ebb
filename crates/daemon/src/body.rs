//! Bodies on their way between the callers duty and the servers duty.

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

/// Chunks that wait between two duties for one body.
const CHUNKS: usize = 8;

/// The largest chunk, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// One step of a body.
#[derive(Debug)]
pub enum Chunk {
    /// Some bytes.
    Data(Vec<u8>),
    /// The whole body was sent; without it the body was cut.
    End,
}

/// The body of a request.
#[derive(Debug)]
pub enum Payload {
    /// The whole body, which can be sent again.
    Whole(Arc<[u8]>),
    /// A body that is still coming, with its length if known.
    Stream(Receiver<Chunk>, Option<usize>),
    /// A streamed body that was already handed to a backend server.
    Spent,
}

impl Payload {
    /// Makes the body for one attempt; a stream can be taken only once.
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
    async_channel::bounded(CHUNKS)
}

/// Reads chunks as a stream of bytes that fails when the body was cut.
pub fn reader(chunks: Receiver<Chunk>) -> impl AsyncBufRead + Send + Sync + Unpin + 'static {
    let chunks = stream::try_unfold(chunks, |chunks| async move {
        match chunks.recv().await {
            Ok(Chunk::Data(bytes)) => Ok(Some((bytes, chunks))),
            Ok(Chunk::End) => Ok(None),
            Err(_closed) => Err(cut()),
        }
    });
    Box::pin(chunks).into_async_read()
}

/// Moves a body into a ring, and ends it only when it is whole.
///
/// # Errors
///
/// Fails when the body can't be read, is shorter than its framing says, or the
/// other end is gone.
pub async fn pump(
    mut body: impl AsyncRead + Unpin,
    framing: Framing,
    chunks: &Sender<Chunk>,
) -> io::Result<()> {
    let mut moved = 0;
    loop {
        let mut bytes = vec![0; CHUNK_BYTES];
        let count = body.read(&mut bytes).await?;
        if count == 0 {
            break;
        }
        moved += count as u64;
        bytes.truncate(count);
        let sent = chunks.send(Chunk::Data(bytes)).await;
        sent.map_err(|_closed| cut())?;
    }
    match framing {
        Framing::Length(length) if moved != length => Err(cut()),
        Framing::Length(_) | Framing::Chunked | Framing::Close => {
            chunks.send(Chunk::End).await.map_err(|_closed| cut())
        }
    }
}

fn cut() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the body was cut short")
}
