//! What happens to claims, and what is done about them.

use std::sync::Arc;

use corianderway_model::Account;
use corianderway_model::Time;

use crate::claim_record::ClaimRecord;
use crate::claim_record::Nonce;
use crate::claim_record::Outcome;
use crate::request_key::BodyHash;
use crate::request_key::RequestKey;

/// A request on this instance, by a number that is used once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A request that must run at most once.
#[derive(Clone, Debug)]
pub struct OnceRequest {
    /// The request.
    pub id: RequestId,
    /// The client account.
    pub account: Account,
    /// The request key, of an age that was checked.
    pub key: RequestKey,
    /// What the request asks for.
    pub body: BodyHash,
    /// Random bits, never used before.
    pub nonce: Nonce,
    /// Nothing is forwarded after this.
    pub start_by: Time,
    /// An answer that has not come by then counts as not known.
    pub answer_by: Time,
}

/// What happens to claims.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// Time has passed; due about every 100 ms while there are claims.
    Tick,
    /// A caller sent a request.
    Received(OnceRequest),
    /// A caller went away.
    Gone(RequestId),
    /// The platform answered a call, or did not.
    Stored {
        /// The name of the claim.
        name: Arc<str>,
        /// The number of the call.
        call: u64,
        /// The answer.
        answer: StoreAnswer,
    },
    /// A backend server answered a forwarded request, or did not.
    Backend {
        /// The name of the claim.
        name: Arc<str>,
        /// The number of the attempt.
        attempt: u64,
        /// The answer.
        answer: BackendAnswer,
    },
}

/// What the platform answers to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The write took effect; the claim now has this version.
    Written(u64),
    /// There is a claim; a write took no effect.
    Found {
        /// Its version.
        version: u64,
        /// The claim.
        record: ClaimRecord,
    },
    /// There is no such claim.
    Absent,
    /// No answer; a write may have taken effect or may yet do so.
    Lost,
}

/// What became of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendAnswer {
    /// The whole answer came.
    Answered(Arc<Outcome>),
    /// Certainly not one byte of the request was accepted.
    NotAccepted,
    /// Anything else; the request may run.
    Broken,
}

/// What is done about claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Write a claim to the platform on a condition.
    Put {
        /// The name.
        name: Arc<str>,
        /// The number of the call, to be given back with the answer.
        call: u64,
        /// The condition.
        expect: Expect,
        /// The claim.
        record: ClaimRecord,
    },
    /// Read a claim from the platform.
    Get {
        /// The name.
        name: Arc<str>,
        /// The number of the call, to be given back with the answer.
        call: u64,
    },
    /// Send the request to one backend server.
    Forward {
        /// The name of the claim.
        name: Arc<str>,
        /// The number of the attempt, to be given back with the answer.
        attempt: u64,
        /// Past this time the request must not be sent any more, and counts
        /// as not accepted; to be checked again just before the first byte.
        not_after: Time,
    },
    /// Answer a caller.
    Reply {
        /// The request.
        request: RequestId,
        /// The answer.
        reply: Reply,
    },
}

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// There is no such object.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request ran once, with this outcome.
    Ran(Arc<Outcome>),
    /// The request did not run under this key; it may be sent again.
    NotRun,
    /// This instance did not run the request and will not; an earlier sending
    /// under this key may have run. Sent again under the same key it is safe.
    NotStarted,
    /// The request may have run; it is not run again under this key.
    MayHaveRun,
    /// The key belongs to a request that asks for something else; not run.
    Mismatch,
    /// Too many callers wait for the same request; sent again it may succeed.
    Crowded,
}
