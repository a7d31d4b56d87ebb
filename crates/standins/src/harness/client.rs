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

/// The timeout of a connect, of a write and of a read without new bytes.
const IO_TIMEOUT: Duration = Duration::from_secs(20);

/// The maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The maximum number of response headers.
const MAX_HEADERS: usize = 128;

/// A persistent connection; requests on it are sequential.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    reader: BufReader<TcpStream>,
}

/// Sends one request on a new connection.
///
/// # Errors
///
/// Fails when it can't connect or receives no complete response.
pub fn call(addr: SocketAddr, request: &Request) -> Result<Reply, Error> {
    Client::connect(addr)?.call(request)
}

impl Client {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Fails when the connection is refused or times out.
    pub fn connect(addr: SocketAddr) -> Result<Self, Error> {
        Self::open(addr).context(ConnectSnafu { addr })
    }

    fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, IO_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        stream.set_write_timeout(Some(IO_TIMEOUT))?;
        let reader = BufReader::new(stream);
        Ok(Self { addr, reader })
    }

    /// Sets the timeout of a read without new bytes.
    ///
    /// # Errors
    ///
    /// Fails when the timeout is zero.
    pub fn set_read_timeout(&mut self, limit: Duration) -> Result<(), Error> {
        let set = self.reader.get_ref().set_read_timeout(Some(limit));
        set.context(TransferSnafu { addr: self.addr })
    }

    /// Sends a request and reads its response.
    ///
    /// # Errors
    ///
    /// Fails when no complete response arrives.
    pub fn call(&mut self, request: &Request) -> Result<Reply, Error> {
        self.write(&request.bytes())?;
        self.read(&request.method)
    }

    /// Sends raw bytes.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let sent = self.reader.get_mut().write_all(bytes);
        sent.context(TransferSnafu { addr: self.addr })
    }

    /// Returns another handle of the stream, to write on another thread while this one
    /// reads a response.
    ///
    /// # Errors
    ///
    /// Fails when the operating system can't duplicate the socket.
    pub fn clone_stream(&self) -> Result<TcpStream, Error> {
        let cloned = self.reader.get_ref().try_clone();
        cloned.context(TransferSnafu { addr: self.addr })
    }

    /// Closes the sending side.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed.
    pub fn shutdown_write(&mut self) -> Result<(), Error> {
        let shut = self.reader.get_ref().shutdown(Shutdown::Write);
        shut.context(TransferSnafu { addr: self.addr })
    }

    /// Reads the response to a request with this method; skips interim (1xx) responses.
    ///
    /// # Errors
    ///
    /// Fails when the response is incomplete or not HTTP/1.1.
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

    /// Reads until the peer closes.
    ///
    /// # Errors
    ///
    /// Fails when the peer neither sends nor closes before the read timeout.
    pub fn read_to_end(&mut self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        let read = self.reader.read_to_end(&mut bytes);
        read.context(TransferSnafu { addr: self.addr })?;
        Ok(bytes)
    }

    fn head(&mut self) -> Result<Vec<u8>, Error> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            self.line(&mut head)?;
            if head.len() > MAX_HEAD_BYTES {
                return Err(self.malformed("the response head is too large"));
            }
        }
        Ok(head)
    }

    fn line(&mut self, text: &mut Vec<u8>) -> Result<(), Error> {
        let addr = self.addr;
        let limit = MAX_HEAD_BYTES as u64;
        let mut reader = self.reader.by_ref().take(limit);
        let read = reader.read_until(b'\n', text);
        if read.context(TransferSnafu { addr })? == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof))
                .context(TransferSnafu { addr });
        }
        Ok(())
    }

    fn parse(&self, head: &[u8]) -> Result<Reply, Error> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let complete = parsed.parse(head).is_ok_and(|s| s.is_complete());
        let (true, Some(status)) = (complete, parsed.code) else {
            return Err(self.malformed("the response head is not valid HTTP/1.1"));
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
            Some(Ok(size)) => self.read_bytes(size),
            Some(Err(_)) => Err(self.malformed("the Content-Length header is not a number")),
            None => self.read_to_end(),
        }
    }

    fn read_bytes(&mut self, size: usize) -> Result<Vec<u8>, Error> {
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
                return Err(self.malformed("a chunk has no valid size"));
            };
            if size == 0 {
                return self.trailers().map(|()| body);
            }
            body.extend(self.read_bytes(size)?);
            self.read_bytes(2)?;
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
