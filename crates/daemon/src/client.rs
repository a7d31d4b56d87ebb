//! An HTTP client for short calls to the platform and to report endpoints of backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use async_h1::client;
use async_std::future;
use async_std::net::TcpStream;
use http_types::Headers;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use socket2::TcpKeepalive;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The idle time before the first TCP keepalive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered keepalive probes after which a connection is broken.
const KEEPALIVE_PROBES: u32 = 2;

/// A client that calls one address.
#[derive(Clone, Copy, Debug)]
pub struct Client(SocketAddr);

/// A response.
#[derive(Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    headers: Headers,
}

/// A call that ended without a complete response.
#[derive(Clone, Copy, Debug)]
pub struct CallError {
    /// Whether it is certain that nothing was sent.
    pub nothing_sent: bool,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Self {
        Self(addr)
    }

    /// Makes one call on a new connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response is received within `timeout`.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: Option<String>,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        self.call_if(method, path, headers, body, timeout, || true)
            .await
    }

    /// Makes one call on a new connection if it is still permitted once that is open; gives
    /// it up after `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call is not permitted, or no complete response is received
    /// within `timeout`.
    pub async fn call_if(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: Option<String>,
        timeout: Duration,
        permitted: impl Fn() -> bool,
    ) -> Result<Reply, CallError> {
        let nothing_sent = true;
        let connected = future::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.0)).await;
        let Ok(Ok(stream)) = connected else {
            return Err(CallError { nothing_sent });
        };
        let Some(request) = self.request(method, path, headers, body) else {
            return Err(CallError { nothing_sent });
        };
        enable_keepalive(&stream);
        if !permitted() {
            return Err(CallError { nothing_sent });
        }
        let nothing_sent = false;
        let replied = future::timeout(timeout, exchange(stream, request)).await;
        replied.ok().flatten().ok_or(CallError { nothing_sent })
    }

    fn request(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: Option<String>,
    ) -> Option<Request> {
        let url = Url::parse(&format!("http://{}{path}", self.0)).ok()?;
        let mut request = Request::new(method.parse::<Method>().ok()?, url);
        request.insert_header("connection", "close");
        for (name, value) in headers {
            request.insert_header(*name, value);
        }
        if let Some(body) = body {
            request.set_body(body);
            request.insert_header("content-type", "application/json");
        }
        Some(request)
    }
}

// Enables TCP keepalive, so that a connection whose peer is gone breaks before
// the timeout of the call.
fn enable_keepalive(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    // Without keepalive, the timeout of the call still applies.
    drop(SockRef::from(stream).set_tcp_keepalive(&keepalive));
}

impl Reply {
    /// Returns the value of a header, the last one if it occurs more than once.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(|values| values.last().as_str())
    }

    /// Parses the body as JSON; returns nothing if it doesn't match `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

async fn exchange(stream: TcpStream, request: Request) -> Option<Reply> {
    let mut response = client::connect(stream, request).await.ok()?;
    let length = response.len();
    let body = response.body_bytes().await.ok()?;
    // The library doesn't report a body that was cut off.
    let is_complete = length.is_none_or(|length| length == body.len());
    is_complete.then(|| Reply {
        status: response.status().into(),
        body,
        headers: AsRef::<Headers>::as_ref(&response).clone(),
    })
}
