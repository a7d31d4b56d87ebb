//! The other instances: who is listed, and how each stands by the summaries of
//! the failure domains.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderway_model::FailureDomain;
use corianderway_model::InstanceId;
use corianderway_model::Sorted;
use corianderway_model::Time;

use crate::digest::Standing;
use crate::digest::Summary;
use crate::hash;
use crate::listing::Member;
use crate::quota::Part;
use crate::quota::Told;
use crate::source::Copies;
use crate::workload::Offers;

/// How long a summary is taken for true: a new relay needs up to three seconds
/// after the end of one.
const FRESH: Duration = Duration::from_secs(4);

/// How long the demands of a domain are taken for true: three summaries may be
/// lost. Its instances may be cut off and go on.
const DEMANDS_KNOWN: Duration = Duration::from_millis(1_600);

/// A relay that was not heard for this long may be gone: two summaries in a
/// row are missing.
const LAPSE: Duration = Duration::from_millis(1_200);

/// What the instances wait for each other, in the order of their rank, before
/// they claim the role of a relay.
const RANK_PAUSE: Duration = Duration::from_millis(200);

/// Instances of a domain that are told while none of it is known to relay.
const TOLD_UNKNOWN: usize = 2;

/// How long an instance counts as just started.
const YOUNG: Duration = Duration::from_secs(3);

/// The entry of an instance that was not heard for this long is removed.
const FORGET: Duration = Duration::from_secs(20);

/// The instances of the fleet, this one included.
#[derive(Debug)]
pub(crate) struct Members {
    me: Member,
    hash: u32,
    rows: Sorted<InstanceId, Row>,
    // The listed instances of each domain, this one included, the first one
    // to relay in front.
    ranks: Sorted<FailureDomain, Vec<InstanceId>>,
    domains: Sorted<FailureDomain, Heard>,
    // The instance of this domain that claims to relay, and when it said so.
    claim: Option<(Time, InstanceId)>,
    listed: Option<Time>,
}

#[derive(Debug)]
struct Row {
    member: Member,
    hash: u32,
    // When it was listed, or heard last.
    seen: Time,
}

/// The latest summary of a domain.
#[derive(Debug)]
struct Heard {
    at: Time,
    summary: Arc<Summary>,
}

impl Members {
    pub(crate) fn new(me: Member) -> Self {
        Self {
            hash: hash::short(me.entry.id.as_str()),
            me,
            rows: Sorted::default(),
            ranks: Sorted::default(),
            domains: Sorted::default(),
            claim: None,
            listed: None,
        }
    }

    /// Takes the list of instances.
    pub(crate) fn list(&mut self, now: Time, members: Vec<Member>) {
        self.listed.get_or_insert(now);
        let mut rows = Sorted::default();
        for member in members {
            let id = member.entry.id.clone();
            if id == self.me.entry.id {
                continue;
            }
            let old = self.rows.remove(&id);
            let same = old.filter(|row| row.member.run == member.run);
            let seen = same.map_or(now, |row| row.seen);
            let hash = hash::short(id.as_str());
            rows.insert(id, Row { member, hash, seen });
        }
        self.rows = rows;
        self.rank();
    }

    /// Takes a summary; false if it says nothing new.
    pub(crate) fn hear(&mut self, now: Time, summary: Arc<Summary>) -> bool {
        let from = &summary.from;
        if summary.partial {
            if summary.domain == self.me.entry.domain {
                self.claim = Some((now, from.clone()));
            }
            return false;
        }
        if let Some(known) = self.domains.get(&summary.domain) {
            let old = &known.summary;
            let same = old.from == *from && old.run == summary.run;
            let late = same && old.number >= summary.number;
            // Of two relays the one that ranks first counts.
            let lapsed = now.since(known.at) >= LAPSE;
            let rank = |id| self.rank_of(&summary.domain, id);
            if late || (old.from != *from && !lapsed && rank(&old.from) < rank(from)) {
                return false;
            }
        }
        for (_, row) in self.rows.iter_mut() {
            if row.member.entry.domain == summary.domain && summary.standing(row.hash).is_some() {
                row.seen = now;
            }
        }
        let domain = summary.domain.clone();
        self.domains.insert(domain, Heard { at: now, summary });
        true
    }

    /// The number of listed instances, this one included.
    pub(crate) fn count(&self) -> usize {
        self.rows.len() + 1
    }

    /// The summaries of the domains that were heard lately.
    pub(crate) fn summaries(&self, now: Time) -> impl Iterator<Item = &Summary> {
        let fresh = self.domains.iter().filter(move |row| is_fresh(now, row.1));
        fresh.map(|row| &*row.1.summary)
    }

