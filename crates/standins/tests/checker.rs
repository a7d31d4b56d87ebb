//! Tests of the history checker with histories that contain violations.

use corianderway_standins::checker::check;
use corianderway_standins::checker::read_runs;
use corianderway_standins::checker::History;
use corianderway_standins::checker::Violation;
use serde::Deserialize;

const HISTORIES: &str = include_str!("data/histories.yaml");

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    history: History,
    violations: Vec<Violation>,
}

#[test]
fn every_violation_is_reported() {
    let cases: Vec<Case> = serde_yaml_ng::from_str(HISTORIES).expect("the data file is YAML");
    for case in cases {
        assert_eq!(check(&case.history), case.violations, "{}", case.name);
    }
}

#[test]
fn a_truncated_history_file_keeps_its_complete_records() {
    let file = std::env::temp_dir().join(format!("history-{}.jsonl", std::process::id()));
    let line = |outcome: &str| {
        format!(
            "{{\"server\":\"b1\",\"id\":1,\"method\":\"GET\",\"path\":\"/\",\"key\":null,\
             \"request\":null,\"keyed\":false,\"start\":5,\"end\":0,\"outcome\":\"{outcome}\"}}\n"
        )
    };
    let text = [
        line("running"),
        line("done"),
        line("running").replace("\"id\":1", "\"id\":2"),
    ];
    let truncated = "{\"server\":";
    std::fs::write(&file, text.concat() + truncated).expect("the folder is writable");
    let runs = read_runs(&file).expect("whole lines are records");
    std::fs::remove_file(&file).expect("the file was written above");
    let outcomes = runs.iter().map(|r| format!("{:?}", r.outcome));
    assert_eq!(outcomes.collect::<Vec<_>>(), ["Done", "Running"]);
}
