//! Refusals, and whether the refused request may have run.

use std::time::Duration;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No configuration is known yet.
    NotReady,
    /// What is known may be older than the key or route asked for.
    Behind,
    /// The process stops soon.
    Stopping,
    /// No route has the host and path.
    UnknownRoute,
    /// No client account holds the key.
    UnknownKey,
    /// The client account is above its rate.
    OverRate,
    /// The request crashed the backend servers that ran it.
    Quarantined,
    /// Every backend server that may run it is full.
    Overloaded,
    /// No backend server may run it.
    NoServer,
    /// Its time was over.
    TimedOut,
    /// The attempt broke off.
    Broken,
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
    /// When another try makes sense.
    pub retry_after: Option<Duration>,
}

impl Reason {
    /// The reason as text for logs and labels.
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
        }
    }
}

impl Refusal {
    /// The refusal of a request that has not run and never will.
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            may_have_run: false,
            retry_after: None,
        }
    }

    /// Adds when another try makes sense.
    #[must_use]
    pub const fn after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// The HTTP status that says the same.
    ///
    /// 429 and 503 tell the caller that nothing ran, so a request that may
    /// have run gets 502 or 504.
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
