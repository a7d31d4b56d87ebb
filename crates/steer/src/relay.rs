//! Which instance of a failure domain speaks for it.
//!
//! The instances of a domain are ranked the same way by all. The first one
//! that lives relays; the next takes over when it falls silent. Two at once do
//! no harm: they tell the same.

use std::sync::Arc;
use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::FailureDomain;
use corianderway_model::InstanceId;
use corianderway_model::Sorted;
use corianderway_model::Time;
use serde::Deserialize;

use crate::digest::Breaks;
use crate::digest::Demands;
use crate::digest::Digest;
use crate::digest::Sighting;
use crate::digest::Standing;
use crate::digest::Summary;
use crate::digest::Works;
use crate::hash;

/// The chart file of the role.
pub const RELAY_CHART: &str = include_str!("../charts/edge-relay.yaml");

/// The checked chart of the role.
pub(crate) type RelayChart = Chart<Role, Signal, Guard, Effect>;

/// An instance that was not heard for this long is taken for gone: three
/// digests in a row would have to be lost.
const SILENCE: Duration = Duration::from_millis(3_500);

/// The time in which every instance of the domain sends a digest to one that
/// claims the role.
const GATHER: Duration = Duration::from_millis(1_100);

/// The same soon after a start, when digests follow each other faster.
const GATHER_YOUNG: Duration = Duration::from_millis(400);

/// Where the instance stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Role {
    Member,
    Gathering,
    Relaying,
}

/// What happens to the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    /// Time passed.
    Tick,
}

/// What decides between two branches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// No instance of the domain has spoken for longer than this one waits.
    Vacant,
    /// One that ranks before this one speaks.
    Outranked,
    /// Every instance of the domain had time to send a digest.
    Gathered,
}

/// What is done on the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    /// Note when the claim began.
    Mark,
}

/// The role of this instance, and the digests of its failure domain.
#[derive(Debug)]
pub(crate) struct Relay {
    chart: RelayChart,
    pub(crate) role: Role,
    claimed: Time,
    // The latest digest of each instance of the domain, and when it came.
    digests: Sorted<InstanceId, (Time, Arc<Digest>)>,
    number: u64,
    /// When the last summary was sent.
    pub(crate) told: Time,
}

/// How the failure domain looks to the instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Domain {
    /// Its listed instances.
    pub(crate) size: usize,
    /// Whether the instance has just started.
    pub(crate) young: bool,
    /// Whether no instance has relayed for longer than this one waits.
    pub(crate) vacant: bool,
    /// Whether one that ranks before this one relays.
    pub(crate) outranked: bool,
}

/// What a digest tells that was not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum News {
    /// It is older than one that came before.
    Stale,
    /// Figures.
    Usual,
    /// Something that others should hear at once.
    Urgent,
    /// How the instance stands, which others should hear at once, too.
    Standing,
}

impl Relay {
    pub(crate) fn new(chart: RelayChart) -> Self {
        Self {
            chart,
            role: Role::Member,
            claimed: Time::ZERO,
            digests: Sorted::default(),
            number: 0,
            told: Time::ZERO,
        }
    }

    /// Lets time pass; gives back the roles before and after if they differ.
    pub(crate) fn advance(&mut self, now: Time, domain: &Domain) -> Option<(Role, Role)> {
        let from = self.role;
        let span = if domain.young { GATHER_YOUNG } else { GATHER };
        let whole = self.digests.len() >= domain.size;
        let gathered = whole || now.since(self.claimed) >= span;
        let step = self.chart.step(from, Signal::Tick, |guard| match guard {
            Guard::Vacant => domain.vacant,
            Guard::Outranked => domain.outranked,
            Guard::Gathered => gathered,
        });
        self.role = step.to;
        for effect in step.actions {
            match effect {
                Effect::Mark => self.claimed = now,
            }
        }
        (from != self.role).then_some((from, self.role))
    }

