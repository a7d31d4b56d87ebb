//! Threads, one for each duty.

use std::io;
use std::thread;
use std::thread::JoinHandle;

/// Starts the thread of a duty.
///
/// # Errors
///
/// Fails when the system starts no thread.
pub fn spawn(
    name: &'static str,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).spawn(work)
}
