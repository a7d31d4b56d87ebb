//! Whom an instance asks whether it is there, and when.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

/// The time between questions.
const INTERVAL: Duration = Duration::from_millis(500);

/// The time between questions while the platform's word is running out.
const URGENT_INTERVAL: Duration = Duration::from_millis(250);

/// How long an answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// One in so many questions goes to a silent member, to find it again.
const SILENT_ASKED: u32 = 8;

/// What to do about a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Ask an instance.
    Ask { to: InstanceId, question: u64 },
    /// An instance did not answer twice.
    Missed(InstanceId),
}

/// Who may be asked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pools<'m> {
    /// Instances nearer to the platform.
    pub parents: &'m [InstanceId],
    /// All live members.
    pub live: &'m [InstanceId],
    /// Members that did not answer for long.
    pub silent: &'m [InstanceId],
    /// Whether the platform's word is running out.
    pub urgent: bool,
}

/// The questions of one instance; one is open at a time.
#[derive(Clone, Debug)]
pub(crate) struct Questions {
    rng: SmallRng,
    number: u64,
    open: Option<Question>,
    ask_at: Time,
}

#[derive(Clone, Debug)]
struct Question {
    to: InstanceId,
    number: u64,
    asked: Time,
    repeated: bool,
}

impl Questions {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            number: 0,
            open: None,
            ask_at: Time::ZERO,
        }
    }

    /// A random number from 0 to 1.
    pub(crate) fn random_share(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }

    /// Repeats a question that is overdue, or asks the next one when due.
    pub(crate) fn tick(&mut self, now: Time, pools: Pools<'_>) -> Option<Outcome> {
        if let Some(open) = self.open.clone() {
            return self.overdue(now, open);
        }
        if now < self.ask_at {
            return None;
        }
        let urgent = pools.urgent;
        self.ask_at = now + if urgent { URGENT_INTERVAL } else { INTERVAL };
        let to = self.pick(pools)?;
        Some(self.ask(now, to, false))
    }

    /// When the question was asked that this answers; none if it is not open.
    pub(crate) fn answered(&mut self, from: &InstanceId, number: u64) -> Option<Time> {
        let open = self.open.take_if(|q| q.number == number && q.to == *from)?;
        Some(open.asked)
    }

    fn overdue(&mut self, now: Time, open: Question) -> Option<Outcome> {
        if now.since(open.asked) < ANSWER_TIMEOUT {
            return None;
        }
        if open.repeated {
            self.open = None;
            return Some(Outcome::Missed(open.to));
        }
        Some(self.ask(now, open.to, true))
    }

    // Every second question goes to an instance nearer to the platform, so
    // that its word arrives in few hops; the others go to any member.
    fn pick(&mut self, pools: Pools<'_>) -> Option<InstanceId> {
        let find = self.rng.random_ratio(1, SILENT_ASKED);
        let nearer = self.number.is_multiple_of(2) && !pools.urgent;
        let pool = match (find, nearer) {
            (true, _) if !pools.silent.is_empty() => pools.silent,
            (_, true) if !pools.parents.is_empty() => pools.parents,
            _ => pools.live,
        };
        if pool.is_empty() {
            return None;
        }
        let at = self.rng.random_range(0..pool.len());
        pool.get(at).cloned()
    }

    fn ask(&mut self, now: Time, to: InstanceId, repeated: bool) -> Outcome {
        self.number += 1;
        let question = self.number;
        self.open = Some(Question {
            to: to.clone(),
            number: question,
            asked: now,
            repeated,
        });
        Outcome::Ask { to, question }
    }
}
