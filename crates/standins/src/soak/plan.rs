//! Generates the faults of a run from its seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::estate::Mode;
use crate::harness::Flow;
use crate::harness::Link;

/// The mean time between two faults, in milliseconds.
const MEAN_GAP_MS: u64 = 450;

/// The range of a fault's duration, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..5_000;

/// The number of endpoints.
pub(super) const ENDPOINT_COUNT: usize = 8;

/// The failure domains, each with its region.
pub(super) const DOMAINS: [(&str, &str); 3] = [("a", "north"), ("b", "north"), ("c", "south")];

/// The delay of a slow link or endpoint.
const SLOW_DELAY: Duration = Duration::from_millis(300);

/// How long an endpoint that turns requests away wants none.
const PAUSE: Duration = Duration::from_secs(1);

/// The number of bytes after which a truncating link closes a response.
const TRUNCATE_BYTES: u64 = 20;

/// The faults to choose from for a link.
const LINK_FAULTS: [LinkFault; 7] = [
    LinkFault::Blocked,
    LinkFault::ForwardBlocked,
    LinkFault::BackwardBlocked,
    LinkFault::Severed,
    LinkFault::Slow,
    LinkFault::ResponseLost,
    LinkFault::ResponseTruncated,
];

/// The faulty modes to choose from for an endpoint.
const FAULTY_MODES: [Mode; 4] = [
    Mode::Slow(SLOW_DELAY),
    Mode::Failing,
    Mode::Full,
    Mode::Unanswered,
];

/// What an endpoint may do that misleads a caller about whether a request has run.
const MISLEADING_MODES: [Mode; 8] = [
    Mode::Status(503),
    Mode::Status(429),
    Mode::Status(408),
    Mode::Early(200),
    Mode::Early(503),
    Mode::Repeating,
    Mode::Repeating,
    Mode::Queued,
];

/// The mean time between two endpoints that mislead, in milliseconds.
const MISLEADING_GAP_MS: u64 = 700;

/// The mean time between two pauses of an instance, and the range of their durations, in
/// milliseconds. A busy machine delays a process as long.
const PAUSE_GAP_MS: u64 = 300;
const PAUSE_DURATION_MS: std::ops::Range<u64> = 20..250;

/// The probability that the store comes back from an older copy in a run, and the range of the
/// copy's age, in milliseconds.
const RESTORED_CHANCE: f64 = 0.25;
const COPY_AGE_MS: std::ops::Range<u64> = 200..5_000;

/// The mean time between two faults by foreign programs, in milliseconds.
const FOREIGN_GAP_MS: u64 = 1_500;

/// The probability that many processes are lost at once in a run, and the range of the time
/// for which they are, in milliseconds. It is longer than any pause that an endpoint asked for.
const LOSS_CHANCE: f64 = 0.5;
const LOSS_DURATION_MS: std::ops::Range<u64> = 1_100..4_000;

/// The maximum number of losses in a run; they may overlap.
const MAX_LOSSES: usize = 3;

/// What the names of another writer's entries hold.
pub(super) const ODD_PARTS: [&str; 6] = ["&", "+", "#", "%zz", "%26", " "];

/// The number of slots that endpoints state, one a run; requests wait when there are few.
const SLOTS: [u32; 3] = [2, 4, 8];

/// A fault or an operator's action; each number is the index of an instance, an
/// endpoint or a failure domain, and each duration is how long the fault lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A fault of an instance's process.
    Process(usize, ProcessFault, Duration),
    /// A fault of the link between an instance and the store.
    StoreLink(usize, LinkFault, Duration),
    /// No instance can reach the store.
    StoreDown(Duration),
    /// No instance can reach the store, which then comes back from a copy of the first
    /// duration before the fault.
    StoreRestored(Duration, Duration),
    /// The store drops its watch history.
    Compact,
    /// A fault of the link to an endpoint.
    EndpointLink(usize, LinkFault, Duration),
    /// An endpoint is in a faulty mode.
    Endpoint(usize, Mode, Duration),
    /// The endpoint says in its answers that it leaves; then another one takes over its
    /// address.
    Resign(usize, Duration),
    /// The endpoint is draining, then ready again.
    Drain(usize, Duration),
    /// The endpoint is removed and another one takes over its address.
    ReuseAddress(usize),
    /// The callers' connections to the instance are closed.
    ResetCallers(usize),
    /// A route moves to the other service.
    MoveRoute,
    /// A key is withdrawn and a new one granted.
    RotateKey,
    /// A failure domain is evacuated, so it gets no requests.
    Evacuate(usize, Duration),
    /// Entries of another writer fill a page of each list, under names that hold one of
    /// [`ODD_PARTS`].
    ForeignEntries(usize, Duration),
    /// Another writer overwrites the entry of an endpoint, which then writes it again.
    Overwrite(usize, Duration),
    /// Many processes are lost at the same moment, and start again at another one.
    Loss(Lost, Duration),
}

