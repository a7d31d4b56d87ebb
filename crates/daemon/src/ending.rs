//! Checks whether the peer ended a connection on purpose.
//!
//! An answer without a length is whole only if its server ended the connection on purpose. The
//! end that a read finds doesn't show that: the kernel reports a reset once, and if a write has
//! taken the error, the next read finds a plain end. A process that ends before it has read a
//! request can also cause a plain end, and a reset when more of the request arrives.

use std::os::fd::AsRawFd as _;
use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpStream;
use async_std::task;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;

/// The maximum time without progress of a request whose answer has ended.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The interval at which that progress is checked.
const SETTLE_INTERVAL: Duration = Duration::from_millis(5);

/// How much of a request has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// The number of bytes.
    pub bytes: usize,
    /// Whether this is the whole request.
    pub is_whole: bool,
}

/// Waits until a connection that was read to its end has proven to be orderly: the whole request
/// is sent and acknowledged, so that no byte of it can cause a reset any more, and there was none.
///
/// Returns false if the connection is reset, or if the request is neither sent nor acknowledged
/// any further for some time, since a reset may still be on its way. The request must be sent
/// meanwhile; `sent` returns how much of it is. Must not be used once this side has closed its
/// sending side.
pub async fn is_orderly(stream: &TcpStream, sent: impl Fn() -> Sent) -> bool {
    let mut progress = (sent(), unacknowledged(stream));
    let mut progressed = Instant::now();
    loop {
        // Read first, since a reset may come with the acknowledgement.
        let current = (sent(), unacknowledged(stream));
        if current != progress {
            progress = current;
            progressed = Instant::now();
        }
        let is_acknowledged = current.0.is_whole && matches!(current.1, Some(0) | None);
        match is_reset(stream) {
            Some(true) => return false,
            Some(false) if is_acknowledged => return true,
            Some(false) | None if progressed.elapsed() >= SETTLE_TIMEOUT => return false,
            Some(false) | None => task::sleep(SETTLE_INTERVAL).await,
        }
    }
}

// Returns whether the kernel has given the connection up, unless a signal interrupts the check.
// Unlike the error itself, which the first read or write takes, this stays.
fn is_reset(stream: &TcpStream) -> Option<bool> {
    let mut polled = [PollFd::new(stream, PollFlags::empty())];
    rustix::event::poll(&mut polled, Some(&Timespec::default())).ok()?;
    let lost = PollFlags::HUP | PollFlags::ERR;
    Some(polled[0].revents().intersects(lost))
}

// Returns the number of bytes that the peer has not acknowledged; `None` if the system doesn't
// tell.
fn unacknowledged(stream: &TcpStream) -> Option<libc::c_int> {
    let mut count = 0;
    #[expect(
        unsafe_code,
        reason = "no library reads the length of a socket's send queue"
    )]
    // SAFETY: the descriptor is open, and the pointer is to a value that lives through the call.
    let status = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &raw mut count) };
    (status == 0).then_some(count)
}
