//! Whether a target has shown that it is as good as the old version.
//!
//! That no fault was found proves nothing where few answers came, where they
//! are old, or where the old version is itself disturbed. So a target has to
//! gain evidence: the log likelihood ratio of a version that is no worse to one
//! that is worse by a fault's size.
//!
//! A version is slow on all of its servers; a disturbance makes some servers
//! slow, whatever they run. So each server of the target is weighed as one that
//! is disturbed, as likely as one of the old version, or else as one that shows
//! how its version is.

use crate::digest::Timed;

/// By how much more often a bad version fails or is slow.
const FAULT: f64 = 0.2;

/// The lowest ratios of failures and of slow answers reckoned with.
const FAILS_LEAST: f64 = 0.02;
const SLOW_LEAST: f64 = 0.03;

/// The highest ratio reckoned with.
const MOST: f64 = 0.98;

/// The log odds for a target that fails no more often, before it takes over
/// for good.
const PROVEN: f64 = 1.5;

/// The part of them that each answer has to give while they are few: about half
/// of what a sound one gives.
const PROVEN_EACH: f64 = 0.125;

/// The log odds for a fault that began late that keep a target from it: a
/// failure takes a few sound answers to be made up for.
const LATE: f64 = 1.5;

/// Answers of the old version of which its ratio of failures is remembered.
const MEMORY: f64 = 400.0;

/// The ratio of slow answers, and the least number of answers, by which a
/// server of the old version is a slow one.
const SLOW_SERVER: f64 = 0.3;
const SLOW_ANSWERS: u32 = 3;

/// The least part of servers taken to be disturbed, and the ratio of their
/// slow answers where the old version has none.
const DISTURBED_LEAST: f64 = 0.1;
const DISTURBED_RATIO: f64 = 0.8;

/// All answers of one version, and the bad ones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Count {
    pub(crate) all: u32,
    pub(crate) bad: u32,
}

/// The evidence of failures for a target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Soundness {
    // Bad and all answers of the old version.
    old: (f64, f64),
    // The log odds for a target that fails no more often.
    sound: f64,
    // The log odds for a fault that began at the least favourable moment.
    late: f64,
    // What an interruption left of `late`; no later answer makes up for it.
    unresolved: f64,
}

impl Soundness {
    /// Takes answers of both versions that ran side by side.
    pub(crate) fn take(&mut self, old: Count, new: Count) {
        self.old.0 += f64::from(old.bad);
        self.old.1 += f64::from(old.all);
        let fade = MEMORY / self.old.1.max(MEMORY);
        self.old = (self.old.0 * fade, self.old.1 * fade);
        let usual = (self.old.0 / self.old.1.max(1.0)).max(FAILS_LEAST);
        let (gain, loss) = odds(new, usual);
        self.sound += gain - loss;
        self.late = (self.late + loss - gain).max(self.unresolved);
    }

    /// Forgets what speaks for the target, and keeps what speaks against it: what
    /// comes back after an interruption may not be what it was.
    pub(crate) fn void(&mut self) {
        self.sound = self.sound.min(0.0);
        self.unresolved = self.late;
    }

    /// Whether the failures speak for the target rather than against it.
    pub(crate) fn is_likely(&self) -> bool {
        self.sound >= 0.0 && self.late < LATE
    }

    /// Whether they prove it.
    pub(crate) fn is_proven(&self) -> bool {
        self.sound >= PROVEN && self.late < LATE
    }

    /// The evidence as text for logs.
    pub(crate) fn text(&self) -> String {
        format!("{:.1}/{:.1}", self.sound, self.late)
    }
}

/// The log odds that answers with comparable times have to give. None are fine:
/// a service whose servers always have requests waiting has no such answers.
pub(crate) fn slowness_least(target: &[Timed]) -> f64 {
    let all: u32 = target.iter().map(|row| row.all()).sum();
    (f64::from(all) * PROVEN_EACH).min(PROVEN)
}

/// The log odds for a target that is slow no more often than the old version.
pub(crate) fn slowness(old: &[Timed], target: &[Timed]) -> f64 {
    let known = old.iter().filter(|row| row.all() >= SLOW_ANSWERS);
    let (slow, sound): (Vec<Timed>, Vec<Timed>) = known.partition(|row| row.ratio() >= SLOW_SERVER);
    let part = slow.len() as f64 / (slow.len() + sound.len()).max(1) as f64;
    let part = part.max(DISTURBED_LEAST);
    let usual = ratio(&sound).unwrap_or(0.0);
    let usual = usual.clamp(SLOW_LEAST, SLOW_SERVER);
    let worse = usual + FAULT;
    let disturbed = ratio(&slow).unwrap_or(DISTURBED_RATIO).min(MOST);
    let odds = target.iter().map(|row| {
        let hit = part * likelihood(row, disturbed);
        let good = hit + (1.0 - part) * likelihood(row, usual);
        let bad = hit + (1.0 - part) * likelihood(row, worse);
        (good / bad).ln()
    });
    odds.sum()
}

fn ratio(rows: &[Timed]) -> Option<f64> {
    let all: u32 = rows.iter().map(|row| row.all()).sum();
    let slow: u32 = rows.iter().map(|row| row.slow()).sum();
    (all > 0).then(|| f64::from(slow) / f64::from(all))
}

// How likely the slow answers of a server are, but for a factor of the counts,
// if it has this ratio of them.
fn likelihood(row: &Timed, ratio: f64) -> f64 {
    let usual = row.all().saturating_sub(row.slow());
    ratio.powf(f64::from(row.slow())) * (1.0 - ratio).powf(f64::from(usual))
}

// What good answers add to the log odds for a target, and what bad ones take.
fn odds(new: Count, usual: f64) -> (f64, f64) {
    let usual = usual.min(MOST - FAULT);
    let worse = usual + FAULT;
    let good = f64::from(new.all - new.bad.min(new.all));
    let gain = good * ((1.0 - usual) / (1.0 - worse)).ln();
    (gain, f64::from(new.bad) * (worse / usual).ln())
}
