//! Whether requests with one signature run, after some were in flight at backend servers that
//! crashed.
//!
//! Several crashes quarantine the signature, and an answer clears it. If the crashes come all at
//! once, it takes more of them for a signature that was often answered. If it was answered
//! before, or its crashes came all at once, they may have had another cause, such as a loss of
//! power. Then requests with it are tried again, one at a time and a few times in all.

use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Time;
use serde::Deserialize;

use crate::digest::KnownCrashes;

/// The state chart of a signature, as YAML.
pub const SUSPECT_CHART: &str = include_str!("../charts/edge-suspect.yaml");

/// The parsed and checked chart `edge-suspect`.
pub(crate) type SuspectChart = Chart<State, Signal, Guard, Effect>;

/// Number of crashes from which on a signature without answers is quarantined.
const QUARANTINE_CRASHES: usize = 3;

/// Number of answers that raise [`QUARANTINE_CRASHES`] by one if the crashes come all at once.
const ANSWERS_PER_CRASH: u32 = 4;

/// Maximum by which answers raise it, so that a request that becomes fatal is quarantined.
const MAX_EXCUSED_CRASHES: u32 = 32;

/// Time from the first to the latest crash up to which they may have one cause.
const COMMON_CAUSE_SPAN: Duration = Duration::from_secs(3);

/// Time between two crashes after which the later one counts as the first.
const SERIES_GAP: Duration = Duration::from_mins(1);

/// Time after which a crash is forgotten.
pub(crate) const CRASH_TTL: Duration = Duration::from_mins(10);

/// Time after an answer to a request in which no crash is attributed to its
/// signature.
const CLEARED_TTL: Duration = Duration::from_secs(5);

/// Time for which an answer is passed on to the other instances.
const ANSWER_TTL: Duration = Duration::from_secs(30);

/// Maximum number of trials of a quarantined signature, counted over all instances that exchange
/// messages.
const MAX_TRIALS: u8 = 3;

/// Time from the latest crash to the first trial.
const TRIAL_DELAY: Duration = Duration::from_secs(10);

/// Time from a trial to the next one, if it showed nothing.
const NEXT_TRIAL_DELAY: Duration = Duration::from_secs(2);

/// Delay of a trial for each instance that ranks before this one, and its maximum.
const RANK_DELAY: Duration = Duration::from_millis(500);
const MAX_RANK_DELAY: Duration = Duration::from_secs(4);

/// Retry delay of a caller while another request is tried.
const IN_TRIAL_RETRY: Duration = Duration::from_millis(500);

/// State of a signature.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum State {
    Suspected,
    Quarantined,
    InTrial,
    Cleared,
}

/// An event in the chart of a signature.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    /// A crash became known.
    Crashed,
    /// A request was answered, here or at another instance.
    Answered,
    /// A request is about to run.
    Asked,
    /// The request that was tried has ended.
    Ended,
}

/// A condition of a branch of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// More crashes are known than the answers make up for.
    EnoughCrashes,
    /// The crashes may have had another cause, the latest crash and the latest trial were long
    /// enough ago, and trials are left.
    TrialDue,
    /// The request that was tried reached no server.
    NotRun,
}

/// An action of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    /// Counts a trial.
    CountTrial,
    /// Counts a trial that doesn't count, since it reached no server.
    ReturnTrial,
    /// Delays the next trial.
    DelayTrial,
    /// Forgets the crashes and the trials.
    ForgetCrashes,
}

/// Who observed a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Witness {
    Here,
    Other,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It runs.
    Run,
    /// It runs once, to find out whether requests with its signature crash servers.
    Try,
    /// It doesn't run. Its caller may come back after this time, if another request may be
    /// tried.
    Refuse(Option<Duration>),
}

/// A signature, its crashes and its answers.
///
/// A crash or an answer may lie before the origin of this process's clock, so both are kept by
/// the time at which they cease to count.
#[derive(Debug)]
pub(crate) struct Suspect {
    state: State,
    /// When the latest crash is forgotten.
    pub(crate) expires: Time,
    // The same of the first crash.
    first_expires: Time,
    /// Hashes of crashed starts, as observed by this instance and as reported by others.
    pub(crate) observed: Vec<u32>,
    reported: Vec<u32>,
    // Whether a crash was known once. Only then others need to learn of answers from here.
    was_suspected: bool,
    // The number of answers before the crashes.
    answers: u32,
    // The crashes that are forgotten by then don't count, since an answer followed them or
    // came shortly before.
    immune_until: Option<Time>,
    // Trials that began, and those that reached no server. Both only grow, so that the largest
    // of several instances counts.
    trials: u8,
    returned: u8,
    // When the latest trial ended, or one of another instance became known.
    tried: Option<Time>,
}

