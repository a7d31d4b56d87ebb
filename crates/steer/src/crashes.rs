//! Quarantine of requests that crash the backend servers which run them.
//!
//! A connection that breaks during a request counts as a crash of the server by
//! the request's signature if the server accepts no connections soon after it,
//! or is listed again with a later start. Each start of a server counts as a
//! server of its own. What follows from the crashes and the answers of a signature is
//! decided by [`suspect`](crate::suspect).
//!
//! Instances exchange all crashes and answers that they know, with their ages, so that an
//! instance that starts learns of them, and so that they are forgotten everywhere at about
//! the same time.

use std::time::Duration;

use corianderway_model::SortedMap;
use corianderway_model::Time;

use crate::digest::KnownCrashes;
use crate::suspect;
use crate::suspect::Suspect;
use crate::suspect::SuspectChart;
use crate::suspect::Verdict;
use crate::suspect::Witness;
use crate::suspect::CRASH_TTL;

/// Time between a broken connection and a failed attempt to connect within
/// which the server counts as crashed.
const CRASH_WINDOW: Duration = Duration::from_secs(2);

/// The same between a broken connection and the entry of a later start.
const RESTART_WINDOW: Duration = Duration::from_secs(10);

/// Maximum number of broken connections that are remembered; beyond it the
/// oldest is dropped.
const MAX_BROKEN: usize = 512;

/// Maximum number of signatures; beyond it the oldest is dropped.
const MAX_SIGNATURES: usize = 512;

/// Number of signatures whose answers are counted.
const ANSWER_SLOTS: usize = 1_024;

/// Time after an answer in which the next one must come to be counted with it.
const ANSWER_WINDOW: Duration = Duration::from_mins(1);

/// Maximum number of signatures with crashes in a message, and of those with answers.
const MAX_REPORTED: usize = 8;

/// Maximum number of starts of one signature in a message. It exceeds the number that
/// quarantines a signature without answers, since some may be known already.
const MAX_REPORTED_STARTS: usize = 6;

/// The crashes of backend servers by request signature.
#[derive(Debug)]
pub(crate) struct Crashes {
    chart: SuspectChart,
    suspects: SortedMap<u64, Suspect>,
    answers: AnswerCounts,
    // Broken connections of servers that may have crashed, the oldest first.
    broken: Vec<BrokenConnection>,
    // The changes since they were last taken.
    changes: Vec<CrashChange>,
}

/// A change of what is known of one signature, for the log.
#[derive(Debug)]
pub(crate) struct CrashChange {
    pub(crate) signature: u64,
    /// The number of known crashes.
    pub(crate) crashes: usize,
    pub(crate) quarantined: bool,
    pub(crate) why: &'static str,
}

/// A start of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Incarnation {
    /// The hash of the server's id.
    pub(crate) server: u32,
    /// The hash of the id and the time of the start.
    pub(crate) start: u32,
}

/// A connection that broke while it carried a request.
#[derive(Clone, Copy, Debug)]
struct BrokenConnection {
    signature: u64,
    to: Incarnation,
    at: Time,
}

/// The number of recent answers by signature. Each signature has one slot, which it shares with
/// others; the one that was answered last has it.
#[derive(Debug)]
struct AnswerCounts(Vec<Option<AnswerCount>>);

#[derive(Clone, Copy, Debug)]
struct AnswerCount {
    signature: u64,
    count: u32,
    latest: Time,
}

impl AnswerCounts {
    fn record(&mut self, now: Time, signature: u64) {
        self.0[slot(signature)] = Some(AnswerCount {
            signature,
            count: self.of(now, signature).saturating_add(1),
            latest: now,
        });
    }

    fn of(&self, now: Time, signature: u64) -> u32 {
        let row = self.0[slot(signature)].filter(|row| row.signature == signature);
        let row = row.filter(|row| now.since(row.latest) < ANSWER_WINDOW);
        row.map_or(0, |row| row.count)
    }
}

fn slot(signature: u64) -> usize {
    (signature % ANSWER_SLOTS as u64) as usize
}

