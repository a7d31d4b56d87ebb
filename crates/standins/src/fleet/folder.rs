//! A temporary folder for the settings and history files of one fleet.

use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use snafu::ResultExt;

use crate::fleet::error::Error;
use crate::fleet::error::FileSnafu;

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// A temporary folder that is removed when it is dropped.
#[derive(Debug)]
pub(crate) struct TempFolder(PathBuf);

impl TempFolder {
    /// Creates an empty folder with a unique name.
    pub(crate) fn new() -> Result<Self, Error> {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let name = format!("corianderway-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let file = path.display().to_string();
        std::fs::create_dir_all(&path).context(FileSnafu { file })?;
        Ok(Self(path))
    }

    /// Writes a file and returns its path.
    pub(crate) fn write(&self, name: &str, text: &str) -> Result<PathBuf, Error> {
        let path = self.0.join(name);
        let file = path.display().to_string();
        std::fs::write(&path, text).context(FileSnafu { file })?;
        Ok(path)
    }

    /// Returns the path of the folder.
    pub(crate) fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if let Err(error) = std::fs::remove_dir_all(&self.0) {
            log::warn!(
                "event=folder-left path={} error={error:?}",
                self.0.display()
            );
        }
    }
}
