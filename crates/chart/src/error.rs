//! The error of loading a chart.

use snafu::Snafu;

/// A chart that can't be loaded, with what to change in its file.
#[derive(Debug, Snafu)]
pub struct Error(Kind);

/// The result of loading a chart.
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
        "chart {chart}: state {state:?} has no answer to {event:?}; add it under on or ignore"
    ))]
    Unanswered {
        chart: String,
        state: String,
        event: String,
    },
    #[snafu(display(
        "chart {chart}: state {state:?} answers {event:?} twice; keep one of on and ignore"
    ))]
    AnsweredTwice {
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
    Branches {
        chart: String,
        state: String,
        event: String,
    },
    #[snafu(display(
        "chart {chart}: final state {state:?} answers events; remove final, or its on and ignore"
    ))]
    FinalAnswers { chart: String, state: String },
}