impl Suspect {
    pub(crate) fn new(chart: &SuspectChart, expires: Time) -> Self {
        Self {
            state: chart.initial(),
            expires,
            first_expires: expires,
            observed: Vec::new(),
            reported: Vec::new(),
            was_suspected: false,
            answers: 0,
            immune_until: None,
            trials: 0,
            returned: 0,
            tried: None,
        }
    }

    /// Returns the number of known crashes.
    pub(crate) fn crashes(&self) -> usize {
        let is_new = |start: &&u32| !self.observed.contains(start);
        self.observed.len() + self.reported.iter().filter(is_new).count()
    }

    pub(crate) fn is_quarantined(&self) -> bool {
        matches!(self.state, State::Quarantined | State::InTrial)
    }

    /// Decides on a request. `rank` is the number of instances that should try one first.
    pub(crate) fn verdict(&self, now: Time, rank: u32) -> Verdict {
        match self.state {
            State::Suspected | State::Cleared => Verdict::Run,
            State::InTrial => Verdict::Refuse(Some(IN_TRIAL_RETRY)),
            State::Quarantined => match self.trial_wait(now, rank) {
                Some(Duration::ZERO) => Verdict::Try,
                wait => Verdict::Refuse(wait),
            },
        }
    }

    /// Begins a trial if it is due.
    pub(crate) fn begin_trial(&mut self, chart: &SuspectChart, now: Time, rank: u32) {
        self.advance(chart, now, Signal::Asked, rank, false);
    }

    /// Ends a trial without an answer; `ran` says whether the request may have reached a
    /// server. Returns whether one was running.
    pub(crate) fn end_trial(&mut self, chart: &SuspectChart, now: Time, ran: bool) -> bool {
        let was_in_trial = self.state == State::InTrial;
        self.advance(chart, now, Signal::Ended, 0, ran);
        was_in_trial
    }

    /// Adds a crash that is forgotten at `expires`, unless an answer excuses it.
    pub(crate) fn add_crash(&mut self, start: u32, expires: Time, witness: Witness) {
        if self.immune_until.is_some_and(|until| expires <= until) {
            return;
        }
        let is_first = self.crashes() == 0;
        let list = match witness {
            Witness::Here => &mut self.observed,
            Witness::Other => &mut self.reported,
        };
        if list.contains(&start) {
            return;
        }
        list.push(start);
        self.was_suspected = true;
        if is_first || expires.since(self.expires) >= SERIES_GAP {
            (self.expires, self.first_expires) = (expires, expires);
        }
        self.expires = self.expires.max(expires);
        self.first_expires = self.first_expires.min(expires);
    }

    /// Decides on the signature after crashes were added.
    pub(crate) fn judge(&mut self, chart: &SuspectChart, now: Time) {
        self.advance(chart, now, Signal::Crashed, 0, false);
    }

    /// Records the number of answers that preceded the crashes.
    pub(crate) fn record_answers(&mut self, answers: u32) {
        self.answers = self.answers.max(answers);
    }

    /// Records what another instance knows beside the crashes and their latest time.
    pub(crate) fn merge(&mut self, now: Time, known: &KnownCrashes) {
        let age = |age_s: u32| Duration::from_secs(u64::from(age_s));
        let latest = now + CRASH_TTL.saturating_sub(age(known.age_s));
        if self.expires.since(latest) < SERIES_GAP {
            let first = now + CRASH_TTL.saturating_sub(age(known.first_age_s));
            self.first_expires = self.first_expires.min(first);
        }
        if known.trials > self.trials {
            self.trials = known.trials;
            self.tried = Some(now);
        }
        self.returned = self.returned.max(known.returned);
        self.record_answers(known.answers);
    }

