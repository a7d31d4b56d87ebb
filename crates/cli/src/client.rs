//! HTTP calls to one address.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task::block_on;
use http_types::Method;
use http_types::Request;
use http_types::Url;

/// The longest time to make a connection.
const CONNECT: Duration = Duration::from_secs(2);
/// The longest time to the end of an answer.
const ANSWER: Duration = Duration::from_secs(5);

/// Calls to one address, each on a connection of its own.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    addr: SocketAddr,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// A call that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// Nothing was sent.
    Unsent,
    /// The call may have taken effect.
    Unknown,
}

/// A header and its value.
pub type Header = (&'static str, String);

impl Client {
    /// Makes a client.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// The address that is called.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Makes one call.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes in time.
    pub fn call(
        &self,
        method: Method,
        path: &str,
        header: Option<Header>,
        body: Option<String>,
    ) -> Result<Reply, Unanswered> {
        let request = self.request(method, path, header, body)?;
        block_on(async {
            let connected = timeout(CONNECT, TcpStream::connect(self.addr)).await;
            let Ok(Ok(stream)) = connected else {
                return Err(Unanswered::Unsent);
            };
            let answered = timeout(ANSWER, answer(stream, request)).await;
            answered.ok().flatten().ok_or(Unanswered::Unknown)
        })
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        header: Option<Header>,
        body: Option<String>,
    ) -> Result<Request, Unanswered> {
        let url = Url::parse(&format!("http://{}{path}", self.addr));
        let mut request = Request::new(method, url.map_err(|_invalid| Unanswered::Unsent)?);
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

// The whole answer; the library takes a body that was cut for a whole one.
async fn answer(stream: TcpStream, request: Request) -> Option<Reply> {
    let mut response = async_h1::connect(stream, request).await.ok()?;
    let length = response.len();
    let body = response.body_bytes().await.ok()?;
    let whole = length.is_none_or(|length| length == body.len());
    whole.then(|| Reply {
        status: response.status().into(),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
