//! Refusals: why a request got no response from a backend server, and whether it ran.

use std::time::Duration;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// No contract names the host.
    UnknownHost,
    /// The contract has no such route.
    UnknownRoute,
    /// The route requires a key and the request has none.
    KeyMissing,
    /// The key is unknown, withdrawn or belongs to another client account.
    KeyRefused,
    /// The key cannot be checked, since the configuration is not fresh.
    KeyUnchecked,
    /// The client account exceeds its rate and burst.
    RateExceeded,
    /// The rate cannot be checked, since this instance has no valid quota agreed with
    /// the other instances.
    RateUnchecked,
    /// No backend server can accept the request.
    NoServer,
    /// The service is overloaded.
    Overloaded,
    /// The client account has used up its capacity in the region for now.
    RegionFull,
    /// The request needs a shift to another region, and the limit of shifts is reached.
    ShiftCapped,
    /// The request was in flight at several crashes of backend servers.
    Quarantined,
    /// The route is not idempotent and the request has no idempotency key.
    TokenMissing,
    /// The idempotency key is malformed, too old or from the future.
    TokenUnusable,
    /// The idempotency key was used for a different request.
    TokenReused,
    /// The same request is running or may have run.
    Repeated,
    /// The claim could not be made, since the platform is unavailable.
    ClaimUnavailable,
    /// The deadline passed.
    DeadlinePassed,
    /// The connection to the backend server broke.
    ServerBroke,
    /// The instance is about to stop.
    Stopping,
    /// The instance has not received its configuration yet.
    NotReady,
}

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ran {
    /// No backend server accepted any byte of the request, nor of an earlier sending of it
    /// under the same idempotency key.
    NotRun,
    /// This request was not run, but an earlier one with the same idempotency key may
    /// have been.
    NotStarted,
    /// A backend server may have run the request.
    MayHaveRun,
}

/// A refusal as sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Whether the request ran.
    pub ran: Ran,
    /// The delay after which the caller may retry.
    pub retry_delay: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that was not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::NotRun,
            retry_delay: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::MayHaveRun,
            retry_delay: None,
        }
    }

    /// Says of a request that was not run what is known of all sendings under its
    /// idempotency key, if it has one: an earlier one may have run.
    #[must_use]
    pub fn under_key(mut self, idempotency_key: Option<&str>) -> Self {
        if idempotency_key.is_some() && self.ran == Ran::NotRun {
            self.ran = Ran::NotStarted;
        }
        self
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry_delay = Some(span);
        self
    }
}

impl Ran {
    /// The code that callers see.
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
