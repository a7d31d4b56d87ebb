//! State charts: list, print, check.

use std::path::Path;
use std::path::PathBuf;

use corianderway_chart::Definition;
use serde_json::json;
use snafu::ResultExt;

use crate::error::FileSnafu;
use crate::error::RefusedSnafu;
use crate::error::Result;
use crate::output::Output;

/// The charts that the fleet runs by, by name.
const CHARTS: [(&str, &str); 15] = [
    ("claim", corianderway_control::CLAIM_CHART),
    ("drain", corianderway_rollout::DRAIN_CHART),
    ("edge-move", corianderway_steer::MOVE_CHART),
    ("edge-relay", corianderway_steer::RELAY_CHART),
    ("edge-request", corianderway_steer::REQUEST_CHART),
    ("edge-server", corianderway_steer::SERVER_CHART),
    ("edge-source", corianderway_steer::SOURCE_CHART),
    ("key", corianderway_control::KEY_CHART),
    ("member", corianderway_control::MEMBER_CHART),
    ("move", corianderway_rollout::MOVE_CHART),
    ("quota", corianderway_limits::CHART),
    ("request", corianderway_node::REQUEST_CHART),
    ("server", corianderway_routing::SERVER_CHART),
    ("sweep", corianderway_control::SWEEP_CHART),
    ("watch", corianderway_control::WATCH_CHART),
];

xflags::xflags! {
    /// The state charts that the fleet runs by.
    cmd chart {
        /// Writes JSON.
        optional --json

        /// Lists the charts.
        cmd list {}
        /// Draws a chart as a Mermaid state diagram.
        cmd print {
            /// The name of the chart.
            required name: String
        }
        /// Checks a chart file: unreachable states, unanswered events.
        cmd check {
            /// The chart file, in YAML.
            required file: PathBuf
        }
    }
}

/// Runs a verb.
///
/// # Errors
///
/// Fails when there is no such chart or a chart is faulty.
pub fn run(flags: Chart) -> Result<()> {
    let out = Output { json: flags.json };
    match flags.subcommand {
        ChartCmd::List(_) => run_list(out),
        ChartCmd::Print(print) => run_print(out, &print.name),
        ChartCmd::Check(check) => run_check(out, &check.file),
    }
}

fn run_list(out: Output) -> Result<()> {
    let (mut values, mut rows) = (Vec::new(), Vec::new());
    for (name, text) in CHARTS {
        let outline = Definition::parse(text)?;
        let states = outline.states.len();
        rows.push(vec![
            name.to_owned(),
            states.to_string(),
            outline.about.clone(),
        ]);
        values.push(json!({ "name": name, "states": states, "about": outline.about }));
    }
    out.list(&values, &["name", "states", "about"], rows);
    Ok(())
}

fn run_print(out: Output, name: &str) -> Result<()> {
    let Some((_, text)) = CHARTS.iter().find(|(known, _)| *known == name) else {
        let message = format!("no chart is named {name:?}; see corianderway chart list");
        return RefusedSnafu { message }.fail();
    };
    let drawn = Definition::parse(text)?.to_mermaid();
    out.result(&json!({ "name": name, "mermaid": drawn }), drawn.clone());
    Ok(())
}

fn run_check(out: Output, file: &Path) -> Result<()> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).context(FileSnafu { file: name })?;
    let outline = Definition::parse(&text)?;
    let (name, states) = (&outline.chart, outline.states.len());
    let text = format!("chart {name} is sound: {states} states, each answers every event");
    out.result(&json!({ "name": name, "states": states }), text);
    Ok(())
}
