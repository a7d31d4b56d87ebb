//! Refusals: why a request got no answer from a backend server.

use std::time::Duration;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// No contract names the host.
    UnknownHost,
    /// The contract has no such route.
    UnknownRoute,
    /// The route needs a key and none came.
    KeyMissing,
    /// The key is unknown, withdrawn or of another client account.
    KeyRefused,
    /// The key can't be checked for want of fresh configuration.
    KeyUnchecked,
    /// The client account is above its rate and burst.
    RateExceeded,
    /// The rate can't be checked for want of word from the other instances.
    RateUnchecked,
    /// No backend server may take the request.
    NoServer,
    /// The service is overloaded.
    Overloaded,
    /// The region takes no more of the client account's requests for now.
    RegionFull,
    /// The traffic shift that the request needs is above its cap.
    ShiftCapped,
    /// The request has crashed backend servers before.
    Quarantined,
    /// A non-idempotent route needs an idempotency key.
    TokenMissing,
    /// The idempotency key is malformed, too old or made in the future.
    TokenUnusable,
    /// The idempotency key belongs to another request.
    TokenReused,
    /// The same request is already running or may have run.
    Repeated,
    /// The claim could not be made, since the platform is out.
    ClaimUnavailable,
    /// The deadline passed.
    DeadlinePassed,
    /// The connection to the backend server broke.
    ServerBroke,
    /// The instance is about to stop.
    Stopping,
    /// The instance has not yet heard its configuration.
    NotReady,
}

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ran {
    /// No backend server accepted any byte of it.
    NotRun,
    /// This sending was not run; an earlier one under the same idempotency key
    /// may have been.
    NotStarted,
    /// A backend server may have run it.
    MayHaveRun,
}

/// A refusal as it is told to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request ran.
    pub ran: Ran,
    /// The time after which another try makes sense.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that was not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::NotRun,
            retry: None,
        }
    }

    /// A refusal of a request that may have run.
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::MayHaveRun,
            retry: None,
        }
    }

    /// Adds the time after which another try makes sense.
    #[must_use]
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry = Some(span);
        self
    }
}

impl Ran {
    /// The word that callers see.
    pub const fn code(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::NotStarted => "not-started",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl Reason {
    /// Every reason.
    pub const ALL: [Self; 21] = [
        Self::UnknownHost,
        Self::UnknownRoute,
        Self::KeyMissing,
        Self::KeyRefused,
        Self::KeyUnchecked,
        Self::RateExceeded,
        Self::RateUnchecked,
        Self::NoServer,
        Self::Overloaded,
        Self::RegionFull,
        Self::ShiftCapped,
        Self::Quarantined,
        Self::TokenMissing,
        Self::TokenUnusable,
        Self::TokenReused,
        Self::Repeated,
        Self::ClaimUnavailable,
        Self::DeadlinePassed,
        Self::ServerBroke,
        Self::Stopping,
        Self::NotReady,
    ];

    /// The stable code that callers see.
    pub const fn code(self) -> &'static str {
        match self {
            Self::UnknownHost => "unknown-host",
            Self::UnknownRoute => "unknown-route",
            Self::KeyMissing => "key-missing",
            Self::KeyRefused => "key-refused",
            Self::KeyUnchecked => "key-unchecked",
            Self::RateExceeded => "rate-exceeded",
            Self::RateUnchecked => "rate-unchecked",
            Self::NoServer => "no-server",
            Self::Overloaded => "overloaded",
            Self::RegionFull => "region-full",
            Self::ShiftCapped => "shift-capped",
            Self::Quarantined => "quarantined",
            Self::TokenMissing => "token-missing",
            Self::TokenUnusable => "token-unusable",
            Self::TokenReused => "token-reused",
            Self::Repeated => "repeated",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::DeadlinePassed => "deadline-passed",
            Self::ServerBroke => "server-broke",
            Self::Stopping => "stopping",
            Self::NotReady => "not-ready",
        }
    }
}
