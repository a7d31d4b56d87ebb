//! A small blocking HTTP/1.1 client.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use snafu::ResultExt;

use crate::harness::error::ConnectSnafu;
use crate::harness::error::Error;
use crate::harness::error::TransferSnafu;
use crate::harness::message::Reply;
use crate::harness::message::Request;

/// The longest wait for a connection or for the next byte.
const PATIENCE: Duration = Duration::from_secs(20);

/// The largest head of an answer, in bytes.
const HEAD_BYTES: usize = 64 * 1024;

/// The most headers of an answer.
const HEAD_LINES: usize = 128;

/// A connection that is kept between requests.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    reader: BufReader<TcpStream>,
}

/// Sends one request on a connection of its own.
///
/// # Errors
///
/// Fails when there is no connection or no whole answer.
pub fn call(addr: SocketAddr, request: &Request) -> Result<Reply, Error> {
    Client::connect(addr)?.call(request)
}

impl Client {
    /// Connects.
    ///
    /// # Errors
    ///
    /// Fails when nothing accepts.
    pub fn connect(addr: SocketAddr) -> Result<Self, Error> {
        Self::open(addr).context(ConnectSnafu { addr })
    }

    fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, PATIENCE)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.set_write_timeout(Some(PATIENCE))?;
        let reader = BufReader::new(stream);
        Ok(Self { addr, reader })
    }

    /// Changes the longest wait for the next byte.
    ///
    /// # Errors
    ///
    /// Fails when the span is zero.
    pub fn set_patience(&mut self, limit: Duration) -> Result<(), Error> {
        let set = self.reader.get_ref().set_read_timeout(Some(limit));
        set.context(TransferSnafu { addr: self.addr })
    }

    /// Sends a request and reads its answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no whole answer.
    pub fn call(&mut self, request: &Request) -> Result<Reply, Error> {
        self.write(&request.bytes())?;
        self.read(&request.method)
    }

    /// Sends bytes as they are.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let sent = self.reader.get_mut().write_all(bytes);
        sent.context(TransferSnafu { addr: self.addr })
    }

    /// The sending side, to write on another thread while an answer is read.
    ///
    /// # Errors
    ///
    /// Fails when the operating system refuses.
    pub fn sender(&self) -> Result<TcpStream, Error> {
        let cloned = self.reader.get_ref().try_clone();
        cloned.context(TransferSnafu { addr: self.addr })
    }

    /// Closes the sending side.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed.
    pub fn finish(&mut self) -> Result<(), Error> {
        let shut = self.reader.get_ref().shutdown(Shutdown::Write);
        shut.context(TransferSnafu { addr: self.addr })
    }

    /// Reads one answer to a request with a method.
    ///
    /// # Errors
    ///
    /// Fails when the answer is not whole or not HTTP/1.1.
    pub fn read(&mut self, method: &str) -> Result<Reply, Error> {
        let head = self.head()?;
        let mut reply = self.parse(&head)?;
        if reply.status / 100 == 1 {
            return self.read(method);
        }
        if method != "HEAD" && reply.status != 204 && reply.status != 304 {
            reply.body = self.body(&reply)?;
        }
        Ok(reply)
    }

    /// Reads everything until the other side closes.
    ///
    /// # Errors
    ///
    /// Fails when the other side neither sends nor closes in time.
    pub fn rest(&mut self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        let read = self.reader.read_to_end(&mut bytes);
        read.context(TransferSnafu { addr: self.addr })?;
        Ok(bytes)
    }

    fn head(&mut self) -> Result<Vec<u8>, Error> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            self.line(&mut head)?;
            if head.len() > HEAD_BYTES {
                return Err(self.malformed("the head never ends"));
            }
        }
        Ok(head)
    }

    fn line(&mut self, text: &mut Vec<u8>) -> Result<(), Error> {
        let addr = self.addr;
        let limit = HEAD_BYTES as u64;
        let mut reader = self.reader.by_ref().take(limit);
        let read = reader.read_until(b'\n', text);
        if read.context(TransferSnafu { addr })? == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof))
                .context(TransferSnafu { addr });
        }
        Ok(())
    }

    fn parse(&self, head: &[u8]) -> Result<Reply, Error> {
        let mut headers = [httparse::EMPTY_HEADER; HEAD_LINES];
        let mut parsed = httparse::Response::new(&mut headers);
        let complete = parsed.parse(head).is_ok_and(|s| s.is_complete());
        let (true, Some(status)) = (complete, parsed.code) else {
            return Err(self.malformed("the head is not HTTP/1.1"));
        };
        let pair = |h: &httparse::Header<'_>| {
            let value = String::from_utf8_lossy(h.value).into_owned();
            (h.name.to_ascii_lowercase(), value)
        };
        Ok(Reply {
            status,
            headers: parsed.headers.iter().map(pair).collect(),
            body: Vec::new(),
        })
    }

    fn body(&mut self, reply: &Reply) -> Result<Vec<u8>, Error> {
        if reply.header("transfer-encoding").is_some() {
            return self.chunks();
        }
        match reply.header("content-length").map(str::parse) {
            Some(Ok(size)) => self.exact(size),
            Some(Err(_)) => Err(self.malformed("the content length is not a number")),
            None => self.rest(),
        }
    }

    fn exact(&mut self, size: usize) -> Result<Vec<u8>, Error> {
        let mut bytes = vec![0; size];
        let read = self.reader.read_exact(&mut bytes);
        read.context(TransferSnafu { addr: self.addr })?;
        Ok(bytes)
    }

    fn chunks(&mut self) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        loop {
            let mut line = Vec::new();
            self.line(&mut line)?;
            let text = String::from_utf8_lossy(&line);
            let digits = text.split(';').next().unwrap_or_default().trim();
            let Ok(size) = usize::from_str_radix(digits, 16) else {
                return Err(self.malformed("a chunk has no size"));
            };
            if size == 0 {
                return self.trailers().map(|()| body);
            }
            body.extend(self.exact(size)?);
            self.exact(2)?;
        }
    }

    fn trailers(&mut self) -> Result<(), Error> {
        let mut line = Vec::new();
        while line != b"\r\n" {
            line.clear();
            self.line(&mut line)?;
        }
        Ok(())
    }

    fn malformed(&self, reason: &str) -> Error {
        Error::Malformed {
            addr: self.addr,
            reason: reason.to_owned(),
        }
    }
}
