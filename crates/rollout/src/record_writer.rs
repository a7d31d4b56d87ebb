//! Whose turn it is to write a record, and how a write is settled.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;

use crate::rank;

/// The time after which a write or a read without an answer is read back.
const ANSWER_PATIENCE: Duration = Duration::from_secs(3);
/// The time before a record is written again after a conflict.
const REST: Duration = Duration::from_secs(1);

/// What one instance has asked the platform about one record.
#[derive(Clone, Debug)]
pub(crate) struct Turns<T, R> {
    asked: Option<Asked<R>>,
    // The trigger that is due, and since when.
    due: Option<(T, Time)>,
    // Nothing is asked before.
    idle: Time,
}

#[derive(Clone, Debug)]
struct Asked<R> {
    since: Time,
    write: Option<R>,
}

/// What to ask the platform.
#[derive(Clone, Debug)]
pub(crate) enum Ask<T, R> {
    /// Replace the record.
    Write(T, R),
    /// Read the record.
    Read,
}

/// The instances that take turns over one record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Party<'a> {
    pub(crate) subject: &'a str,
    pub(crate) own: &'a InstanceId,
    pub(crate) live: &'a [InstanceId],
}

impl<T, R> Default for Turns<T, R> {
    fn default() -> Self {
        Self {
            asked: None,
            due: None,
            idle: Time::ZERO,
        }
    }
}

impl<T: Copy + PartialEq, R: Clone> Turns<T, R> {
    /// Decides whether this instance acts now on what is due, if anything is.
    ///
    /// `stagger` is how long each instance lets the one before it act.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        party: Party<'_>,
        next: Option<(T, R)>,
        stagger: impl Fn(T) -> Duration,
    ) -> Option<Ask<T, R>> {
        if let Some(asked) = &self.asked {
            let late = now.since(asked.since) >= ANSWER_PATIENCE;
            return late.then(|| self.read(now));
        }
        if now < self.idle {
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
        let rank = rank::rank(party.subject, party.own, party.live);
        if now.since(since) < rank::delay(rank, stagger(trigger)) {
            return None;
        }
        self.asked = Some(Asked {
            since: now,
            write: Some(record.clone()),
        });
        Some(Ask::Write(trigger, record))
    }

    /// Ends the wait for an answer; gives back the record that was written.
    pub(crate) fn settle(&mut self) -> Option<R> {
        self.due = None;
        self.asked.take().and_then(|asked| asked.write)
    }

    /// Ends the wait for an answer that refused the write or read the record.
    pub(crate) fn rest(&mut self, now: Time) {
        self.settle();
        self.idle = now + REST;
    }

    /// Goes on after no answer; the record is read in its time.
    pub(crate) fn unknown(&mut self, now: Time) {
        let since = self.asked.as_ref().map_or(now, |asked| asked.since);
        self.asked = Some(Asked { since, write: None });
    }

    fn read(&mut self, now: Time) -> Ask<T, R> {
        self.asked = Some(Asked {
            since: now,
            write: None,
        });
        Ask::Read
    }
}