impl Crashes {
    /// Creates the state without suspects.
    pub(crate) fn new(chart: SuspectChart) -> Self {
        Self {
            chart,
            suspects: SortedMap::default(),
            answers: AnswerCounts(vec![None; ANSWER_SLOTS]),
            broken: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Records that a connection broke while it carried a request.
    pub(crate) fn connection_broke(&mut self, now: Time, signature: u64, to: Incarnation) {
        if self.broken.len() == MAX_BROKEN {
            self.broken.remove(0);
        }
        let at = now;
        self.broken.push(BrokenConnection { signature, to, at });
    }

    /// Records a failed attempt to connect: recent broken connections to the
    /// server count as crashes. Returns whether there were any.
    pub(crate) fn unreachable(&mut self, now: Time, server: u32) -> bool {
        self.confirm(now, "unreachable", |row| {
            row.to.server == server && now.since(row.at) < CRASH_WINDOW
        })
    }

    /// Records that a start of a server was listed: recent broken connections to
    /// an earlier one count as crashes. Returns whether there were any.
    pub(crate) fn started(&mut self, now: Time, start: Incarnation) -> bool {
        self.confirm(now, "started-again", |row| {
            row.to.server == start.server && row.to.start != start.start
        })
    }

    // Counts the broken connections for which `crashed` is true as crashes.
    fn confirm(
        &mut self,
        now: Time,
        why: &'static str,
        crashed: impl Fn(&BrokenConnection) -> bool,
    ) -> bool {
        let (crashed, rest) = std::mem::take(&mut self.broken)
            .into_iter()
            .partition::<Vec<_>, _>(crashed);
        self.broken = rest;
        for row in &crashed {
            let age = now.since(row.at);
            self.update(now, row.signature, age, why, |suspect, expires| {
                suspect.add_crash(row.to.start, expires, Witness::Here);
            });
        }
        !crashed.is_empty()
    }

    /// Records an answer to a request, which clears its signature. Returns whether crashes were
    /// cleared.
    pub(crate) fn answered(&mut self, now: Time, signature: u64) -> bool {
        self.answers.record(now, signature);
        self.broken.retain(|row| row.signature != signature);
        let Some(suspect) = self.suspects.get_mut(&signature) else {
            return false;
        };
        let had_crashes = suspect.record_answer(&self.chart, now, Duration::ZERO);
        if had_crashes {
            self.note_change(signature, "answered");
        }
        had_crashes
    }

    /// Decides on a request. `rank` is the number of instances that should try one first.
    pub(crate) fn verdict(&self, now: Time, signature: u64, rank: impl Fn() -> u32) -> Verdict {
        let suspect = self.suspects.get(&signature);
        suspect.map_or(Verdict::Run, |suspect| {
            let rank = if suspect.is_quarantined() { rank() } else { 0 };
            suspect.verdict(now, rank)
        })
    }

    /// Begins the trial of a quarantined signature, if it is due. The other instances should
    /// learn of it without delay.
    pub(crate) fn begin_trial(&mut self, now: Time, signature: u64, rank: u32) {
        if let Some(suspect) = self.suspects.get_mut(&signature) {
            suspect.begin_trial(&self.chart, now, rank);
            self.note_change(signature, "trial");
        }
    }

    /// Ends a trial; `ran` says whether the request may have reached a server.
    pub(crate) fn end_trial(&mut self, now: Time, signature: u64, ran: bool) {
        if let Some(suspect) = self.suspects.get_mut(&signature) {
            if suspect.end_trial(&self.chart, now, ran) {
                self.note_change(signature, "trial-ended");
            }
        }
    }

    /// Returns whether requests with the signature are quarantined.
    pub(crate) fn is_quarantined(&self, signature: u64) -> bool {
        let suspect = self.suspects.get(&signature);
        suspect.is_some_and(Suspect::is_quarantined)
    }

    /// Returns the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<CrashChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the latest crashes observed by this instance, for the digest.
    pub(crate) fn report(&self) -> Vec<(u64, Vec<u32>)> {
        let suspects = self.suspects.iter();
        let mut rows: Vec<_> = suspects.filter(|row| !row.1.observed.is_empty()).collect();
        rows.sort_by_key(|(_, row)| std::cmp::Reverse(row.expires));
        let latest = rows.into_iter().take(MAX_REPORTED);
        latest.map(|(s, row)| (*s, row.observed.clone())).collect()
    }

    /// Returns the latest crashes and answers that are known, for messages.
    pub(crate) fn known(&self, now: Time) -> Vec<KnownCrashes> {
        let suspects = self.suspects.iter();
        merge_known(suspects.filter_map(|(signature, row)| row.known(now, *signature)))
    }

    /// Adds crashes that other instances observed, and those that they know.
    ///
    /// Earlier builds tell only the former, whose age is unknown.
    pub(crate) fn merge(
        &mut self,
        now: Time,
        observed: &[(u64, Vec<u32>)],
        known: &[KnownCrashes],
    ) {
        for row in known {
            let age = Duration::from_secs(u64::from(row.age_s));
            if row.starts.is_empty() {
                self.learn_answer(now, row.signature, age);
            } else if age < CRASH_TTL {
                self.learn_crashes(now, row, age);
            }
        }
        let is_aged = |signature: &u64| known.iter().any(|row| row.signature == *signature);
        for (signature, starts) in observed.iter().filter(|row| !is_aged(&row.0)) {
            self.update(
                now,
                *signature,
                Duration::ZERO,
                "reported",
                |suspect, expires| {
                    for start in starts {
                        suspect.add_crash(*start, expires, Witness::Other);
                    }
                },
            );
        }
    }

    /// Drops crashes and broken connections that are too old.
    pub(crate) fn expire(&mut self, now: Time) {
        self.suspects.retain(|_, row| now < row.expires);
        self.broken.retain(|row| now.since(row.at) < RESTART_WINDOW);
    }

    fn learn_answer(&mut self, now: Time, signature: u64, age: Duration) {
        let chart = &self.chart;
        let suspect = self
            .suspects
            .get_or_insert_with(signature, || Suspect::new(chart, now + CRASH_TTL));
        if suspect.record_answer(chart, now, age) {
            self.note_change(signature, "answered-elsewhere");
        }
        self.limit();
    }

    fn learn_crashes(&mut self, now: Time, row: &KnownCrashes, age: Duration) {
        self.update(now, row.signature, age, "reported", |suspect, expires| {
            for start in &row.starts {
                suspect.add_crash(*start, expires, Witness::Other);
            }
            // What preceded an answer that cleared all of them doesn't count any more.
            if suspect.crashes() > 0 {
                suspect.merge(now, row);
            }
        });
    }

    // Adds what is known of crashes of this age, then decides on the signature. `add` gets the
    // time at which they are forgotten.
    fn update(
        &mut self,
        now: Time,
        signature: u64,
        age: Duration,
        why: &'static str,
        add: impl FnOnce(&mut Suspect, Time),
    ) {
        let expires = now + CRASH_TTL.saturating_sub(age);
        let (chart, answers) = (&self.chart, self.answers.of(now, signature));
        let suspect = self
            .suspects
            .get_or_insert_with(signature, || Suspect::new(chart, expires));
        let before = (suspect.crashes(), suspect.is_quarantined());
        suspect.record_answers(answers);
        add(suspect, expires);
        if suspect.crashes() > 0 {
            suspect.judge(chart, now);
        }
        if (suspect.crashes(), suspect.is_quarantined()) != before {
            self.note_change(signature, why);
        }
        self.limit();
    }

    // Drops the oldest signature if there are too many.
    fn limit(&mut self) {
        if self.suspects.len() > MAX_SIGNATURES {
            let oldest = self.suspects.iter().min_by_key(|row| row.1.expires);
            if let Some(oldest) = oldest.map(|row| *row.0) {
                self.suspects.remove(&oldest);
            }
        }
    }

    fn note_change(&mut self, signature: u64, why: &'static str) {
        if let Some(suspect) = self.suspects.get(&signature) {
            self.changes.push(CrashChange {
                signature,
                crashes: suspect.crashes(),
                quarantined: suspect.is_quarantined(),
                why,
            });
        }
    }
}

/// Merges what is known of crashes and answers, up to the size of a message; the latest ones
/// of each are kept, so that neither displace the others.
pub(crate) fn merge_known(rows: impl Iterator<Item = KnownCrashes>) -> Vec<KnownCrashes> {
    let mut answers: SortedMap<u64, KnownCrashes> = SortedMap::default();
    let mut crashes: SortedMap<u64, KnownCrashes> = SortedMap::default();
    for row in rows {
        let merged = if row.starts.is_empty() {
            &mut answers
        } else {
            &mut crashes
        };
        let known = merged.get_or_insert_with(row.signature, || KnownCrashes {
            starts: Vec::new(),
            ..row
        });
        // The first crash of an earlier series isn't the first of a later one.
        known.first_age_s = if suspect::is_earlier_series(row.age_s, known.age_s) {
            known.first_age_s
        } else if suspect::is_earlier_series(known.age_s, row.age_s) {
            row.first_age_s
        } else {
            known.first_age_s.max(row.first_age_s)
        };
        known.age_s = known.age_s.min(row.age_s);
        known.trials = known.trials.max(row.trials);
        known.returned = known.returned.max(row.returned);
        known.answers = known.answers.max(row.answers);
        known.starts.extend(row.starts);
        known.starts.sort_unstable();
        known.starts.dedup();
        known.starts.truncate(MAX_REPORTED_STARTS);
    }
    let is_cleared = |row: &KnownCrashes| {
        let answer = answers.get(&row.signature);
        answer.is_some_and(|answer| suspect::clears(answer.age_s, row.age_s))
    };
    let crashes = crashes.iter().map(|row| row.1);
    let mut merged = latest(crashes.filter(|row| !is_cleared(row)));
    let is_crash = |row: &&KnownCrashes| merged.iter().any(|c| c.signature == row.signature);
    let answers = answers.iter().map(|row| row.1);
    let answers = latest(answers.filter(|row| !is_crash(row)));
    merged.extend(answers);
    merged
}

// Returns the latest rows, up to the number in a message.
fn latest<'a>(rows: impl Iterator<Item = &'a KnownCrashes>) -> Vec<KnownCrashes> {
    let mut rows: Vec<_> = rows.cloned().collect();
    rows.sort_by_key(|row| row.age_s);
    rows.truncate(MAX_REPORTED);
    rows
}
