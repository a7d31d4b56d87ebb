//! The versions of one service, and which of them are excluded from routing.

use std::time::Duration;

use corianderway_model::Time;
use corianderway_model::Version;

use crate::listing::Order;
use crate::listing::Progress;
use crate::phase::Phase;
use crate::version_move::Move;

/// The time for which a version that is listed beside others without an order
/// receives no requests, since its order may still arrive.
const ORDER_DELAY: Duration = Duration::from_secs(5);

/// The maximum number of excluded versions that are remembered.
const MAX_EXCLUDED: usize = 16;

/// The reason why a former target receives no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exclusion {
    /// The target was found faulty, or was not proven by its deadline.
    Withdrawn,
    /// The order was replaced or removed before the move ended.
    Unfinished,
}

/// The versions of one service: the listed ones, the one that took over last,
/// and the former targets that did not take over. A version is in `excluded` at
/// most once, and never while it is `current`.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    // Each with the time at which it was first listed. The time is zero for the
    // versions of the first listing, which need no order.
    listed: Vec<(Version, Time)>,
    // Oldest first.
    excluded: Vec<(Version, Exclusion)>,
    // The version that took over last, if it is known.
    current: Option<Version>,
}

impl Versions {
    /// Replaces the listed versions.
    pub(crate) fn update_listed(&mut self, now: Time, listed: &[&Version]) {
        self.listed.retain(|(version, _)| listed.contains(&version));
        let first = self.listed.is_empty();
        for version in listed {
            if !self.listed.iter().any(|(v, _)| v == *version) {
                let since = if first { Time::ZERO } else { now };
                self.listed.push(((*version).clone(), since));
            }
        }
    }

    /// Ends the exclusion of a version, since it has been ordered.
    pub(crate) fn clear_exclusion(&mut self, target: &Version) {
        self.excluded.retain(|(version, _)| version != target);
    }

    /// Records that a version has taken over.
    pub(crate) fn set_current(&mut self, version: &Version) {
        self.clear_exclusion(version);
        self.current = Some(version.clone());
    }

    /// Excludes a version until it is ordered again.
    pub(crate) fn exclude(&mut self, version: &Version, exclusion: Exclusion) {
        self.clear_exclusion(version);
        self.excluded.push((version.clone(), exclusion));
        let excess = self.excluded.len().saturating_sub(MAX_EXCLUDED);
        self.excluded.drain(..excess);
        if self.current.as_ref() == Some(version) {
            self.current = None;
        }
    }

    /// Records the history of earlier orders that the entry of an order holds.
    pub(crate) fn import_history(&mut self, order: &Order) {
        for version in &order.withdrawn {
            self.exclude(version, Exclusion::Withdrawn);
        }
        match &order.earlier {
            Some((version, Progress::Completed)) => self.set_current(version),
            Some((version, Progress::RolledBack)) => self.exclude(version, Exclusion::Withdrawn),
            Some((version, Progress::Running)) if !self.is_excluded(version) => {
                self.exclude(version, Exclusion::Unfinished);
            }
            Some((_, Progress::Running)) | None => (),
        }
    }

    /// Records the end of a move whose order has been replaced or removed.
    pub(crate) fn record_end(&mut self, ended: &Move) {
        let target = &ended.order.target;
        match ended.phase {
            Phase::Completed => self.set_current(target),
            Phase::RolledBack => self.exclude(target, Exclusion::Withdrawn),
            Phase::Canary | Phase::Full => self.exclude(target, Exclusion::Unfinished),
            // It is unknown whether the store has recorded that the target took
            // over.
            Phase::Finished => (),
        }
    }

    pub(crate) fn withdrawn(&self) -> Vec<Version> {
        let rows = self.excluded.iter();
        let rows = rows.filter(|(_, exclusion)| *exclusion == Exclusion::Withdrawn);
        rows.map(|(version, _)| version.clone()).collect()
    }

    /// Returns whether a version took over and is still current.
    pub(crate) fn is_current(&self, version: &Version) -> bool {
        self.current.as_ref() == Some(version)
    }

    /// Returns whether a version was a target that did not take over.
    pub(crate) fn is_excluded(&self, version: &Version) -> bool {
        self.excluded
            .iter()
            .any(|(excluded, _)| excluded == version)
    }

    /// Returns the versions that receive no requests, beside `target`.
    ///
    /// A version whose move was not finished does receive requests where no
    /// regular version is listed.
    pub(crate) fn unroutable(&self, now: Time, target: Option<&Version>) -> Vec<Version> {
        let is_regular = |version: &Version| target != Some(version) && !self.is_excluded(version);
        let has_regular = self.listed.iter().any(|(version, _)| is_regular(version));
        let excluded = self.excluded.iter();
        let excluded =
            excluded.filter(|(_, exclusion)| *exclusion == Exclusion::Withdrawn || has_regular);
        let unordered = self.listed.iter().filter(|(version, at)| {
            is_regular(version) && *at > Time::ZERO && now.since(*at) < ORDER_DELAY
        });
        let excluded = excluded.map(|(version, _)| version.clone());
        excluded
            .chain(unordered.map(|(version, _)| version.clone()))
            .collect()
    }
}
