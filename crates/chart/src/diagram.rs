//! Output of a chart as a Mermaid state diagram.

use std::fmt::Write as _;

use crate::definition::Branch;
use crate::definition::Definition;

impl Definition {
    /// Returns the chart as a Mermaid diagram in the `stateDiagram-v2` format.
    pub fn to_mermaid(&self) -> String {
        let mut out = String::from("stateDiagram-v2\n");
        write_transition(&mut out, "[*]", &self.initial, "");
        for (state, node) in &self.states {
            for (event, branches) in &node.on {
                for branch in branches {
                    write_transition(&mut out, state, &branch.to, &label(event, branch));
                }
            }
            if node.terminal {
                write_transition(&mut out, state, "[*]", "");
            }
        }
        out
    }
}

fn write_transition(out: &mut String, from: &str, to: &str, label: &str) {
    let (from, to) = (from.replace('-', "_"), to.replace('-', "_"));
    let colon = if label.is_empty() { "" } else { " : " };
    // Writing to a string can't fail.
    let _ = writeln!(out, "    {from} --> {to}{colon}{label}");
}

fn label(event: &str, branch: &Branch) -> String {
    let mut text = event.to_owned();
    if let Some(guard) = &branch.when {
        let _ = write!(text, " [{guard}]");
    }
    if !branch.actions.is_empty() {
        let _ = write!(text, " / {}", branch.actions.join(", "));
    }
    text
}
