//! Threads of duties: one thread for each.

use std::io;
use std::thread;
use std::thread::JoinHandle;

/// Starts the thread of a duty.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn spawn(
    name: &'static str,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).spawn(work)
}
