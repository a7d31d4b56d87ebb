//! Evidence for or against the target of a version move, collected from the
//! answers of both versions.

use std::time::Duration;

use corianderway_model::FailureDomain;
use corianderway_model::SortedMap;
use corianderway_model::Time;
use corianderway_rollout::Comparison;
use corianderway_rollout::FaultKind;
use corianderway_rollout::Sample;
use corianderway_rollout::Stratum;
use corianderway_rollout::CONDEMN_ALPHA;
use corianderway_rollout::SUSPECT_ALPHA;

use crate::digest::MoveReport;
use crate::digest::ServerTimes;
use crate::digest::Tally;
use crate::exposure::Exposure;
use crate::log_odds;
use crate::log_odds::Count;
use crate::log_odds::FailureOdds;
use crate::phase::Phase;

/// The excess over the old version's rate of failures or slow answers that
/// counts as a fault.
const FAULT_MARGIN: f64 = 0.05;

/// The minimum number of failures or slow answers on one route that rolls back
/// a takeover.
const MIN_BAD_TO_ROLL_BACK: u32 = 4;

/// The minimum number of failures or slow answers on one route that keeps a
/// takeover from finishing.
const MIN_BAD_TO_HOLD: u32 = 2;

/// The excess over twice the old version's fraction of slow answers that counts
/// as a fault during the takeover. It exceeds [`FAULT_MARGIN`] since servers
/// handle many new objects at once then.
const TAKEOVER_SLOW_MARGIN: f64 = 0.12;

/// The log odds in favor of the target from which a few slow answers during the
/// takeover no longer count as a fault.
const STRONG_LOG_ODDS: f64 = 6.0;

/// The factor by which the required number of slow answers grows then.
const STRONG_SLOW_FACTOR: u32 = 3;

/// The result of one request, as evidence on the version that ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestResult {
    /// The request failed.
    Failed,
    /// The answer took much longer than usual, or none arrived in time.
    Slow,
    /// The answer took about the usual time.
    OnTime,
    /// An answer arrived, and no usual time is known to compare it with.
    Untimed,
}

impl RequestResult {
    /// Returns the row of server times that counts this result alone, or `None`
    /// if its time can't be compared. `hash` is the hash of the server's name.
    pub(crate) fn timed(self, hash: u32) -> Option<ServerTimes> {
        match self {
            Self::Slow => Some(ServerTimes::new(hash, true)),
            Self::OnTime => Some(ServerTimes::new(hash, false)),
            Self::Failed | Self::Untimed => None,
        }
    }

    /// Returns a tally that counts this result alone.
    pub(crate) fn tally(self, route: u32) -> Tally {
        Tally {
            route,
            answers: 1,
            failed: u32::from(self == Self::Failed),
            timed: u32::from(matches!(self, Self::Slow | Self::OnTime)),
            slow: u32::from(self == Self::Slow),
        }
    }
}

/// The answers of both versions, as counted by this instance and as reported by
/// failure domains.
///
/// The target's answers count from the start of the takeover, if it has
/// started, and the old version's from the order.
#[derive(Debug)]
pub(crate) struct Evidence {
    // This instance's failure domain. Its report includes this instance's own
    // tallies.
    domain: FailureDomain,
    pub(crate) target: Vec<Tally>,
    pub(crate) base: Vec<Tally>,
    pub(crate) target_times: Vec<ServerTimes>,
    pub(crate) base_times: Vec<ServerTimes>,
    /// Open requests of this instance that have taken longer than an answer on
    /// time, as slow ones. They end as slow or get lost with their server.
    pub(crate) target_overdue: Vec<ServerTimes>,
    pub(crate) base_overdue: Vec<ServerTimes>,
    /// Requests of this instance that the old version is running.
    pub(crate) old_inflight: u32,
    /// Requests that this instance has sent.
    pub(crate) sent: Exposure,
    domains: SortedMap<FailureDomain, MoveReport>,
    comparison: Comparison<u32>,
    odds: FailureOdds,
    // The tallies that the comparison has already included, by domain and
    // route.
    compared: SortedMap<(FailureDomain, u32), RouteTallies>,
}

