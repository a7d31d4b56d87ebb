//! Long uploads that are answered early.

use std::time::Duration;

/// The number of uploads of a test.
pub const UPLOAD_COUNT: usize = 30;

/// The size of an upload, which exceeds the buffers on its way.
pub const UPLOAD_BYTES: usize = 12_000_000;

/// How long after its end an answer is reset.
pub const RESET_DELAY: Duration = Duration::from_millis(5);
