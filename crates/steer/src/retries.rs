//! The share of the fleet's retry budgets that this instance may use.
//!
//! An instance that starts doesn't know what its earlier run sent again. The budget of a
//! window is therefore split: one part is for the instances that have run for the whole
//! window, the other for those that started within it.

use corianderway_limits::RetryBudget;
use corianderway_model::Service;
use corianderway_model::Time;

use crate::steer::Steer;

/// The fraction of the budget for instances that have run for a window.
const SETTLED_FRACTION: f64 = 0.8;

/// The fraction of the budget for instances that have started within a window. It is
/// given by first attempts alone, which different runs of an instance never share, so
/// that it stays the same however often they start.
const STARTED_FRACTION: f64 = 0.15;

impl Steer {
    /// Counts a first attempt for the retry budget of a service.
    pub(crate) fn record_first_attempt(&mut self, now: Time, service: &Service) {
        self.retry_budget(service).record_attempt(now);
    }

    /// Takes one retry from the budget of a service. Returns false if none is left.
    pub(crate) fn take_retry(&mut self, now: Time, service: &Service) -> bool {
        let (ratio, extra) = self.retry_limits(now);
        let budget = self.retry_budget(service);
        budget.set_limits(ratio, extra);
        budget.try_take(now)
    }

    /// Returns whether this instance has run for a window of the retry budget.
    pub(crate) fn has_settled(&self, now: Time) -> bool {
        self.startup.age(now) >= self.bounds.retry_window
    }

    // Returns the retries that this instance may send to a service in a window: as a
    // fraction of its own first attempts, and beyond it.
    fn retry_limits(&self, now: Time) -> (f64, u64) {
        let bounds = &self.bounds;
        let count = self.members.count();
        if self.has_settled(now) {
            let extra = bounds.retry_extra * SETTLED_FRACTION / count as f64;
            return (bounds.retry_ratio * SETTLED_FRACTION, extra as u64);
        }
        // An instance that isn't known to have settled may have started, too.
        let started = count - self.members.settled(now);
        let share = STARTED_FRACTION * count as f64 / started as f64;
        (bounds.retry_ratio * share.min(SETTLED_FRACTION), 0)
    }

    fn retry_budget(&mut self, service: &Service) -> &mut RetryBudget {
        let window = self.bounds.retry_window;
        self.budgets
            .get_or_insert_with(service.clone(), || RetryBudget::new(0.0, 0, window))
    }
}
