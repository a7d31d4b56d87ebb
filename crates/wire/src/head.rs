//! Checks HTTP/1.1 heads before the HTTP library parses them.
//!
//! The library accepts some heads that two parsers may interpret differently, which allows request
//! smuggling. These checks reject every such head, so that all programs on a request's way agree on
//! its meaning.

use snafu::ensure;
use snafu::OptionExt;
use snafu::Snafu;

/// The maximum length of a head; the HTTP library's own limit.
pub const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;

/// The maximum number of headers in a head; the HTTP library's own limit.
pub const MAX_HEADERS: usize = 128;

/// The bytes with which each HTTP/1 response starts.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// How the body that follows a head is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By chunks.
    Chunked,
    /// By the end of the connection; allowed in responses only.
    Close,
}

/// A head that can't be accepted.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum HeadError {
    /// The head is not a valid HTTP/1.1 head.
    #[snafu(display("the head is malformed ({detail}); send an HTTP/1.1 head"))]
    Malformed {
        /// The invalid element.
        detail: &'static str,
    },
    /// The head has too many bytes or headers.
    #[snafu(display("the head is too large; send a shorter one, with at most 128 headers"))]
    TooLarge,
    /// The body's length is repeated, invalid, or given both as a length and as chunks.
    #[snafu(display("the body's length is ambiguous; send one Content-Length or chunks"))]
    Ambiguous,
    /// The Host header is missing or repeated.
    #[snafu(display("the host is ambiguous; send exactly one Host header"))]
    Host,
}

impl HeadError {
    /// Returns what is wrong, in words that don't depend on the head, for logs and metrics.
    pub const fn detail(&self) -> &'static str {
        match self {
            Self::Malformed { detail } => detail,
            Self::TooLarge => "too large",
            Self::Ambiguous => "ambiguous length",
            Self::Host => "host",
        }
    }

    /// Returns the HTTP status with which the head is refused.
    pub const fn status(&self) -> u16 {
        match self {
            Self::TooLarge => 431,
            Self::Malformed { .. } | Self::Ambiguous | Self::Host => 400,
        }
    }
}

/// Returns the length of the head in `bytes`, its empty line included, or `None` if the head is
/// incomplete.
///
/// # Errors
///
/// Fails if the head exceeds [`MAX_HEAD_BYTES`], or has a bare CR or LF, a folded line or a NUL.
pub fn head_length(bytes: &[u8]) -> Result<Option<usize>, HeadError> {
    head_length_within(bytes, MAX_HEAD_BYTES)
}

/// Like [`head_length`], for a head of at most `max_bytes` bytes.
///
/// # Errors
///
/// Fails as [`head_length`] does, with `max_bytes` as the limit.
pub fn head_length_within(bytes: &[u8], max_bytes: usize) -> Result<Option<usize>, HeadError> {
    let found = bytes.windows(4).position(|w| w == b"\r\n\r\n");
    let head = &bytes[..found.map_or(bytes.len(), |at| at + 4)];
    check_lines(head, found.is_some())?;
    ensure!(head.len() <= max_bytes, TooLargeSnafu);
    Ok(found.map(|at| at + 4))
}

/// Like [`head_length_within`], for the head of a response.
///
/// # Errors
///
/// Fails as [`head_length_within`] does, and as soon as the bytes can't be the start of an
/// HTTP/1 response, such as those of a body that belongs to no head.
pub fn response_head_length(bytes: &[u8], max_bytes: usize) -> Result<Option<usize>, HeadError> {
    // An empty line may precede the response.
    let empty = bytes
        .iter()
        .take_while(|byte| matches!(byte, b'\r' | b'\n'));
    let line = &bytes[empty.count()..];
    let start = &line[..line.len().min(RESPONSE_START.len())];
    let detail = "no status line";
    ensure!(RESPONSE_START.starts_with(start), MalformedSnafu { detail });
    head_length_within(bytes, max_bytes)
}

/// Checks a complete request head and returns how its body is delimited.
///
/// # Errors
///
/// Fails if the head is malformed, or its length or host is ambiguous.
pub fn check_request(head: &[u8]) -> Result<Framing, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    request.parse(head).map_err(parse_error)?;
    let detail = "version is not 1.1";
    ensure!(request.version == Some(1), MalformedSnafu { detail });
    let hosts = request.headers.iter().filter(|h| has_name(h, "host"));
    ensure!(hosts.count() == 1, HostSnafu);
    Ok(framing(request.headers)?.unwrap_or(Framing::Length(0)))
}

