//! Tests of loading, checks, steps and diagrams of charts.

use corianderway_chart::Chart;
use corianderway_chart::Definition;
use serde::Deserialize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum State {
    Shut,
    Open,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Event {
    Push,
    Pull,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Guard {
    Locked,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Action {
    Ring,
    Latch,
    Knock,
}

type Door = Chart<State, Event, Guard, Action>;

const DOOR: &str = "
chart: door
initial: shut
events: [push, pull]
states:
  shut:
    on:
      push:
        - { when: locked, to: shut, do: [ring] }
        - { to: open }
    ignore: [pull]
  open:
    on:
      pull: { to: gone }
    ignore: [push]
  gone: { final: true }
";

#[derive(Debug, Deserialize)]
struct Rejected {
    error: String,
    text: String,
}

#[test]
fn steps_follow_the_chart() {
    let door = Door::parse(DOOR).unwrap();
    assert_eq!(door.initial(), State::Shut);
    let locked = door.step(State::Shut, Event::Push, |Guard::Locked| true);
    assert_eq!(
        (locked.to, locked.actions),
        (State::Shut, &[Action::Ring][..])
    );
    let open = door.step(State::Shut, Event::Push, |Guard::Locked| false);
    assert_eq!(open.to, State::Open);
    let ignored = door.step(State::Open, Event::Push, |_| false);
    assert_eq!((ignored.to, ignored.actions), (State::Open, &[][..]));
    assert!(door.is_final(State::Gone));
    assert!(!door.is_final(State::Open));
}

#[test]
fn an_activity_goes_on_in_several_states() {
    let text = "
chart: door
initial: shut
events: [push, pull]
activities:
  draught: { begin-by: ring, end-by: { push: [latch], pull: [knock, latch] } }
states:
  shut:
    on:
      push: { to: open, do: [ring] }
    ignore: [pull]
  open:
    during: draught
    on:
      push: { to: shut, do: [latch] }
      pull:
        - { when: locked, to: open }
        - { to: gone, do: [knock, latch] }
  gone: { final: true }
";
    let door = Door::parse(text).unwrap();
    let left = door.step(State::Open, Event::Pull, |Guard::Locked| false);
    assert_eq!(left.actions, [Action::Knock, Action::Latch]);
}

#[test]
fn invalid_charts_are_rejected_with_a_remedy() {
    let cases: Vec<Rejected> =
        serde_yaml_ng::from_str(include_str!("charts/rejected.yaml")).unwrap();
    for case in cases {
        let error = Door::parse(&case.text).unwrap_err().to_string();
        assert!(error.contains(&case.error), "{error} lacks {}", case.error);
    }
}

#[test]
fn a_diagram_shows_branches_and_ends() {
    let diagram = Definition::parse(DOOR).unwrap().to_mermaid();
    assert!(diagram.contains("shut --> shut : push [locked] / ring"));
    assert!(diagram.contains("[*] --> shut"));
    assert!(diagram.contains("gone --> [*]"));
}
