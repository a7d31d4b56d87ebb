//! Charts, help and exit codes.

mod support;

use std::path::Path;
use std::path::PathBuf;

use corianderway_standins::platform::Down;
use corianderway_standins::platform::Faults;

use crate::support::command;
use crate::support::file;
use crate::support::started;
use crate::support::FAILED;
use crate::support::UNREACHABLE;
use crate::support::USAGE;

// The file names of all charts but those of the stand-ins.
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
    let list = command(&["chart", "list", "--json"], None).done().json();
    let charts = list.as_array().unwrap().iter();
    let names: Vec<&str> = charts.map(|c| c["name"].as_str().unwrap()).collect();
    assert_eq!(names, chart_files());
}

#[test]
fn charts_are_listed_drawn_and_checked() {
    let list = command(&["chart", "list", "--json"], None).done().json();
    for chart in list.as_array().unwrap() {
        let name = chart["name"].as_str().unwrap();
        let drawn = command(&["chart", "print", name], None).done();
        assert!(drawn.out.starts_with("stateDiagram-v2"));
    }
    let sound =
        "{chart: c, initial: a, events: [e], states: {a: {on: {e: {to: b}}}, b: {final: true}}}";
    command(&["chart", "check", &file(sound)], None).done();
    let faulty = command(
        &["chart", "check", &file(&sound.replace("to: b", "to: a"))],
        None,
    );
    assert_eq!(faulty.code, FAILED);
    assert!(faulty.err.contains("unreachable"), "{}", faulty.err);
}

#[test]
fn each_group_and_verb_has_help_and_wrong_usage_has_its_code() {
    for group in [
        "contract", "key", "move", "drain", "status", "explain", "chart",
    ] {
        assert!(command(&[group, "--help"], None)
            .done()
            .out
            .starts_with(group));
    }
    let verb = command(&["move", "start", "--help"], None).done();
    assert!(verb.out.contains("--deadline") && !verb.out.contains("move back"));
    assert!(command(&["--help"], None).done().out.contains("EXIT CODES"));
    for wrong in [
        &["move"][..],
        &["tidy"],
        &[],
        &["contract", "list"],
        &["drain", "plan", "a", "b"],
    ] {
        assert_eq!(command(wrong, None).code, USAGE, "{wrong:?}");
    }
}

#[test]
fn a_platform_that_is_out_has_its_code() {
    let platform = started();
    let faults = Faults {
        down: Down::Refuse,
        ..Faults::default()
    };
    platform.set_faults(&faults).unwrap();
    let told = command(&["contract", "list"], Some(&platform));
    assert_eq!(told.code, UNREACHABLE, "{}", told.err);
}
