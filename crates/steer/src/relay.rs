//! The choice of the relay of a failure domain, and its summaries.
//!
//! All instances rank the members of a domain in the same order. The first live one is
//! the relay; when its summaries stop, the next by rank takes the role. Two relays at
//! once do no harm, since their summaries say the same.

use std::sync::Arc;
use std::time::Duration;

use corianderway_chart::Chart;
use corianderway_model::FailureDomain;
use corianderway_model::InstanceId;
use corianderway_model::SortedMap;
use corianderway_model::Time;
use serde::Deserialize;

use crate::crashes::merge_known;
use crate::digest::CrashSignatures;
use crate::digest::Demands;
use crate::digest::Digest;
use crate::digest::InstanceStatus;
use crate::digest::MoveReport;
use crate::digest::Summary;
use crate::digest::Workloads;
use crate::hash;
use crate::revisions::Revisions;

/// The state chart of the role, as the text of its file.
pub const RELAY_CHART: &str = include_str!("../charts/edge-relay.yaml");

/// The parsed state chart of the role.
pub(crate) type RelayChart = Chart<Role, Signal, Guard, Effect>;

/// How long after its latest digest an instance is considered lost: three digests in
/// a row are missing.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(3_500);

/// How long an instance that claims the role waits for digests: each instance of the
/// domain sends one in this time.
const GATHER_WINDOW: Duration = Duration::from_millis(1_100);

/// How long it waits soon after a start, when digests are more frequent.
const START_GATHER_WINDOW: Duration = Duration::from_millis(400);

/// The role of an instance in its failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Role {
    Member,
    Gathering,
    Relaying,
}

/// An event of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Signal {
    /// Time passed.
    Tick,
}

/// A condition of a branch of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Guard {
    /// The domain has had no relay for longer than this instance waits.
    RelayMissing,
    /// An instance that ranks before this one is the relay.
    Outranked,
    /// Every instance of the domain has sent a digest or had the time to.
    Gathered,
}

/// An action of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Effect {
    /// Records the time of the claim.
    RecordClaim,
}

/// The role of this instance, and the latest digests of its failure domain.
///
/// It keeps the digests of the other instances and its own, and merges them into the
/// summary of the domain. Until every instance had the time to send a digest, the
/// summary is partial and stays in the domain.
#[derive(Debug)]
pub(crate) struct Relay {
    chart: RelayChart,
    pub(crate) role: Role,
    // When this instance last claimed the role of the relay.
    claimed: Time,
    // The latest digest of each instance of the domain, with the time of its arrival.
    digests: SortedMap<InstanceId, (Time, Arc<Digest>)>,
    // The sequence number of the latest summary.
    sequence: u64,
    /// When the latest summary was sent.
    pub(crate) last_summary: Time,
}

/// The state of the failure domain, as far as it decides on the role.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DomainState {
    /// The number of its listed instances.
    pub(crate) size: usize,
    /// Whether the instance has just started.
    pub(crate) starting: bool,
    /// Whether it has had no relay for longer than this instance waits.
    pub(crate) relay_missing: bool,
    /// Whether an instance that ranks before this one is the relay.
    pub(crate) outranked: bool,
}

/// What a digest changes, in ascending order of importance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DigestChange {
    /// Nothing: it is not newer than the digest that is stored.
    Stale,
    /// Figures that can wait for the next regular summary.
    Regular,
    /// Something that other instances should receive at once.
    Urgent,
    /// The state of the instance itself, which others should receive at once, too.
    Status,
}

impl Relay {
    pub(crate) fn new(chart: RelayChart) -> Self {
        Self {
            chart,
            role: Role::Member,
            claimed: Time::ZERO,
            digests: SortedMap::default(),
            sequence: 0,
            last_summary: Time::ZERO,
        }
    }

    /// Updates the role; returns the old and the new role if they differ.
    pub(crate) fn advance(&mut self, now: Time, domain: &DomainState) -> Option<(Role, Role)> {
        let from = self.role;
        let span = if domain.starting {
            START_GATHER_WINDOW
        } else {
            GATHER_WINDOW
        };
        let complete = self.digests.len() >= domain.size;
        let gathered = complete || now.since(self.claimed) >= span;
        let step = self.chart.step(from, Signal::Tick, |guard| match guard {
            Guard::RelayMissing => domain.relay_missing,
            Guard::Outranked => domain.outranked,
            Guard::Gathered => gathered,
        });
        self.role = step.to;
        for effect in step.actions {
            match effect {
                Effect::RecordClaim => self.claimed = now,
            }
        }
        (from != self.role).then_some((from, self.role))
    }

