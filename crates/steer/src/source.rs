//! What an instance follows to know what the store holds.
//!
//! One instance of a failure domain follows the store; the others follow its
//! copy, since each call to the store is paid for and the way inside a failure
//! domain is not.

use std::net::SocketAddr;
use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::Time;
use serde::Deserialize;

/// The chart file of the source.
pub const SOURCE_CHART: &str = include_str!("../charts/edge-source.yaml");

/// The checked chart of the source.
pub(crate) type SourceChart = Chart<State, Signal, Guard, Effect>;

/// What the instance that ranks last waits for those before it, before it tries
/// the store: a change is in force within 2.5 s, and following takes 0.5 s.
const RANK_SPAN: Duration = Duration::from_millis(1_250);

/// The rank that waits half of the span, so that the first few, which mostly
/// do, come well after one another.
const RANK_HALF: u32 = 4;

/// The most ranks that lengthen the pause between two tries.
const RANK_TRIES: u32 = 3;

/// The rank of an instance that does not know the others yet.
const RANK_UNKNOWN: u32 = 4;

/// The first pause after a try of the store that failed; doubles with each next one.
const PAUSE: Duration = Duration::from_millis(100);

/// The longest such pause.
const PAUSE_MOST: Duration = Duration::from_millis(800);

/// How long nothing is followed before a copy of another domain is: an
/// instance of this domain takes over sooner, and the way to it is free.
const FAR_PAUSE: Duration = Duration::from_millis(900);

/// How long a copy that failed, or that is behind, is not followed again.
const DISTRUST: Duration = Duration::from_secs(3);

/// How long others have seen a later change before a copy counts as behind: a
/// source whose watch is deaf reads the store anew before that.
const BEHIND: Duration = Duration::from_secs(1);

/// What is added for the instance that ranks last, so that not all of them go
/// to the store at once.
const BEHIND_SPAN: Duration = Duration::from_millis(750);

/// What is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum State {
    Seeking,
    Trying,
    Copying,
    Following,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    /// Time passed.
    Tick,
    /// The store answers.
    Probed,
    /// What is followed is known as it is now.
    Reached,
    /// What is followed failed.
    Failed,
}

/// What decides between two branches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// An instance of this domain has a copy that follows the store.
    NearCopy,
    /// One of this domain is to follow the store before this one.
    CopyAhead,
    /// An instance of another domain has a copy, and none of this one has had
    /// one for a while.
    FarCopy,
    /// The copy at hand is of another domain.
    Far,
    /// An instance of this domain has a copy, and the one at hand is of another
    /// domain or no longer follows the store.
    NearerCopy,
    /// Others have seen a later change for too long.
    Behind,
    /// It is time to try the store.
    Turn,
    /// The same, where the copy at hand is of another domain.
    FarTurn,
    /// No instance of this domain is to follow the store before this one.
    First,
    /// An instance of this domain that ranks first follows the store as well.
    Relieved,
}

/// What is done on the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    /// Try whether the store answers.
    Probe,
    /// Follow the store.
    Follow,
    /// Follow another instance's copy.
    Copy,
    /// Don't follow this copy for a while.
    Distrust,
    /// Follow nothing.
    Release,
    /// Forget the tries that failed.
    Rest,
}

/// What the duty that reads the store is to follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// The copy of another instance, served at this address.
    Copy(SocketAddr),
    /// Nothing.
    Nothing,
}

/// A step of the source, for the duty that reads the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    Probe,
    Follow(Source),
}

/// How the other instances look, as far as their copies go.
#[derive(Clone, Debug, Default)]
pub(crate) struct Copies {
    /// Whether the other instances are known.
    pub(crate) known: bool,
    /// Those of this domain that follow the store, the first by rank in front.
    pub(crate) near: Vec<SocketAddr>,
    /// Those of this domain that rank before this instance, and so are the
    /// first to follow the store when none does.
    pub(crate) ahead: Vec<SocketAddr>,
    /// Those of other domains, the nearest in front; also any that are listed
    /// while nothing is known of them.
    pub(crate) far: Vec<SocketAddr>,
    /// Since when others have seen a later change.
    pub(crate) behind: Option<Time>,
}

/// What this instance follows.
#[derive(Debug)]
pub(crate) struct Sources {
    chart: SourceChart,
    pub(crate) state: State,
    // The copy that is followed, and whether it is of this domain.
    copy: Option<(SocketAddr, bool)>,
    // Since when it is followed.
    copied: Time,
    distrusted: Vec<(SocketAddr, Time)>,
    // When nothing began to be followed.
    since: Time,
    tried: Option<Time>,
    tries: u32,
}

