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
use xxhash_rust::xxh3::xxh3_64;

use crate::questions::Pace;
use crate::set::Digest;

/// How long an instance trusts the last word of the platform or its peers.
pub const TRUST: Duration = Duration::from_secs(5);

/// How recent the platform's word must be for failure domains not to be told.
const LATELY: Duration = Duration::from_millis(2500);

/// How old the platform's word may be before an instance asks by itself.
const RISK: Duration = Duration::from_secs(4);

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
    /// The digest of the failure domains that the sender counts.
    pub counted: Digest,
    /// How long ago the platform answered, if within [`TRUST`].
    pub platform: Option<Age>,
    /// How long ago each failure domain spoke, if within [`TRUST`].
    pub domains: Vec<DomainAge>,
}

/// A span in milliseconds, rounded up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Age(pub u16);

/// A failure domain, by a hash of its name, and how long ago it spoke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainAge(pub DomainHash, pub Age);

/// The hash of a failure domain's name, the same in every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DomainHash(pub u16);

impl From<&FailureDomain> for DomainHash {
    fn from(domain: &FailureDomain) -> Self {
        Self(xxh3_64(domain.as_str().as_bytes()) as u16)
    }
}

/// The word that one instance has.
#[derive(Clone, Debug)]
pub struct Freshness {
    own: DomainHash,
    platform: Option<Time>,
    // The part of `platform` that peers told.
    told: Option<Time>,
    // Every failure domain that is counted, sorted, and when it last spoke.
    domains: Vec<Heard>,
    counted: Digest,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    domain: DomainHash,
    at: Option<Time>,
}

impl Freshness {
    /// Starts without any word.
    pub fn new(own: &FailureDomain) -> Self {
        let mut fresh = Self {
            own: own.into(),
            platform: None,
            told: None,
            domains: Vec::new(),
            counted: Digest::default(),
        };
        fresh.set_domains([]);
        fresh
    }

    /// Sets the failure domains of the fleet; those already known keep their word.
    pub fn set_domains<'d>(&mut self, domains: impl IntoIterator<Item = &'d FailureDomain>) {
        let hashes = domains.into_iter().map(DomainHash::from);
        let mut all = hashes.chain([self.own]).collect::<Vec<_>>();
        all.sort();
        all.dedup();
        let heard = all.iter().map(|domain| Heard {
            domain: *domain,
            at: self.spoke(*domain),
        });
        self.domains = heard.collect();
        let bytes = all.iter().flat_map(|d| d.0.to_le_bytes());
        self.counted = Digest(xxh3_64(&bytes.collect::<Vec<_>>()));
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
        if word.keys != keys || word.counted != self.counted {
            return false;
        }
        if let Some(at) = word.platform.and_then(|age| age.before(asked)) {
            self.told = self.told.max(Some(at));
            self.platform_answered(at);
        }
        for DomainAge(domain, age) in &word.domains {
            if let Ok(own) = self.find(*domain) {
                let known = &mut self.domains[own].at;
                *known = age.before(asked).max(*known);
            }
        }
        true
    }

    /// The word to tell a peer.
    ///
    /// Failure domains are left out while the platform has answered lately:
    /// they matter only once its word runs out.
    ///
    /// An instance speaks for its own failure domain only while it is not
    /// isolated, for else it may have missed what the others know.
    pub fn word(&mut self, now: Time, keys: Digest) -> Word {
        self.speak(now);
        let platform = self.platform.and_then(|at| Age::since(now, at));
        let told = if self.lately(now) {
            &[]
        } else {
            &*self.domains
        };
        let domains = told
            .iter()
            .filter_map(|heard| Some(DomainAge(heard.domain, Age::since(now, heard.at?)?)));
        Word {
            keys,
            counted: self.counted,
            platform,
            domains: domains.collect(),
        }
    }

    /// Whether keyed requests may be decided on.
    pub fn standing(&self, now: Time) -> Standing {
        if within(now, self.platform, TRUST) {
            return Standing::Current;
        }
        if self.most_heard(now, TRUST) {
            return Standing::PeersOnly;
        }
        Standing::Isolated
    }

    /// How long ago the platform answered this instance or one it heard of.
    pub fn platform_age(&self, now: Time) -> Option<Duration> {
        self.platform.map(|at| now.since(at))
    }

    /// How fast to ask others for their word.
    pub(crate) fn pace(&self, now: Time) -> Pace {
        if self.lately(now) {
            Pace::Usual
        } else if self.most_heard(now, LATELY) {
            Pace::Silent
        } else {
            Pace::Urgent
        }
    }

    // Whether the platform's word is far from running out.
    fn lately(&self, now: Time) -> bool {
        within(now, self.platform, LATELY)
    }

    /// Whether the word of a failure domain is far from running out.
    pub(crate) fn spoke_lately(&self, now: Time, domain: &FailureDomain) -> bool {
        within(now, self.spoke(domain.into()), LATELY)
    }

    /// Whether a peer has told recent word of the platform.
    pub(crate) fn told_lately(&self, now: Time) -> bool {
        within(now, self.told, LATELY)
    }

    /// Whether this instance is about to be isolated.
    pub(crate) fn at_risk(&self, now: Time) -> bool {
        !within(now, self.platform, RISK) && !self.most_heard(now, TRUST)
    }

    // One failure domain is not enough: an instance alone would be a majority.
    fn most_heard(&self, now: Time, span: Duration) -> bool {
        let heard = self.domains.iter().filter(|d| within(now, d.at, span));
        let heard = heard.count();
        heard > 1 && heard * 2 > self.domains.len()
    }

    fn speak(&mut self, now: Time) {
        if self.standing(now).serves_keyed() {
            if let Ok(own) = self.find(self.own) {
                self.domains[own].at = Some(now);
            }
        }
    }

    fn spoke(&self, domain: DomainHash) -> Option<Time> {
        let at = self.find(domain).ok()?;
        self.domains[at].at
    }

    fn find(&self, domain: DomainHash) -> Result<usize, usize> {
        self.domains.binary_search_by_key(&domain, |d| d.domain)
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

fn within(now: Time, at: Option<Time>, span: Duration) -> bool {
    at.is_some_and(|at| now.since(at) <= span)
}

const NANOS_PER_MILLI: u128 = 1_000_000;
