//! What is known of the two versions between which a service moves.

use corianderway_model::FailureDomain;
use corianderway_model::Sorted;

use crate::digest::Sighting;
use crate::digest::Tally;
use crate::phase::Phase;

/// Bad answers on one route below which nothing is concluded.
const BAD_LEAST: u32 = 4;

/// The part of bad answers, beyond twice the old version's, that is a fault.
const BAD_PART: f64 = 0.15;

/// What one answer says of the version that gave it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    /// Whether it was a failure or far too slow.
    pub(crate) bad: bool,
    /// Whether it took much longer than usual, where that can be told.
    pub(crate) slow: Option<bool>,
}

impl Answer {
    /// An answer that never came.
    pub(crate) const FAILURE: Self = Self {
        bad: true,
        slow: None,
    };

    /// The tally of this answer alone.
    pub(crate) fn tally(self, route: u32) -> Tally {
        Tally {
            route,
            all: 1,
            bad: u32::from(self.bad),
            timed: u32::from(self.slow.is_some()),
            slow: u32::from(self.slow == Some(true)),
        }
    }
}

/// Requests that a service was sent since the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Exposure {
    /// Those to the target.
    pub(crate) target: u32,
    /// Those to any version.
    pub(crate) all: u32,
}

/// The answers of both versions in one phase, as seen here and as told.
#[derive(Debug)]
pub(crate) struct Evidence {
    // This instance's failure domain, whose sighting contains its own tallies.
    domain: FailureDomain,
    pub(crate) target: Vec<Tally>,
    pub(crate) base: Vec<Tally>,
    /// Requests that the old version runs for this instance.
    pub(crate) old_open: u32,
    /// Requests that this instance sent.
    pub(crate) sent: Exposure,
    domains: Sorted<FailureDomain, Sighting>,
}

impl Evidence {
    pub(crate) fn new(domain: FailureDomain) -> Self {
        Self {
            domain,
            target: Vec::new(),
            base: Vec::new(),
            old_open: 0,
            sent: Exposure::default(),
            domains: Sorted::default(),
        }
    }

    /// Begins anew with the tallies of this instance.
    pub(crate) fn clear(&mut self) {
        self.target.clear();
        self.base.clear();
    }

    /// Takes what a failure domain has seen.
    pub(crate) fn hear(&mut self, domain: FailureDomain, sighting: Sighting) {
        self.domains.insert(domain, sighting);
    }

    /// Whether the answers of the target show a fault in a phase.
    pub(crate) fn is_bad(&self, phase: Phase) -> bool {
        let base = self.sum(phase, |s| &s.base, &self.base);
        let target = self.sum(phase, |s| &s.target, &self.target);
        target.iter().any(|target| {
            let old = base.iter().find(|t| t.route == target.route);
            let usual = old.map_or(0.0, |t| part(*t));
            target.bad >= BAD_LEAST && part(*target) > BAD_PART + 2.0 * usual
        })
    }

    /// Answers of the target in a phase.
    pub(crate) fn answers(&self, phase: Phase) -> u32 {
        let target = self.sum(phase, |s| &s.target, &self.target);
        target.iter().map(|t| t.all).sum()
    }

    /// Requests that the old version runs, and one for each failure domain
    /// that is not known to have reached the phase.
    pub(crate) fn old_open(&self, phase: Phase) -> u32 {
        let rows = self.domains.iter();
        let told = rows.map(|(_, sighting)| {
            let behind = sighting.phase != phase as u8;
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
        format!(
            "target-bad:{} target-slow:{} old-bad:{} old-slow:{}",
            bad(&target),
            slow(&target),
            bad(&base),
            slow(&base)
        )
    }

    // The tallies of all domains that are in the phase, together. That of this
    // domain contains what this instance has seen, as of a moment ago.
    fn sum(&self, phase: Phase, of: fn(&Sighting) -> &Vec<Tally>, own: &[Tally]) -> Vec<Tally> {
        let mut sum = own.to_vec();
        let same = self.domains.iter().filter(|row| row.1.phase == phase as u8);
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

fn part(tally: Tally) -> f64 {
    f64::from(tally.bad) / f64::from(tally.all.max(1))
}
