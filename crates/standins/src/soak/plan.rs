//! The faults of a run, drawn from its seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::estate::Mode;
use crate::harness::Flow;
use crate::harness::Link;

/// The mean time between two faults.
const GAP_MS: u64 = 450;

/// How long a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 300..5_000;

/// The endpoints that faults choose from.
pub(super) const ENDPOINTS: usize = 8;

/// The failure domains and their regions.
pub(super) const DOMAINS: [(&str, &str); 3] = [("a", "north"), ("b", "north"), ("c", "south")];

/// How much slower a slow way or endpoint is.
const SLOW: Duration = Duration::from_millis(300);

/// The first bytes of an answer that a breaking way lets through.
const BROKEN_AFTER: u64 = 20;

/// What may be wrong with a way.
const TROUBLES: [Trouble; 7] = [
    Trouble::Cut,
    Trouble::Deaf,
    Trouble::Mute,
    Trouble::Severed,
    Trouble::Slow,
    Trouble::Forgetful,
    Trouble::Breaks,
];

/// How an endpoint may behave badly.
const MODES: [Mode; 4] = [
    Mode::Slow(SLOW),
    Mode::Failing,
    Mode::Full,
    Mode::Unanswered,
];

/// Something that goes wrong, or that an operator does; numbers are those of
/// an instance, an endpoint or a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Something is done to the process of an instance.
    Node(usize, Act, Duration),
    /// Something is wrong between an instance and the store.
    Store(usize, Trouble, Duration),
    /// No instance reaches the store.
    StoreDown(Duration),
    /// The store forgets its history.
    Compact,
    /// Something is wrong on the way to an endpoint.
    Way(usize, Trouble, Duration),
    /// Something is wrong with an endpoint.
    Endpoint(usize, Mode, Duration),
    /// The endpoint drains, and comes back after a while.
    Drain(usize, Duration),
    /// The endpoint is gone and another one has its address.
    Reuse(usize),
    /// Callers' connections to the instance break.
    ResetCallers(usize),
    /// A route moves to the other service.
    MoveRoute,
    /// A key is withdrawn and another one granted.
    TurnKey,
    /// A failure domain is to get nothing for a while.
    Evacuate(usize, Duration),
}

/// What is done to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// It is killed, and started again after a while.
    Kill,
    /// A planned stop; it is started again after a while.
    Stop,
    /// It stands still.
    Freeze,
}

/// What is wrong with a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing passes either way; connections stay open.
    Cut,
    /// Nothing passes towards the target.
    Deaf,
    /// What is answered does not arrive.
    Mute,
    /// Connections break, and no new ones are made.
    Severed,
    /// Everything takes longer.
    Slow,
    /// What is asked is done, and its answer lost with the connection.
    Forgetful,
    /// Answers break off.
    Breaks,
}

/// A fault and when it strikes, counted from the beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When.
    pub at: Duration,
    /// What.
    pub fault: Fault,
}

/// Draws the faults of a run; they come in series and overlap.
pub(super) fn draw(seed: u64, span: Duration, instances: usize) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at = Duration::from_secs(2);
    let mut steps = Vec::new();
    while at < span {
        let fault = fault(&mut rng, instances);
        // Now and then the same thing happens to several in a row.
        let series = if rng.random_bool(0.2) { 3 } else { 1 };
        for turn in 0..series {
            let fault = if turn == 0 {
                fault
            } else {
                again(fault, turn, instances)
            };
            steps.push(Step { at, fault });
        }
        at += Duration::from_millis(rng.random_range(0..2 * GAP_MS));
    }
    steps
}

fn fault(rng: &mut SmallRng, instances: usize) -> Fault {
    let node = rng.random_range(0..instances);
    let endpoint = rng.random_range(0..ENDPOINTS);
    let span = Duration::from_millis(rng.random_range(LASTS_MS));
    match rng.random_range(0..24) {
        0..6 => Fault::Node(node, pick(rng, &[Act::Kill, Act::Stop, Act::Freeze]), span),
        6..10 => Fault::Store(node, pick(rng, &TROUBLES), span),
        10 => Fault::StoreDown(span),
        11 => Fault::Compact,
        12..14 => Fault::Way(endpoint, pick(rng, &TROUBLES), span),
        14..17 => Fault::Endpoint(endpoint, pick(rng, &MODES), span),
        17 => Fault::Drain(endpoint, span),
        18 => Fault::Reuse(endpoint),
        19 => Fault::ResetCallers(node),
        20 | 21 => Fault::MoveRoute,
        22 => Fault::TurnKey,
        _ => Fault::Evacuate(node % DOMAINS.len(), span),
    }
}

fn pick<T: Copy>(rng: &mut SmallRng, from: &[T]) -> T {
    from[rng.random_range(0..from.len())]
}

// The same fault for another instance or endpoint.
fn again(fault: Fault, turn: usize, instances: usize) -> Fault {
    let node = |at: usize| (at + turn) % instances;
    let endpoint = |at: usize| (at + turn) % ENDPOINTS;
    match fault {
        Fault::Node(at, act, span) => Fault::Node(node(at), act, span),
        Fault::Store(at, trouble, span) => Fault::Store(node(at), trouble, span),
        Fault::Way(at, trouble, span) => Fault::Way(endpoint(at), trouble, span),
        Fault::Endpoint(at, mode, span) => Fault::Endpoint(endpoint(at), mode, span),
        Fault::Drain(at, span) => Fault::Drain(endpoint(at), span),
        Fault::Reuse(at) => Fault::Reuse(endpoint(at)),
        Fault::ResetCallers(at) => Fault::ResetCallers(node(at)),
        same @ (Fault::StoreDown(_)
        | Fault::Compact
        | Fault::MoveRoute
        | Fault::TurnKey
        | Fault::Evacuate(..)) => same,
    }
}

impl Trouble {
    /// The link that has it.
    pub(super) fn link(self) -> Link {
        let well = Link::default();
        match self {
            Self::Cut => Link::cut(),
            Self::Deaf => Link {
                forward: Flow::Cut,
                ..well
            },
            Self::Mute => Link {
                backward: Flow::Cut,
                ..well
            },
            Self::Severed => Link {
                severed: true,
                ..well
            },
            Self::Slow => Link::slow(SLOW),
            Self::Forgetful => Link {
                backward: Flow::CloseAfter(0),
                ..well
            },
            Self::Breaks => Link {
                backward: Flow::CloseAfter(BROKEN_AFTER),
                ..well
            },
        }
    }
}