/// The tallies of both versions on one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteTallies {
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
            target_overdue: Vec::new(),
            base_overdue: Vec::new(),
            old_inflight: 0,
            sent: Exposure::default(),
            domains: SortedMap::default(),
            comparison: Comparison::new(FAULT_MARGIN, span, now),
            odds: FailureOdds::default(),
            compared: SortedMap::default(),
        }
    }

    /// Discards the target's answers from before the takeover, which would hide
    /// a fault that appears only under full load.
    pub(crate) fn begin_takeover(&mut self) {
        self.target.clear();
    }

    /// Replaces the report of a failure domain.
    pub(crate) fn update_domain(&mut self, domain: FailureDomain, report: MoveReport) {
        self.domains.insert(domain, report);
    }

    /// Adds the answers reported since the last call to the comparison.
    ///
    /// Only domains in the canary phase count. The answers of a route wait
    /// until there are some of both versions, or enough to complete a stratum.
    pub(crate) fn compare(&mut self, now: Time) {
        let canary = self.domains.iter();
        let canary = canary.filter(|row| row.1.phase == Phase::Canary as u8);
        for (domain, report) in canary {
            for route in routes(report) {
                let tallies = RouteTallies {
                    target: tally_of(&report.target, route),
                    base: tally_of(&report.base, route),
                };
                let compared = self
                    .compared
                    .get_or_insert_with((domain.clone(), route), RouteTallies::default);
                if tallies.decreased(compared) {
                    *compared = tallies;
                    continue;
                }
                let errors = tallies.since(compared, |tally| (tally.answers, tally.failed));
                if !errors.is_complete() {
                    continue;
                }
                let slowness = tallies.since(compared, |tally| (tally.timed, tally.slow));
                *compared = tallies;
                self.odds.update(to_count(errors.old), to_count(errors.new));
                let kinds = [(FaultKind::Errors, errors), (FaultKind::Slowness, slowness)];
                for (kind, stratum) in kinds {
                    self.comparison.update(now, &route, kind, stratum);
                }
            }
        }
    }

    /// Returns whether the target's answers show a fault that requires a
    /// rollback in `phase`.
    pub(crate) fn shows_fault(&self, phase: Phase) -> bool {
        match phase {
            Phase::Canary => self.comparison.fault(CONDEMN_ALPHA).is_some(),
            _ => self.has_takeover_fault(MIN_BAD_TO_ROLL_BACK),
        }
    }

    /// Returns whether a fault of the target is likely enough to keep it from
    /// the phase after `phase`.
    pub(crate) fn is_suspect(&self, phase: Phase) -> bool {
        match phase {
            Phase::Canary => self.comparison.is_worse(SUSPECT_ALPHA),
            _ => self.has_takeover_fault(MIN_BAD_TO_HOLD),
        }
    }

    /// Discards the evidence in favor of the target after an interruption of
    /// the service, and keeps the evidence against it.
    pub(crate) fn discard_support(&mut self) {
        self.odds.discard_support();
    }

    /// Returns the number of answers of both versions.
    pub(crate) fn total_answers(&self, phase: Phase) -> u32 {
        let base = self.merge_tallies(phase, |r| &r.base, &self.base);
        let base: u32 = base.iter().map(|t| t.answers).sum();
        base + self.target_answers(phase)
    }

    /// Returns whether the evidence favors the target enough to begin the
    /// takeover.
    pub(crate) fn favors_target(&self) -> bool {
        self.odds.favors_target() && self.slowness_odds() >= 0.0
    }

    /// Returns whether the answers before and during the takeover prove that
    /// the target is no worse than the old version.
    pub(crate) fn is_proven(&self) -> bool {
        let slowness = self.slowness_odds() >= self.required_slowness_odds(Phase::Full);
        slowness && self.failure_odds().is_proven()
    }

    /// Returns whether the answers before the takeover would have shown a fault,
    /// with the stated power.
    pub(crate) fn has_power(&self) -> bool {
        let slowness = self.slowness_odds() >= self.required_slowness_odds(Phase::Canary);
        slowness && self.odds.has_power()
    }

    // The log odds that the times have to reach. Where the times of the old
    // version can be compared, those of the target have to be as well: the want of
    // times proves nothing.
    fn required_slowness_odds(&self, phase: Phase) -> f64 {
        let target = self.merge_times(|r| &r.target_times, &self.target_times());
        let timed: u32 = target.iter().map(|row| row.total()).sum();
        let base = self.merge_tallies(phase, |r| &r.base, &self.base);
        let (base_timed, base_answers) = base.iter().fold((0, 0), |(timed, answers), tally| {
            (timed + tally.timed, answers + tally.answers)
        });
        let answers = f64::from(self.target_answers(phase));
        let expected = answers * ratio(base_timed, base_answers);
        log_odds::required_slowness_odds(expected.max(f64::from(timed)))
    }

    /// Returns this instance's times of the target, with the overdue requests.
    pub(crate) fn target_times(&self) -> Vec<ServerTimes> {
        merge(&self.target_times, &self.target_overdue)
    }

    /// Returns this instance's times of the old version, with the overdue
    /// requests.
    pub(crate) fn base_times(&self) -> Vec<ServerTimes> {
        merge(&self.base_times, &self.base_overdue)
    }

    // The log odds from failures, including those during the takeover.
    fn failure_odds(&self) -> FailureOdds {
        let mut takeover = Count::default();
        for tally in self.merge_tallies(Phase::Full, |r| &r.target, &self.target) {
            takeover.answers += tally.answers;
            takeover.failed += tally.failed;
        }
        let mut odds = self.odds.clone();
        odds.update(Count::default(), takeover);
        odds
    }

    fn slowness_odds(&self) -> f64 {
        let old = self.merge_times(|r| &r.base_times, &self.base_times());
        let target = self.merge_times(|r| &r.target_times, &self.target_times());
        log_odds::slowness_log_odds(&old, &target)
    }

    // The server times of all domains, merged. The report of this instance's
    // own domain includes this instance's times, slightly delayed, and so
    // replaces the rows of `own` for the same servers.
    fn merge_times(
        &self,
        rows_of: fn(&MoveReport) -> &Vec<ServerTimes>,
        own: &[ServerTimes],
    ) -> Vec<ServerTimes> {
        let mut sum = own.to_vec();
        if let Some(here) = self.domains.get(&self.domain) {
            sum.retain(|row| rows_of(here).iter().all(|t| t.server() != row.server()));
        }
        for (_, report) in self.domains.iter() {
            for timed in rows_of(report) {
                timed.add_to(&mut sum);
            }
        }
        sum
    }

    // Returns whether the answers during the takeover show a fault on any
    // route, with at least `min_bad` failures or slow answers.
    fn has_takeover_fault(&self, min_bad: u32) -> bool {
        let base = self.merge_tallies(Phase::Full, |r| &r.base, &self.base);
        let target = self.merge_tallies(Phase::Full, |r| &r.target, &self.target);
        let min_slow = if self.slowness_odds() >= STRONG_LOG_ODDS {
            min_bad * STRONG_SLOW_FACTOR
        } else {
            min_bad
        };
        target.iter().any(|target| {
            let old = tally_of(&base, target.route);
            let is_failing = ratio(target.failed, target.answers)
                > FAULT_MARGIN + 2.0 * ratio(old.failed, old.answers);
            let is_slow = ratio(target.slow, target.timed)
                > TAKEOVER_SLOW_MARGIN + 2.0 * ratio(old.slow, old.timed);
            (target.failed >= min_bad && is_failing) || (target.slow >= min_slow && is_slow)
        })
    }

    /// Returns the number of answers of the target in `phase`.
    pub(crate) fn target_answers(&self, phase: Phase) -> u32 {
        let target = self.merge_tallies(phase, |r| &r.target, &self.target);
        target.iter().map(|t| t.answers).sum()
    }

    /// Returns the number of requests that the old version is running. A
    /// failure domain that has not begun the takeover counts as at least one,
    /// since it may still send requests to the old version.
    pub(crate) fn old_inflight(&self) -> u32 {
        let rows = self.domains.iter();
        let reported = rows.map(|(_, report)| {
            let behind = report.phase < Phase::Full as u8;
            report.old_inflight.max(u32::from(behind))
        });
        self.old_inflight + reported.sum::<u32>()
    }

    /// Returns the number of requests that all instances are known to have
    /// sent.
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

    /// Formats the evidence for logs.
    pub(crate) fn text(&self, phase: Phase) -> String {
        let bad = |tallies: &[Tally]| {
            let rows = tallies
                .iter()
                .map(|t| format!("{}/{}", t.failed, t.answers));
            rows.collect::<Vec<_>>().join(",")
        };
        let slow = |tallies: &[Tally]| {
            let (slow, timed) = tallies.iter().fold((0, 0), |(slow, timed), tally| {
                (slow + tally.slow, timed + tally.timed)
            });
            format!("{slow}/{timed}")
        };
        let target = self.merge_tallies(phase, |r| &r.target, &self.target);
        let base = self.merge_tallies(phase, |r| &r.base, &self.base);
        let failure_odds = if phase == Phase::Canary {
            self.odds.text()
        } else {
            self.failure_odds().text()
        };
        format!(
            "target-bad:{} target-slow:{} old-bad:{} old-slow:{} doubt:{:.1} sound:{failure_odds},{:.1}/{:.1}",
            bad(&target),
            slow(&target),
            bad(&base),
            slow(&base),
            self.comparison.log_e_value(),
            self.slowness_odds(),
            self.required_slowness_odds(phase)
        )
    }

    // The tallies of all domains on the same side of the takeover as `phase`,
    // merged by route. The report of this instance's own domain includes this
    // instance's tallies, slightly delayed, so the larger of the two counts.
    fn merge_tallies(
        &self,
        phase: Phase,
        rows_of: fn(&MoveReport) -> &Vec<Tally>,
        own: &[Tally],
    ) -> Vec<Tally> {
        let mut sum = own.to_vec();
        let in_takeover = |number| number >= Phase::Full as u8;
        let same = self.domains.iter();
        let same = same.filter(|row| in_takeover(row.1.phase) == in_takeover(phase as u8));
        for (domain, report) in same {
            for tally in rows_of(report) {
                let known = sum.iter_mut().find(|t| t.route == tally.route);
                match known.filter(|_| *domain == self.domain) {
                    Some(known) if tally.answers > known.answers => *known = *tally,
                    Some(_) => (),
                    None => tally.add_to(&mut sum),
                }
            }
        }
        sum
    }
}

