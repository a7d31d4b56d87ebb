//! What instances count of a move, and the reports that carry the counts.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::RouteName;
use serde::Deserialize;
use serde::Serialize;

use crate::event::Stop;
use crate::record::MoveKey;
use crate::sample::Sample;
use crate::sample::Stratum;
use crate::splitter::Arm;

/// The most routes of a service that are told apart; the others share a tally.
pub const MAX_ROUTES: usize = 16;
/// The name under which the routes beyond [`MAX_ROUTES`] are counted.
pub const OTHER_ROUTES: &str = "other-routes";
/// Latency buckets for each doubling.
const PER_OCTAVE: f64 = 4.0;
/// The upper end of the lowest latency bucket, in microseconds.
const LOWEST_MICROS: f64 = 500.0;
/// The highest latency bucket, from about 30 s.
const HIGHEST: u8 = 63;

/// How a request ended at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered after this time.
    Answered(Duration),
    /// Ended without telling anything of the version: the caller went away.
    Unjudged,
    /// Failed through the backend server: an error answer, a cut, a timeout.
    Failed,
}

/// Requests of one version that ended, as sums since the start of the move.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that ended.
    pub total: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Answered requests by latency bucket, sorted by bucket.
    pub buckets: Vec<(u8, u64)>,
}

/// The tallies of one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// The route.
    pub route: RouteName,
    /// What the old version did.
    pub old: Tally,
    /// What the new version did.
    pub new: Tally,
}

/// What one instance has counted of a move.
///
/// A report holds sums since the start of the instance, so a lost one is
/// made good by the next and a repeated one changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The move.
    pub key: MoveKey,
    /// The instance.
    pub instance: InstanceId,
    /// Goes up with each report of the instance.
    pub sequence: u64,
    /// The platform's version of the record that the instance follows.
    pub seen: u64,
    /// Requests in flight at the new version.
    pub busy: u64,
    /// Why the instance sends nothing to the new version, if it has stopped it.
    #[serde(default)]
    pub stop: Option<Stop>,
    /// The tallies, sorted by route.
    pub routes: Vec<RouteTally>,
}

impl Tally {
    /// Counts one request.
    pub fn count(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Unjudged => return,
            Outcome::Failed => self.failed += 1,
            Outcome::Answered(latency) => self.add(bucket(latency), 1),
        }
        self.total += 1;
    }

    /// Answered requests.
    pub fn answered(&self) -> u64 {
        self.total.saturating_sub(self.failed)
    }

    /// Answered requests in buckets above `bucket`.
    pub fn above(&self, bucket: u8) -> u64 {
        let from = self.buckets.partition_point(|(b, _)| *b <= bucket);
        self.buckets[from..].iter().map(|(_, n)| n).sum()
    }

    /// Adds the counts of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.total += other.total;
        self.failed += other.failed;
        for (bucket, n) in &other.buckets {
            self.add(*bucket, *n);
        }
    }

    /// What was counted since an earlier tally of the same instance.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let before = |bucket| {
            let at = earlier.buckets.binary_search_by_key(&bucket, |(b, _)| *b);
            at.map_or(0, |at| earlier.buckets[at].1)
        };
        let left = |(b, n): &(u8, u64)| (*b, n.saturating_sub(before(*b)));
        let buckets = self.buckets.iter().map(left);
        Self {
            total: self.total.saturating_sub(earlier.total),
            failed: self.failed.saturating_sub(earlier.failed),
            buckets: buckets.filter(|(_, n)| *n > 0).collect(),
        }
    }

    /// The lowest bucket with at most `tail` of the answered requests above it.
    pub(crate) fn tail_bucket(&self, tail: f64) -> Option<u8> {
        let most = (self.answered() as f64 * tail) as u64;
        let mut above = self.answered();
        self.buckets.iter().find_map(|(bucket, n)| {
            above = above.saturating_sub(*n);
            (above <= most).then_some(*bucket)
        })
    }

    fn add(&mut self, bucket: u8, n: u64) {
        match self.buckets.binary_search_by_key(&bucket, |(b, _)| *b) {
            Ok(at) => self.buckets[at].1 += n,
            Err(at) => self.buckets.insert(at, (bucket, n)),
        }
    }
}

impl RouteTally {
    /// An empty tally.
    pub fn new(route: RouteName) -> Self {
        Self {
            route,
            old: Tally::default(),
            new: Tally::default(),
        }
    }

    /// What was counted since an earlier tally of the same instance.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            route: self.route.clone(),
            old: self.old.since(&earlier.old),
            new: self.new.since(&earlier.new),
        }
    }

    /// What it says of one kind of fault; `pick` gives back how many requests
    /// a tally has of it, and how many of them were bad.
    pub(crate) fn stratum(&self, pick: impl Fn(&Tally) -> (u64, u64)) -> Stratum {
        let sample = |tally| {
            let (total, bad) = pick(tally);
            Sample { total, bad }
        };
        Stratum {
            old: sample(&self.old),
            new: sample(&self.new),
        }
    }
}

impl Report {
    /// An empty report.
    pub fn new(key: MoveKey, instance: InstanceId) -> Self {
        Self {
            key,
            instance,
            sequence: 0,
            seen: 0,
            busy: 0,
            stop: None,
            routes: Vec::new(),
        }
    }

    /// Counts one request.
    pub fn count(&mut self, route: &RouteName, arm: Arm, outcome: Outcome) {
        let tally = self.route_mut(route);
        match arm {
            Arm::Old => tally.old.count(outcome),
            Arm::New => tally.new.count(outcome),
        }
    }

    /// Finds the tallies of a route.
    pub fn route(&self, route: &RouteName) -> Option<&RouteTally> {
        let at = self.routes.binary_search_by(|r| r.route.cmp(route)).ok()?;
        self.routes.get(at)
    }

    fn route_mut(&mut self, route: &RouteName) -> &mut RouteTally {
        let find = |routes: &[RouteTally], name: &str| {
            routes.binary_search_by(|r| r.route.as_str().cmp(name))
        };
        let found = find(&self.routes, route.as_str());
        let name = match found {
            Err(_) if self.routes.len() + 1 >= MAX_ROUTES => other_routes(),
            _ => route.clone(),
        };
        match find(&self.routes, name.as_str()) {
            Ok(at) => &mut self.routes[at],
            Err(at) => {
                self.routes.insert(at, RouteTally::new(name));
                &mut self.routes[at]
            }
        }
    }
}

fn other_routes() -> RouteName {
    RouteName::try_from(OTHER_ROUTES).expect("the constant is a name")
}

fn bucket(latency: Duration) -> u8 {
    let ratio = latency.as_micros() as f64 / LOWEST_MICROS;
    if ratio <= 1.0 {
        return 0;
    }
    ((ratio.log2() * PER_OCTAVE).ceil() as u8).min(HIGHEST)
}
