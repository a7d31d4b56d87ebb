//! The command-line arguments of the daemon.

use std::path::PathBuf;

xflags::xflags! {
    /// Steers requests of callers to backend servers.
    cmd corianderwayd {
        /// The settings file, in YAML.
        optional --settings file: PathBuf
        /// Runs on the platform; its settings file is the one given, or the one that
        /// the environment names.
        optional --platform
        /// On the platform: lets requests wait for room beyond an eighth of their objective,
        /// where the shortage can pass.
        optional --long-waits
        /// Checks the settings file and ends.
        optional --check
        /// Prints the version and ends.
        optional --version
    }
}
