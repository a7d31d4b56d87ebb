//! The writes of one record that any live instance may advance.
//!
//! To avoid conflicts, each instance waits before it writes, the longer the higher its
//! rank. After a call without an answer, the record is read back.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;

use crate::rank;

/// The time after which the record is read back, if a write or a read got no answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay of the next write after a conflict.
const CONFLICT_DELAY: Duration = Duration::from_secs(1);

/// The calls of one instance to the platform for one record.
///
/// At most one call is pending. `T` is the trigger of a revision, `R` the record.
#[derive(Clone, Debug)]
pub(crate) struct RecordWriter<T, R> {
    pending: Option<Pending<R>>,
    // The trigger that is due, and since when.
    due: Option<(T, Time)>,
    // The earliest time of the next call.
    not_before: Time,
}

#[derive(Clone, Debug)]
struct Pending<R> {
    since: Time,
    // The record, if its write was sent and may still be confirmed.
    write: Option<R>,
}

/// A call to the platform.
#[derive(Clone, Debug)]
pub(crate) enum Call<T, R> {
    /// Replace the record.
    Write(T, R),
    /// Read the record.
    Read,
}

/// The instances that may write one record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidates<'a> {
    /// The name of the record, from which the ranks are computed.
    pub(crate) subject: &'a str,
    pub(crate) own: &'a InstanceId,
    pub(crate) live: &'a [InstanceId],
}

impl<T, R> Default for RecordWriter<T, R> {
    fn default() -> Self {
        Self {
            pending: None,
            due: None,
            not_before: Time::ZERO,
        }
    }
}

impl<T: Copy + PartialEq, R: Clone> RecordWriter<T, R> {
    /// Returns the call that is due now, if any.
    ///
    /// `next` is the next revision, by this instance's state. `stagger` returns the
    /// delay between two successive ranks.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        candidates: Candidates<'_>,
        next: Option<(T, R)>,
        stagger: impl Fn(T) -> Duration,
    ) -> Option<Call<T, R>> {
        if let Some(pending) = &self.pending {
            let late = now.since(pending.since) >= ANSWER_TIMEOUT;
            return late.then(|| self.read(now));
        }
        if now < self.not_before {
            return None;
        }
        let Some((trigger, record)) = next else {
            self.due = None;
            return None;
        };
        let since = match self.due {
            Some((due, since)) if due == trigger => since,
            _ => now,
        };
        self.due = Some((trigger, since));
        let rank = rank::rank(candidates.subject, candidates.own, candidates.live);
        if now.since(since) < rank::delay(rank, stagger(trigger)) {
            return None;
        }
        self.pending = Some(Pending {
            since: now,
            write: Some(record.clone()),
        });
        Some(Call::Write(trigger, record))
    }

    /// Ends the pending call, and returns its record if it was a write.
    pub(crate) fn complete(&mut self) -> Option<R> {
        self.due = None;
        self.pending.take().and_then(|pending| pending.write)
    }

    /// Ends the pending call after a conflict or a read, and delays the next one.
    pub(crate) fn back_off(&mut self, now: Time) {
        self.complete();
        self.not_before = now + CONFLICT_DELAY;
    }

    /// Records that the pending call has an unknown outcome. The record is read back
    /// once the call has timed out.
    pub(crate) fn mark_unknown(&mut self, now: Time) {
        let since = self.pending.as_ref().map_or(now, |pending| pending.since);
        self.pending = Some(Pending { since, write: None });
    }

    fn read(&mut self, now: Time) -> Call<T, R> {
        self.pending = Some(Pending {
            since: now,
            write: None,
        });
        Call::Read
    }
}
