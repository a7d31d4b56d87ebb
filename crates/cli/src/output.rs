//! Output as text and tables, or as JSON for programs.

use std::io;
use std::io::Write;

use serde::Serialize;
use serde_json::json;

/// The output format of the command.
///
/// Results go to standard output, progress to standard error.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    /// Whether results are written as JSON.
    pub json: bool,
}

impl Output {
    /// Writes a result: `value` as JSON, or else `text`.
    pub fn result(self, value: &impl Serialize, text: impl Into<String>) {
        if self.json {
            print(&serde_json::to_string_pretty(value).unwrap_or_default());
        } else {
            print(&text.into());
        }
    }

    /// Writes a list: `values` as JSON, or else a table of `rows` under `head`.
    pub fn list(self, values: &[impl Serialize], head: &[&str], rows: Vec<Vec<String>>) {
        self.result(&values, table(head, rows));
    }

    /// Writes a line of progress to standard error.
    pub fn progress(self, text: &str) {
        let line = if self.json {
            json!({ "progress": text }).to_string()
        } else {
            text.to_owned()
        };
        // Standard error may be closed; the operation continues.
        drop(writeln!(io::stderr(), "{line}"));
    }
}

/// Writes a line to standard output and ignores a closed pipe.
pub fn print(text: &str) {
    drop(writeln!(io::stdout(), "{}", text.trim_end_matches('\n')));
}

// Formats a table with aligned columns and an upper-case header.
fn table(head: &[&str], rows: Vec<Vec<String>>) -> String {
    let head: Vec<String> = head.iter().map(|h| h.to_uppercase()).collect();
    let rows: Vec<Vec<String>> = std::iter::once(head).chain(rows).collect();
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect::<Vec<_>>().join("\n")
}
