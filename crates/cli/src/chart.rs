//! The `chart` verbs: list, print and check state charts.

use std::path::Path;
use std::path::PathBuf;

use corianderway_chart::Definition;
use serde_json::json;
use snafu::ResultExt;

use crate::error::FileSnafu;
use crate::error::RefusedSnafu;
use crate::error::Result;
use crate::output::Output;

/// The charts that instances interpret, sorted by name.
const CHARTS: [(&str, &str); 23] = [
    ("claim", corianderway_control::CLAIM_CHART),
    ("drain", corianderway_rollout::DRAIN_CHART),
    ("duty-lease", corianderway_duties::LEASE_CHART),
    ("duty-report", corianderway_duties::REPORT_CHART),
    ("edge-check", corianderway_steer::CHECK_CHART),
    ("edge-claim", corianderway_steer::CLAIM_CHART),
    ("edge-connection", corianderway_steer::CONNECTION_CHART),
    ("edge-move", corianderway_steer::MOVE_CHART),
    ("edge-pace", corianderway_steer::PACE_CHART),
    ("edge-relay", corianderway_steer::RELAY_CHART),
    ("edge-request", corianderway_steer::REQUEST_CHART),
    ("edge-server", corianderway_steer::SERVER_CHART),
    ("edge-source", corianderway_steer::SOURCE_CHART),
    ("edge-store", corianderway_steer::OUTAGE_CHART),
    ("edge-suspect", corianderway_steer::SUSPECT_CHART),
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
    /// The state charts that instances interpret.
    cmd chart {
        /// Writes JSON.
        optional --json

        /// Lists the charts.
        cmd list {}
        /// Prints a chart as a Mermaid state diagram.
        cmd print {
            /// The name of the chart.
            required name: String
        }
        /// Checks a chart file for unreachable states and unhandled events.
        cmd check {
            /// The chart file, in YAML.
            required file: PathBuf
        }
    }
}

/// Runs a verb of the `chart` group.
///
/// # Errors
///
/// Fails when there is no such chart, a file can't be read or a chart is invalid.
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
        let definition = Definition::parse(text)?;
        let states = definition.states.len();
        rows.push(vec![
            name.to_owned(),
            states.to_string(),
            definition.about.clone(),
        ]);
        values.push(json!({ "name": name, "states": states, "about": definition.about }));
    }
    out.list(&values, &["name", "states", "about"], rows);
    Ok(())
}

fn run_print(out: Output, name: &str) -> Result<()> {
    let Some((_, text)) = CHARTS.iter().find(|(known, _)| *known == name) else {
        let message = format!("no chart is named {name:?}; see corianderway chart list");
        return RefusedSnafu { message }.fail();
    };
    let diagram = Definition::parse(text)?.to_mermaid();
    out.result(
        &json!({ "name": name, "mermaid": diagram }),
        diagram.clone(),
    );
    Ok(())
}

fn run_check(out: Output, file: &Path) -> Result<()> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).context(FileSnafu { file: name })?;
    let definition = Definition::parse(&text)?;
    let (name, states) = (&definition.chart, definition.states.len());
    let text = format!("chart {name} is valid: {states} states, each handles every event");
    out.result(&json!({ "name": name, "states": states }), text);
    Ok(())
}