/// The processes that are lost at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// All instances.
    Instances,
    /// All endpoints.
    Endpoints,
    /// All instances and all endpoints.
    All,
}

/// A fault of an instance's process, or its planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFault {
    /// It is killed and later restarted.
    Kill,
    /// It is stopped as planned and later restarted.
    Stop,
    /// It is suspended.
    Suspend,
    /// It is suspended for as short a time as scheduling may take.
    Pause,
}

/// A fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing passes either way; connections stay open.
    Blocked,
    /// Nothing passes towards the target.
    ForwardBlocked,
    /// Nothing passes towards the callers.
    BackwardBlocked,
    /// Connections are closed, and new ones too.
    Severed,
    /// Bytes are delayed in both directions.
    Slow,
    /// Requests arrive, but the connection closes before any byte of the response.
    ResponseLost,
    /// The connection closes within the response.
    ResponseTruncated,
}

/// A fault and the time at which it is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// The time since the start of the run.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Generates the faults of a run; they may overlap.
pub(super) fn generate(seed: u64, span: Duration, instances: usize) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at = Duration::from_secs(2);
    let mut steps = Vec::new();
    while at < span {
        let fault = fault(&mut rng, instances);
        // Sometimes the same fault hits several targets at once.
        let series = if rng.random_bool(0.2) { 3 } else { 1 };
        for offset in 0..series {
            let fault = if offset == 0 {
                fault
            } else {
                shift_target(fault, offset, instances)
            };
            steps.push(Step { at, fault });
        }
        at += Duration::from_millis(rng.random_range(0..2 * MEAN_GAP_MS));
    }
    steps.extend(notices(seed, span));
    steps.extend(misleading(seed, span));
    steps.extend(pauses(seed, span, instances));
    steps.extend(restored(seed, span));
    steps.extend(foreign(seed, span));
    steps.extend(losses(seed, span));
    steps.sort_by_key(|step| step.at);
    steps
}

// Generates what endpoints say of themselves. It has random numbers of its own, so that the
// other faults of a seed stay the same.
fn notices(seed: u64, span: Duration) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let mut at = Duration::from_secs(2);
    let mut steps = Vec::new();
    while at < span {
        let endpoint = rng.random_range(0..ENDPOINT_COUNT);
        let lasts = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let fault = if rng.random_bool(0.5) {
            Fault::Resign(endpoint, lasts)
        } else {
            Fault::Endpoint(endpoint, Mode::Pausing(PAUSE), lasts)
        };
        steps.push(Step { at, fault });
        at += Duration::from_millis(rng.random_range(0..4 * MEAN_GAP_MS));
    }
    steps
}

// Generates the endpoints that mislead, with random numbers of their own.
fn misleading(seed: u64, span: Duration) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(16));
    let mut at = Duration::from_secs(2);
    let mut steps = Vec::new();
    while at < span {
        let endpoint = rng.random_range(0..ENDPOINT_COUNT);
        let lasts = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let fault = Fault::Endpoint(endpoint, choose(&mut rng, &MISLEADING_MODES), lasts);
        steps.push(Step { at, fault });
        at += Duration::from_millis(rng.random_range(0..2 * MISLEADING_GAP_MS));
    }
    steps
}

// Generates short pauses of instances, with random numbers of their own.
fn pauses(seed: u64, span: Duration, instances: usize) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(32));
    let mut at = Duration::from_secs(2);
    let mut steps = Vec::new();
    while at < span {
        let node = rng.random_range(0..instances);
        let lasts = Duration::from_millis(rng.random_range(PAUSE_DURATION_MS));
        let fault = Fault::Process(node, ProcessFault::Pause, lasts);
        steps.push(Step { at, fault });
        at += Duration::from_millis(rng.random_range(0..2 * PAUSE_GAP_MS));
    }
    steps
}

// Generates the return of the store from an older copy in some runs, with random numbers of its
// own.
fn restored(seed: u64, span: Duration) -> Option<Step> {
    let mut rng = SmallRng::seed_from_u64(!seed.rotate_left(16));
    let is_drawn = rng.random_bool(RESTORED_CHANCE);
    let at = rng.random_range(2_000..(span.as_millis() as u64).max(2_001));
    let age = Duration::from_millis(rng.random_range(COPY_AGE_MS));
    let lasts = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    is_drawn.then_some(Step {
        at: Duration::from_millis(at),
        fault: Fault::StoreRestored(age, lasts),
    })
}

// Generates the faults by foreign programs, with random numbers of their own.
fn foreign(seed: u64, span: Duration) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(!seed.rotate_left(32));
    let mut at = Duration::from_secs(2);
    let mut steps = Vec::new();
    while at < span {
        let endpoint = rng.random_range(0..ENDPOINT_COUNT);
        let odd = rng.random_range(0..ODD_PARTS.len());
        let lasts = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let fault = match rng.random_range(0..3) {
            0 => Fault::ForeignEntries(odd, lasts),
            1 => Fault::Overwrite(endpoint, lasts),
            _ => Fault::Endpoint(endpoint, Mode::Stranger, lasts),
        };
        steps.push(Step { at, fault });
        at += Duration::from_millis(rng.random_range(0..2 * FOREIGN_GAP_MS));
    }
    steps
}

