//! The inputs that a starting instance lacks, and its log lines.

use std::time::Duration;

use corianderway_model::Time;

use crate::note::Note;
use crate::note::Severity;
use crate::revisions::InputKind;
use crate::revisions::INPUTS;

/// The interval of the lines on what an instance that isn't informed lacks.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// The progress of a start.
#[derive(Debug)]
pub(crate) struct Startup {
    // The inputs that must still arrive before callers are served.
    missing: Vec<InputKind>,
    // The time of the first event.
    began: Option<Time>,
    // The time of the latest line on the missing inputs.
    logged: Time,
    logged_informed: bool,
    has_served: bool,
}

impl Startup {
    /// Creates a start at which all inputs are missing.
    pub(crate) fn new() -> Self {
        Self {
            missing: INPUTS.to_vec(),
            began: None,
            logged: Time::ZERO,
            logged_informed: false,
            has_served: false,
        }
    }

    /// Records the time of an event.
    pub(crate) fn begin(&mut self, now: Time) {
        self.began.get_or_insert(now);
    }

    /// Returns the time since the first event.
    pub(crate) fn age(&self, now: Time) -> Duration {
        self.began.map_or(Duration::ZERO, |began| now.since(began))
    }

    /// Records that an input has arrived.
    pub(crate) fn arrived(&mut self, input: InputKind) {
        self.missing.retain(|missing| *missing != input);
    }

    /// Returns whether an input has not arrived yet.
    pub(crate) fn lacks(&self, input: InputKind) -> bool {
        self.missing.contains(&input)
    }

    /// Returns whether all inputs have arrived.
    pub(crate) fn is_informed(&self) -> bool {
        self.missing.is_empty()
    }

    /// Returns the line that is due on the start, if any. Times are counted from the start of
    /// the process.
    pub(crate) fn line(&mut self, now: Time) -> Option<Note> {
        if self.is_informed() {
            if std::mem::replace(&mut self.logged_informed, true) {
                return None;
            }
            return Some(line("informed", now));
        }
        if now.since(self.logged) < LINE_INTERVAL {
            return None;
        }
        self.logged = now;
        let missing: Vec<&str> = self.missing.iter().map(|kind| kind.as_str()).collect();
        Some(line("uninformed", now).with("lacks", missing.join(",")))
    }

    /// Returns the line on the first answer that is delivered to a caller.
    pub(crate) fn served(&mut self, now: Time) -> Option<Note> {
        let is_first = !std::mem::replace(&mut self.has_served, true);
        is_first.then(|| line("first-answer", now))
    }
}

fn line(event: &'static str, now: Time) -> Note {
    let age = now.since(Time::ZERO);
    Note::new(Severity::Notable, event).with("after_ms", age.as_millis())
}