impl RouteTallies {
    // Returns whether a count fell since `earlier`, which happens when an
    // instance is lost together with its counts.
    fn decreased(&self, earlier: &Self) -> bool {
        self.target.answers < earlier.target.answers || self.base.answers < earlier.base.answers
    }

    // The increase since `earlier` in the counts that `select` returns, as one
    // stratum of the comparison.
    fn since(&self, earlier: &Self, select: impl Fn(&Tally) -> (u32, u32)) -> Stratum {
        let sample = |tally: &Tally, earlier: &Tally| {
            let ((total, bad), before) = (select(tally), select(earlier));
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

// The routes on which a failure domain has counted answers, sorted.
fn routes(report: &MoveReport) -> Vec<u32> {
    let tallies = report.target.iter().chain(&report.base);
    let mut routes: Vec<u32> = tallies.map(|tally| tally.route).collect();
    routes.sort_unstable();
    routes.dedup();
    routes
}

fn tally_of(tallies: &[Tally], route: u32) -> Tally {
    let known = tallies.iter().find(|tally| tally.route == route);
    known.copied().unwrap_or_default()
}

fn merge(rows: &[ServerTimes], others: &[ServerTimes]) -> Vec<ServerTimes> {
    let mut sum = rows.to_vec();
    for timed in others {
        timed.add_to(&mut sum);
    }
    sum
}

fn to_count(sample: Sample) -> Count {
    Count {
        answers: sample.total as u32,
        failed: sample.bad as u32,
    }
}

fn ratio(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}