// Generates the losses of many processes at once, with random numbers of their own.
fn losses(seed: u64, span: Duration) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(!seed.rotate_left(48));
    if !rng.random_bool(LOSS_CHANCE) {
        return Vec::new();
    }
    let count = rng.random_range(1..=MAX_LOSSES);
    let step = |_| Step {
        at: Duration::from_millis(rng.random_range(2_000..(span.as_millis() as u64).max(2_001))),
        fault: Fault::Loss(
            choose(&mut rng, &[Lost::Instances, Lost::Endpoints, Lost::All]),
            Duration::from_millis(rng.random_range(LOSS_DURATION_MS)),
        ),
    };
    (0..count).map(step).collect()
}

/// Returns the number of slots that the endpoints of a run state.
pub(super) fn slots(seed: u64) -> u32 {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(48));
    choose(&mut rng, &SLOTS)
}

fn fault(rng: &mut SmallRng, instances: usize) -> Fault {
    let node = rng.random_range(0..instances);
    let endpoint = rng.random_range(0..ENDPOINT_COUNT);
    let span = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    match rng.random_range(0..24) {
        0..6 => Fault::Process(
            node,
            choose(
                rng,
                &[
                    ProcessFault::Kill,
                    ProcessFault::Stop,
                    ProcessFault::Suspend,
                ],
            ),
            span,
        ),
        6..10 => Fault::StoreLink(node, choose(rng, &LINK_FAULTS), span),
        10 => Fault::StoreDown(span),
        11 => Fault::Compact,
        12..14 => Fault::EndpointLink(endpoint, choose(rng, &LINK_FAULTS), span),
        14..17 => Fault::Endpoint(endpoint, choose(rng, &FAULTY_MODES), span),
        17 => Fault::Drain(endpoint, span),
        18 => Fault::ReuseAddress(endpoint),
        19 => Fault::ResetCallers(node),
        20 | 21 => Fault::MoveRoute,
        22 => Fault::RotateKey,
        _ => Fault::Evacuate(node % DOMAINS.len(), span),
    }
}

fn choose<T: Copy>(rng: &mut SmallRng, from: &[T]) -> T {
    from[rng.random_range(0..from.len())]
}

// Returns the same fault for another instance or endpoint.
fn shift_target(fault: Fault, offset: usize, instances: usize) -> Fault {
    let node = |at: usize| (at + offset) % instances;
    let endpoint = |at: usize| (at + offset) % ENDPOINT_COUNT;
    match fault {
        Fault::Process(at, act, span) => Fault::Process(node(at), act, span),
        Fault::StoreLink(at, kind, span) => Fault::StoreLink(node(at), kind, span),
        Fault::EndpointLink(at, kind, span) => Fault::EndpointLink(endpoint(at), kind, span),
        Fault::Endpoint(at, mode, span) => Fault::Endpoint(endpoint(at), mode, span),
        Fault::Drain(at, span) => Fault::Drain(endpoint(at), span),
        Fault::Overwrite(at, span) => Fault::Overwrite(endpoint(at), span),
        Fault::Resign(at, span) => Fault::Resign(endpoint(at), span),
        Fault::ReuseAddress(at) => Fault::ReuseAddress(endpoint(at)),
        Fault::ResetCallers(at) => Fault::ResetCallers(node(at)),
        same @ (Fault::StoreDown(_)
        | Fault::StoreRestored(..)
        | Fault::Compact
        | Fault::MoveRoute
        | Fault::RotateKey
        | Fault::Evacuate(..)
        | Fault::ForeignEntries(..)
        | Fault::Loss(..)) => same,
    }
}

impl LinkFault {
    /// Reports whether answers that are sent meanwhile are lost, or held back until its end.
    pub(super) fn holds_answers(self) -> bool {
        match self {
            Self::Blocked
            | Self::BackwardBlocked
            | Self::Severed
            | Self::ResponseLost
            | Self::ResponseTruncated => true,
            Self::ForwardBlocked | Self::Slow => false,
        }
    }

    /// Returns the state of a link with this fault.
    pub(super) fn link(self) -> Link {
        let healthy = Link::default();
        match self {
            Self::Blocked => Link::blocked(),
            Self::ForwardBlocked => Link {
                forward: Flow::Blocked,
                ..healthy
            },
            Self::BackwardBlocked => Link {
                backward: Flow::Blocked,
                ..healthy
            },
            Self::Severed => Link {
                severed: true,
                ..healthy
            },
            Self::Slow => Link::slow(SLOW_DELAY),
            Self::ResponseLost => Link {
                backward: Flow::CloseAfter(0),
                ..healthy
            },
            Self::ResponseTruncated => Link {
                backward: Flow::CloseAfter(TRUNCATE_BYTES),
                ..healthy
            },
        }
    }
}
