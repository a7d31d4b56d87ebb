//! Heads, credentials, refusals, settings and log lines.

mod heads;

use corianderway_node::Reason;
use corianderway_node::Refusal;
use corianderway_wire::credential;
use corianderway_wire::credential::Credential;
use corianderway_wire::head;
use corianderway_wire::head::Framing;
use corianderway_wire::head::HeadError;
use corianderway_wire::log_line::LogLine;
use corianderway_wire::response;
use corianderway_wire::settings::Settings;
use http_types::Method;
use http_types::Request;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use serde::Deserialize;

const KEY: &str = "1f2e.c0ffee00c0ffee00";

fn check(bytes: &[u8]) -> Result<Framing, HeadError> {
    let length = head::head_length(bytes)?.unwrap_or(bytes.len());
    head::check_request(&bytes[..length])
}

#[test]
fn heads_are_accepted_or_rejected_as_in_the_table() {
    for case in heads::cases() {
        let found = check(&case.bytes());
        let status = found.as_ref().err().map(HeadError::status);
        assert_eq!(status, case.status, "{}: {found:?}", case.name);
        if let (Ok(found), Some(framing)) = (found, case.framing) {
            let expected = match framing.as_u64() {
                Some(length) => Framing::Length(length),
                None => Framing::Chunked,
            };
            assert_eq!(found, expected, "{}", case.name);
        }
    }
}

/// Runs each property on random arguments from a fixed seed, which `WIRE_SEED` overrides.
macro_rules! properties {
    ($($(#[$doc:meta])* fn $name:ident($($arg:ident: $kind:ty),*) -> bool $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            fn property($($arg: $kind),*) -> bool $body
            let seed = std::env::var("WIRE_SEED").map_or(41, |s| s.parse().unwrap());
            println!("seed {seed}");
            let generator = Gen::from_size_and_seed(100, seed);
            let property: fn($($kind),*) -> bool = property;
            QuickCheck::new().rng(generator).quickcheck(property);
        }
    )*};
}

properties! {
    fn arbitrary_bytes_are_checked_without_a_panic(bytes: Vec<u8>) -> bool {
        let _ = check(&bytes);
        let _ = head::check_response(&bytes, false);
        true
    }

    fn a_value_cannot_add_a_pair_or_a_line(value: String) -> bool {
        let text = LogLine::new("e").with("a", &value).with("b", 1).into_text();
        !text.contains('\n') && text.starts_with("event=e a=") && text.ends_with(" b=1")
    }
}

// Guards against a response that breaks off within its head and is joined with the next one:
// the status is that of the first, the rest that of the second.
#[test]
fn a_head_with_two_status_lines_is_malformed() {
    let first = b"HTTP/1.1 503 Full\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n";
    let second = b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 3\r\n\r\n";
    assert_eq!(head::check_response(second, false).unwrap().0, 200);
    let via = b"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 gate\r\nContent-Length: 3\r\n\r\n";
    assert_eq!(head::check_response(via, false).unwrap().0, 200);
    for cut in 1..first.len() {
        let joined = [&first[..cut], second].concat();
        // Some cuts are found by the check of the lines.
        let Ok(end) = head::head_length(&joined) else {
            continue;
        };
        let end = end.expect("the second head is complete");
        let checked = head::check_response(&joined[..end], false);
        assert!(checked.is_err(), "{cut}: {checked:?}");
    }
}

fn request(path: &str) -> Request {
    Request::new(Method::Get, format!("http://a.example{path}").as_str())
}

#[test]
fn no_copy_of_a_key_is_forwarded() {
    let secret = KEY.split_once('.').unwrap().1;
    let mut outgoing = request(&format!("/x?a=1&key={KEY}&b=%630ffee00c0ffee00"));
    outgoing.insert_header("AUTHORIZATION", format!("bEARER {KEY}"));
    outgoing.insert_header("X-Api-Key", KEY);
    outgoing.insert_header("X-Copy", format!("k={secret}"));
    outgoing.insert_header("X-Kept", "fine");
    let extracted = credential::extract(&mut outgoing);
    assert!(matches!(extracted, Credential::Key(key) if key.expose() == KEY));
    assert!(!format!("{outgoing:?}").contains(secret));
    assert_eq!(outgoing.url().query(), Some("a=1"));
    assert!(outgoing.header("x-kept").is_some());
}

