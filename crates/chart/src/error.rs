//! The error of loading a chart file.

use snafu::Snafu;

/// An invalid chart file; the message states how to correct it.
#[derive(Debug, Snafu)]
pub struct Error(Kind);

pub(crate) type Result<T> = std::result::Result<T, Kind>;

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Kind {
    #[snafu(display("chart file is not valid: {source}; correct the YAML"))]
    Yaml { source: serde_yaml_ng::Error },
    #[snafu(display(
        "chart {chart}: {kind} {name:?} is unknown; use one of the names in the code"
    ))]
    UnknownName {
        chart: String,
        kind: &'static str,
        name: String,
    },
    #[snafu(display("chart {chart}: state {state:?} is not listed; add it under states"))]
    MissingState { chart: String, state: String },
    #[snafu(display(
        "chart {chart}: state {state:?} is unreachable; add a transition to it or remove it"
    ))]
    Unreachable { chart: String, state: String },
    #[snafu(display(
        "chart {chart}: state {state:?} does not handle {event:?}; add it under on or ignore"
    ))]
    UnhandledEvent {
        chart: String,
        state: String,
        event: String,
    },
    #[snafu(display(
        "chart {chart}: state {state:?} handles {event:?} twice; keep one of on and ignore"
    ))]
    HandledTwice {
        chart: String,
        state: String,
        event: String,
    },
    #[snafu(display(
        "chart {chart}: event {event:?} in state {state:?} is not listed; add it under events"
    ))]
    MissingEvent {
        chart: String,
        state: String,
        event: String,
    },
    #[snafu(display(
        "chart {chart}: {event:?} in state {state:?} needs exactly one unguarded branch, the last"
    ))]
    UnguardedBranch {
        chart: String,
        state: String,
        event: String,
    },
    #[snafu(display(
        "chart {chart}: {event:?} in state {state:?} enters {to:?} without one of the actions that \
         {to:?} requires; add exactly one of those under enter-by"
    ))]
    EntryAction {
        chart: String,
        state: String,
        event: String,
        to: String,
    },
    #[snafu(display(
        "chart {chart}: activity {activity:?} is not listed; add it under activities"
    ))]
    MissingActivity { chart: String, activity: String },
    #[snafu(display(
        "chart {chart}: state {state:?} is initial or final, so {activity:?} can't begin before \
         it or end after it; remove during"
    ))]
    ActivityPlace {
        chart: String,
        state: String,
        activity: String,
    },
    #[snafu(display(
        "chart {chart}: {event:?} in state {state:?} must perform the action under begin-by once \
         if it begins {activity:?}, and not otherwise; correct its actions"
    ))]
    ActivityBegin {
        chart: String,
        state: String,
        event: String,
        activity: String,
    },
    #[snafu(display(
        "chart {chart}: {event:?} in state {state:?} must start with the actions under end-by \
         for this event if it ends {activity:?}, and perform none of them otherwise; correct its \
         actions or ignore the event"
    ))]
    ActivityEnd {
        chart: String,
        state: String,
        event: String,
        activity: String,
    },
    #[snafu(display(
        "chart {chart}: final state {state:?} handles events; remove final, or its on and ignore"
    ))]
    FinalHandlesEvents { chart: String, state: String },
}
