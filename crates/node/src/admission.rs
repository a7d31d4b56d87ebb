//! Admission of new requests: finds the contract and route, and checks the key.

use std::sync::Arc;
use std::time::Duration;

use corianderway_control::KeyRefusal;
use corianderway_model::Access;
use corianderway_model::Contract;
use corianderway_model::Replay;
use corianderway_model::Route;
use corianderway_model::Time;
use corianderway_routing::Attempts;

use crate::event::Action;
use crate::event::RequestHead;
use crate::event::RequestId;
use crate::node::Node;
use crate::open::OpenRequest;
use crate::record::Record;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// The maximum number of attempts for one request.
const MAX_ATTEMPTS: usize = 3;

/// The delay after which a caller may retry at an instance without configuration.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Node {
    /// Admits or refuses a new request. An admitted one enters its chart.
    pub(crate) fn handle_request(&mut self, now: Time, query: RequestHead, out: &mut Vec<Action>) {
        let found = self.find_route(&query);
        let (contract, route) = match found {
            Ok(found) => found,
            Err(refusal) => return refuse_at_admission(&query, None, None, refusal, out),
        };
        let admitted = self.check_key(now, &query, &contract, &route);
        if let Err(reason) = admitted {
            let refusal = Refusal::not_run(reason);
            return refuse_at_admission(&query, Some(&contract), Some(&route), refusal, out);
        }
        let patience = query.timeout.unwrap_or(route.deadline).min(route.deadline);
        let open = OpenRequest {
            state: self.chart.initial(),
            start_by: now + patience,
            deadline: now + patience,
            attempts: Attempts::new(route.replay, MAX_ATTEMPTS),
            rate_admitted: false,
            quota_deadline: None,
            queued_since: None,
            forwarded_at: None,
            ticket: None,
            claim: None,
            claim_attempt: 0,
            claim_replied: false,
            sent: false,
            picked_version: None,
            broken_count: 0,
            checked_server: None,
            claim_outcome: None,
            outcome: None,
            refusal: None,
            query,
            contract,
            route,
        };
        let mut open = open;
        let signal = self.admit(now, &mut open, false);
        self.advance(now, open, signal, out);
    }

    fn find_route(&self, query: &RequestHead) -> Result<(Arc<Contract>, Arc<Route>), Refusal> {
        if self.contracts.all().is_empty() {
            return Err(Refusal::not_run(Reason::NotReady).retry_after(NOT_READY_RETRY_DELAY));
        }
        let contract = self.contracts.by_host(&query.host);
        let contract = contract.ok_or(Refusal::not_run(Reason::UnknownHost))?;
        let route = contract.route(&query.method, &query.path);
        let route = route.ok_or(Refusal::not_run(Reason::UnknownRoute))?;
        if route.replay != Replay::Idempotent && query.idempotency_key.is_none() {
            return Err(Refusal::not_run(Reason::TokenMissing));
        }
        Ok((Arc::clone(contract), Arc::clone(route)))
    }

    // Checks the key if there is one, also on open routes, so that a wrong key is
    // noticed.
    fn check_key(
        &self,
        now: Time,
        query: &RequestHead,
        contract: &Contract,
        route: &Route,
    ) -> Result<(), Reason> {
        let Some(key) = &query.key else {
            return match route.access {
                Access::Open => Ok(()),
                Access::Keyed => Err(Reason::KeyMissing),
            };
        };
        let standing = self.control.standing(now);
        match self.keys.check(key.expose(), standing) {
            Ok(accepted) if *accepted.account == contract.account => Ok(()),
            Err(KeyRefusal::Isolated) => Err(Reason::KeyUnchecked),
            Ok(_) | Err(_) => Err(Reason::KeyRefused),
        }
    }
}

/// Refuses a request that has not entered the table of open requests.
fn refuse_at_admission(
    query: &RequestHead,
    contract: Option<&Contract>,
    route: Option<&Route>,
    refusal: Refusal,
    out: &mut Vec<Action>,
) {
    let refusal = refusal.under_key(query.idempotency_key.as_deref());
    let account = contract.map(|c| c.account.clone());
    let route = route.map(|r| r.name.clone());
    out.push(Action::Log(Record::Refused {
        request_id: Arc::clone(&query.request_id),
        account,
        route,
        reason: refusal.reason,
        ran: refusal.ran,
    }));
    refuse(query.id, refusal, out);
}

/// Sends a refusal to the caller.
pub(crate) fn refuse(id: RequestId, refusal: Refusal, out: &mut Vec<Action>) {
    out.push(Action::Refuse { id, refusal });
}
