//! Small answers that are remembered for a repeated request.

use std::sync::Arc;

use http_types::Response;
use http_types::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_with::base64::Base64;
use serde_with::serde_as;

/// Headers that belong to one delivery and are not remembered.
const SKIPPED: [&str; 5] = [
    "connection",
    "content-length",
    "date",
    "transfer-encoding",
    "x-request-id",
];

/// An answer as it is remembered.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct KeptAnswer {
    status: u16,
    headers: Vec<(String, String)>,
    #[serde_as(as = "Base64")]
    body: Vec<u8>,
}

impl KeptAnswer {
    /// Takes the status and headers of an answer.
    pub fn of(response: &Response) -> Self {
        let headers = response
            .iter()
            .filter(|(name, _)| !SKIPPED.contains(&name.as_str()))
            .flat_map(|(name, values)| {
                let name = name.as_str();
                values
                    .iter()
                    .map(move |v| (name.to_owned(), v.as_str().to_owned()))
            })
            .collect();
        Self {
            status: response.status().into(),
            headers,
            body: Vec::new(),
        }
    }

    /// Adds the body and encodes the whole as JSON.
    pub fn encode(mut self, body: &[u8]) -> Option<Arc<[u8]>> {
        self.body = body.to_vec();
        serde_json::to_vec(&self).ok().map(Arc::from)
    }

    /// Makes the answer again from its encoded form.
    pub fn decode(bytes: &[u8]) -> Response {
        let Ok(kept) = serde_json::from_slice::<Self>(bytes) else {
            return Response::new(StatusCode::Conflict);
        };
        let status = StatusCode::try_from(kept.status).unwrap_or(StatusCode::Ok);
        let mut response = Response::new(status);
        for (name, value) in &kept.headers {
            response.append_header(name.as_str(), value);
        }
        response.insert_header("x-remembered", "true");
        response.set_body(kept.body);
        response
    }
}
