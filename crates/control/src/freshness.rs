//! Whether an instance can have missed the withdrawal of a key.
//!
//! A withdrawal is accepted once the platform stores it and more than half
//! of the failure domains hold it. An instance therefore serves keyed
//! requests while it has recent word from the platform or from more than
//! half of the failure domains: either one overlaps every accepted
//! withdrawal.
//!
//! Word travels from instance to instance as ages, and a hop passes it on
//! only between instances whose key records have equal digests. Whoever
//! holds the word therefore holds every key record that its origin held.

use std::time::Duration;

use corianderway_model::FailureDomain;
use corianderway_model::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::set::Digest;

/// How long an instance trusts the last word of the platform or its peers.
pub const TRUST: Duration = Duration::from_secs(5);

/// Whether an instance may decide on keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// There is recent word from the platform.
    Current,
    /// The platform is silent, but most failure domains are not.
    PeersOnly,
    /// Neither; keyed requests are refused, open routes go on.
    Isolated,
}

impl Standing {
    /// Whether keyed requests are decided on.
    pub fn serves_keyed(self) -> bool {
        match self {
            Self::Current | Self::PeersOnly => true,
            Self::Isolated => false,
        }
    }
}

/// What an instance tells its peers about how recent its word is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// The digest of the sender's key records.
    pub keys: Digest,
    /// How long ago the platform answered, if within [`TRUST`].
    pub platform: Option<Age>,
    /// How long ago each failure domain spoke, if within [`TRUST`].
    pub domains: Vec<DomainAge>,
}

/// A span in milliseconds, rounded up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Age(pub u16);

/// How long ago a failure domain spoke.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainAge {
    /// The failure domain.
    pub domain: FailureDomain,
    /// How long ago.
    pub age: Age,
}

/// The word that one instance has.
#[derive(Clone, Debug)]
pub struct Freshness {
    own: FailureDomain,
    platform: Option<Time>,
    // Every known failure domain, sorted, and when it last spoke.
    domains: Vec<Heard>,
}

#[derive(Clone, Debug)]
struct Heard {
    domain: FailureDomain,
    at: Option<Time>,
}

impl Freshness {
    /// Starts without any word.
    pub fn new(own: FailureDomain) -> Self {
        let first = Heard {
            domain: own.clone(),
            at: None,
        };
        Self {
            own,
            platform: None,
            domains: vec![first],
        }
    }

    /// Sets the failure domains of the fleet; those already known keep their word.
    pub fn set_domains(&mut self, domains: impl IntoIterator<Item = FailureDomain>) {
        let mut all = domains.into_iter().collect::<Vec<_>>();
        all.push(self.own.clone());
        all.sort();
        all.dedup();
        let heard = all.into_iter().map(|domain| Heard {
            at: self.spoke(&domain),
            domain,
        });
        self.domains = heard.collect();
    }

    /// Notes that the platform's whole state, as of `asked` or later, is held.
    pub fn platform_answered(&mut self, asked: Time) {
        self.platform = self.platform.max(Some(asked));
    }

    /// Takes the word of a peer that answered a question sent at `asked`.
    ///
    /// The age is counted from the question, so no delay on the way makes
    /// word look more recent than it is. Returns whether the digests agree;
    /// nothing is taken if they don't.
    pub fn heard(&mut self, asked: Time, keys: Digest, word: &Word) -> bool {
        if word.keys != keys {
            return false;
        }
        if let Some(at) = word.platform.and_then(|age| age.before(asked)) {
            self.platform_answered(at);
        }
        for heard in &word.domains {
            let at = heard.age.before(asked);
            if let Ok(own) = self.find(&heard.domain) {
                let known = &mut self.domains[own].at;
                *known = at.max(*known);
            }
        }
        true
    }

    /// The word to tell a peer.
    ///
    /// An instance speaks for its own failure domain only while it is not
    /// isolated, for else it may have missed what the others know.
    pub fn word(&mut self, now: Time, keys: Digest) -> Word {
        self.speak(now);
        let domains = self.domains.iter().filter_map(|heard| {
            Some(DomainAge {
                domain: heard.domain.clone(),
                age: Age::since(now, heard.at?)?,
            })
        });
        Word {
            keys,
            platform: self.platform.and_then(|at| Age::since(now, at)),
            domains: domains.collect(),
        }
    }

    /// Whether keyed requests may be decided on.
    pub fn standing(&self, now: Time) -> Standing {
        let recent = |at: Option<Time>| at.is_some_and(|at| now.since(at) <= TRUST);
        if recent(self.platform) {
            return Standing::Current;
        }
        let heard = self.domains.iter().filter(|d| recent(d.at)).count();
        if heard > 1 && heard * 2 > self.domains.len() {
            return Standing::PeersOnly;
        }
        Standing::Isolated
    }

    /// How long ago the platform answered this instance or one it heard of.
    pub fn platform_age(&self, now: Time) -> Option<Duration> {
        self.platform.map(|at| now.since(at))
    }

    fn speak(&mut self, now: Time) {
        if self.standing(now).serves_keyed() {
            if let Ok(own) = self.find(&self.own) {
                self.domains[own].at = Some(now);
            }
        }
    }

    fn spoke(&self, domain: &FailureDomain) -> Option<Time> {
        let at = self.find(domain).ok()?;
        self.domains[at].at
    }

    fn find(&self, domain: &FailureDomain) -> Result<usize, usize> {
        self.domains.binary_search_by(|d| d.domain.cmp(domain))
    }
}

impl Age {
    // None if it is beyond what anyone would use.
    fn since(now: Time, at: Time) -> Option<Self> {
        let age = now.since(at);
        let fits = age <= TRUST;
        fits.then(|| Self(age.as_nanos().div_ceil(NANOS_PER_MILLI) as u16))
    }

    fn before(self, asked: Time) -> Option<Time> {
        let age = u64::from(self.0) * NANOS_PER_MILLI as u64;
        asked.nanos().checked_sub(age).map(Time::from_nanos)
    }
}

const NANOS_PER_MILLI: u128 = 1_000_000;
