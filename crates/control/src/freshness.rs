//! Whether an instance may have missed the withdrawal of a key.
//!
//! A withdrawal is accepted once the platform stores it and more than half
//! of the failure domains hold it. An instance therefore serves keyed
//! requests while it has recent contact with the platform or with more than
//! half of the failure domains. An accepted withdrawal is in the platform, and
//! any two majorities share a failure domain, so neither contact can miss it.
//!
//! Contact may be indirect. Instances report to each other how long ago the
//! platform and each failure domain were last in contact. A report is applied
//! only where sender and receiver have equal digests of their key records, so
//! that whoever relies on a contact has every key record that its origin had.

use std::time::Duration;

use corianderway_model::FailureDomain;
use corianderway_model::Time;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::probes::Pace;
use crate::set::Digest;

/// How long a contact with the platform or with a failure domain is relied on.
pub const CONTACT_TTL: Duration = Duration::from_secs(5);

/// The maximum age of a contact that is far from expiry.
const RECENT_AGE: Duration = Duration::from_millis(2500);

/// The age of the platform contact at which an instance may poll the platform itself.
const POLL_AGE: Duration = Duration::from_secs(4);

/// Whether an instance may decide on keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Contact with the platform is recent.
    Current,
    /// The platform is silent, but contact with most failure domains is recent.
    PeersOnly,
    /// Neither is recent; keyed requests are refused and open routes still served.
    Isolated,
}

impl Standing {
    /// Whether keyed requests are decided on rather than refused.
    pub fn serves_keyed(self) -> bool {
        match self {
            Self::Current | Self::PeersOnly => true,
            Self::Isolated => false,
        }
    }
}

/// A report of an instance's contacts, which it sends to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessReport {
    /// The digest of the sender's key records.
    pub keys: Digest,
    /// The digest of the set of failure domains that the sender counts.
    pub counted: Digest,
    /// The age of the contact with the platform, if within [`CONTACT_TTL`].
    pub platform: Option<Age>,
    /// The age of the contact with each failure domain, if within [`CONTACT_TTL`].
    pub domains: Vec<DomainAge>,
}

/// The age of a contact in milliseconds, rounded up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Age(pub u16);

/// A failure domain, by the hash of its name, and the age of the contact with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainAge(pub DomainHash, pub Age);

/// The hash of a failure domain's name, which is the same in every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DomainHash(pub u16);

impl From<&FailureDomain> for DomainHash {
    fn from(domain: &FailureDomain) -> Self {
        Self(xxh3_64(domain.as_str().as_bytes()) as u16)
    }
}

/// The contacts of one instance with the platform and the failure domains.
///
/// A contact never looks more recent than it is, however long messages take.
#[derive(Clone, Debug)]
pub struct Freshness {
    own: DomainHash,
    platform: Option<Time>,
    // The last contact with the platform that a peer reported.
    relayed: Option<Time>,
    // Every failure domain of the fleet, sorted by hash, and its last contact.
    domains: Vec<DomainContact>,
    counted: Digest,
}

#[derive(Clone, Copy, Debug)]
struct DomainContact {
    domain: DomainHash,
    at: Option<Time>,
}

impl Freshness {
    /// Creates a state without any contact; `own` is this instance's failure domain.
    pub fn new(own: &FailureDomain) -> Self {
        let mut fresh = Self {
            own: own.into(),
            platform: None,
            relayed: None,
            domains: Vec::new(),
            counted: Digest::default(),
        };
        fresh.set_domains([]);
        fresh
    }

