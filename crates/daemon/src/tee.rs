//! A body reader that also copies the bytes, as far as they are small enough to replay.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use corianderway_control::MAX_OUTCOME_BODY_BYTES;
use futures_lite::io::BufReader;
use futures_lite::ready;
use futures_lite::AsyncBufRead;
use futures_lite::AsyncRead;
use http_types::Body;

/// A shared copy of the start of a body.
///
/// It holds at most one byte more than [`MAX_OUTCOME_BODY_BYTES`]; a copy of that
/// length marks the body as too large.
#[derive(Clone, Debug, Default)]
pub struct BodyCopy(Arc<Mutex<Vec<u8>>>);

impl BodyCopy {
    /// Returns the bytes copied so far.
    pub fn bytes(&self) -> Vec<u8> {
        let bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        bytes.clone()
    }

    fn push(&self, more: &[u8]) {
        let mut bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        // One byte above the limit marks the body as too large.
        let room = (MAX_OUTCOME_BODY_BYTES + 1).saturating_sub(bytes.len());
        bytes.extend_from_slice(&more[..more.len().min(room)]);
    }
}

/// A body that copies the bytes read from it if it has a copy.
#[derive(Debug)]
pub struct Tee {
    body: BufReader<Body>,
    copy: Option<BodyCopy>,
}

impl Tee {
    pub fn new(body: Body, copy: Option<BodyCopy>) -> Self {
        let body = BufReader::new(body);
        Self { body, copy }
    }
}

impl AsyncRead for Tee {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.body).poll_read(cx, buf))?;
        if let Some(copy) = &self.copy {
            copy.push(&buf[..count]);
        }
        Poll::Ready(Ok(count))
    }
}

impl AsyncBufRead for Tee {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Pin::new(&mut self.get_mut().body).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, amt: usize) {
        if let Some(copy) = &self.copy {
            copy.push(&self.body.buffer()[..amt]);
        }
        Pin::new(&mut self.body).consume(amt);
    }
}