    /// Keeps the digest of an instance of the domain.
    pub(crate) fn gather(&mut self, now: Time, digest: Arc<Digest>) -> News {
        let known = self.digests.get(&digest.from).map(|row| &row.1);
        let news = known.map_or(News::Standing, |known| compare(known, &digest));
        if news != News::Stale {
            self.digests.insert(digest.from.clone(), (now, digest));
        }
        news
    }

    /// Forgets instances that fell silent; gives back their names.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<InstanceId> {
        let silent = |at: Time| now.since(at) >= SILENCE;
        let gone = self.digests.iter().filter(|row| silent(row.1 .0));
        let gone: Vec<InstanceId> = gone.map(|row| row.0.clone()).collect();
        self.digests.retain(|_, row| !silent(row.0));
        gone
    }

    /// The state of the domain, from the digests at hand.
    pub(crate) fn summarise(&mut self, now: Time, me: &Digest, domain: FailureDomain) -> Summary {
        self.number += 1;
        self.told = now;
        let mut summary = Summary {
            from: me.from.clone(),
            run: me.run,
            number: self.number,
            domain,
            partial: self.role != Role::Relaying,
            standings: Vec::new(),
            revision: 0,
            rate: 0.0,
            demands: Demands::new(),
            works: Works::new(),
            moves: me.moves.clone(),
            crashes: Breaks::new(),
        };
        let mut demands: Sorted<u32, f32> = Sorted::default();
        let mut works: Sorted<u32, f32> = Sorted::default();
        let mut crashes: Sorted<u64, Vec<u32>> = Sorted::default();
        for (id, (_, digest)) in self.digests.iter() {
            let hash = hash::short(id.as_str());
            summary.standings.push(Standing::new(hash, digest));
            summary.revision = summary.revision.max(digest.revision);
            summary.rate += digest.rate;
            for (account, demand) in &digest.demands {
                *demands.get_or(*account, || 0.0) += demand;
            }
            for (service, work) in &digest.works {
                *works.get_or(*service, || 0.0) += work;
            }
            for (signature, servers) in &digest.crashes {
                let known = crashes.get_or(*signature, Vec::new);
                known.extend_from_slice(servers);
            }
            if *id != me.from {
                absorb(&mut summary.moves, &digest.moves);
            }
        }
        summary.standings.sort_by_key(|s| s.hash());
        summary.demands = demands.iter().map(|row| (*row.0, *row.1)).collect();
        summary.works = works.iter().map(|row| (*row.0, *row.1)).collect();
        for (signature, servers) in crashes.iter_mut() {
            servers.sort_unstable();
            servers.dedup();
            summary.crashes.push((*signature, servers.clone()));
        }
        summary
    }
}

fn absorb(moves: &mut [Sighting], more: &[Sighting]) {
    for sighting in more {
        let same = |m: &&mut Sighting| m.service == sighting.service && m.order == sighting.order;
        if let Some(known) = moves.iter_mut().find(same) {
            known.absorb(sighting);
        }
    }
}

// What a digest says that the one before did not.
fn compare(known: &Digest, digest: &Digest) -> News {
    if known.run == digest.run && known.number >= digest.number {
        return News::Stale;
    }
    let bad = |d: &Digest| -> u32 {
        let tallies = d.moves.iter().flat_map(|m| &m.target);
        tallies.map(|t| t.bad + t.slow).sum()
    };
    let phases = |d: &Digest| -> Vec<u8> { d.moves.iter().map(|m| m.phase).collect() };
    let stands = known.run == digest.run
        && known.presence == digest.presence
        && known.ready == digest.ready
        && known.stored == digest.stored;
    let usual = known.crashes == digest.crashes
        && phases(known) == phases(digest)
        && bad(known) >= bad(digest);
    match (stands, usual) {
        (false, _) => News::Standing,
        (true, false) => News::Urgent,
        (true, true) => News::Usual,
    }
}
