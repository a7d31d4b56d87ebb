//! The versions of one service: those that are listed, and those that an order
//! brought and that did not take over.

use std::time::Duration;

use corianderway_model::Time;
use corianderway_model::Version;

use crate::listing::Order;
use crate::listing::Progress;
use crate::phase::Phase;
use crate::version_move::Move;

/// A version that is listed beside others without an order gets nothing for
/// this long, since the order may be on its way.
const UNORDERED: Duration = Duration::from_secs(5);

/// The most versions that are remembered after their moves.
const REMEMBERED: usize = 16;

/// Why a version that was a target gets nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Bar {
    /// It was found bad, or was not proven by its deadline.
    Withdrawn,
    /// Its order was replaced or removed before its end.
    Unfinished,
}

/// The versions of one service.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    // With the time at which each was first listed; zero for those that were
    // there from the beginning, which need no order.
    listed: Vec<(Version, Time)>,
    // Oldest first.
    barred: Vec<(Version, Bar)>,
    // What took over last.
    current: Option<Version>,
}

impl Versions {
    /// Takes the versions that are listed.
    pub(crate) fn see(&mut self, now: Time, listed: &[&Version]) {
        self.listed.retain(|(version, _)| listed.contains(&version));
        let first = self.listed.is_empty();
        for version in listed {
            if !self.listed.iter().any(|(v, _)| v == *version) {
                let since = if first { Time::ZERO } else { now };
                self.listed.push(((*version).clone(), since));
            }
        }
    }

    /// Notes that a version is ordered, whatever became of it before.
    pub(crate) fn order(&mut self, target: &Version) {
        self.barred.retain(|(version, _)| version != target);
    }

    /// Notes that a version has taken over.
    pub(crate) fn take_over(&mut self, version: &Version) {
        self.order(version);
        self.current = Some(version.clone());
    }

    /// Notes that a version gets nothing until it is ordered again.
    pub(crate) fn bar(&mut self, version: &Version, bar: Bar) {
        self.order(version);
        self.barred.push((version.clone(), bar));
        let excess = self.barred.len().saturating_sub(REMEMBERED);
        self.barred.drain(..excess);
        if self.current.as_ref() == Some(version) {
            self.current = None;
        }
    }

    /// Takes what an entry says of orders before the one that it holds.
    pub(crate) fn learn(&mut self, order: &Order) {
        for version in &order.withdrawn {
            self.bar(version, Bar::Withdrawn);
        }
        match &order.earlier {
            Some((version, Progress::Completed)) => self.take_over(version),
            Some((version, Progress::RolledBack)) => self.bar(version, Bar::Withdrawn),
            Some((version, Progress::Running)) if !self.is_barred(version) => {
                self.bar(version, Bar::Unfinished);
            }
            Some((_, Progress::Running)) | None => (),
        }
    }

    /// Takes the end of a move whose order is replaced or gone.
    pub(crate) fn end(&mut self, ended: &Move) {
        let target = &ended.order.target;
        match ended.phase {
            Phase::Completed => self.take_over(target),
            Phase::RolledBack => self.bar(target, Bar::Withdrawn),
            Phase::Canary | Phase::Full => self.bar(target, Bar::Unfinished),
            // The store may have been told that it took over, or not.
            Phase::Finished => (),
        }
    }

    /// The versions that were withdrawn.
    pub(crate) fn withdrawn(&self) -> Vec<Version> {
        let rows = self.barred.iter();
        let rows = rows.filter(|(_, bar)| *bar == Bar::Withdrawn);
        rows.map(|(version, _)| version.clone()).collect()
    }

    /// Whether a version took over and stayed.
    pub(crate) fn is_current(&self, version: &Version) -> bool {
        self.current.as_ref() == Some(version)
    }

    /// Whether a version was a target that did not take over.
    pub(crate) fn is_barred(&self, version: &Version) -> bool {
        self.barred.iter().any(|(barred, _)| barred == version)
    }

    /// The versions that get nothing beside a target.
    ///
    /// One whose move was not finished serves where no other is listed.
    pub(crate) fn excluded(&self, now: Time, target: Option<&Version>) -> Vec<Version> {
        let plain = |version: &Version| target != Some(version) && !self.is_barred(version);
        let others = self.listed.iter().any(|(version, _)| plain(version));
        let barred = self.barred.iter();
        let barred = barred.filter(|(_, bar)| *bar == Bar::Withdrawn || others);
        let young = self.listed.iter().filter(|(version, at)| {
            plain(version) && *at > Time::ZERO && now.since(*at) < UNORDERED
        });
        let barred = barred.map(|(version, _)| version.clone());
        barred
            .chain(young.map(|(version, _)| version.clone()))
            .collect()
    }
}