    /// Sets the failure domains of the fleet; those already known keep their last contact.
    pub fn set_domains<'d>(&mut self, domains: impl IntoIterator<Item = &'d FailureDomain>) {
        let hashes = domains.into_iter().map(DomainHash::from);
        let mut all = hashes.chain([self.own]).collect::<Vec<_>>();
        all.sort();
        all.dedup();
        let heard = all.iter().map(|domain| DomainContact {
            domain: *domain,
            at: self.last_contact(*domain),
        });
        self.domains = heard.collect();
        let bytes = all.iter().flat_map(|d| d.0.to_le_bytes());
        self.counted = Digest(xxh3_64(&bytes.collect::<Vec<_>>()));
    }

    /// Records that this instance holds the platform's whole state as of `asked`
    /// or later.
    pub fn platform_answered(&mut self, asked: Time) {
        self.platform = self.platform.max(Some(asked));
    }

    /// Applies the report of a peer that answered a probe sent at `asked`.
    ///
    /// Ages count from the sending of the probe, so that a delay on the way
    /// can't make a contact look more recent than it is. Returns whether the
    /// digests agree; if they don't, nothing is applied.
    pub fn apply_report(&mut self, asked: Time, keys: Digest, word: &FreshnessReport) -> bool {
        if word.keys != keys || word.counted != self.counted {
            return false;
        }
        if let Some(at) = word.platform.and_then(|age| age.before(asked)) {
            self.relayed = self.relayed.max(Some(at));
            self.platform_answered(at);
        }
        for DomainAge(domain, age) in &word.domains {
            if let Ok(index) = self.find(*domain) {
                let known = &mut self.domains[index].at;
                *known = age.before(asked).max(*known);
            }
        }
        true
    }

    /// The report to send to a peer.
    ///
    /// Failure domains are omitted while contact with the platform is recent:
    /// they matter only once that contact expires.
    ///
    /// An instance reports its own failure domain as in contact only while it
    /// is not isolated; otherwise it may have missed a withdrawal.
    pub fn report(&mut self, now: Time, keys: Digest) -> FreshnessReport {
        self.refresh_own(now);
        let platform = self.platform.and_then(|at| Age::since(now, at));
        let reported = if self.platform_recent(now) {
            &[]
        } else {
            &*self.domains
        };
        let domains = reported
            .iter()
            .filter_map(|d| Some(DomainAge(d.domain, Age::since(now, d.at?)?)));
        FreshnessReport {
            keys,
            counted: self.counted,
            platform,
            domains: domains.collect(),
        }
    }

    /// Whether keyed requests may be decided on, and on which contact.
    pub fn standing(&self, now: Time) -> Standing {
        if within(now, self.platform, CONTACT_TTL) {
            return Standing::Current;
        }
        if self.majority_recent(now, CONTACT_TTL) {
            return Standing::PeersOnly;
        }
        Standing::Isolated
    }

    /// The age of the last contact with the platform, direct or reported by a peer.
    pub fn platform_age(&self, now: Time) -> Option<Duration> {
        self.platform.map(|at| now.since(at))
    }

    /// How often to probe other instances.
    pub(crate) fn pace(&self, now: Time) -> Pace {
        if self.platform_recent(now) {
            Pace::Normal
        } else if self.majority_recent(now, RECENT_AGE) {
            Pace::PlatformSilent
        } else {
            Pace::Urgent
        }
    }

    // Whether the contact with the platform is far from expiry.
    fn platform_recent(&self, now: Time) -> bool {
        within(now, self.platform, RECENT_AGE)
    }

    /// Whether the contact with a failure domain is far from expiry.
    pub(crate) fn domain_recent(&self, now: Time, domain: &FailureDomain) -> bool {
        within(now, self.last_contact(domain.into()), RECENT_AGE)
    }

    /// Whether a peer has reported a recent contact with the platform.
    pub(crate) fn relayed_recently(&self, now: Time) -> bool {
        within(now, self.relayed, RECENT_AGE)
    }

    /// Whether this instance is about to be isolated.
    pub(crate) fn at_risk(&self, now: Time) -> bool {
        !within(now, self.platform, POLL_AGE) && !self.majority_recent(now, CONTACT_TTL)
    }

    // One failure domain is never enough; otherwise an instance that knows only its
    // own one would count as a majority.
    fn majority_recent(&self, now: Time, span: Duration) -> bool {
        let heard = self.domains.iter().filter(|d| within(now, d.at, span));
        let heard = heard.count();
        heard > 1 && heard * 2 > self.domains.len()
    }

    fn refresh_own(&mut self, now: Time) {
        if self.standing(now).serves_keyed() {
            if let Ok(own) = self.find(self.own) {
                self.domains[own].at = Some(now);
            }
        }
    }

    fn last_contact(&self, domain: DomainHash) -> Option<Time> {
        let at = self.find(domain).ok()?;
        self.domains[at].at
    }

    fn find(&self, domain: DomainHash) -> Result<usize, usize> {
        self.domains.binary_search_by_key(&domain, |d| d.domain)
    }
}

impl Age {
    // None if the contact is too old to be relied on.
    fn since(now: Time, at: Time) -> Option<Self> {
        let age = now.since(at);
        let fits = age <= CONTACT_TTL;
        fits.then(|| Self(age.as_nanos().div_ceil(NANOS_PER_MILLI) as u16))
    }

    fn before(self, asked: Time) -> Option<Time> {
        let age = u64::from(self.0) * NANOS_PER_MILLI as u64;
        asked.as_nanos().checked_sub(age).map(Time::from_nanos)
    }
}

fn within(now: Time, at: Option<Time>, span: Duration) -> bool {
    at.is_some_and(|at| now.since(at) <= span)
}

const NANOS_PER_MILLI: u128 = 1_000_000;