#[test]
fn two_keys_or_another_scheme_are_ambiguous() {
    let mut twice = request("/x");
    twice.append_header("authorization", format!("Bearer {KEY}"));
    twice.append_header("authorization", "Bearer other.key");
    assert!(credential::extract(&mut twice) == Credential::Ambiguous);
    let mut basic = request("/x");
    basic.insert_header("authorization", "Basic YTpi");
    assert!(credential::extract(&mut basic) == Credential::Ambiguous);
}

#[test]
fn every_refusal_has_a_code_and_an_error_status() {
    for reason in Reason::ALL {
        let response = response::refusal(&Refusal::not_run(reason), "t-1");
        assert!(u16::from(response.status()) >= 400, "{reason:?}");
    }
}

#[derive(Debug, Deserialize)]
struct SettingsCase {
    change: String,
    error: String,
}

const SETTINGS: &str = "
instance: entry-1
region: north
domain: north-a
callers: 127.0.0.1:8001
peers: 127.0.0.1:9001
metrics: 127.0.0.1:7001
platform: 127.0.0.1:6001
";

#[test]
fn settings_errors_name_the_field_and_the_remedy() {
    assert!(Settings::parse("s.yaml", SETTINGS).is_ok());
    let cases = "
- { change: 'colour: red', error: 'unknown field `colour`' }
- { change: 'level: loud', error: 'level: \"loud\" can''t be used; use error, warn' }
- { change: 'grace: soon', error: 'write a number with a unit' }
- { change: 'bootstrap: [here]', error: 'invalid socket address' }
";
    let cases: Vec<SettingsCase> = serde_yaml_ng::from_str(cases).unwrap();
    for case in cases {
        let text = format!("{SETTINGS}{}\n", case.change);
        let error = Settings::parse("s.yaml", &text).unwrap_err().to_string();
        assert!(error.contains(&case.error), "{error}");
        assert!(error.starts_with("s.yaml: "), "{error}");
    }
}

// An empty line ahead of a response, such as one too many after the body before it, isn't the
// start of another response.
#[test]
fn a_response_after_an_empty_line_has_one_status_line() {
    let late = b"\r\nHTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 3\r\n\r\n";
    assert_eq!(head::check_response(late, false).unwrap().0, 200);
}

properties! {
    // Whatever the status line says, a response that is accepted has a status that callers know.
    fn an_accepted_response_has_a_known_status(version: u8, status: u16, reason: String) -> bool {
        let head = format!("HTTP/{version} {status:03} {reason}\r\nContent-Length: 3\r\n\r\n");
        let plain = format!("HTTP/1.1 {:03} {reason}\r\n\r\n", status % 1_100);
        [head, plain].iter().all(|head| match head::check_response(head.as_bytes(), false) {
            Ok((found, _)) => matches!(found, 100 | 102 | 103 | 200..=599),
            Err(_) => true,
        })
    }

    // Bytes are rejected as early as they can't be a response, and never before.
    fn a_prefix_of_a_response_is_not_rejected(cut: usize, empty_lines: u8) -> bool {
        let mut head = b"\r\n".repeat(usize::from(empty_lines % 3));
        head.extend_from_slice(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        let cut = cut % (head.len() + 1);
        let whole = head::response_head_length(&head[..cut], head::MAX_HEAD_BYTES);
        matches!(whole, Ok(length) if length.is_none_or(|length| length <= cut))
    }
}

#[test]
fn a_body_without_a_head_is_rejected_at_once() {
    for bytes in [
        &b"h"[..],
        b"<html>",
        b"HTTP 2",
        b"HTTP/2 200",
        b"\r\nx",
        b"0\r\n",
    ] {
        let found = head::response_head_length(bytes, head::MAX_HEAD_BYTES);
        assert!(found.is_err(), "{}", String::from_utf8_lossy(bytes));
    }
}
