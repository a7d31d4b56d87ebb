//! What can go wrong in the harness.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

/// A failure of the harness or of what it runs.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The program is not there.
    #[snafu(display(
        "{name} is not beside this test; build it with `cargo build --workspace --bins --examples`"
    ))]
    Program {
        /// The program.
        name: String,
    },
    /// The operating system refused.
    #[snafu(display("{what}: {source}; see the output of the process"))]
    System {
        /// What was tried.
        what: String,
        /// The system's error.
        source: io::Error,
    },
    /// The process ended or stayed silent instead of getting ready.
    #[snafu(display("{name} did not get ready; it printed:\n{output}"))]
    NotReady {
        /// The program.
        name: String,
        /// Its last lines.
        output: String,
    },
    /// The ready line lacks a field.
    #[snafu(display("no address {field:?} in {line:?}; print it on the ready line"))]
    Field {
        /// The field.
        field: String,
        /// The ready line.
        line: String,
    },
    /// No connection.
    #[snafu(display("{addr}: {source}; check that the process runs"))]
    Connect {
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The connection ended within a message or gave no byte in time.
    #[snafu(display("{addr}: {source}; the answer is not whole"))]
    Transfer {
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// What came is not HTTP/1.1.
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
        /// What was asked.
        what: String,
        /// The status.
        status: u16,
        /// The body.
        body: String,
    },
    /// A name can't be used.
    #[snafu(display("{source}"))]
    Name {
        /// What is wrong with the name.
        source: corianderway_model::Error,
    },
    /// A condition never held.
    #[snafu(display("{what}: not within {limit:?}; raise the limit or mend the cause"))]
    Deadline {
        /// The condition.
        what: String,
        /// The longest wait.
        limit: Duration,
    },
}
