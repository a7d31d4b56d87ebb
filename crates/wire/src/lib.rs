//! Encodes and decodes HTTP heads and refusals, stored objects, peer messages, settings and log
//! lines.
//!
//! This package only converts between bytes and the types that `corianderway-node` uses; it makes
//! no decisions.
//!
//! # Example
//!
//! ```
//! use corianderway_wire::head::check_request;
//! use corianderway_wire::head::Framing;
//!
//! let head = b"GET /capsules/17 HTTP/1.1\r\nHost: finder.example\r\n\r\n";
//! assert_eq!(check_request(head), Ok(Framing::Length(0)));
//! ```

pub mod credential;
pub mod head;
pub mod log_line;
pub mod peer;
pub mod replay;
pub mod response;
pub mod settings;
pub mod stored;
