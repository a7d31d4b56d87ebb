//! The table of request heads in `heads.yaml`, which the tests of the daemon use as well.

#![allow(dead_code, reason = "a test program may use only some items")]

use serde::Deserialize;

/// A request head, and the expected status or framing.
#[derive(Debug, Deserialize)]
pub struct Case {
    pub name: String,
    #[serde(default)]
    lines: Vec<String>,
    bytes: Option<String>,
    #[serde(default)]
    pad: usize,
    #[serde(default)]
    repeat: usize,
    pub framing: Option<serde_yaml_ng::Value>,
    pub status: Option<u16>,
}

impl Case {
    /// Returns the bytes of the head.
    pub fn bytes(&self) -> Vec<u8> {
        let mut lines = self.lines.clone();
        lines.extend((0..self.repeat).map(|at| format!("X-{at}: y")));
        if self.pad > 0 {
            lines.push(format!("X-Pad: {}", "y".repeat(self.pad)));
        }
        let joined = lines.join("\r\n") + "\r\n\r\n";
        self.bytes.clone().unwrap_or(joined).into_bytes()
    }
}

/// Returns all cases of the table.
pub fn cases() -> Vec<Case> {
    serde_yaml_ng::from_str(include_str!("../heads.yaml")).unwrap()
}
