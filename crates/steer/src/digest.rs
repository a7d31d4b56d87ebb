//! Messages between instances.
//!
//! An instance sends its [`Digest`] to the relay of its failure domain. The
//! relay merges the digests of the domain into one [`Summary`], which it sends
//! to the other domains, and it forwards their summaries within its own.
//! Serialized field names are short, since traffic between failure domains is
//! expensive.

use std::sync::Arc;

use corianderway_model::FailureDomain;
use corianderway_model::InstanceId;
use corianderway_model::Presence;
use corianderway_model::Service;
use serde::Deserialize;
use serde::Serialize;

use crate::revisions::Revisions;

/// Requests per second that callers send for each client account, by the hash
/// of the account.
pub type Demands = Vec<(u32, f32)>;

/// The work that callers offer to each service, as the number of slots that it
/// keeps busy, by the hash of the service.
pub type Workloads = Vec<(u32, f32)>;

/// Signatures of requests that crashed backend servers, each with the hashes of
/// those servers.
pub type CrashSignatures = Vec<(u64, Vec<u32>)>;

/// The crashes that are known of one request, whoever observed them. Without any it is a record
/// of an answer, which clears the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownCrashes {
    /// The signature of the request.
    #[serde(rename = "g")]
    pub signature: u64,
    /// The time since the latest crash, or since the answer, in whole seconds, rounded up.
    #[serde(rename = "a")]
    pub age_s: u32,
    /// The time since the first crash, in whole seconds, rounded down. Earlier builds omit
    /// it; then the crashes count as far apart.
    #[serde(rename = "f", default = "unknown_age")]
    pub first_age_s: u32,
    /// The hashes of the starts of the servers.
    #[serde(rename = "s")]
    pub starts: Vec<u32>,
    /// How often the request was tried again since it is quarantined.
    #[serde(rename = "t", default)]
    pub trials: u8,
    /// How many of these trials reached no server.
    #[serde(rename = "u", default)]
    pub returned: u8,
    /// The number of answers before the crashes, the largest that an instance counted.
    #[serde(rename = "n", default)]
    pub answers: u32,
}

const fn unknown_age() -> u32 {
    u32::MAX
}

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The state of one instance, sent to the relay of its failure domain.
    #[serde(rename = "d")]
    Digest(Arc<Digest>),
    /// The state of a failure domain, sent by its relay.
    #[serde(rename = "s")]
    Summary(Arc<Summary>),
    /// A request for a token, sent to the relay of the failure domain.
    #[serde(rename = "a")]
    TokenRequest(TokenRequest),
    /// The relay's reply to a request for a token.
    #[serde(rename = "l")]
    TokenReply(TokenReply),
    /// A message about a duty of one instance, which this package doesn't decide on.
    #[serde(rename = "u")]
    Duty(corianderway_duties::Message),
}

/// A request for one token of a client account, for one caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The instance that sends the request for a token.
    #[serde(rename = "i")]
    pub from: InstanceId,
    /// The number of the caller's request.
    #[serde(rename = "r")]
    pub request: u64,
    /// The hash of the client account.
    #[serde(rename = "a")]
    pub account: u32,
}

/// The reply to a request for a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenReply {
    /// The number of the caller's request, copied from the request for a token.
    #[serde(rename = "r")]
    pub request: u64,
    /// The hash of the client account.
    #[serde(rename = "a")]
    pub account: u32,
    /// The time until a token may be available, in milliseconds, or `None` if
    /// one is lent.
    #[serde(rename = "w")]
    pub wait_ms: Option<u32>,
}

/// The state of one instance, sent once a second and after important changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a field of the message"
)]
pub struct Digest {
    /// The instance.
    #[serde(rename = "i")]
    pub from: InstanceId,
    /// A random number drawn when the instance started.
    #[serde(rename = "r")]
    pub run: u64,
    /// The sequence number of the digest within the run.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Whether the instance is live or leaving.
    #[serde(rename = "p")]
    pub presence: Presence,
    /// Whether the instance serves callers.
    #[serde(rename = "s")]
    pub ready: bool,
    /// Whether the instance reaches the store directly.
    #[serde(rename = "k")]
    pub reaches_store: bool,
    /// Whether the instance does not keep up with its work.
    #[serde(rename = "l", default)]
    pub late: bool,
    /// Whether the store recently did not answer one of the instance's own calls.
    #[serde(rename = "o", default)]
    pub doubts_store: bool,
    /// Whether the instance has run for a window of the retry budget.
    #[serde(rename = "b", default)]
    pub settled: bool,
    /// Always 0: instances of earlier builds require the field, which held one
    /// revision for all kinds.
    #[serde(rename = "v")]
    pub legacy_revision: u64,
    /// The latest change of each kind of input that the instance has observed.
    #[serde(flatten)]
    pub changed: Revisions,
    /// Requests per second that the instance receives, with and without a
    /// client account.
    #[serde(rename = "q")]
    pub rate: f32,
    /// The demand of its callers.
    #[serde(rename = "d")]
    pub demands: Demands,
    /// The work that its callers offer.
    #[serde(rename = "w")]
    pub workloads: Workloads,
    /// The reports on version moves.
    #[serde(rename = "m")]
    pub moves: Vec<MoveReport>,
    /// Requests that crashed backend servers, as observed by the instance itself.
    #[serde(rename = "c")]
    pub crashes: CrashSignatures,
    /// What the instance knows of such requests, so that it outlives those who observed it.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub known_crashes: Vec<KnownCrashes>,
}

