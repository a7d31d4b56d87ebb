//! A blocking HTTP client for one address.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task::block_on;
use http_types::Method;
use http_types::Request;
use http_types::Url;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout from sending a request to the end of its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// An HTTP client for one address, with a new connection for each call.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    addr: SocketAddr,
}

/// An HTTP response with its complete body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// The body; invalid UTF-8 is replaced.
    pub body: String,
}

/// Why a call got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request was not sent.
    Unsent,
    /// The request was sent and may have taken effect.
    Unknown,
}

/// The name and value of a header.
pub type Header = (&'static str, String);

impl Client {
    /// Creates a client for an address.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends one request and waits for its response.
    ///
    /// # Errors
    ///
    /// Fails when no complete response arrives before the timeout.
    pub fn call(
        &self,
        method: Method,
        path: &str,
        header: Option<Header>,
        body: Option<String>,
    ) -> Result<Reply, CallError> {
        let request = self.request(method, path, header, body)?;
        block_on(async {
            let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
            let Ok(Ok(stream)) = connected else {
                return Err(CallError::Unsent);
            };
            let reply = timeout(RESPONSE_TIMEOUT, read_response(stream, request)).await;
            reply.ok().flatten().ok_or(CallError::Unknown)
        })
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        header: Option<Header>,
        body: Option<String>,
    ) -> Result<Request, CallError> {
        let url = Url::parse(&format!("http://{}{path}", self.addr));
        let mut request = Request::new(method, url.map_err(|_invalid| CallError::Unsent)?);
        request.insert_header("connection", "close");
        if let Some((name, value)) = header {
            request.insert_header(name, value);
        }
        if let Some(body) = body {
            request.set_body(body);
            request.insert_header("content-type", "application/json");
        }
        Ok(request)
    }
}

// Reads the response. async-h1 accepts a truncated body, so its length is
// checked here.
async fn read_response(stream: TcpStream, request: Request) -> Option<Reply> {
    let mut response = async_h1::connect(stream, request).await.ok()?;
    let length = response.len();
    let body = response.body_bytes().await.ok()?;
    let complete = length.is_none_or(|length| length == body.len());
    complete.then(|| Reply {
        status: response.status().into(),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
