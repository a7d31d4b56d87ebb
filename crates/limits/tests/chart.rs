//! The state chart of an instance's floors.

use corianderway_chart::Definition;
use corianderway_limits::CHART;

#[test]
fn every_state_handles_every_event() {
    let outline = Definition::parse(CHART).expect("the chart is valid");
    assert_eq!(outline.initial, "empty");
    let final_states: Vec<_> = outline.states.iter().filter(|(_, s)| s.terminal).collect();
    assert_eq!(final_states.len(), 1, "only surrendered is final");
}

// Guards against using a floor without a valid lease: floors are used only
// after a renewal or a settled epoch, and stop on expiry and surrender.
#[test]
fn floors_are_unused_outside_waiting_and_held() {
    let outline = Definition::parse(CHART).expect("the chart is valid");
    for (state, node) in &outline.states {
        for (event, branches) in &node.on {
            for branch in branches {
                let to = branch.to.as_str();
                let disables = branch.actions == ["disable"];
                assert_eq!(
                    disables,
                    matches!(to, "empty" | "stale" | "surrendered"),
                    "{state} on {event} to {to}"
                );
            }
        }
    }
}
