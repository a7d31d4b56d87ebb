//! The source from which an instance follows the store's contents.
//!
//! One instance of a failure domain follows the store; the others follow its replica,
//! since calls to the store are billed and traffic inside a failure domain is free.
//! The instances of a domain are ranked, and the first one that reaches the store
//! follows it.

use std::net::SocketAddr;
use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Time;
use serde::Deserialize;

/// The state chart of the source, as the text of its file.
pub const SOURCE_CHART: &str = include_str!("../charts/edge-source.yaml");

/// The parsed state chart of the source.
pub(crate) type SourceChart = Chart<State, Signal, Guard, Effect>;

/// The upper limit of the delay by rank before an instance probes the store: a change
/// must be in force within 2.5 s, and following takes 0.5 s.
const MAX_PROBE_DELAY: Duration = Duration::from_millis(1_250);

/// The rank whose delay is half of the limit, so that the first few ranks, one of which
/// mostly succeeds, are well apart.
const HALF_DELAY_RANK: u32 = 4;

/// The highest rank that still lengthens the delay between two probes.
const MAX_RETRY_RANK: u32 = 3;

/// The rank that an instance assumes until it knows the others.
const DEFAULT_RANK: u32 = 4;

/// The base of the delay after a failed probe of the store; it doubles with each probe.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The maximum of [`RETRY_DELAY`] as it doubles, before it is multiplied by rank.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// How long an instance follows nothing before it follows a replica of another domain:
/// an instance of its own domain takes over sooner, and traffic to that is free.
const FAR_REPLICA_DELAY: Duration = Duration::from_millis(900);

/// How long a replica that failed or lagged is not followed again.
const EXCLUSION_TTL: Duration = Duration::from_secs(3);

/// How long other instances have observed a change that is not known here before a replica
/// counts as lagging: an instance whose watch has silently stopped reads the store again
/// sooner.
const LAG_TIMEOUT: Duration = Duration::from_secs(1);

/// The upper limit of the delay by rank that is added to [`LAG_TIMEOUT`], so that the
/// instances don't all turn to the store at once.
const MAX_LAG_DELAY: Duration = Duration::from_millis(750);

/// Maximum time without progress until the contents are up to date with a source.
const REACH_TIMEOUT: Duration = Duration::from_secs(6);

/// The state of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum State {
    /// Follows nothing.
    Detached,
    /// Waits for the replica of an instance that should follow the store first.
    AwaitingReplica,
    /// Follows the replica of another instance.
    FollowingReplica,
    /// Follows the store.
    FollowingStore,
}

/// An event of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    /// Time passed.
    Tick,
    /// The store answered a probe.
    Probed,
    /// The contents of the source that is followed are up to date.
    Reached,
    /// The source that is followed failed.
    Failed,
}

/// A condition of a branch of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// An instance of this domain follows the store and has a usable replica.
    NearReplica,
    /// A usable instance of this domain ranks before this one.
    PrecedingReplica,
    /// Another domain has a usable replica, and this instance has followed nothing for
    /// long enough.
    FarReplica,
    /// The replica that is followed is of another domain.
    Far,
    /// This domain has a usable replica, and the one that is followed is of another
    /// domain or no longer follows the store.
    NearerReplica,
    /// Other instances have observed a change for too long that is not known here.
    Lagging,
    /// The contents have not been up to date since the source was chosen, and nothing of them
    /// was read, for too long. Only lists of the store count as they are read; the stream of a
    /// replica doesn't.
    Overdue,
    /// The next probe of the store is due.
    ProbeDue,
    /// The next probe of the store is due, and the replica that is followed is of another
    /// domain.
    FarProbeDue,
    /// No usable instance of this domain ranks before this one.
    First,
    /// An instance of this domain that ranks before this one also follows the store.
    Outranked,
}

/// An action of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    /// Probes whether the store answers.
    Probe,
    /// Follows the store.
    FollowStore,
    /// Follows the best replica.
    FollowReplica,
    /// Excludes the replica that is followed for a while.
    Exclude,
    /// Stops following.
    Detach,
    /// Forgets the failed probes.
    ResetProbes,
}

/// What the duty that reads the store follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// The replica of another instance, served at this address.
    Copy(SocketAddr),
    /// Nothing.
    Nothing,
}

/// A command to the duty that reads the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    Probe,
    Follow(Source),
}

/// The replicas that the other instances serve.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replicas {
    /// Whether the list of instances has arrived.
    pub(crate) listed: bool,
    /// Those of this domain's instances that follow the store, sorted by rank.
    pub(crate) near: Vec<SocketAddr>,
    /// Those of this domain's instances that rank before this one, sorted by rank. If no
    /// instance follows the store, they should follow it before this one does.
    pub(crate) preceding: Vec<SocketAddr>,
    /// Those of instances in other domains that follow the store, the nearest first. The
    /// configured addresses are included until the instances are listed and a summary is valid.
    pub(crate) far: Vec<SocketAddr>,
    /// Since when other instances have reported a change that is not known here, if they do.
    pub(crate) lagging_since: Option<Time>,
    /// Since when the contents are up to date with no source, if they are.
    pub(crate) unreached_since: Option<Time>,
}

/// The choice of the source that this instance follows.
///
/// Its input is the time, the results of probes, the state of the source, and the
/// replicas of other instances; its output is commands to the duty that reads the store.
#[derive(Debug)]
pub(crate) struct SourceSelector {
    chart: SourceChart,
    pub(crate) state: State,
    // The replica that is followed, and whether it is of this domain.
    replica: Option<(SocketAddr, bool)>,
    // When the source was chosen, or a part of its contents was last read.
    progressed: Time,
    // Replicas that failed or lagged, with the time of that.
    excluded: Vec<(SocketAddr, Time)>,
    // Since when nothing is followed.
    detached: Time,
    // The latest probe of the store, and the number of probes since the last reset.
    last_probe: Option<Time>,
    probes: u32,
}