impl Sources {
    pub(crate) fn new(chart: SourceChart) -> Self {
        Self {
            chart,
            state: State::Seeking,
            copy: None,
            copied: Time::ZERO,
            distrusted: Vec::new(),
            since: Time::ZERO,
            tried: None,
            tries: 0,
        }
    }

    /// Takes what happened; gives back what to do.
    pub(crate) fn advance(&mut self, now: Time, signal: Signal, copies: &Copies) -> Vec<Order> {
        self.distrusted.retain(|row| now.since(row.1) < DISTRUST);
        let from = self.state;
        let chart = self.chart.clone();
        let step = chart.step(from, signal, |guard| self.holds(now, guard, copies));
        self.state = step.to;
        let followed = matches!(from, State::Copying | State::Following);
        if followed && step.to == State::Seeking {
            (self.since, self.tried, self.tries) = (now, None, 0);
        }
        let mut orders = Vec::new();
        for effect in step.actions {
            match effect {
                Effect::Probe => {
                    self.tried = Some(now);
                    self.tries += 1;
                    orders.push(Order::Probe);
                }
                Effect::Follow => {
                    self.copy = None;
                    orders.push(Order::Follow(Source::Store));
                }
                Effect::Copy => {
                    self.copy = self.best(now, copies);
                    self.copied = now;
                    let copy = self.copy.map_or(Source::Nothing, |c| Source::Copy(c.0));
                    orders.push(Order::Follow(copy));
                }
                Effect::Distrust => {
                    let copy = self.copy.map(|c| (c.0, now));
                    self.distrusted.extend(copy);
                }
                Effect::Release => {
                    self.copy = None;
                    orders.push(Order::Follow(Source::Nothing));
                }
                Effect::Rest => (self.tried, self.tries) = (None, 0),
            }
        }
        orders
    }

    fn holds(&self, now: Time, guard: Guard, copies: &Copies) -> bool {
        let is_far = self.copy.is_some_and(|copy| !copy.1);
        let has_near = copies.near.iter().any(|addr| self.trusts(addr));
        match guard {
            Guard::NearCopy => has_near,
            Guard::CopyAhead => self.ahead(copies) > 0,
            Guard::FarCopy => self.best(now, copies).is_some(),
            Guard::Far => is_far,
            Guard::NearerCopy => {
                let at_hand = self.copy.map(|copy| copy.0);
                let kept = at_hand.is_some_and(|at| copies.near.contains(&at));
                !kept && has_near
            }
            Guard::Behind => {
                let patience = BEHIND + stagger(BEHIND_SPAN, copies.ahead.len() as u32);
                let since = copies.behind.map(|at| at.max(self.copied));
                since.is_some_and(|at| now.since(at) >= patience)
            }
            Guard::Turn => self.has_turn(now, copies),
            Guard::FarTurn => is_far && self.has_turn(now, copies),
            Guard::First => copies.known && self.ahead(copies) == 0,
            Guard::Relieved => {
                let first = copies.near.first();
                first.is_some_and(|addr| self.trusts(addr) && copies.ahead.contains(addr))
            }
        }
    }

    // Whether it is time to try the store.
    fn has_turn(&self, now: Time, copies: &Copies) -> bool {
        let rank = if copies.known {
            self.ahead(copies)
        } else {
            RANK_UNKNOWN
        };
        let pause = (PAUSE * 2_u32.pow(self.tries.min(8))).min(PAUSE_MOST);
        match self.tried {
            Some(at) => now.since(at) >= pause * (rank.min(RANK_TRIES) + 1),
            None => now.since(self.since) >= stagger(RANK_SPAN, rank),
        }
    }

    // How many instances of this domain are to follow the store before this one.
    fn ahead(&self, copies: &Copies) -> u32 {
        let trusted = copies.ahead.iter().filter(|addr| self.trusts(addr));
        trusted.count() as u32
    }

    // The copy to follow, and whether it is of this domain.
    fn best(&self, now: Time, copies: &Copies) -> Option<(SocketAddr, bool)> {
        let first = |addrs: &[SocketAddr]| addrs.iter().copied().find(|addr| self.trusts(addr));
        let near = first(&copies.near).or_else(|| first(&copies.ahead));
        if let Some(near) = near {
            return Some((near, true));
        }
        let patient = now.since(self.since) >= FAR_PAUSE;
        let far = first(&copies.far).filter(|_| patient);
        far.map(|addr| (addr, false))
    }

    fn trusts(&self, addr: &SocketAddr) -> bool {
        !self.distrusted.iter().any(|row| row.0 == *addr)
    }
}

// The part of a span that an instance of this rank waits: more for each rank,
// and never all of it, however many there are.
fn stagger(span: Duration, rank: u32) -> Duration {
    span * rank / (rank + RANK_HALF)
}
