//! The HTTP/1.1 front of a stand-in.

use std::future::Future;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;

use async_std::io::ReadExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use http_types::Body;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// The largest body that a stand-in reads into memory, in bytes.
pub const BODY_BYTES: u64 = 1 << 20;

/// Listens, prints the `ready` line and answers requests until the process ends.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn run<F, A>(listen: SocketAddr, endpoint: F) -> io::Result<()>
where
    F: Fn(Request, TcpStream) -> A + 'static,
    A: Future<Output = http_types::Result<Response>> + 'static,
{
    let listener = TcpListener::bind(listen).await?;
    ready(listener.local_addr()?)?;
    let endpoint = Rc::new(endpoint);
    loop {
        // A connection that ended before it was accepted is no fault of the listener.
        if let Ok((stream, _)) = listener.accept().await {
            async_std::task::spawn_local(converse(stream, endpoint.clone()));
        }
    }
}

fn ready(addr: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout();
    writeln!(out, "ready addr={addr}")?;
    out.flush()
}

async fn converse<F, A>(stream: TcpStream, endpoint: Rc<F>)
where
    F: Fn(Request, TcpStream) -> A,
    A: Future<Output = http_types::Result<Response>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=no-delay error={error:?}");
    }
    let answer = |request| endpoint(request, stream.clone());
    if let Err(error) = async_h1::accept(stream.clone(), answer).await {
        log::debug!("event=connection-closed error={error:?}");
    }
}

/// Reads a body of at most [`BODY_BYTES`] into memory; `None` when it is larger.
///
/// # Errors
///
/// Fails when the connection ends within the body.
pub async fn body(request: &mut Request) -> http_types::Result<Option<Vec<u8>>> {
    let mut bytes = Vec::new();
    let mut body = request.take_body().take(BODY_BYTES + 1);
    body.read_to_end(&mut bytes).await?;
    Ok((bytes.len() as u64 <= BODY_BYTES).then_some(bytes))
}

/// Reads a JSON body.
///
/// # Errors
///
/// Fails with status 400 when the body is not the expected JSON, and with 413
/// when it is too large.
pub async fn json<T: DeserializeOwned>(request: &mut Request) -> http_types::Result<T> {
    let Some(bytes) = body(request).await? else {
        return Err(refused(StatusCode::PayloadTooLarge, "send at most 1 MiB"));
    };
    serde_json::from_slice(&bytes).map_err(|e| refused(StatusCode::BadRequest, &e.to_string()))
}

/// Makes an answer with a JSON body.
///
/// # Errors
///
/// Fails when the value is not representable in JSON.
pub fn answer(status: StatusCode, value: &impl Serialize) -> http_types::Result<Response> {
    let mut response = Response::new(status);
    response.set_body(Body::from_json(value)?);
    Ok(response)
}

/// Makes the error that becomes a refusal with a status.
pub fn refused(status: StatusCode, remedy: &str) -> http_types::Error {
    http_types::Error::from_str(status, remedy.to_owned())
}
