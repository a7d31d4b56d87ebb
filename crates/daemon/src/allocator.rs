//! The settings of the system's allocator.

/// The size, in bytes, from which a buffer is a mapping of its own, which goes back to the
/// system when it is freed. It is glibc's default, which holds only until the first such
/// buffer is freed: then the size grows, and buffers of bodies stay in the threads' heaps.
#[cfg(target_env = "gnu")]
const MAPPED_BYTES: i32 = 128 * 1024;

/// Fixes the size from which a buffer goes back to the system when it is freed.
///
/// Call it before other threads start. Other C libraries keep their behavior.
pub fn set_up() {
    #[cfg(target_env = "gnu")]
    {
        #[expect(
            unsafe_code,
            reason = "the standard library does not set up the allocator"
        )]
        // SAFETY: mallopt takes two integers and locks the allocator while it sets one.
        let set = unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_BYTES) };
        debug_assert_eq!(set, 1, "glibc takes any size up to half of a heap");
    }
}
