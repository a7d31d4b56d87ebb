//! Extracts a caller's key from a request and removes every copy of it.
//!
//! After [`extract`], neither the headers nor the query of the request contain the key. [`path_contains`]
//! finds a key in the path, from which it can't be removed.

use corianderway_model::Secret;
use http_types::Request;

/// Headers that carry credentials; none is forwarded.
const CREDENTIAL_HEADERS: [&str; 5] = [
    "authorization",
    "proxy-authorization",
    "x-api-key",
    "x-auth-token",
    "x-corianderway-key",
];

/// Hop-by-hop headers, and the body's length; none is forwarded.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];

/// The key that a request presents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Credential {
    /// No key.
    Absent,
    /// One key.
    Key(Secret),
    /// More than one header, or a scheme other than Bearer.
    Ambiguous,
}

/// Extracts the key from a request and removes credentials, copies of the key and hop-by-hop headers.
pub fn extract(request: &mut Request) -> Credential {
    let credential = read(request);
    for name in CREDENTIAL_HEADERS.iter().chain(&HOP_HEADERS) {
        request.remove_header(*name);
    }
    if let Credential::Key(key) = &credential {
        remove_copies(request, key.expose());
    }
    credential
}

/// Returns whether the path of a request contains the key.
pub fn path_contains(request: &Request, key: &str) -> bool {
    contains_secret(request.url().path(), key)
}

fn read(request: &Request) -> Credential {
    let Some(values) = request.header("authorization") else {
        return Credential::Absent;
    };
    let mut values = values.iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return Credential::Ambiguous;
    };
    let Some((scheme, key)) = value.as_str().split_once(' ') else {
        return Credential::Ambiguous;
    };
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
        return Credential::Ambiguous;
    }
    Credential::Key(Secret::new(key))
}

fn remove_copies(request: &mut Request, key: &str) {
    let contains_copy = |values: &http_types::headers::HeaderValues| {
        values
            .iter()
            .any(|value| contains_secret(value.as_str(), key))
    };
    let copies: Vec<_> = request
        .iter()
        .filter(|(_, values)| contains_copy(values))
        .map(|(name, _)| name.clone())
        .collect();
    for name in copies {
        request.remove_header(name);
    }
    remove_from_query(request, key);
}

fn remove_from_query(request: &mut Request, key: &str) {
    let url = request.url();
    if !url
        .query_pairs()
        .any(|(n, v)| contains_secret(&n, key) || contains_secret(&v, key))
    {
        return;
    }
    let remaining: Vec<(String, String)> = url
        .query_pairs()
        .filter(|(n, v)| !contains_secret(n, key) && !contains_secret(v, key))
        .map(|(n, v)| (n.into_owned(), v.into_owned()))
        .collect();
    let url = request.url_mut();
    if remaining.is_empty() {
        url.set_query(None);
    } else {
        url.query_pairs_mut().clear().extend_pairs(remaining);
    }
}

// The secret after the last dot is enough to use the key, so the search is for it alone.
fn contains_secret(text: &str, key: &str) -> bool {
    let secret = key.rsplit_once('.').map_or(key, |(_, secret)| secret);
    !secret.is_empty() && text.contains(secret)
}