    /// Records an answer of this age. Returns whether it cleared crashes; those that happened well
    /// after it stay.
    pub(crate) fn record_answer(&mut self, chart: &SuspectChart, now: Time, age: Duration) -> bool {
        let immune_until = now + (CRASH_TTL + CLEARED_TTL).saturating_sub(age);
        self.immune_until = self.immune_until.max(Some(immune_until));
        let had_crashes = self.crashes() > 0;
        if had_crashes && self.expires > immune_until {
            return false;
        }
        self.advance(chart, now, Signal::Answered, 0, false);
        had_crashes
    }

    /// Returns what the other instances should know.
    pub(crate) fn known(&self, now: Time, signature: u64) -> Option<KnownCrashes> {
        let starts: Vec<u32> = self
            .observed
            .iter()
            .chain(&self.reported)
            .copied()
            .collect();
        let (first, latest) = if starts.is_empty() {
            if !self.was_suspected {
                return None;
            }
            let left = self.immune_until?.since(now);
            let age = (CRASH_TTL + CLEARED_TTL).saturating_sub(left);
            (age < ANSWER_TTL).then_some((age, age))?
        } else {
            let first = CRASH_TTL.saturating_sub(self.first_expires.since(now));
            (first, self.crash_age(now))
        };
        Some(KnownCrashes {
            signature,
            // The latest age is rounded up and the first one down, so that repeated exchange
            // prolongs neither.
            age_s: latest.as_secs() as u32 + 1,
            first_age_s: first.as_secs() as u32,
            starts,
            trials: self.trials,
            returned: self.returned,
            answers: self.answers,
        })
    }

    // Returns whether the crashes may have had another cause.
    fn is_doubtful(&self) -> bool {
        self.answers > 0 || self.came_at_once()
    }

    fn came_at_once(&self) -> bool {
        self.expires.since(self.first_expires) < COMMON_CAUSE_SPAN
    }

    fn crash_age(&self, now: Time) -> Duration {
        CRASH_TTL.saturating_sub(self.expires.since(now))
    }

    // Returns the time to the next trial; `None` if there is none.
    fn trial_wait(&self, now: Time, rank: u32) -> Option<Duration> {
        if self.trials.saturating_sub(self.returned) >= MAX_TRIALS || !self.is_doubtful() {
            return None;
        }
        let rank_delay = (RANK_DELAY * rank).min(MAX_RANK_DELAY);
        let after_crash = (TRIAL_DELAY + rank_delay).saturating_sub(self.crash_age(now));
        let after_trial = self.tried.map_or(Duration::ZERO, |at| {
            (NEXT_TRIAL_DELAY + rank_delay).saturating_sub(now.since(at))
        });
        Some(after_crash.max(after_trial))
    }

    fn advance(&mut self, chart: &SuspectChart, now: Time, signal: Signal, rank: u32, ran: bool) {
        let step = chart.step(self.state, signal, |guard| match guard {
            Guard::EnoughCrashes => {
                let excused = self
                    .came_at_once()
                    .then_some((self.answers / ANSWERS_PER_CRASH).min(MAX_EXCUSED_CRASHES));
                self.crashes() >= QUARANTINE_CRASHES + excused.unwrap_or(0) as usize
            }
            Guard::TrialDue => self.trial_wait(now, rank) == Some(Duration::ZERO),
            Guard::NotRun => !ran,
        });
        self.state = step.to;
        for effect in step.actions {
            match effect {
                Effect::CountTrial => self.trials = self.trials.saturating_add(1),
                Effect::ReturnTrial => self.returned = self.returned.saturating_add(1),
                Effect::DelayTrial => self.tried = Some(now),
                Effect::ForgetCrashes => {
                    self.observed.clear();
                    self.reported.clear();
                    (self.trials, self.returned, self.answers) = (0, 0, 0);
                }
            }
        }
    }
}

/// Returns whether crashes of one age are of an earlier series than those of another, both in
/// whole seconds.
pub(crate) fn is_earlier_series(age_s: u32, other_age_s: u32) -> bool {
    u64::from(age_s) >= u64::from(other_age_s) + SERIES_GAP.as_secs()
}

/// Returns whether an answer of one age clears a crash of another, both in whole seconds.
pub(crate) fn clears(answer_age_s: u32, crash_age_s: u32) -> bool {
    u64::from(answer_age_s) <= u64::from(crash_age_s) + CLEARED_TTL.as_secs()
}
