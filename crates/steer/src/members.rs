//! The instances of the fleet: those that the store lists, and the state of each from
//! the latest summary of its failure domain.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderway_model::FailureDomain;
use corianderway_model::InstanceId;
use corianderway_model::SortedMap;
use corianderway_model::Time;

use crate::digest::InstanceStatus;
use crate::digest::Summary;
use crate::hash;
use crate::listing::Member;
use crate::quota::DomainDemand;
use crate::quota::FleetDemand;
use crate::source::Replicas;
use crate::workload::OfferedLoads;

/// How long a summary is valid: after a relay is lost, its successor needs up to three
/// seconds to send one.
const SUMMARY_TTL: Duration = Duration::from_secs(4);

/// How long the demands in a summary are valid: three summaries in a row may be lost.
/// This is shorter than [`SUMMARY_TTL`], since instances that are cut off go on serving.
const DEMANDS_TTL: Duration = Duration::from_millis(1_600);

/// How long after its latest summary a relay is considered lost: two summaries in a
/// row are missing.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The delay per rank before an instance claims the role of the relay, so that the
/// first by rank claims it first.
const CLAIM_DELAY: Duration = Duration::from_millis(200);

/// How many instances of a domain, the first by rank, receive messages for its relay
/// while that is unknown or may change.
const FALLBACK_RECIPIENTS: usize = 2;

/// How long after its first list of instances an instance counts as just started.
const START_WINDOW: Duration = Duration::from_secs(3);

/// How long after it was last observed an instance is lost and its entry is removed.
const LOST_TIMEOUT: Duration = Duration::from_secs(20);

/// The instances of the fleet, this one included.
///
/// The input is the store's list of instances and the summaries of the failure
/// domains. All instances rank the members of a domain in the same order, and of two
/// relays in one domain the first by rank counts.
#[derive(Debug)]
pub(crate) struct Members {
    me: Member,
    hash: u32,
    others: SortedMap<InstanceId, Peer>,
    // The listed instances of each domain, this one included, in the order in which
    // they become the relay.
    ranking: SortedMap<FailureDomain, Vec<InstanceId>>,
    latest: SortedMap<FailureDomain, LatestSummary>,
    // The instance of this domain that claims the role of the relay, and the time of
    // its latest claim.
    claim: Option<(Time, InstanceId)>,
    // When the first list of instances arrived.
    listed: Option<Time>,
}

/// Another listed instance.
#[derive(Debug)]
struct Peer {
    member: Member,
    hash: u32,
    // When it was first listed, or later contained in a summary.
    last_seen: Time,
}

/// The latest summary of a domain and the time of its arrival.
#[derive(Debug)]
struct LatestSummary {
    arrived: Time,
    summary: Arc<Summary>,
}

impl Members {
    pub(crate) fn new(me: Member) -> Self {
        Self {
            hash: hash::short(me.entry.id.as_str()),
            me,
            others: SortedMap::default(),
            ranking: SortedMap::default(),
            latest: SortedMap::default(),
            claim: None,
            listed: None,
        }
    }

    /// Replaces the list of instances.
    pub(crate) fn set_listed(&mut self, now: Time, members: Vec<Member>) {
        self.listed.get_or_insert(now);
        let mut rows = SortedMap::default();
        for member in members {
            let id = member.entry.id.clone();
            if id == self.me.entry.id {
                continue;
            }
            let old = self.others.remove(&id);
            let same = old.filter(|row| row.member.run == member.run);
            let last_seen = same.map_or(now, |row| row.last_seen);
            let hash = hash::short(id.as_str());
            rows.insert(
                id,
                Peer {
                    member,
                    hash,
                    last_seen,
                },
            );
        }
        self.others = rows;
        self.update_ranking();
    }

    /// Stores a summary. Returns false if it is partial, outdated, or from a relay that
    /// another one outranks.
    pub(crate) fn apply_summary(&mut self, now: Time, summary: Arc<Summary>) -> bool {
        let from = &summary.from;
        if summary.partial {
            if summary.domain == self.me.entry.domain {
                self.claim = Some((now, from.clone()));
            }
            return false;
        }
        if let Some(known) = self.latest.get(&summary.domain) {
            let old = &known.summary;
            let same = old.from == *from && old.run == summary.run;
            let outdated = same && old.sequence >= summary.sequence;
            // Of two live relays the first by rank counts.
            let timed_out = now.since(known.arrived) >= RELAY_TIMEOUT;
            let rank = |id| self.rank_of(&summary.domain, id);
            if outdated || (old.from != *from && !timed_out && rank(&old.from) < rank(from)) {
                return false;
            }
        }
        for (_, row) in self.others.iter_mut() {
            if row.member.entry.domain == summary.domain
                && summary.instance_status(row.hash).is_some()
            {
                row.last_seen = now;
            }
        }
        let domain = summary.domain.clone();
        self.latest.insert(
            domain,
            LatestSummary {
                arrived: now,
                summary,
            },
        );
        true
    }

