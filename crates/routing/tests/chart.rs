//! What the chart of a backend server promises, read from the chart itself.

use corianderway_chart::Outline;
use corianderway_routing::SERVER_CHART;

const USABLE: [&str; 3] = ["cold", "warm", "suspect"];

// Every way back into use, as state, event and guard of the branch.
const WAYS_BACK: [(&str, &str, Option<&str>); 4] = [
    ("draining", "reinstated", None),
    ("ejected", "recalled", None),
    ("ejected", "tick", None),
    ("refusing", "probe-passed", None),
];

fn branches(outline: &Outline) -> Vec<(&str, &str, Option<&str>, &str)> {
    let mut all = Vec::new();
    for (state, node) in &outline.states {
        for (event, branches) in &node.on {
            for branch in branches {
                let row = (state.as_str(), event.as_str(), branch.when.as_deref());
                all.push((row.0, row.1, row.2, branch.to.as_str()));
            }
        }
    }
    all
}

#[test]
fn the_ways_back_into_use_are_these_and_no_others() {
    let outline = Outline::parse(SERVER_CHART).unwrap();
    let back = branches(&outline).into_iter();
    let back = back.filter(|(from, _, _, to)| !USABLE.contains(from) && USABLE.contains(to));
    let back: Vec<_> = back
        .map(|(from, event, guard, _)| (from, event, guard))
        .collect();
    assert_eq!(back, WAYS_BACK);
}

#[test]
fn every_source_takes_a_server_out_of_use_from_every_usable_state() {
    let outline = Outline::parse(SERVER_CHART).unwrap();
    let all = branches(&outline);
    for state in USABLE {
        for event in ["leaving", "planned", "refused"] {
            let answers = all.iter().filter(|b| b.0 == state && b.1 == event);
            let targets: Vec<_> = answers.map(|b| b.3).collect();
            assert!(!targets.is_empty(), "{state} ignores {event}");
            assert!(
                targets.iter().all(|to| !USABLE.contains(to)),
                "{state} {event}"
            );
        }
    }
}

#[test]
fn a_drain_plan_withdrawn_reopens_only_what_nothing_else_closed() {
    let outline = Outline::parse(SERVER_CHART).unwrap();
    let reinstated = &outline.states["draining"].on["reinstated"];
    let rows: Vec<_> = reinstated
        .iter()
        .map(|b| (b.when.as_deref(), b.to.as_str()))
        .collect();
    let expected = [
        (Some("marked"), "draining"),
        (Some("shut"), "refusing"),
        (None, "cold"),
    ];
    assert_eq!(rows, expected);
}
