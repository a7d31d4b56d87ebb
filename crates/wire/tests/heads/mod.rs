//! The table of request heads, shared by the parser's tests and those of the daemon.

#![allow(dead_code, reason = "each test program uses a part")]

use serde::Deserialize;

/// One head, and what becomes of it.
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
    /// The bytes of the head as they are sent.
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

/// Every case of the table.
pub fn cases() -> Vec<Case> {
    serde_yaml_ng::from_str(include_str!("../heads.yaml")).unwrap()
}
