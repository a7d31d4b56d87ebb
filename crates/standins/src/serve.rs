//! The HTTP/1.1 server of a stand-in.
//!
//! A stand-in listens on one or more addresses. Each can simulate a link delay
//! between the stand-in and its callers.

use std::future::Future;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use http_types::Body;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// The name of the address that every stand-in listens on, on the `ready` line.
pub const MAIN_ADDRESS: &str = "addr";

/// The maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: u64 = 1 << 20;

/// An address to listen on, with the simulated delay to its callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenAddress {
    /// The name on the `ready` line.
    pub name: String,
    /// The address.
    pub listen: SocketAddr,
    /// The one-way delay of the link to its callers.
    pub delay: Duration,
}

impl ListenAddress {
    /// Returns the main address, which has no delay.
    pub fn main(listen: SocketAddr) -> Self {
        Self {
            name: MAIN_ADDRESS.into(),
            listen,
            delay: Duration::ZERO,
        }
    }

    /// Returns an address on a free loopback port.
    pub fn local(name: &str, delay: Duration) -> Self {
        Self {
            name: name.into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            delay,
        }
    }
}

impl std::str::FromStr for ListenAddress {
    type Err = String;

    /// Parses `NAME=MILLISECONDS`.
    fn from_str(text: &str) -> Result<Self, String> {
        let message = || "expected NAME=MILLISECONDS".to_owned();
        let (name, millis) = text.split_once('=').ok_or_else(message)?;
        let millis = millis.parse::<f64>().map_err(|_error| message())?;
        let delay = Duration::try_from_secs_f64(millis / 1000.0);
        Ok(Self::local(name, delay.map_err(|_error| message())?))
    }
}

/// Listens on all addresses, prints the `ready` line and serves requests until the
/// process ends.
///
/// # Errors
///
/// Fails when an address can't be bound.
pub async fn run<F, A>(doors: Vec<ListenAddress>, endpoint: F) -> io::Result<()>
where
    F: Fn(Request, TcpStream) -> A + 'static,
    A: Future<Output = http_types::Result<Response>> + 'static,
{
    let endpoint = Rc::new(endpoint);
    let mut fields = vec!["ready".to_owned()];
    for door in doors {
        let listener = TcpListener::bind(door.listen).await?;
        fields.push(format!("{}={}", door.name, listener.local_addr()?));
        async_std::task::spawn_local(accept(listener, door, endpoint.clone()));
    }
    let mut out = io::stdout();
    writeln!(out, "{}", fields.join(" "))?;
    out.flush()?;
    std::future::pending().await
}

async fn accept<F, A>(listener: TcpListener, door: ListenAddress, endpoint: Rc<F>)
where
    F: Fn(Request, TcpStream) -> A + 'static,
    A: Future<Output = http_types::Result<Response>> + 'static,
{
    loop {
        // Accepting fails when the peer has already closed; the listener continues.
        if let Ok((stream, _)) = listener.accept().await {
            async_std::task::spawn_local(serve_connection(stream, door.delay, endpoint.clone()));
        }
    }
}

async fn serve_connection<F, A>(stream: TcpStream, delay: Duration, endpoint: Rc<F>)
where
    F: Fn(Request, TcpStream) -> A,
    A: Future<Output = http_types::Result<Response>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=no-delay error={error:?}");
    }
    // The TCP handshake takes one round trip.
    delay_link(delay * 2).await;
    let answer = |request| async {
        delay_link(delay).await;
        let response = endpoint(request, stream.clone()).await;
        delay_link(delay).await;
        response
    };
    if let Err(error) = async_h1::accept(stream.clone(), answer).await {
        log::debug!("event=connection-closed error={error:?}");
    }
}

/// Simulates a link delay; returns at once when it is zero.
pub async fn delay_link(delay: Duration) {
    if !delay.is_zero() {
        async_std::task::sleep(delay).await;
    }
}

/// Reads a body of at most [`MAX_BODY_BYTES`]; `None` when it is larger.
///
/// # Errors
///
/// Fails when the connection ends within the body.
pub async fn read_body(request: &mut Request) -> http_types::Result<Option<Vec<u8>>> {
    let mut bytes = Vec::new();
    let mut body = request.take_body().take(MAX_BODY_BYTES + 1);
    body.read_to_end(&mut bytes).await?;
    Ok((bytes.len() as u64 <= MAX_BODY_BYTES).then_some(bytes))
}

/// Reads and parses a JSON body.
///
/// # Errors
///
/// Fails with status 400 when the body is not the expected JSON, and with 413
/// when it is too large.
pub async fn read_json<T: DeserializeOwned>(request: &mut Request) -> http_types::Result<T> {
    let Some(bytes) = read_body(request).await? else {
        return Err(error_response(
            StatusCode::PayloadTooLarge,
            "send at most 1 MiB",
        ));
    };
    serde_json::from_slice(&bytes)
        .map_err(|e| error_response(StatusCode::BadRequest, &e.to_string()))
}

/// Builds a response with a JSON body.
///
/// # Errors
///
/// Fails when the value can't be serialized as JSON.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> http_types::Result<Response> {
    let mut response = Response::new(status);
    response.set_body(Body::from_json(value)?);
    Ok(response)
}

/// Builds an error that is sent as a response with this status.
pub fn error_response(status: StatusCode, message: &str) -> http_types::Error {
    http_types::Error::from_str(status, message.to_owned())
}