impl SourceSelector {
    pub(crate) fn new(chart: SourceChart) -> Self {
        Self {
            chart,
            state: State::Detached,
            replica: None,
            progressed: Time::ZERO,
            excluded: Vec::new(),
            detached: Time::ZERO,
            last_probe: None,
            probes: 0,
        }
    }

    /// Applies an event to the chart and returns the commands that follow.
    pub(crate) fn advance(
        &mut self,
        now: Time,
        signal: Signal,
        replicas: &Replicas,
    ) -> Vec<Command> {
        self.excluded.retain(|row| now.since(row.1) < EXCLUSION_TTL);
        let from = self.state;
        let chart = self.chart.clone();
        let step = chart.step(from, signal, |guard| self.holds(now, guard, replicas));
        self.state = step.to;
        let was_following = matches!(from, State::FollowingReplica | State::FollowingStore);
        if was_following && step.to == State::Detached {
            (self.detached, self.last_probe, self.probes) = (now, None, 0);
        }
        let mut commands = Vec::new();
        for effect in step.actions {
            match effect {
                Effect::Probe => {
                    self.last_probe = Some(now);
                    self.probes += 1;
                    commands.push(Command::Probe);
                }
                Effect::FollowStore => {
                    self.replica = None;
                    self.progressed = now;
                    commands.push(Command::Follow(Source::Store));
                }
                Effect::FollowReplica => {
                    self.replica = self.best_replica(now, replicas);
                    self.progressed = now;
                    let replica = self.replica.map_or(Source::Nothing, |c| Source::Copy(c.0));
                    commands.push(Command::Follow(replica));
                }
                Effect::Exclude => {
                    let replica = self.replica.map(|c| (c.0, now));
                    self.excluded.extend(replica);
                }
                Effect::Detach => {
                    self.replica = None;
                    commands.push(Command::Follow(Source::Nothing));
                }
                Effect::ResetProbes => (self.last_probe, self.probes) = (None, 0),
            }
        }
        commands
    }

    /// Records that a part of the source's contents was read.
    pub(crate) fn record_progress(&mut self, now: Time) {
        self.progressed = now;
    }

    fn holds(&self, now: Time, guard: Guard, replicas: &Replicas) -> bool {
        let is_far = self.replica.is_some_and(|replica| !replica.1);
        let has_near = replicas.near.iter().any(|addr| self.is_usable(addr));
        match guard {
            Guard::NearReplica => has_near,
            Guard::PrecedingReplica => self.usable_preceding(replicas) > 0,
            Guard::FarReplica => self.best_replica(now, replicas).is_some(),
            Guard::Far => is_far,
            Guard::NearerReplica => {
                let current = self.replica.map(|replica| replica.0);
                let is_current = current.is_some_and(|at| replicas.near.contains(&at));
                !is_current && has_near
            }
            Guard::Lagging => {
                let timeout = LAG_TIMEOUT + stagger(MAX_LAG_DELAY, replicas.preceding.len() as u32);
                let since = replicas.lagging_since.map(|at| at.max(self.progressed));
                since.is_some_and(|at| now.since(at) >= timeout)
            }
            Guard::Overdue => {
                let since = replicas.unreached_since.map(|at| at.max(self.progressed));
                since.is_some_and(|at| now.since(at) >= REACH_TIMEOUT)
            }
            Guard::ProbeDue => self.is_probe_due(now, replicas),
            Guard::FarProbeDue => is_far && self.is_probe_due(now, replicas),
            Guard::First => replicas.listed && self.usable_preceding(replicas) == 0,
            Guard::Outranked => {
                let first = replicas.near.first();
                first.is_some_and(|addr| self.is_usable(addr) && replicas.preceding.contains(addr))
            }
        }
    }

    // Returns whether the next probe of the store is due.
    fn is_probe_due(&self, now: Time, replicas: &Replicas) -> bool {
        let rank = if replicas.listed {
            self.usable_preceding(replicas)
        } else {
            DEFAULT_RANK
        };
        let delay = (RETRY_DELAY * 2_u32.pow(self.probes.min(8))).min(MAX_RETRY_DELAY);
        match self.last_probe {
            Some(at) => now.since(at) >= delay * (rank.min(MAX_RETRY_RANK) + 1),
            None => now.since(self.detached) >= stagger(MAX_PROBE_DELAY, rank),
        }
    }

    // Returns the number of usable instances of this domain that rank before this one.
    fn usable_preceding(&self, replicas: &Replicas) -> u32 {
        let usable = replicas
            .preceding
            .iter()
            .filter(|addr| self.is_usable(addr));
        usable.count() as u32
    }

    // Returns the best replica to follow, and whether it is of this domain.
    fn best_replica(&self, now: Time, replicas: &Replicas) -> Option<(SocketAddr, bool)> {
        let first = |addrs: &[SocketAddr]| addrs.iter().copied().find(|addr| self.is_usable(addr));
        let near = first(&replicas.near).or_else(|| first(&replicas.preceding));
        if let Some(near) = near {
            return Some((near, true));
        }
        let is_due = now.since(self.detached) >= FAR_REPLICA_DELAY;
        let far = first(&replicas.far).filter(|_| is_due);
        far.map(|addr| (addr, false))
    }

    fn is_usable(&self, addr: &SocketAddr) -> bool {
        !self.excluded.iter().any(|row| row.0 == *addr)
    }
}

// Returns the fraction of a delay that applies to a rank: it increases with the rank and
// never reaches the whole.
fn stagger(span: Duration, rank: u32) -> Duration {
    span * rank / (rank + HALF_DELAY_RANK)
}
