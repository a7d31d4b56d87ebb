//! The events that claims handle and the actions that they request.

use std::sync::Arc;

use corianderway_model::Account;
use corianderway_model::Time;

use crate::claim_record::ClaimRecord;
use crate::claim_record::Nonce;
use crate::claim_record::Outcome;
use crate::request_key::BodyHash;
use crate::request_key::RequestKey;

/// The number of a request on this instance; each is used once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A request that must run at most once.
#[derive(Clone, Debug)]
pub struct OnceRequest {
    /// The request.
    pub id: RequestId,
    /// The client account.
    pub account: Account,
    /// The request key, whose age has been checked.
    pub key: RequestKey,
    /// The hash of the request's method, target and body.
    pub body: BodyHash,
    /// Random bits that identify this attempt; never reused.
    pub nonce: Nonce,
    /// The time after which the request is not forwarded.
    pub start_by: Time,
    /// The time after which a missing answer leaves the outcome unknown.
    pub answer_by: Time,
}

/// An event that claims handle.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// Time has passed; expected about every 100 ms while there are claims.
    Tick,
    /// A caller sent a request.
    Received(OnceRequest),
    /// A caller disconnected.
    CallerGone(RequestId),
    /// The platform answered a call, or the call failed.
    StoreAnswered {
        /// The name of the claim.
        name: Arc<str>,
        /// The number of the call.
        call: u64,
        /// The answer.
        answer: StoreAnswer,
    },
    /// A backend server answered a forwarded request, or the attempt failed.
    BackendAnswered {
        /// The name of the claim.
        name: Arc<str>,
        /// The number of the attempt.
        attempt: u64,
        /// The answer.
        answer: BackendAnswer,
    },
}

/// The platform's answer to a read or a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The write took effect; the claim now has this version.
    Written(u64),
    /// A claim is stored; if the call was a write, it had no effect.
    Found {
        /// Its version.
        version: u64,
        /// The claim.
        record: ClaimRecord,
    },
    /// No such claim is stored.
    Absent,
    /// No answer arrived; a write may have taken effect or may yet do so.
    NoAnswer,
}

/// The result of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendAnswer {
    /// The whole answer arrived.
    Answered(Arc<Outcome>),
    /// The backend server is known to have accepted no byte of the request.
    NotAccepted,
    /// Any other failure; the request may run.
    Broken,
}

/// An action that claims request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Write a claim to the platform if its precondition holds.
    Put {
        /// The name.
        name: Arc<str>,
        /// The number of the call, to be returned with the answer.
        call: u64,
        /// The precondition.
        expect: Precondition,
        /// The claim.
        record: ClaimRecord,
    },
    /// Read a claim from the platform.
    Get {
        /// The name.
        name: Arc<str>,
        /// The number of the call, to be returned with the answer.
        call: u64,
    },
    /// Send the request to one backend server.
    Forward {
        /// The name of the claim.
        name: Arc<str>,
        /// The number of the attempt, to be returned with the answer.
        attempt: u64,
        /// The time after which the request must not be sent and counts as
        /// not accepted; to be checked again just before the first byte.
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

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// No such object is stored.
    Absent,
    /// The stored object has this version.
    Version(u64),
}

/// The reply to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request ran once, with this outcome.
    Ran(Arc<Outcome>),
    /// The request did not run under this key; the caller may send it again.
    NotRun,
    /// This instance did not run the request and will not, but an earlier send
    /// under this key may have run. Sending it again under the same key is safe.
    NotStarted,
    /// The request may have run and will not run again under this key.
    MayHaveRun,
    /// The key belongs to a different request; this one did not run.
    Mismatch,
    /// Too many callers wait for the same request; sending it again may succeed.
    TooManyCallers,
}
