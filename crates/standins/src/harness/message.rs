//! HTTP requests and responses of the test client.

use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::ensure;
use snafu::ResultExt;

use crate::harness::error::Error;
use crate::harness::error::JsonSnafu;
use crate::harness::error::StatusSnafu;

/// An HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The headers, sent in this order and letter case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request without headers or a body.
    pub fn new(method: &str, path: &str) -> Self {
        Self {
            method: method.into(),
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Creates a GET request.
    pub fn get(path: &str) -> Self {
        Self::new("GET", path)
    }

    /// Creates a POST request.
    pub fn post(path: &str) -> Self {
        Self::new("POST", path)
    }

    /// Creates a PUT request.
    pub fn put(path: &str) -> Self {
        Self::new("PUT", path)
    }

    /// Creates a DELETE request.
    pub fn delete(path: &str) -> Self {
        Self::new("DELETE", path)
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.into(), value.to_string()));
        self
    }

    /// Sets the Host header.
    #[must_use]
    pub fn host(self, host: &str) -> Self {
        self.header("host", host)
    }

    /// Adds a key as a bearer token.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", format!("Bearer {key}"))
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets a JSON body and its Content-Type header.
    ///
    /// # Panics
    ///
    /// Panics when the value can't be serialized as JSON.
    #[must_use]
    pub fn json(self, value: &impl Serialize) -> Self {
        let text = serde_json::to_vec(value).expect("the value serializes as JSON");
        self.header("content-type", "application/json").body(text)
    }

    /// Encodes the request; Host and Content-Length are added when absent.
    pub fn bytes(&self) -> Vec<u8> {
        let mut lines = vec![format!("{} {} HTTP/1.1", self.method, self.path)];
        let headers = self.headers.iter();
        lines.extend(headers.map(|(name, value)| format!("{name}: {value}")));
        if !self.has("host") {
            lines.push("host: 127.0.0.1".into());
        }
        let sized = self.has("content-length") || self.has("transfer-encoding");
        if !sized && !self.body.is_empty() {
            lines.push(format!("content-length: {}", self.body.len()));
        }
        lines.push("\r\n".into());
        let mut bytes = lines.join("\r\n").into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    fn has(&self, name: &str) -> bool {
        let mut names = self.headers.iter().map(|(n, _)| n);
        names.any(|n| n.eq_ignore_ascii_case(name))
    }
}

/// An HTTP response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, after decoding of the transfer coding.
    pub body: Vec<u8>,
}

impl Reply {
    /// Returns a header's value; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses a JSON body.
    ///
    /// # Errors
    ///
    /// Fails when the body is not the expected JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).with_context(|_| JsonSnafu { body: self.text() })
    }

    /// Returns the response if it has the expected status.
    ///
    /// # Errors
    ///
    /// Fails when the status differs; `what` names the request in the error.
    pub fn expect(self, status: u16, what: &str) -> Result<Self, Error> {
        let body = self.text();
        ensure!(
            self.status == status,
            StatusSnafu {
                what,
                status: self.status,
                body
            }
        );
        Ok(self)
    }
}