    /// Returns the other listed instances.
    pub(crate) fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.iter().map(|row| &row.1.member)
    }

    /// Returns the number of listed instances, this one included.
    pub(crate) fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns the number of other instances that are known to have run for a window of
    /// the retry budget.
    pub(crate) fn settled(&self, now: Time) -> usize {
        self.with_status(now, InstanceStatus::has_settled).count()
    }

    /// Returns the summaries that are still valid.
    pub(crate) fn summaries(&self, now: Time) -> impl Iterator<Item = &Summary> {
        let valid = self.latest.iter().filter(move |row| is_valid(now, row.1));
        valid.map(|row| &*row.1.summary)
    }

    /// Returns the demands from the summaries that are younger than [`DEMANDS_TTL`].
    pub(crate) fn known_demands(&self, now: Time) -> FleetDemand<'_> {
        let domains = self.latest.iter().map(|row| row.1);
        let known = domains.filter(|latest| now.since(latest.arrived) < DEMANDS_TTL);
        let known: Vec<&Summary> = known.map(|latest| &*latest.summary).collect();
        let own = &self.me.entry.domain;
        let own = known.iter().find(|summary| summary.domain == *own);
        FleetDemand {
            listed: self.count(),
            reporting: known.iter().map(|summary| summary.instances.len()).sum(),
            included: own.is_some_and(|summary| summary.instance_status(self.hash).is_some()),
            demands: known.iter().map(|summary| &summary.demands).collect(),
            domain: own.map(|summary| DomainDemand {
                reporting: summary.instances.len(),
                demands: &summary.demands,
            }),
        }
    }

    /// Returns the relay of this failure domain, if its latest summary arrived after the
    /// given time and contains this instance.
    pub(crate) fn relay(&self, now: Time, after: Time) -> Option<&InstanceId> {
        let latest = self.latest.get(&self.me.entry.domain)?;
        let summary = &latest.summary;
        let known = summary.instance_status(self.hash).is_some() && !is_leaving(summary);
        let is_live = now.since(latest.arrived) < RELAY_TIMEOUT && latest.arrived >= after;
        (known && is_live).then_some(&summary.from)
    }

    /// Returns the address for messages to an instance of this failure domain, if it is
    /// listed there.
    pub(crate) fn domain_peer(&self, id: &InstanceId) -> Option<SocketAddr> {
        let row = self.others.get(id)?;
        let near = row.member.entry.domain == self.me.entry.domain;
        near.then_some(row.member.entry.peers)
    }

    /// Returns the work that all callers offer.
    pub(crate) fn offered_loads(&self, now: Time) -> OfferedLoads {
        let mut loads = OfferedLoads::default();
        let me = &self.me.entry;
        for summary in self.summaries(now) {
            let first = self.ranked(&summary.domain).next();
            let member = first.and_then(|id| self.others.get(id));
            let own = summary.domain == me.domain;
            let region = member.map(|row| &row.member.entry.region);
            if let Some(region) = region.or(own.then_some(&me.region)) {
                loads.add(region, &summary.workloads);
            }
        }
        loads
    }

    /// Returns the requests per second that the instances of a failure domain receive, or
    /// 0 if that is unknown.
    pub(crate) fn request_rate(&self, now: Time, domain: &FailureDomain) -> f64 {
        let latest = self.latest.get(domain).filter(|row| is_valid(now, row));
        latest.map_or(0.0, |row| f64::from(row.summary.rate))
    }

    /// Returns the other instances that serve callers.
    pub(crate) fn serving(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.with_status(now, InstanceStatus::is_serving)
    }

    /// Returns whether another instance does not keep up with its work.
    pub(crate) fn is_late(&self, now: Time, id: &InstanceId) -> bool {
        let Some(row) = self.others.get(id) else {
            return false;
        };
        let latest = self.latest.get(&row.member.entry.domain);
        let latest = latest.filter(|r| is_valid(now, r));
        let status = latest.and_then(|r| r.summary.instance_status(row.hash));
        status.is_some_and(InstanceStatus::is_late)
    }

    /// Returns whether this instance is the first by name of those that reach the store;
    /// `reaches_store` says whether it reaches the store itself.
    pub(crate) fn is_leader(&self, now: Time, reaches_store: bool) -> bool {
        let me = &self.me.entry.id;
        let mut others = self.with_status(now, InstanceStatus::reaches_store);
        reaches_store && !others.any(|member| member.entry.id < *me)
    }

    /// Returns whether no instance reaches the store and this one is the first by name of
    /// those that serve callers.
    pub(crate) fn is_offline_leader(&self, now: Time) -> bool {
        let me = &self.me.entry.id;
        let reached = self
            .with_status(now, InstanceStatus::reaches_store)
            .next()
            .is_some();
        let mut others = self.with_status(now, InstanceStatus::is_serving);
        !reached && !others.any(|member| member.entry.id < *me)
    }

    /// Returns whether the store recently did not answer an instance of another failure
    /// domain, as the latest summaries tell. Returns true, too, if none tells: then there is
    /// no evidence that the store was there.
    pub(crate) fn miss_store(&self, now: Time) -> bool {
        let own = &self.me.entry.domain;
        let recent = |row: &LatestSummary| now.since(row.arrived) < RELAY_TIMEOUT;
        let others = self
            .latest
            .iter()
            .filter(|row| row.0 != own && recent(row.1));
        let mut told = false;
        for status in others.flat_map(|row| &row.1.summary.instances) {
            if status.doubts_store() {
                return true;
            }
            told |= status.reaches_store();
        }
        !told
    }

    /// Returns the replicas of the store that can be followed. The addresses in `seeds`
    /// count while no summary is valid, or the instances in them aren't listed yet.
    pub(crate) fn replicas(&self, now: Time, seeds: &[SocketAddr]) -> Replicas {
        let me = &self.me.entry;
        let reaching: Vec<&Member> = self
            .with_status(now, InstanceStatus::reaches_store)
            .collect();
        let is_near = |member: &&Member| member.entry.domain == me.domain;
        let (mut near, mut far): (Vec<_>, Vec<_>) = reaching.into_iter().partition(is_near);
        near.sort_by_key(|m| self.rank_of(&me.domain, &m.entry.id));
        far.sort_by_key(|m| m.entry.region != me.region);
        let ranked = self.ranked(&me.domain);
        let preceding = ranked.take_while(|id| **id != me.id);
        let preceding = preceding.filter_map(|id| self.others.get(id));
        let mut far: Vec<SocketAddr> = far.iter().map(|m| m.replica).collect();
        if self.listed.is_none() || self.summaries(now).next().is_none() {
            far.extend(seeds.iter().filter(|addr| **addr != self.me.replica));
        }
        Replicas {
            listed: self.listed.is_some(),
            near: near.iter().map(|m| m.replica).collect(),
            preceding: preceding.map(|row| row.member.replica).collect(),
            far,
            lagging_since: None,
            unreached_since: None,
        }
    }

    /// Returns the instances that are lost but still listed.
    pub(crate) fn lost(&self, now: Time) -> impl Iterator<Item = &Member> {
        let rows = self.others.iter().map(|row| row.1);
        let lost = rows.filter(move |row| now.since(row.last_seen) > LOST_TIMEOUT);
        lost.map(|row| &row.member)
    }

    /// Returns this instance.
    pub(crate) fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the hash of this instance's name.
    pub(crate) fn hash(&self) -> u32 {
        self.hash
    }

    /// Returns whether the first list of instances arrived only recently or not at all.
    pub(crate) fn is_starting(&self, now: Time) -> bool {
        self.listed.is_none_or(|at| now.since(at) < START_WINDOW)
    }

    /// Returns the number of instances listed in this domain, this one included.
    pub(crate) fn domain_size(&self) -> usize {
        self.ranked(&self.me.entry.domain).count().max(1)
    }

    /// Returns whether this domain has had no relay for longer than this instance waits
    /// for those that rank before it.
    pub(crate) fn is_relay_missing(&self, now: Time) -> bool {
        let Some(listed) = self.listed else {
            return false;
        };
        let own = &self.me.entry.domain;
        let rank = self.rank_of(own, &self.me.entry.id) as u32;
        let latest = self.latest.get(own);
        let (since, timeout) = match latest {
            Some(latest) if is_leaving(&latest.summary) => (latest.arrived, Duration::ZERO),
            Some(latest) => (latest.arrived, RELAY_TIMEOUT),
            None => (listed, Duration::ZERO),
        };
        now.since(since) >= timeout + CLAIM_DELAY * rank
    }

    /// Returns whether an instance that ranks before this one is the relay of the domain.
    /// If this one `stops`, it ranks last.
    pub(crate) fn is_outranked(&self, now: Time, stops: bool) -> bool {
        let own = &self.me.entry.domain;
        let Some(latest) = self.latest.get(own) else {
            return false;
        };
        let from = &latest.summary.from;
        let better = stops || self.rank_of(own, from) < self.rank_of(own, &self.me.entry.id);
        let is_live = now.since(latest.arrived) < RELAY_TIMEOUT && !is_leaving(&latest.summary);
        *from != self.me.entry.id && better && is_live
    }

    /// Returns the recipients of this instance's digest: the relay of its domain, one
    /// that claims the role, and the next ones by rank.
    pub(crate) fn digest_recipients(&self, now: Time) -> Vec<SocketAddr> {
        let own = &self.me.entry.domain;
        let latest = self
            .latest
            .get(own)
            .filter(|r| now.since(r.arrived) < RELAY_TIMEOUT);
        let relay = latest.map(|r| &r.summary.from);
        let claim = self.claim.as_ref();
        let claim = claim
            .filter(|c| now.since(c.0) < RELAY_TIMEOUT)
            .map(|c| &c.1);
        let first = self.ranked(own).filter(|id| **id != self.me.entry.id);
        let named = relay.into_iter().chain(claim);
        self.addresses(named.chain(first.take(FALLBACK_RECIPIENTS)))
    }

    /// Returns the recipients of this domain's summary in the other domains: the relay of
    /// each, or the first ones by rank if the relay is unknown.
    pub(crate) fn summary_recipients(&self, now: Time) -> Vec<SocketAddr> {
        let own = &self.me.entry.domain;
        let mut recipients = Vec::new();
        for (domain, _) in self.ranking.iter().filter(|row| row.0 != own) {
            let latest = self.latest.get(domain);
            match latest.filter(|r| now.since(r.arrived) < RELAY_TIMEOUT) {
                Some(latest) => recipients.push(&latest.summary.from),
                None => recipients.extend(self.ranked(domain).take(FALLBACK_RECIPIENTS)),
            }
        }
        self.addresses(recipients.into_iter())
    }

    /// Returns the addresses for messages to the other instances of this domain.
    pub(crate) fn domain_peers(&self) -> Vec<SocketAddr> {
        let ranked = self.ranked(&self.me.entry.domain);
        self.addresses(ranked)
    }

    fn with_status(
        &self,
        now: Time,
        holds: impl Fn(InstanceStatus) -> bool,
    ) -> impl Iterator<Item = &Member> {
        let rows = self.others.iter().map(|row| row.1);
        let wanted = rows.filter(move |row| {
            let latest = self.latest.get(&row.member.entry.domain);
            let latest = latest.filter(|r| is_valid(now, r));
            let status = latest.and_then(|r| r.summary.instance_status(row.hash));
            status.is_some_and(&holds)
        });
        wanted.map(|row| &row.member)
    }

    fn ranked(&self, domain: &FailureDomain) -> impl Iterator<Item = &InstanceId> {
        self.ranking.get(domain).into_iter().flatten()
    }

    fn rank_of(&self, domain: &FailureDomain, id: &InstanceId) -> usize {
        let at = self.ranked(domain).position(|ranked| ranked == id);
        at.unwrap_or(usize::MAX)
    }

    fn addresses<'a>(&self, ids: impl Iterator<Item = &'a InstanceId>) -> Vec<SocketAddr> {
        let rows = ids.filter_map(|id| self.others.get(id));
        let mut addresses: Vec<_> = rows.map(|row| row.member.entry.peers).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    // The instance with the most processor time ranks first, since relaying costs some.
    fn update_ranking(&mut self) {
        let mut members: Vec<&Member> = self.others.iter().map(|row| &row.1.member).collect();
        members.push(&self.me);
        members.sort_by_key(|m| (std::cmp::Reverse(m.millicores), m.entry.id.clone()));
        let mut ranking: SortedMap<FailureDomain, Vec<InstanceId>> = SortedMap::default();
        for member in members {
            let ranked = ranking.get_or_insert_with(member.entry.domain.clone(), Vec::new);
            ranked.push(member.entry.id.clone());
        }
        self.ranking = ranking;
    }
}

fn is_valid(now: Time, latest: &LatestSummary) -> bool {
    now.since(latest.arrived) < SUMMARY_TTL
}

// Returns whether the relay that sent a summary is stopping.
fn is_leaving(summary: &Summary) -> bool {
    let status = summary.instance_status(hash::short(summary.from.as_str()));
    status.is_some_and(InstanceStatus::is_leaving)
}
