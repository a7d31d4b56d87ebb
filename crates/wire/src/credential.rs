//! Finding a caller's key in a request, and removing every trace of it.

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

/// Headers that hold for one connection only; none is forwarded.
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

/// What a request presents as its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Credential {
    /// No key.
    Absent,
    /// One key.
    Key(Secret),
    /// More than one header, or a scheme other than Bearer.
    Ambiguous,
}

/// Takes the key out of a request and removes what resembles it.
///
/// After the call neither a header nor the query of the request holds the key.
pub fn take(request: &mut Request) -> Credential {
    let credential = read(request);
    for name in CREDENTIAL_HEADERS.iter().chain(&HOP_HEADERS) {
        request.remove_header(*name);
    }
    if let Credential::Key(key) = &credential {
        remove_copies(request, key.expose());
    }
    credential
}

/// Whether the path of a request holds the key.
pub fn in_path(request: &Request, key: &str) -> bool {
    holds(request.url().path(), key)
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
    let held = |values: &http_types::headers::HeaderValues| {
        values.iter().any(|value| holds(value.as_str(), key))
    };
    let copies: Vec<_> = request
        .iter()
        .filter(|(_, values)| held(values))
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
        .any(|(n, v)| holds(&n, key) || holds(&v, key))
    {
        return;
    }
    let kept: Vec<(String, String)> = url
        .query_pairs()
        .filter(|(n, v)| !holds(n, key) && !holds(v, key))
        .map(|(n, v)| (n.into_owned(), v.into_owned()))
        .collect();
    let url = request.url_mut();
    if kept.is_empty() {
        url.set_query(None);
    } else {
        url.query_pairs_mut().clear().extend_pairs(kept);
    }
}

// The secret part alone is as good as the key.
fn holds(text: &str, key: &str) -> bool {
    let secret = key.rsplit_once('.').map_or(key, |(_, secret)| secret);
    !secret.is_empty() && text.contains(secret)
}
