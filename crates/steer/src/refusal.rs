//! Refusals of requests.
//!
//! A refusal states its reason and whether the request may have run; both
//! together determine the HTTP status.

use std::time::Duration;

/// The reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The instance has no configuration yet.
    NotReady,
    /// The instance has no current view of the store, so the key or route may
    /// exist.
    Behind,
    /// The process stops soon.
    Stopping,
    /// No route matches the host and path.
    UnknownRoute,
    /// No client account has the key.
    UnknownKey,
    /// The client account exceeds its rate.
    OverRate,
    /// Requests with the same signature crashed backend servers.
    Quarantined,
    /// Every eligible backend server is full.
    Overloaded,
    /// No backend server is eligible.
    NoServer,
    /// The request's time was over.
    TimedOut,
    /// The connection to the backend server broke.
    Broken,
    /// The backend server answered with a status that refuses the request, but did not
    /// state that it has not run.
    Ambiguous,
}

/// A refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
    /// The delay after which the caller should retry.
    pub retry_after: Option<Duration>,
}

impl Reason {
    /// Returns the reason as text for logs and labels.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "not-ready",
            Self::Behind => "behind",
            Self::Stopping => "stopping",
            Self::UnknownRoute => "unknown-route",
            Self::UnknownKey => "unknown-key",
            Self::OverRate => "over-rate",
            Self::Quarantined => "quarantined",
            Self::Overloaded => "overloaded",
            Self::NoServer => "no-server",
            Self::TimedOut => "timed-out",
            Self::Broken => "broken",
            Self::Ambiguous => "ambiguous",
        }
    }
}

/// Returns whether a status tells the caller that its request has not run and never
/// will, so that it may send a non-idempotent request again.
pub(crate) const fn is_refusing(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

impl Refusal {
    /// Creates a refusal of a request that has not run and will not run.
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            may_have_run: false,
            retry_after: None,
        }
    }

    /// Sets the delay after which the caller should retry.
    #[must_use]
    pub const fn with_retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Returns the HTTP status.
    ///
    /// Statuses 429 and 503 tell the caller that nothing ran, so a request that
    /// may have run gets 502 or 504.
    pub const fn status(&self) -> u16 {
        match (self.reason, self.may_have_run) {
            (Reason::TimedOut, true) => 504,
            (_, true) => 502,
            (Reason::UnknownRoute, false) => 404,
            (Reason::UnknownKey, false) => 401,
            (Reason::OverRate, false) => 429,
            (_, false) => 503,
        }
    }
}
