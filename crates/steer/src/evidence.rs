//! What is known of the two versions between which a service moves.

use std::time::Duration;

use corianderway_model::FailureDomain;
use corianderway_model::Sorted;
use corianderway_model::Time;
use corianderway_rollout::Comparison;
use corianderway_rollout::FaultKind;
use corianderway_rollout::Sample;
use corianderway_rollout::Stratum;
use corianderway_rollout::CONDEMN_ALPHA;
use corianderway_rollout::SUSPECT_ALPHA;

use crate::digest::Sighting;
use crate::digest::Tally;
use crate::digest::Timed;
use crate::exposure::Exposure;
use crate::phase::Phase;
use crate::soundness;
use crate::soundness::Count;
use crate::soundness::Soundness;

/// The ratio of bad answers above the old version's that is a fault.
const MARGIN: f64 = 0.05;

/// Failures or slow answers on one route that end a takeover.
const BAD_LEAST: u32 = 4;

/// The same for holding it up.
const SUSPECT_LEAST: u32 = 2;

/// The part of slow answers, beyond twice the old version's, that is a fault in
/// the takeover, when servers meet many new objects at once.
const SLOW_PART: f64 = 0.12;

/// The log odds for a target that a few slow answers in the takeover don't
/// outweigh, and how many times more it takes then.
const OUTWEIGHS: f64 = 6.0;
const SLOW_AGAIN: u32 = 3;

/// What the end of one request says of the version that ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// It failed.
    Failed,
    /// It took much longer than usual, or no answer came in time.
    Slow,
    /// It took about as long as usual.
    Usual,
    /// It was answered; there is no usual time to compare with.
    Whole,
}

impl Answer {
    /// The time of this answer, if it can be compared; `hash` is that of the
    /// server's name.
    pub(crate) fn timed(self, hash: u32) -> Option<Timed> {
        match self {
            Self::Slow => Some(Timed::new(hash, true)),
            Self::Usual => Some(Timed::new(hash, false)),
            Self::Failed | Self::Whole => None,
        }
    }

    /// The tally of this answer alone.
    pub(crate) fn tally(self, route: u32) -> Tally {
        Tally {
            route,
            all: 1,
            bad: u32::from(self == Self::Failed),
            timed: u32::from(matches!(self, Self::Slow | Self::Usual)),
            slow: u32::from(self == Self::Slow),
        }
    }
}

/// The answers of both versions, as seen here and as told: those of the target
/// since the takeover began, if it did, those of the old version since the order.
#[derive(Debug)]
pub(crate) struct Evidence {
    // This instance's failure domain, whose sighting contains its own tallies.
    domain: FailureDomain,
    pub(crate) target: Vec<Tally>,
    pub(crate) base: Vec<Tally>,
    pub(crate) target_times: Vec<Timed>,
    pub(crate) base_times: Vec<Timed>,
    /// Requests that the old version runs for this instance.
    pub(crate) old_open: u32,
    /// Requests that this instance sent.
    pub(crate) sent: Exposure,
    domains: Sorted<FailureDomain, Sighting>,
    comparison: Comparison<u32>,
    soundness: Soundness,
    // What the comparison has taken, by domain and route.
    taken: Sorted<(FailureDomain, u32), Pair>,
}

/// The tallies of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    target: Tally,
    base: Tally,
}

impl Evidence {
    pub(crate) fn new(domain: FailureDomain, span: Duration, now: Time) -> Self {
        Self {
            domain,
            target: Vec::new(),
            base: Vec::new(),
            target_times: Vec::new(),
            base_times: Vec::new(),
            old_open: 0,
            sent: Exposure::default(),
            domains: Sorted::default(),
            comparison: Comparison::new(MARGIN, span, now),
            soundness: Soundness::default(),
            taken: Sorted::default(),
        }
    }

    /// Judges the takeover by its own answers: those before would hide a fault
    /// that shows only now.
    pub(crate) fn begin_takeover(&mut self) {
        self.target.clear();
    }

    /// Takes what a failure domain has seen.
    pub(crate) fn hear(&mut self, domain: FailureDomain, sighting: Sighting) {
        self.domains.insert(domain, sighting);
    }