/// The merged state of a failure domain, sent by its relay twice a second and
/// after important changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The relay.
    #[serde(rename = "i")]
    pub from: InstanceId,
    /// A random number drawn when the relay started.
    #[serde(rename = "r")]
    pub run: u64,
    /// The sequence number of the summary within the run.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// The failure domain.
    #[serde(rename = "z")]
    pub domain: FailureDomain,
    /// Whether the relay has not received digests from the whole domain yet.
    #[serde(rename = "g")]
    pub partial: bool,
    /// The instances whose digests arrived recently, sorted by hash.
    #[serde(rename = "s")]
    pub instances: Vec<InstanceStatus>,
    /// Always 0, as in [`Digest`].
    #[serde(rename = "v")]
    pub legacy_revision: u64,
    /// The latest change of each kind of input that one of the instances has observed.
    #[serde(flatten)]
    pub changed: Revisions,
    /// Requests per second that the instances receive together.
    #[serde(rename = "q")]
    pub rate: f32,
    /// The merged demand of their callers.
    #[serde(rename = "d")]
    pub demands: Demands,
    /// The work that their callers offer, merged.
    #[serde(rename = "w")]
    pub workloads: Workloads,
    /// The merged reports on version moves.
    #[serde(rename = "m")]
    pub moves: Vec<MoveReport>,
    /// Requests that crashed backend servers, as observed in the domain.
    #[serde(rename = "c")]
    pub crashes: CrashSignatures,
    /// What the instances of the domain know of such requests, merged.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub known_crashes: Vec<KnownCrashes>,
}

/// The status of an instance: the hash of its name, the sequence number of its
/// last digest in the summary, and flags.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus(u32, u64, u8);

/// The flag of an instance that serves callers and isn't stopping.
const FLAG_SERVING: u8 = 1;

/// The flag of an instance that reaches the store directly.
const FLAG_STORE: u8 = 2;

/// The flag of an instance that is stopping.
const FLAG_LEAVING: u8 = 4;

/// The flag of an instance that does not keep up with its work.
const FLAG_LATE: u8 = 8;

/// The flag of an instance that the store recently did not answer.
const FLAG_DOUBTS: u8 = 16;

/// The flag of an instance that has run for a window of the retry budget.
const FLAG_SETTLED: u8 = 32;

/// The report on one version move, by one instance or merged over a failure
/// domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveReport {
    /// The service.
    #[serde(rename = "s")]
    pub service: Service,
    /// The identity of the order that asks for the move.
    #[serde(rename = "o")]
    pub order: u64,
    /// The time since the order was first seen, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// The position of the phase in the list of phases.
    #[serde(rename = "p")]
    pub phase: u8,
    /// Answers of the target, by route.
    #[serde(rename = "t")]
    pub target: Vec<Tally>,
    /// Answers of the old version, by route.
    #[serde(rename = "b")]
    pub base: Vec<Tally>,
    /// Requests that the old version is running.
    #[serde(rename = "f")]
    pub old_inflight: u32,
    /// Requests sent to the target since the order.
    #[serde(rename = "x", default)]
    pub exposed: u32,
    /// Requests sent to the service since the order.
    #[serde(rename = "n", default)]
    pub sent: u32,
    /// Requests since the order whose times are comparable, by server of the
    /// target.
    #[serde(rename = "y", default)]
    pub target_times: Vec<ServerTimes>,
    /// Requests since the order whose times are comparable, by server of the
    /// old version.
    #[serde(rename = "z", default)]
    pub base_times: Vec<ServerTimes>,
}

/// Requests of one backend server whose times are comparable with the usual
/// one: the hash of the server's name, the number of requests, and the number
/// of those that took much longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerTimes(u32, u32, u32);

/// Answers of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The hash of the route's name.
    #[serde(rename = "r")]
    pub route: u32,
    /// All answers, and failures without an answer.
    #[serde(rename = "n")]
    pub answers: u32,
    /// Failures, with or without an answer.
    #[serde(rename = "x")]
    pub failed: u32,
    /// Requests whose time is comparable with the usual one.
    #[serde(rename = "t", default)]
    pub timed: u32,
    /// Requests with a comparable time that took much longer than usual.
    #[serde(rename = "s", default)]
    pub slow: u32,
}

