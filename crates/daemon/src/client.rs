//! Short calls with JSON bodies to the platform and to backend servers' reports.

use std::net::SocketAddr;
use std::time::Duration;

use async_h1::client;
use async_std::future;
use async_std::net::TcpStream;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use socket2::TcpKeepalive;

/// The longest time to make a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// The silence on a connection after which it is probed, and between probes.
const SILENCE: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is broken.
const SILENT_PROBES: u32 = 2;

/// Calls to one address.
#[derive(Clone, Copy, Debug)]
pub struct Client(SocketAddr);

/// An answer.
#[derive(Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// A call without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Unanswered {
    /// Whether it is certain that nothing was sent.
    pub nothing_sent: bool,
}

impl Client {
    /// Makes a client.
    pub fn new(addr: SocketAddr) -> Self {
        Self(addr)
    }

    /// Makes one call on a connection of its own.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes in time.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: Option<String>,
        limit: Duration,
    ) -> Result<Reply, Unanswered> {
        let nothing_sent = true;
        let connected = future::timeout(CONNECT, TcpStream::connect(self.0)).await;
        let Ok(Ok(stream)) = connected else {
            return Err(Unanswered { nothing_sent });
        };
        let Some(request) = self.request(method, path, headers, body) else {
            return Err(Unanswered { nothing_sent });
        };
        probe_silence(&stream);
        let nothing_sent = false;
        let answered = future::timeout(limit, answer(stream, request)).await;
        answered.ok().flatten().ok_or(Unanswered { nothing_sent })
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

// Has the system probe a silent connection, so that one whose other end is gone
// breaks instead of waiting out its time.
fn probe_silence(stream: &TcpStream) {
    let probes = TcpKeepalive::new()
        .with_time(SILENCE)
        .with_interval(SILENCE)
        .with_retries(SILENT_PROBES);
    // Without probes the call's own time limit remains.
    drop(SockRef::from(stream).set_tcp_keepalive(&probes));
}

impl Reply {
    /// The body as JSON, if it is what is expected.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

async fn answer(stream: TcpStream, request: Request) -> Option<Reply> {
    let mut response = client::connect(stream, request).await.ok()?;
    let length = response.len();
    let body = response.body_bytes().await.ok()?;
    // The library takes a body that was cut for a whole one.
    let whole = length.is_none_or(|length| length == body.len());
    whole.then(|| Reply {
        status: response.status().into(),
        body,
    })
}