    /// Compares what was told since the last time.
    pub(crate) fn compare(&mut self, now: Time) {
        let apart = self.domains.iter();
        let apart = apart.filter(|row| row.1.phase == Phase::Canary as u8);
        for (domain, sighting) in apart {
            for route in routes(sighting) {
                let pair = Pair {
                    target: of_route(&sighting.target, route),
                    base: of_route(&sighting.base, route),
                };
                let taken = self.taken.get_or((domain.clone(), route), Pair::default);
                if pair.fell(taken) {
                    *taken = pair;
                    continue;
                }
                let errors = pair.since(taken, |tally| (tally.all, tally.bad));
                if !errors.is_complete() {
                    continue;
                }
                let slowness = pair.since(taken, |tally| (tally.timed, tally.slow));
                *taken = pair;
                self.soundness.take(count(errors.old), count(errors.new));
                let kinds = [(FaultKind::Errors, errors), (FaultKind::Slowness, slowness)];
                for (kind, stratum) in kinds {
                    self.comparison.update(now, &route, kind, stratum);
                }
            }
        }
    }

    /// Whether the answers of the target show a fault in a phase.
    pub(crate) fn is_bad(&self, phase: Phase) -> bool {
        match phase {
            Phase::Canary => self.comparison.fault(CONDEMN_ALPHA).is_some(),
            _ => self.takes_over_badly(BAD_LEAST),
        }
    }

    /// Whether a fault of the target is likely enough to keep it from the next
    /// phase.
    pub(crate) fn is_suspect(&self, phase: Phase) -> bool {
        match phase {
            Phase::Canary => self.comparison.is_worse(SUSPECT_ALPHA),
            _ => self.takes_over_badly(SUSPECT_LEAST),
        }
    }

    /// Voids what speaks for the target, for an interruption of the service.
    pub(crate) fn void(&mut self) {
        self.soundness.void();
    }

    /// Answers of both versions.
    pub(crate) fn all_answers(&self, phase: Phase) -> u32 {
        let base = self.sum(phase, |s| &s.base, &self.base);
        let base: u32 = base.iter().map(|t| t.all).sum();
        base + self.answers(phase)
    }

    /// Whether more speaks for the target than against it before it takes over.
    pub(crate) fn is_likely(&self) -> bool {
        self.soundness.is_likely() && self.slowness() >= 0.0
    }

    /// Whether the target is proven, by its answers before the takeover and in it.
    pub(crate) fn is_proven(&self) -> bool {
        let target = self.times(|s| &s.target_times, &self.target_times);
        let slowness = self.slowness() >= soundness::slowness_least(&target);
        slowness && self.failures().is_proven()
    }

    // The evidence of failures, with those in the takeover.
    fn failures(&self) -> Soundness {
        let mut all = Count::default();
        for tally in self.sum(Phase::Full, |s| &s.target, &self.target) {
            all.all += tally.all;
            all.bad += tally.bad;
        }
        let mut soundness = self.soundness.clone();
        soundness.take(Count::default(), all);
        soundness
    }

    fn slowness(&self) -> f64 {
        let old = self.times(|s| &s.base_times, &self.base_times);
        let target = self.times(|s| &s.target_times, &self.target_times);
        soundness::slowness(&old, &target)
    }

    // The times of all domains together. Those of this domain contain what this
    // instance has seen, as of a moment ago.
    fn times(&self, of: fn(&Sighting) -> &Vec<Timed>, own: &[Timed]) -> Vec<Timed> {
        let mut sum = own.to_vec();
        if let Some(here) = self.domains.get(&self.domain) {
            sum.retain(|row| of(here).iter().all(|told| told.server() != row.server()));
        }
        for (_, sighting) in self.domains.iter() {
            for timed in of(sighting) {
                timed.add_to(&mut sum);
            }
        }
        sum
    }

    // Whether the answers in the takeover show a fault on a route, with `least`
    // failures or slow answers or more.
    fn takes_over_badly(&self, least: u32) -> bool {
        let base = self.sum(Phase::Full, |s| &s.base, &self.base);
        let target = self.sum(Phase::Full, |s| &s.target, &self.target);
        let slow_least = if self.slowness() >= OUTWEIGHS {
            least * SLOW_AGAIN
        } else {
            least
        };
        target.iter().any(|target| {
            let old = of_route(&base, target.route);
            let fails = ratio(target.bad, target.all) > MARGIN + 2.0 * ratio(old.bad, old.all);
            let lags =
                ratio(target.slow, target.timed) > SLOW_PART + 2.0 * ratio(old.slow, old.timed);
            (target.bad >= least && fails) || (target.slow >= slow_least && lags)
        })
    }

