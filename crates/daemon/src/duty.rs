//! Threads of duties: one thread for each.

use std::io;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::process;
use std::thread;
use std::thread::JoinHandle;

/// The exit code of a process of which a duty has panicked.
const EXIT_PANICKED: i32 = 101;

/// Starts the thread of a duty.
///
/// A panic of the duty ends the process: nothing would do its work any more, and the
/// platform starts the process again. The panic of a task within a duty ends only that task.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn spawn(
    name: &'static str,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let work = move || {
        // The state is not used afterwards.
        if panic::catch_unwind(AssertUnwindSafe(work)).is_err() {
            // The log duty may be the one that has panicked.
            eprintln!("event=duty-panicked duty={name}");
            process::exit(EXIT_PANICKED);
        }
    };
    thread::Builder::new().name(name.to_owned()).spawn(work)
}