    /// What the instances are known to demand.
    pub(crate) fn told(&self, now: Time) -> Told<'_> {
        let domains = self.domains.iter().map(|row| row.1);
        let known = domains.filter(|heard| now.since(heard.at) < DEMANDS_KNOWN);
        let known: Vec<&Summary> = known.map(|heard| &*heard.summary).collect();
        let own = &self.me.entry.domain;
        let own = known.iter().find(|summary| summary.domain == *own);
        Told {
            listed: self.count(),
            heard: known.iter().map(|summary| summary.standings.len()).sum(),
            included: own.is_some_and(|summary| summary.standing(self.hash).is_some()),
            demands: known.iter().map(|summary| &summary.demands).collect(),
            domain: own.map(|summary| Part {
                heard: summary.standings.len(),
                demands: &summary.demands,
            }),
        }
    }

    /// The relay of this failure domain, if it was heard after some moment and
    /// counts this instance.
    pub(crate) fn relay(&self, now: Time, after: Time) -> Option<&InstanceId> {
        let heard = self.domains.get(&self.me.entry.domain)?;
        let summary = &heard.summary;
        let known = summary.standing(self.hash).is_some() && !leaves(summary);
        let lives = now.since(heard.at) < LAPSE && heard.at >= after;
        (known && lives).then_some(&summary.from)
    }

    /// Where an instance of this failure domain listens, if it is listed.
    pub(crate) fn sibling(&self, id: &InstanceId) -> Option<SocketAddr> {
        let row = self.rows.get(id)?;
        let near = row.member.entry.domain == self.me.entry.domain;
        near.then_some(row.member.entry.peers)
    }

    /// The work that all callers offer.
    pub(crate) fn offers(&self, now: Time) -> Offers {
        let mut offers = Offers::default();
        let me = &self.me.entry;
        for summary in self.summaries(now) {
            let first = self.ranked(&summary.domain).next();
            let member = first.and_then(|id| self.rows.get(id));
            let own = summary.domain == me.domain;
            let region = member.map(|row| &row.member.entry.region);
            if let Some(region) = region.or(own.then_some(&me.region)) {
                offers.add(region, &summary.works);
            }
        }
        offers
    }

    /// The instances to name to callers, without this one.
    pub(crate) fn serving(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.standing(now, Standing::serves)
    }

    /// Whether this instance is the first of those that reach the store.
    pub(crate) fn leads(&self, now: Time, stored: bool) -> bool {
        let me = &self.me.entry.id;
        let mut others = self.standing(now, Standing::is_stored);
        stored && !others.any(|member| member.entry.id < *me)
    }

    /// Whether this instance decides for all while none reaches the store.
    pub(crate) fn leads_unstored(&self, now: Time) -> bool {
        let me = &self.me.entry.id;
        let stored = self.standing(now, Standing::is_stored).next().is_some();
        let mut others = self.standing(now, Standing::serves);
        !stored && !others.any(|member| member.entry.id < *me)
    }

    /// Whose copies of the store can be followed; `seeds` may serve them, too.
    pub(crate) fn copies(&self, now: Time, seeds: &[SocketAddr]) -> Copies {
        let me = &self.me.entry;
        let stored: Vec<&Member> = self.standing(now, Standing::is_stored).collect();
        let is_near = |member: &&Member| member.entry.domain == me.domain;
        let (mut near, mut far): (Vec<_>, Vec<_>) = stored.into_iter().partition(is_near);
        near.sort_by_key(|m| self.rank_of(&me.domain, &m.entry.id));
        far.sort_by_key(|m| m.entry.region != me.region);
        let ranked = self.ranked(&me.domain);
        let ahead = ranked.take_while(|id| **id != me.id);
        let ahead = ahead.filter_map(|id| self.rows.get(id));
        let mut far: Vec<SocketAddr> = far.iter().map(|m| m.replica).collect();
        if self.summaries(now).next().is_none() {
            far.extend(seeds.iter().filter(|addr| **addr != self.me.replica));
        }
        Copies {
            known: self.listed.is_some(),
            near: near.iter().map(|m| m.replica).collect(),
            ahead: ahead.map(|row| row.member.replica).collect(),
            far,
            behind: None,
        }
    }

    /// The instances whose entries outlived them.
    pub(crate) fn lost(&self, now: Time) -> impl Iterator<Item = &Member> {
        let rows = self.rows.iter().map(|row| row.1);
        let lost = rows.filter(move |row| now.since(row.seen) > FORGET);
        lost.map(|row| &row.member)
    }

    /// This instance.
    pub(crate) fn me(&self) -> &Member {
        &self.me
    }

    /// The hash of this instance's name.
    pub(crate) fn hash(&self) -> u32 {
        self.hash
    }

    /// Whether the other instances became known only lately.
    pub(crate) fn is_young(&self, now: Time) -> bool {
        self.listed.is_none_or(|at| now.since(at) < YOUNG)
    }

    /// The instances that are listed in this domain, this one included.
    pub(crate) fn domain_size(&self) -> usize {
        self.ranked(&self.me.entry.domain).count().max(1)
    }

    /// Whether no instance of this domain has relayed for longer than this one
    /// waits for those that rank before it.
    pub(crate) fn is_vacant(&self, now: Time) -> bool {
        let Some(listed) = self.listed else {
            return false;
        };
        let own = &self.me.entry.domain;
        let rank = self.rank_of(own, &self.me.entry.id) as u32;
        let heard = self.domains.get(own);
        let (since, patience) = match heard {
            Some(heard) if leaves(&heard.summary) => (heard.at, Duration::ZERO),
            Some(heard) => (heard.at, LAPSE),
            None => (listed, Duration::ZERO),
        };
        now.since(since) >= patience + RANK_PAUSE * rank
    }

    /// Whether an instance that ranks before this one relays for the domain;
    /// one that `stops` ranks last.
    pub(crate) fn is_outranked(&self, now: Time, stops: bool) -> bool {
        let own = &self.me.entry.domain;
        let Some(heard) = self.domains.get(own) else {
            return false;
        };
        let from = &heard.summary.from;
        let better = stops || self.rank_of(own, from) < self.rank_of(own, &self.me.entry.id);
        let lives = now.since(heard.at) < LAPSE && !leaves(&heard.summary);
        *from != self.me.entry.id && better && lives
    }

    /// Where this instance's digest goes: the relay of its domain, one that
    /// claims to be it, and those that would follow.
    pub(crate) fn candidates(&self, now: Time) -> Vec<SocketAddr> {
        let own = &self.me.entry.domain;
        let heard = self.domains.get(own).filter(|h| now.since(h.at) < LAPSE);
        let relay = heard.map(|h| &h.summary.from);
        let claim = self.claim.as_ref();
        let claim = claim.filter(|c| now.since(c.0) < LAPSE).map(|c| &c.1);
        let first = self.ranked(own).filter(|id| **id != self.me.entry.id);
        let named = relay.into_iter().chain(claim);
        self.addresses(named.chain(first.take(TOLD_UNKNOWN)))
    }

    /// Where a summary of this domain goes in the other domains: the relay of
    /// each, or where none is known those that rank first.
    pub(crate) fn relays(&self, now: Time) -> Vec<SocketAddr> {
        let own = &self.me.entry.domain;
        let mut relays = Vec::new();
        for (domain, _) in self.ranks.iter().filter(|row| row.0 != own) {
            let heard = self.domains.get(domain);
            match heard.filter(|h| now.since(h.at) < LAPSE) {
                Some(heard) => relays.push(&heard.summary.from),
                None => relays.extend(self.ranked(domain).take(TOLD_UNKNOWN)),
            }
        }
        self.addresses(relays.into_iter())
    }

    /// Where the other instances of this domain listen.
    pub(crate) fn siblings(&self) -> Vec<SocketAddr> {
        let ranked = self.ranked(&self.me.entry.domain);
        self.addresses(ranked)
    }

    fn standing(
        &self,
        now: Time,
        holds: impl Fn(Standing) -> bool,
    ) -> impl Iterator<Item = &Member> {
        let rows = self.rows.iter().map(|row| row.1);
        let wanted = rows.filter(move |row| {
            let heard = self.domains.get(&row.member.entry.domain);
            let heard = heard.filter(|h| is_fresh(now, h));
            let standing = heard.and_then(|h| h.summary.standing(row.hash));
            standing.is_some_and(&holds)
        });
        wanted.map(|row| &row.member)
    }

    fn ranked(&self, domain: &FailureDomain) -> impl Iterator<Item = &InstanceId> {
        self.ranks.get(domain).into_iter().flatten()
    }

    fn rank_of(&self, domain: &FailureDomain, id: &InstanceId) -> usize {
        let at = self.ranked(domain).position(|ranked| ranked == id);
        at.unwrap_or(usize::MAX)
    }

    fn addresses<'a>(&self, ids: impl Iterator<Item = &'a InstanceId>) -> Vec<SocketAddr> {
        let rows = ids.filter_map(|id| self.rows.get(id));
        let mut addresses: Vec<_> = rows.map(|row| row.member.entry.peers).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    // The one with most processor time relays, since it costs some.
    fn rank(&mut self) {
        let mut members: Vec<&Member> = self.rows.iter().map(|row| &row.1.member).collect();
        members.push(&self.me);
        members.sort_by_key(|m| (std::cmp::Reverse(m.millicores), m.entry.id.clone()));
        let mut ranks: Sorted<FailureDomain, Vec<InstanceId>> = Sorted::default();
        for member in members {
            let ranked = ranks.get_or(member.entry.domain.clone(), Vec::new);
            ranked.push(member.entry.id.clone());
        }
        self.ranks = ranks;
    }
}

fn is_fresh(now: Time, heard: &Heard) -> bool {
    now.since(heard.at) < FRESH
}

// Whether the relay that made a summary stops.
fn leaves(summary: &Summary) -> bool {
    let standing = summary.standing(hash::short(summary.from.as_str()));
    standing.is_some_and(Standing::leaves)
}