/// Checks a complete response head and returns its status and how its body is delimited.
///
/// `bodiless` is set for a response to a `HEAD` request.
///
/// A head that holds a second status line is rejected: the first response broke off within its
/// head, and what follows belongs to another one. Rejected are also a status that no response
/// has, a change of protocol, which is never asked for, and an interim response with a body.
///
/// # Errors
///
/// Fails if the head is malformed or its length is ambiguous.
pub fn check_response(head: &[u8], bodiless: bool) -> Result<(u16, Framing), HeadError> {
    // An empty line may precede the response.
    let first = head.iter().position(|byte| !matches!(byte, b'\r' | b'\n'));
    let later = first.and_then(|first| head.get(first + 1..));
    let later = later.unwrap_or_default();
    let detail = "second status line";
    ensure!(!has_status_line(later), MalformedSnafu { detail });
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    response.parse(head).map_err(parse_error)?;
    let detail = "no status";
    let status = response.code.context(MalformedSnafu { detail })?;
    let detail = "status out of range";
    let is_known = matches!(status, 100 | 102 | 103 | 200..=599);
    ensure!(is_known, MalformedSnafu { detail });
    if status < 200 {
        let detail = "interim response with a body";
        let sized = framing(response.headers)?.is_some();
        ensure!(!sized, MalformedSnafu { detail });
    }
    if bodiless || matches!(status, 100..=199 | 204 | 304) {
        return Ok((status, Framing::Length(0)));
    }
    let framing = framing(response.headers)?.unwrap_or(Framing::Close);
    Ok((status, framing))
}

fn framing(headers: &[httparse::Header<'_>]) -> Result<Option<Framing>, HeadError> {
    let mut lengths = headers.iter().filter(|h| has_name(h, "content-length"));
    let mut codings = headers.iter().filter(|h| has_name(h, "transfer-encoding"));
    let (length, coding) = (lengths.next(), codings.next());
    let repeated = lengths.next().is_some() || codings.next().is_some();
    ensure!(
        !repeated && (length.is_none() || coding.is_none()),
        AmbiguousSnafu
    );
    if let Some(coding) = coding {
        let chunked = coding.value.eq_ignore_ascii_case(b"chunked");
        ensure!(chunked, AmbiguousSnafu);
        return Ok(Some(Framing::Chunked));
    }
    length.map(|h| parse_length(h.value)).transpose()
}

fn parse_length(digits: &[u8]) -> Result<Framing, HeadError> {
    ensure!(
        !digits.is_empty() && digits.iter().all(u8::is_ascii_digit),
        AmbiguousSnafu
    );
    let text = std::str::from_utf8(digits).ok().context(AmbiguousSnafu)?;
    let length = text.parse().ok().context(AmbiguousSnafu)?;
    Ok(Framing::Length(length))
}

/// Returns whether bytes hold a status line anywhere, since what precedes it may be the start of
/// a header's value.
pub fn has_status_line(bytes: &[u8]) -> bool {
    let mut places = bytes.windows("HTTP/1.1 200".len());
    places.any(|place| match place {
        [b'H', b'T', b'T', b'P', b'/', b'1', b'.', minor, b' ', status @ ..] => {
            minor.is_ascii_digit() && status.iter().all(u8::is_ascii_digit)
        }
        _ => false,
    })
}

fn has_name(header: &httparse::Header<'_>, name: &str) -> bool {
    header.name.eq_ignore_ascii_case(name)
}

// Parsers differ on a bare CR or LF, a NUL and a folded line, so all of these are rejected.
fn check_lines(head: &[u8], complete: bool) -> Result<(), HeadError> {
    for (at, byte) in head.iter().enumerate() {
        let detail = match byte {
            b'\r' if head.get(at + 1).is_some_and(|b| *b != b'\n') => "bare CR",
            b'\r' if complete && at + 1 == head.len() => "bare CR",
            b'\n' if at == 0 || head[at - 1] != b'\r' => "bare LF",
            b'\n' if matches!(head.get(at + 1), Some(b' ' | b'\t')) => "folded line",
            0 => "NUL",
            _ => continue,
        };
        return MalformedSnafu { detail }.fail();
    }
    Ok(())
}

fn parse_error(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooLarge,
        httparse::Error::HeaderName => malformed("header name"),
        httparse::Error::HeaderValue => malformed("header value"),
        httparse::Error::Version => malformed("version"),
        _ => malformed("request line"),
    }
}

fn malformed(detail: &'static str) -> HeadError {
    HeadError::Malformed { detail }
}
