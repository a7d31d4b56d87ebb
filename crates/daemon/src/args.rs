//! The arguments of the daemon.

use std::path::PathBuf;

xflags::xflags! {
    /// Steers requests of callers to backend servers.
    cmd corianderwayd {
        /// The settings file, in YAML.
        optional --settings file: PathBuf
        /// Runs on the platform, with the settings file that it writes.
        optional --platform
        /// Checks the settings file and ends.
        optional --check
        /// Prints the version and ends.
        optional --version
    }
}
