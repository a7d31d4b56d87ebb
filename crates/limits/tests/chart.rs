//! The chart of an instance's floors.

use corianderway_chart::Outline;
use corianderway_limits::CHART;

#[test]
fn every_state_answers_every_event() {
    let outline = Outline::parse(CHART).expect("the chart is valid");
    assert_eq!(outline.initial, "empty");
    let last: Vec<_> = outline.states.iter().filter(|(_, s)| s.last).collect();
    assert_eq!(last.len(), 1, "only surrendered ends");
}

// A floor is used only after a renewal or a settled epoch, and a lapse or a
// surrender always stops it.
#[test]
fn floors_stop_on_each_way_out() {
    let outline = Outline::parse(CHART).expect("the chart is valid");
    for (state, node) in &outline.states {
        for (event, branches) in &node.on {
            for branch in branches {
                let to = branch.to.as_str();
                let stops = branch.actions == ["stop"];
                assert_eq!(
                    stops,
                    matches!(to, "empty" | "stale" | "surrendered"),
                    "{state} on {event} to {to}"
                );
            }
        }
    }
}
