//! The history checker on histories with planted violations.

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
fn every_planted_violation_is_named() {
    let cases: Vec<Case> = serde_yaml_ng::from_str(HISTORIES).expect("the data file is YAML");
    for case in cases {
        assert_eq!(check(&case.history), case.violations, "{}", case.name);
    }
}

#[test]
fn a_crash_leaves_the_start_of_a_run() {
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
    let cut = "{\"server\":";
    std::fs::write(&file, text.concat() + cut).expect("the folder is writable");
    let runs = read_runs(&file).expect("whole lines are records");
    std::fs::remove_file(&file).expect("the file was written above");
    let outcomes = runs.iter().map(|r| format!("{:?}", r.outcome));
    assert_eq!(outcomes.collect::<Vec<_>>(), ["Done", "Running"]);
}
