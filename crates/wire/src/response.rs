//! HTTP responses to requests that an instance refuses.

use corianderway_node::Reason;
use corianderway_node::Refusal;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;

/// The header with the request id, in requests and responses.
pub const REQUEST_ID: &str = "x-request-id";

/// The header with the remaining time in milliseconds, in callers' requests and in those to backend
/// servers.
pub const DEADLINE: &str = "x-deadline-ms";

/// The header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The JSON body of a refusal.
#[derive(Debug, Serialize)]
struct Body<'a> {
    code: &'a str,
    ran: &'a str,
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_ms: Option<u64>,
}

/// Returns the response for a refusal; `trace` is the request id.
pub fn refusal(refusal: &Refusal, trace: &str) -> Response {
    let mut response = Response::new(status(refusal));
    let retry_ms = refusal.retry_delay.map(|delay| delay.as_millis() as u64);
    if let Some(retry_ms) = retry_ms {
        response.insert_header("retry-after", retry_ms.div_ceil(1_000).max(1).to_string());
    }
    response.insert_header("content-type", "application/json");
    response.insert_header(REQUEST_ID, trace);
    let body = Body {
        code: refusal.reason.code(),
        ran: refusal.ran.code(),
        request: trace,
        retry_ms,
    };
    response.set_body(serde_json::to_string(&body).unwrap_or_default());
    response
}

fn status(refusal: &Refusal) -> StatusCode {
    match refusal.reason {
        Reason::UnknownHost => StatusCode::MisdirectedRequest,
        Reason::UnknownRoute => StatusCode::NotFound,
        Reason::KeyMissing => StatusCode::Unauthorized,
        Reason::KeyRefused => StatusCode::Forbidden,
        Reason::RateExceeded => StatusCode::TooManyRequests,
        Reason::TokenMissing | Reason::TokenUnusable => StatusCode::BadRequest,
        Reason::TokenReused => StatusCode::UnprocessableEntity,
        Reason::Repeated => StatusCode::Conflict,
        Reason::DeadlinePassed => StatusCode::GatewayTimeout,
        Reason::ServerBroke => StatusCode::BadGateway,
        Reason::KeyUnchecked
        | Reason::RateUnchecked
        | Reason::NoServer
        | Reason::Overloaded
        | Reason::RegionFull
        | Reason::ShiftCapped
        | Reason::Quarantined
        | Reason::ClaimUnavailable
        | Reason::Stopping
        | Reason::NotReady => StatusCode::ServiceUnavailable,
    }
}
