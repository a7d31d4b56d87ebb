//! Answers that are remembered for a repeated request.

use corianderway_control::ClaimOutcome;
use corianderway_control::Header;
use http_types::Response;
use http_types::StatusCode;

/// Headers that belong to one delivery and are not remembered.
const SKIPPED: [&str; 5] = [
    "connection",
    "content-length",
    "date",
    "transfer-encoding",
    "x-request-id",
];

/// The header that marks a remembered answer.
const REMEMBERED: &str = "x-remembered";

/// The status and headers of an answer whose body is still on its way.
#[derive(Clone, Debug)]
pub struct KeptHead {
    status: u16,
    headers: Vec<Header>,
}

impl KeptHead {
    /// Takes the status and headers of an answer.
    pub fn of(response: &Response) -> Self {
        let headers = response
            .iter()
            .filter(|(name, _)| !SKIPPED.contains(&name.as_str()))
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

    /// Adds the body, which is dropped if it is too long to keep.
    pub fn with_body(self, body: &[u8]) -> ClaimOutcome {
        ClaimOutcome::new(self.status, self.headers, body)
    }
}

/// Makes an answer again.
///
/// Where the body was too long to keep, the status stands and a header says so.
pub fn response(outcome: &ClaimOutcome) -> Response {
    let status = StatusCode::try_from(outcome.status).unwrap_or(StatusCode::Ok);
    let mut response = Response::new(status);
    for Header(name, value) in &outcome.headers {
        response.append_header(&**name, &**value);
    }
    let mark = if outcome.whole {
        "whole"
    } else {
        "without-body"
    };
    response.insert_header(REMEMBERED, mark);
    response.set_body(outcome.body.clone());
    response
}