impl InstanceStatus {
    /// Returns the status of the sender of a digest. `hash` is the hash of the
    /// sender's name.
    pub(crate) fn new(hash: u32, digest: &Digest) -> Self {
        let leaves = digest.presence == Presence::Leaving;
        let flag = |holds: bool, flag: u8| if holds { flag } else { 0 };
        let flags = flag(digest.ready && !leaves, FLAG_SERVING)
            | flag(digest.reaches_store, FLAG_STORE)
            | flag(leaves, FLAG_LEAVING)
            | flag(digest.late, FLAG_LATE)
            | flag(digest.doubts_store, FLAG_DOUBTS)
            | flag(digest.settled, FLAG_SETTLED);
        Self(hash, digest.sequence, flags)
    }

    /// Returns the hash of the instance's name.
    pub fn hash(self) -> u32 {
        self.0
    }

    /// Returns the sequence number of its last digest in the summary.
    pub fn digest_sequence(self) -> u64 {
        self.1
    }

    /// Returns whether the instance serves callers and isn't stopping.
    pub fn is_serving(self) -> bool {
        self.2 & FLAG_SERVING != 0
    }

    /// Returns whether the instance reaches the store directly.
    pub fn reaches_store(self) -> bool {
        self.2 & FLAG_STORE != 0
    }

    /// Returns whether the instance does not keep up with its work.
    pub fn is_late(self) -> bool {
        self.2 & FLAG_LATE != 0
    }

    /// Returns whether the store recently did not answer the instance.
    pub fn doubts_store(self) -> bool {
        self.2 & FLAG_DOUBTS != 0
    }

    /// Returns whether the instance is known to have run for a window of the retry budget.
    pub fn has_settled(self) -> bool {
        self.2 & FLAG_SETTLED != 0
    }

    /// Returns whether the instance is stopping.
    pub fn is_leaving(self) -> bool {
        self.2 & FLAG_LEAVING != 0
    }
}

impl Summary {
    /// Returns the status of an instance by the hash of its name.
    pub fn instance_status(&self, hash: u32) -> Option<InstanceStatus> {
        let at = self.instances.binary_search_by_key(&hash, |s| s.hash());
        at.ok().map(|at| self.instances[at])
    }
}

impl MoveReport {
    /// Merges the report of another instance on the same move.
    ///
    /// The answers add up only where both are in the same phase.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.age_ms = self.age_ms.max(other.age_ms);
        self.exposed += other.exposed;
        self.sent += other.sent;
        for timed in &other.target_times {
            timed.add_to(&mut self.target_times);
        }
        for timed in &other.base_times {
            timed.add_to(&mut self.base_times);
        }
        if other.phase == self.phase {
            self.old_inflight += other.old_inflight;
            for tally in &other.target {
                tally.add_to(&mut self.target);
            }
            for tally in &other.base {
                tally.add_to(&mut self.base);
            }
        } else {
            // An instance in an earlier phase may still send requests to the
            // old version.
            self.old_inflight += other.old_inflight.max(1);
        }
    }
}

impl ServerTimes {
    /// Returns the row of one request. `hash` is the hash of the server's name.
    pub(crate) fn new(hash: u32, slow: bool) -> Self {
        Self(hash, 1, u32::from(slow))
    }

    /// Returns the hash of the server's name.
    pub(crate) fn server(self) -> u32 {
        self.0
    }

    /// Returns the number of requests.
    pub(crate) fn total(self) -> u32 {
        self.1
    }

    /// Returns the number of requests that took much longer than usual.
    pub(crate) fn slow(self) -> u32 {
        self.2
    }

    /// Returns the fraction of requests that took much longer than usual.
    pub(crate) fn slow_rate(self) -> f64 {
        f64::from(self.2) / f64::from(self.1.max(1))
    }

    /// Adds the counts to the row of the same server. `rows` is sorted by
    /// server.
    pub(crate) fn add_to(self, rows: &mut Vec<Self>) {
        match rows.binary_search_by_key(&self.0, |row| row.0) {
            Ok(at) => {
                rows[at].1 += self.1;
                rows[at].2 += self.2;
            }
            Err(at) => rows.insert(at, self),
        }
    }
}

impl Tally {
    /// Adds the counts to the tally of the same route.
    pub(crate) fn add_to(self, tallies: &mut Vec<Self>) {
        match tallies.iter_mut().find(|t| t.route == self.route) {
            Some(tally) => {
                tally.answers += self.answers;
                tally.failed += self.failed;
                tally.timed += self.timed;
                tally.slow += self.slow;
            }
            None => tallies.push(self),
        }
    }
}
