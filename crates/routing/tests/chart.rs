//! Properties of the chart of a backend server, checked on its parsed text.

use corianderway_chart::Definition;
use corianderway_routing::SERVER_CHART;

const USABLE: [&str; 3] = ["cold", "warm", "suspect"];

// The branches from an unusable to a usable state: state, event and guard.
const BRANCHES_BACK: [(&str, &str, Option<&str>); 4] = [
    ("draining", "drain-cancelled", None),
    ("ejected", "capacity-low", None),
    ("ejected", "tick", None),
    ("refusing", "probe-passed", None),
];

fn branches(outline: &Definition) -> Vec<(&str, &str, Option<&str>, &str)> {
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
fn only_these_branches_lead_back_into_use() {
    let outline = Definition::parse(SERVER_CHART).unwrap();
    let back = branches(&outline).into_iter();
    let back = back.filter(|(from, _, _, to)| !USABLE.contains(from) && USABLE.contains(to));
    let back: Vec<_> = back
        .map(|(from, event, guard, _)| (from, event, guard))
        .collect();
    assert_eq!(back, BRANCHES_BACK);
}

#[test]
fn leaving_draining_and_refusing_end_use_from_every_usable_state() {
    let outline = Definition::parse(SERVER_CHART).unwrap();
    let all = branches(&outline);
    for state in USABLE {
        for event in ["leaving", "drain-planned", "refused"] {
            let matching = all.iter().filter(|b| b.0 == state && b.1 == event);
            let targets: Vec<_> = matching.map(|b| b.3).collect();
            assert!(!targets.is_empty(), "{state} ignores {event}");
            assert!(
                targets.iter().all(|to| !USABLE.contains(to)),
                "{state} {event}"
            );
        }
    }
}

#[test]
fn a_cancelled_drain_keeps_out_leaving_and_refusing_servers() {
    let outline = Definition::parse(SERVER_CHART).unwrap();
    let cancelled = &outline.states["draining"].on["drain-cancelled"];
    let rows: Vec<_> = cancelled
        .iter()
        .map(|b| (b.when.as_deref(), b.to.as_str()))
        .collect();
    let expected = [
        (Some("leave-announced"), "draining"),
        (Some("connection-refused"), "refusing"),
        (None, "cold"),
    ];
    assert_eq!(rows, expected);
}
