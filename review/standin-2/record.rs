//! The record of a run: what was sent, answered and run, with times from the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// The record; clones share it.
#[derive(Clone, Debug)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            begun: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Writes a line with the time.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("the file");
        writeln!(file, "{at:9.3} s  {}", text.as_ref()).expect("the record can be written");
    }
}
