//! Errors of the test harness.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

/// An error of the harness or of a process that it runs.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The program has not been built.
    #[snafu(display(
        "{name} is not in the build folder; build it with `cargo build --workspace --bins --examples`"
    ))]
    Program {
        /// The program.
        name: String,
    },
    /// A system call failed.
    #[snafu(display("{what}: {source}; see the output of the process"))]
    System {
        /// The operation.
        what: String,
        /// The system's error.
        source: io::Error,
    },
    /// The process ended or timed out before it printed its `ready` line.
    #[snafu(display("{name} did not become ready; it printed:\n{output}"))]
    NotReady {
        /// The program.
        name: String,
        /// The last lines of its output.
        output: String,
    },
    /// The `ready` line has no such address.
    #[snafu(display("no address {field:?} in {line:?}; print it on the ready line"))]
    Field {
        /// The field.
        field: String,
        /// The ready line.
        line: String,
    },
    /// The connection could not be established.
    #[snafu(display("{addr}: {source}; check that the process runs"))]
    Connect {
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The connection closed within a message or timed out.
    #[snafu(display("{addr}: {source}; the response is incomplete"))]
    Transfer {
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The response is not valid HTTP/1.1.
    #[snafu(display("{addr}: {reason}; compare the raw bytes"))]
    Malformed {
        /// The address.
        addr: SocketAddr,
        /// What is wrong.
        reason: String,
    },
    /// The body is not the expected JSON.
    #[snafu(display("{source} in {body:?}; compare the protocol"))]
    Json {
        /// The parser's error.
        source: serde_json::Error,
        /// The body.
        body: String,
    },
    /// The status is not the expected one.
    #[snafu(display("{what}: status {status} {body}; check the request"))]
    Status {
        /// The request.
        what: String,
        /// The status.
        status: u16,
        /// The body.
        body: String,
    },
    /// A name is invalid.
    #[snafu(display("{source}"))]
    Name {
        /// The reason.
        source: corianderway_model::Error,
    },
    /// A condition did not hold before its deadline.
    #[snafu(display("{what}: timed out after {limit:?}; raise the limit or fix the cause"))]
    Deadline {
        /// The condition.
        what: String,
        /// The time limit.
        limit: Duration,
    },
}
