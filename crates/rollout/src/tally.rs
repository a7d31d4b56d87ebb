//! The request counts of a move, and the reports that send them to other instances.

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

/// The maximum of route tallies in a report; further routes share one tally.
pub const MAX_ROUTES: usize = 16;
/// The name of the tally that further routes share, see [`MAX_ROUTES`].
pub const OTHER_ROUTES: &str = "other-routes";
/// Latency buckets for each doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// The upper bound of the lowest latency bucket, in microseconds.
const LOWEST_BUCKET_US: f64 = 500.0;
/// The highest latency bucket, for about 30 s and more.
const MAX_BUCKET: u8 = 63;

/// How a request ended at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered after this time.
    Answered(Duration),
    /// Ended without evidence on the version, as when the caller disconnects.
    Inconclusive,
    /// Failed at the backend server: an error status, a broken connection, a timeout.
    Failed,
}

/// Counts of one version's ended requests, cumulative since the start of the move.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that ended.
    pub total: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Answered requests by latency bucket, sorted by bucket.
    pub buckets: Vec<(u8, u64)>,
}

/// The tallies of both versions on one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// The route.
    pub route: RouteName,
    /// The tally of the old version.
    pub old: Tally,
    /// The tally of the new version.
    pub new: Tally,
}

/// The counts of one instance for a move.
///
/// The counts are cumulative since the start of the instance, so the next report
/// makes up for a lost one and a repeated one changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The move.
    pub key: MoveKey,
    /// The instance.
    pub instance: InstanceId,
    /// The number of the report; it increases with each report of the instance.
    pub sequence: u64,
    /// The platform's version of the latest record that the instance has applied.
    pub seen: u64,
    /// Requests in flight at the new version.
    pub busy: u64,
    /// Why the instance sends no request to the new version, if it has stopped it.
    #[serde(default)]
    pub stop: Option<Stop>,
    /// The tallies, sorted by route.
    pub routes: Vec<RouteTally>,
}

impl Tally {
    /// Counts one request.
    pub fn count(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Inconclusive => return,
            Outcome::Failed => self.failed += 1,
            Outcome::Answered(latency) => self.add(bucket(latency), 1),
        }
        self.total += 1;
    }

    /// Returns the number of answered requests.
    pub fn answered(&self) -> u64 {
        self.total.saturating_sub(self.failed)
    }

    /// Returns the number of answered requests in buckets above `bucket`.
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

    /// Returns the counts since an earlier tally of the same instance.
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

    /// Returns the lowest bucket with at most the fraction `tail` of the answered
    /// requests above it.
    pub(crate) fn tail_bucket(&self, tail: f64) -> Option<u8> {
        let max_above = (self.answered() as f64 * tail) as u64;
        let mut above = self.answered();
        self.buckets.iter().find_map(|(bucket, n)| {
            above = above.saturating_sub(*n);
            (above <= max_above).then_some(*bucket)
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
    /// Creates an empty tally.
    pub fn new(route: RouteName) -> Self {
        Self {
            route,
            old: Tally::default(),
            new: Tally::default(),
        }
    }

    /// Returns the counts since earlier tallies of the same instance.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            route: self.route.clone(),
            old: self.old.since(&earlier.old),
            new: self.new.since(&earlier.new),
        }
    }

    /// Returns the stratum for one kind of fault; `pick` returns how many requests of
    /// a tally count, and how many of these are bad.
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
    /// Creates an empty report.
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

    /// Returns the tallies of a route.
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
    RouteName::try_from(OTHER_ROUTES).expect("OTHER_ROUTES is a valid route name")
}

fn bucket(latency: Duration) -> u8 {
    let ratio = latency.as_micros() as f64 / LOWEST_BUCKET_US;
    if ratio <= 1.0 {
        return 0;
    }
    ((ratio.log2() * BUCKETS_PER_DOUBLING).ceil() as u8).min(MAX_BUCKET)
}
