//! Tests of the chart verbs, the help texts and the exit codes.

mod support;

use std::path::Path;
use std::path::PathBuf;

use corianderway_standins::platform::Faults;
use corianderway_standins::platform::Outage;

use crate::support::command;
use crate::support::start_platform;
use crate::support::temp_file;
use crate::support::FAILED;
use crate::support::UNREACHABLE;
use crate::support::USAGE;

// The names of all chart files of the workspace except those of the stand-ins.
fn chart_files() -> Vec<String> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let packages = crates.read_dir().unwrap().map(|p| p.unwrap().path());
    let shipped = packages.filter(|p| !p.ends_with("standins"));
    let folders = shipped.filter_map(|p| p.join("charts").read_dir().ok());
    let files = folders.flatten().map(|file| file.unwrap().path());
    let name = |file: PathBuf| file.file_stem().unwrap().to_string_lossy().into_owned();
    let mut names: Vec<String> = files.map(name).collect();
    names.sort();
    names
}

#[test]
fn every_chart_of_the_workspace_is_listed() {
    let list = command(&["chart", "list", "--json"], None)
        .expect_success()
        .json();
    let charts = list.as_array().unwrap().iter();
    let names: Vec<&str> = charts.map(|c| c["name"].as_str().unwrap()).collect();
    assert_eq!(names, chart_files());
}

#[test]
fn charts_are_listed_printed_and_checked() {
    let list = command(&["chart", "list", "--json"], None)
        .expect_success()
        .json();
    for chart in list.as_array().unwrap() {
        let name = chart["name"].as_str().unwrap();
        let diagram = command(&["chart", "print", name], None).expect_success();
        assert!(diagram.out.starts_with("stateDiagram-v2"));
    }
    let valid =
        "{chart: c, initial: a, events: [e], states: {a: {on: {e: {to: b}}}, b: {final: true}}}";
    command(&["chart", "check", &temp_file(valid)], None).expect_success();
    let invalid = command(
        &[
            "chart",
            "check",
            &temp_file(&valid.replace("to: b", "to: a")),
        ],
        None,
    );
    assert_eq!(invalid.code, FAILED);
    assert!(invalid.err.contains("unreachable"), "{}", invalid.err);
}

#[test]
fn groups_and_verbs_have_help_and_invalid_usage_exits_with_its_code() {
    for group in [
        "contract", "key", "move", "drain", "status", "explain", "chart",
    ] {
        assert!(command(&[group, "--help"], None)
            .expect_success()
            .out
            .starts_with(group));
    }
    let verb = command(&["move", "start", "--help"], None).expect_success();
    assert!(verb.out.contains("--deadline") && !verb.out.contains("move back"));
    assert!(command(&["--help"], None)
        .expect_success()
        .out
        .contains("EXIT CODES"));
    for invalid_args in [
        &["move"][..],
        &["tidy"],
        &[],
        &["contract", "list"],
        &["drain", "plan", "a", "b"],
    ] {
        assert_eq!(command(invalid_args, None).code, USAGE, "{invalid_args:?}");
    }
}

#[test]
fn an_unreachable_platform_exits_with_its_code() {
    let platform = start_platform();
    let faults = Faults {
        down: Outage::Refuse,
        ..Faults::default()
    };
    platform.set_faults(&faults).unwrap();
    let result = command(&["contract", "list"], Some(&platform));
    assert_eq!(result.code, UNREACHABLE, "{}", result.err);
}
