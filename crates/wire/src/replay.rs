//! Responses that are stored and sent again when a request with the same idempotency key repeats.

use corianderway_control::ClaimOutcome;
use corianderway_control::Header;
use http_types::Response;
use http_types::StatusCode;

/// Headers of a single delivery, which are not stored.
const OMITTED_HEADERS: [&str; 5] = [
    "connection",
    "content-length",
    "date",
    "transfer-encoding",
    "x-request-id",
];

/// The header of a response that was stored; says whether it has its body.
const REMEMBERED_HEADER: &str = "x-remembered";

/// The status and headers of a response whose body is not yet complete.
#[derive(Clone, Debug)]
pub struct ReplayHead {
    status: u16,
    headers: Vec<Header>,
}

impl ReplayHead {
    /// Copies the status and headers of a response.
    pub fn from_response(response: &Response) -> Self {
        let headers = response
            .iter()
            .filter(|(name, _)| !OMITTED_HEADERS.contains(&name.as_str()))
            .flat_map(|(name, values)| {
                let name = name.as_str();
                let values = values.iter();
                values.map(move |value| Header(name.into(), value.as_str().into()))
            });
        Self {
            status: response.status().into(),
            headers: headers.collect(),
        }
    }

    /// Adds the body, which is dropped if it is too long to store.
    pub fn with_body(self, body: &[u8]) -> ClaimOutcome {
        ClaimOutcome::new(self.status, self.headers, body)
    }
}

/// Restores a response from its stored outcome.
///
/// If the body was too long to store, the response has its status but no body, and a header says so.
pub fn restore(outcome: &ClaimOutcome) -> Response {
    let status = StatusCode::try_from(outcome.status).unwrap_or(StatusCode::Ok);
    let mut response = Response::new(status);
    for Header(name, value) in &outcome.headers {
        response.append_header(&**name, &**value);
    }
    let completeness = if outcome.whole {
        "whole"
    } else {
        "without-body"
    };
    response.insert_header(REMEMBERED_HEADER, completeness);
    response.set_body(outcome.body.clone());
    response
}
