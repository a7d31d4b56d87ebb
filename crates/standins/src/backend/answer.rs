//! Answers of a backend server stand-in, complete or with a fault.

use std::net::Shutdown;

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;
use serde_json::Value;

use crate::backend::faults::AnswerFault;
use crate::backend::plan::Plan;
use crate::backend::settings::Settings;
use crate::serve;

/// A second answer to the same request.
const STRAY_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray";

/// How long the stand-in keeps a connection after it has shut down its sending side.
const HALF_OPEN_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// Describes the server and a request that ran, as the answer's JSON body.
pub(crate) fn describe(settings: &Settings, request: &Request, bytes: u64) -> Value {
    let headers = request.iter().flat_map(|(name, values)| {
        let pair = move |v: &http_types::headers::HeaderValue| json!([name.as_str(), v.as_str()]);
        values.iter().map(pair)
    });
    json!({
        "id": settings.id,
        "service": settings.service,
        "version": settings.version,
        "method": request.method().to_string(),
        "path": request.url().path(),
        "query": request.url().query(),
        "bytes": bytes,
        "headers": headers.collect::<Vec<_>>(),
    })
}

/// Builds the refusal of a request that has not run.
pub(crate) fn shed(status: StatusCode, reason: &str) -> http_types::Result<Response> {
    let mut response = serve::json_response(status, &json!({ "error": reason, "ran": false }))?;
    response.insert_header("retry-after", "1");
    response.insert_header("x-standin-ran", "no");
    Ok(response)
}

/// Writes an answer with the planned fault to the stream itself.
///
/// # Errors
///
/// Always returns an error, so that the HTTP server closes the connection.
pub(crate) async fn cut(
    mut stream: TcpStream,
    plan: Plan,
    body: &Value,
) -> http_types::Result<Response> {
    let text = body.to_string();
    let size = text.len();
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {size}\r\n\r\n"
    );
    let (first, rest) = text.as_bytes().split_at(size / 2);
    if plan.cut != AnswerFault::Before {
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(first).await?;
        stream.flush().await?;
    }
    match plan.cut {
        AnswerFault::Late => {
            async_std::task::sleep(plan.pause).await;
            stream.write_all(rest).await?;
        }
        AnswerFault::Stray => {
            stream.write_all(rest).await?;
            async_std::task::sleep(plan.pause).await;
            stream.write_all(STRAY_ANSWER).await?;
        }
        AnswerFault::HalfClose => {
            stream.shutdown(Shutdown::Write)?;
            async_std::task::sleep(HALF_OPEN_TIMEOUT).await;
        }
        AnswerFault::No | AnswerFault::Before | AnswerFault::Within => {}
    }
    Err(serve::error_response(
        StatusCode::BadGateway,
        "the answer was cut by a fault",
    ))
}