    /// Answers of the target in a phase.
    pub(crate) fn answers(&self, phase: Phase) -> u32 {
        let target = self.sum(phase, |s| &s.target, &self.target);
        target.iter().map(|t| t.all).sum()
    }

    /// Requests that the old version runs, and one for each failure domain
    /// that may still send to it.
    pub(crate) fn old_open(&self) -> u32 {
        let rows = self.domains.iter();
        let told = rows.map(|(_, sighting)| {
            let behind = sighting.phase < Phase::Full as u8;
            sighting.old_open.max(u32::from(behind))
        });
        self.old_open + told.sum::<u32>()
    }

    /// What all instances are known to have sent.
    pub(crate) fn exposure(&self) -> Exposure {
        let own = self.domains.get(&self.domain);
        let mut sum = self.sent;
        if let Some(own) = own {
            sum.target = sum.target.max(own.exposed);
            sum.all = sum.all.max(own.sent);
        }
        for (_, other) in self.domains.iter().filter(|row| *row.0 != self.domain) {
            sum.target += other.exposed;
            sum.all += other.sent;
        }
        sum
    }

    /// The evidence as text for logs.
    pub(crate) fn text(&self, phase: Phase) -> String {
        let bad = |tallies: &[Tally]| {
            let rows = tallies.iter().map(|t| format!("{}/{}", t.bad, t.all));
            rows.collect::<Vec<_>>().join(",")
        };
        let slow = |tallies: &[Tally]| {
            let (slow, timed) = tallies.iter().fold((0, 0), |(slow, timed), tally| {
                (slow + tally.slow, timed + tally.timed)
            });
            format!("{slow}/{timed}")
        };
        let target = self.sum(phase, |s| &s.target, &self.target);
        let base = self.sum(phase, |s| &s.base, &self.base);
        let failures = if phase == Phase::Canary {
            self.soundness.text()
        } else {
            self.failures().text()
        };
        format!(
            "target-bad:{} target-slow:{} old-bad:{} old-slow:{} doubt:{:.1} sound:{failures},{:.1}",
            bad(&target),
            slow(&target),
            bad(&base),
            slow(&base),
            self.comparison.log_e_value(),
            self.slowness()
        )
    }

    // The tallies of all domains that are in the phase, together. That of this
    // domain contains what this instance has seen, as of a moment ago.
    fn sum(&self, phase: Phase, of: fn(&Sighting) -> &Vec<Tally>, own: &[Tally]) -> Vec<Tally> {
        let mut sum = own.to_vec();
        let takes_over = |number| number >= Phase::Full as u8;
        let same = self.domains.iter();
        let same = same.filter(|row| takes_over(row.1.phase) == takes_over(phase as u8));
        for (domain, sighting) in same {
            for tally in of(sighting) {
                let known = sum.iter_mut().find(|t| t.route == tally.route);
                match known.filter(|_| *domain == self.domain) {
                    Some(known) if tally.all > known.all => *known = *tally,
                    Some(_) => (),
                    None => tally.add_to(&mut sum),
                }
            }
        }
        sum
    }
}

impl Pair {
    // Whether an instance was lost with what it had counted.
    fn fell(&self, earlier: &Self) -> bool {
        self.target.all < earlier.target.all || self.base.all < earlier.base.all
    }

    // What came after an earlier pair, of one kind of fault.
    fn since(&self, earlier: &Self, pick: impl Fn(&Tally) -> (u32, u32)) -> Stratum {
        let sample = |tally: &Tally, earlier: &Tally| {
            let ((total, bad), before) = (pick(tally), pick(earlier));
            Sample {
                total: u64::from(total.saturating_sub(before.0)),
                bad: u64::from(bad.saturating_sub(before.1)),
            }
        };
        Stratum {
            old: sample(&self.base, &earlier.base),
            new: sample(&self.target, &earlier.target),
        }
    }
}

// The routes on which a failure domain has seen answers.
fn routes(sighting: &Sighting) -> Vec<u32> {
    let tallies = sighting.target.iter().chain(&sighting.base);
    let mut routes: Vec<u32> = tallies.map(|tally| tally.route).collect();
    routes.sort_unstable();
    routes.dedup();
    routes
}

fn of_route(tallies: &[Tally], route: u32) -> Tally {
    let known = tallies.iter().find(|tally| tally.route == route);
    known.copied().unwrap_or_default()
}

fn count(sample: Sample) -> Count {
    Count {
        all: sample.total as u32,
        bad: sample.bad as u32,
    }
}

fn ratio(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}
