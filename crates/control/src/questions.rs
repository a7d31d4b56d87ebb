//! Whom an instance asks whether it is there, and when.

use std::collections::VecDeque;
use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

/// The time between questions while there is recent word of the platform.
const INTERVAL: Duration = Duration::from_millis(500);

/// The time between questions while the platform is silent.
const SILENT_INTERVAL: Duration = Duration::from_millis(250);

/// The time between questions while this instance may soon be isolated.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);

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
    /// Live members of failure domains that have not spoken lately.
    pub unheard: &'m [InstanceId],
    /// Members that did not answer for long.
    pub silent: &'m [InstanceId],
    /// How fast to ask.
    pub pace: Pace,
}

/// How fast to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pace {
    /// There is recent word of the platform.
    Usual,
    /// The platform is silent, and most failure domains are not.
    Silent,
    /// Neither; this instance may soon be isolated.
    Urgent,
}

impl Pace {
    fn interval(self) -> Duration {
        match self {
            Self::Usual => INTERVAL,
            Self::Silent => SILENT_INTERVAL,
            Self::Urgent => URGENT_INTERVAL,
        }
    }
}

/// The questions of one instance; an unanswered one does not hold up others.
#[derive(Clone, Debug)]
pub(crate) struct Questions {
    rng: SmallRng,
    number: u64,
    // In the order in which they were asked.
    open: VecDeque<Question>,
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
            open: VecDeque::new(),
            ask_at: Time::ZERO,
        }
    }

    /// A random number from 0 to 1.
    pub(crate) fn random_share(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }

    /// Repeats a question that is overdue, or asks the next one when due.
    pub(crate) fn tick(&mut self, now: Time, pools: Pools<'_>) -> Option<Outcome> {
        let late = |q: &mut Question| now.since(q.asked) >= ANSWER_TIMEOUT;
        if let Some(overdue) = self.open.pop_front_if(late) {
            return Some(self.overdue(now, overdue));
        }
        if now < self.ask_at {
            return None;
        }
        self.ask_at = now + pools.pace.interval();
        let to = self.pick(pools)?;
        Some(self.ask(now, to, false))
    }

    /// When the question was asked that this answers; none if it is not open.
    pub(crate) fn answered(&mut self, from: &InstanceId, number: u64) -> Option<Time> {
        let matches = |q: &Question| q.number == number && q.to == *from;
        let at = self.open.iter().position(matches)?;
        Some(self.open.remove(at)?.asked)
    }

    fn overdue(&mut self, now: Time, question: Question) -> Outcome {
        if question.repeated {
            Outcome::Missed(question.to)
        } else {
            self.ask(now, question.to, true)
        }
    }

    // Every second question goes to an instance nearer to the platform, so
    // that its word arrives in few hops, or to a failure domain that has not
    // spoken while that word is running out; the others go to any member.
    fn pick(&mut self, pools: Pools<'_>) -> Option<InstanceId> {
        let find = self.rng.random_ratio(1, SILENT_ASKED);
        let chosen = match pools.pace {
            Pace::Usual => pools.parents,
            Pace::Silent | Pace::Urgent => pools.unheard,
        };
        let pool = match (find, self.number.is_multiple_of(2)) {
            (true, _) if !pools.silent.is_empty() => pools.silent,
            (_, true) if !chosen.is_empty() => chosen,
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
        self.open.push_back(Question {
            to: to.clone(),
            number: question,
            asked: now,
            repeated,
        });
        Outcome::Ask { to, question }
    }
}
