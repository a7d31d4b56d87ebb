//! Probes of other instances: which instance to probe and when.
//!
//! A probe that is not answered in time is sent once more. A member that
//! answers neither is reported as missed.

use std::collections::VecDeque;
use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

/// The time between probes while contact with the platform is recent.
const USUAL_INTERVAL: Duration = Duration::from_millis(500);

/// The time between probes while the platform is silent.
const SILENT_INTERVAL: Duration = Duration::from_millis(250);

/// The time between probes while this instance may soon be isolated.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);

/// How long a member has to answer a probe.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// One in this many probes goes to a silent member, to detect its return.
const SILENT_PROBE_RATIO: u32 = 8;

/// The result of a tick.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeAction {
    /// Send a probe with this number to an instance.
    Send { to: InstanceId, question: u64 },
    /// An instance left a probe and its repetition unanswered.
    Missed(InstanceId),
}

/// The members that may be probed, in groups.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidates<'m> {
    /// Instances that are nearer to the platform.
    pub parents: &'m [InstanceId],
    /// All live members.
    pub live: &'m [InstanceId],
    /// Live members of failure domains without recent contact.
    pub out_of_contact: &'m [InstanceId],
    /// Members that have not answered for long.
    pub silent: &'m [InstanceId],
    /// How often to send probes.
    pub pace: Pace,
}

/// How often to send probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pace {
    /// Contact with the platform is recent.
    Normal,
    /// The platform is silent; contact with most failure domains is recent.
    PlatformSilent,
    /// Neither is recent; this instance may soon be isolated.
    Urgent,
}

impl Pace {
    fn interval(self) -> Duration {
        match self {
            Self::Normal => USUAL_INTERVAL,
            Self::PlatformSilent => SILENT_INTERVAL,
            Self::Urgent => URGENT_INTERVAL,
        }
    }
}

/// The pending probes of one instance; an unanswered one doesn't delay others.
#[derive(Clone, Debug)]
pub(crate) struct Probes {
    rng: SmallRng,
    number: u64,
    // In the order in which they were sent.
    pending: VecDeque<Probe>,
    next_at: Time,
}

#[derive(Clone, Debug)]
struct Probe {
    to: InstanceId,
    number: u64,
    sent_at: Time,
    resent: bool,
}

impl Probes {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            number: 0,
            pending: VecDeque::new(),
            next_at: Time::ZERO,
        }
    }

    /// A uniformly random number from 0 up to but not including 1.
    pub(crate) fn random_share(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }

    /// Repeats or gives up a probe that timed out, or sends the next one when due.
    pub(crate) fn tick(&mut self, now: Time, pools: Candidates<'_>) -> Option<ProbeAction> {
        let is_late = |p: &mut Probe| now.since(p.sent_at) >= ANSWER_TIMEOUT;
        if let Some(timed_out) = self.pending.pop_front_if(is_late) {
            return Some(self.timed_out(now, timed_out));
        }
        if now < self.next_at {
            return None;
        }
        self.next_at = now + pools.pace.interval();
        let to = self.pick(pools)?;
        Some(self.send(now, to, false))
    }

    /// Removes the probe that this answers and returns when it was sent; none if
    /// no such probe is pending.
    pub(crate) fn answered(&mut self, from: &InstanceId, number: u64) -> Option<Time> {
        let matches = |p: &Probe| p.number == number && p.to == *from;
        let at = self.pending.iter().position(matches)?;
        Some(self.pending.remove(at)?.sent_at)
    }

    fn timed_out(&mut self, now: Time, probe: Probe) -> ProbeAction {
        if probe.resent {
            ProbeAction::Missed(probe.to)
        } else {
            self.send(now, probe.to, true)
        }
    }

    // Every second probe goes to an instance nearer to the platform, so that
    // contact with the platform is relayed in few hops. While that contact is
    // old, it goes to a failure domain without recent contact instead. The
    // other probes go to any live member.
    fn pick(&mut self, pools: Candidates<'_>) -> Option<InstanceId> {
        let find = self.rng.random_ratio(1, SILENT_PROBE_RATIO);
        let preferred = match pools.pace {
            Pace::Normal => pools.parents,
            Pace::PlatformSilent | Pace::Urgent => pools.out_of_contact,
        };
        let pool = match (find, self.number.is_multiple_of(2)) {
            (true, _) if !pools.silent.is_empty() => pools.silent,
            (_, true) if !preferred.is_empty() => preferred,
            _ => pools.live,
        };
        if pool.is_empty() {
            return None;
        }
        let at = self.rng.random_range(0..pool.len());
        pool.get(at).cloned()
    }

    fn send(&mut self, now: Time, to: InstanceId, resent: bool) -> ProbeAction {
        self.number += 1;
        let question = self.number;
        self.pending.push_back(Probe {
            to: to.clone(),
            number: question,
            sent_at: now,
            resent,
        });
        ProbeAction::Send { to, question }
    }
}