    /// Stores the digest of an instance of the domain and returns what it changes.
    pub(crate) fn store_digest(&mut self, now: Time, digest: Arc<Digest>) -> DigestChange {
        let known = self.digests.get(&digest.from).map(|row| &row.1);
        let change = known.map_or(DigestChange::Status, |known| classify(known, &digest));
        if change != DigestChange::Stale {
            self.digests.insert(digest.from.clone(), (now, digest));
        }
        change
    }

    /// Removes the digests of lost instances and returns their names.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<InstanceId> {
        let is_lost = |at: Time| now.since(at) >= DIGEST_TIMEOUT;
        let lost = self.digests.iter().filter(|row| is_lost(row.1 .0));
        let lost: Vec<InstanceId> = lost.map(|row| row.0.clone()).collect();
        self.digests.retain(|_, row| !is_lost(row.0));
        lost
    }

    /// Creates the next summary of the domain from the stored digests.
    pub(crate) fn summarize(&mut self, now: Time, me: &Digest, domain: FailureDomain) -> Summary {
        self.sequence += 1;
        self.last_summary = now;
        let mut summary = Summary {
            from: me.from.clone(),
            run: me.run,
            sequence: self.sequence,
            domain,
            partial: self.role != Role::Relaying,
            instances: Vec::new(),
            legacy_revision: 0,
            changed: Revisions::default(),
            rate: 0.0,
            demands: Demands::new(),
            workloads: Workloads::new(),
            moves: me.moves.clone(),
            crashes: CrashSignatures::new(),
            known_crashes: Vec::new(),
        };
        let mut demands: SortedMap<u32, f32> = SortedMap::default();
        let mut workloads: SortedMap<u32, f32> = SortedMap::default();
        let mut crashes: SortedMap<u64, Vec<u32>> = SortedMap::default();
        let known = self.digests.iter().flat_map(|row| &row.1 .1.known_crashes);
        let aged = merge_known(known.cloned());
        for (id, (_, digest)) in self.digests.iter() {
            let hash = hash::short(id.as_str());
            summary.instances.push(InstanceStatus::new(hash, digest));
            summary.changed.merge(&digest.changed);
            summary.rate += digest.rate;
            for (account, demand) in &digest.demands {
                *demands.get_or_insert_with(*account, || 0.0) += demand;
            }
            for (service, work) in &digest.workloads {
                *workloads.get_or_insert_with(*service, || 0.0) += work;
            }
            // Only earlier builds send crashes without their age.
            let is_aged = !digest.known_crashes.is_empty();
            for (signature, servers) in &digest.crashes {
                if is_aged && !aged.iter().any(|row| row.signature == *signature) {
                    continue;
                }
                let known = crashes.get_or_insert_with(*signature, Vec::new);
                known.extend_from_slice(servers);
            }
            if *id != me.from {
                merge_reports(&mut summary.moves, &digest.moves);
            }
        }
        summary.instances.sort_by_key(|s| s.hash());
        summary.demands = demands.iter().map(|row| (*row.0, *row.1)).collect();
        summary.workloads = workloads.iter().map(|row| (*row.0, *row.1)).collect();
        for (signature, servers) in crashes.iter_mut() {
            servers.sort_unstable();
            servers.dedup();
            summary.crashes.push((*signature, servers.clone()));
        }
        summary.known_crashes = aged;
        summary
    }
}

fn merge_reports(moves: &mut [MoveReport], others: &[MoveReport]) {
    for report in others {
        let same = |m: &&mut MoveReport| m.service == report.service && m.order == report.order;
        if let Some(known) = moves.iter_mut().find(same) {
            known.merge(report);
        }
    }
}

// Returns what a digest changes compared with the stored one.
fn classify(known: &Digest, digest: &Digest) -> DigestChange {
    if known.run == digest.run && known.sequence >= digest.sequence {
        return DigestChange::Stale;
    }
    let bad = |d: &Digest| -> u32 {
        let tallies = d.moves.iter().flat_map(|m| &m.target);
        tallies.map(|t| t.failed + t.slow).sum()
    };
    let phases = |d: &Digest| -> Vec<u8> { d.moves.iter().map(|m| m.phase).collect() };
    let is_unchanged = known.run == digest.run
        && known.presence == digest.presence
        && known.ready == digest.ready
        && known.late == digest.late
        && known.doubts_store == digest.doubts_store
        && known.reaches_store == digest.reaches_store;
    let trials = |d: &Digest| -> u32 {
        let trials = d.known_crashes.iter().map(|row| u32::from(row.trials));
        trials.sum()
    };
    let regular = known.crashes == digest.crashes
        && trials(known) >= trials(digest)
        && phases(known) == phases(digest)
        && bad(known) >= bad(digest);
    match (is_unchanged, regular) {
        (false, _) => DigestChange::Status,
        (true, false) => DigestChange::Urgent,
        (true, true) => DigestChange::Regular,
    }
}
