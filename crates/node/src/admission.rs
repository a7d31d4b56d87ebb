//! Admission: contract, route, key, and readiness of a request.

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
use crate::event::Query;
use crate::event::RequestId;
use crate::node::Node;
use crate::open::Open;
use crate::record::Record;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// The most attempts for one request.
const ATTEMPTS: usize = 3;

/// When a caller may come back to an instance without configuration.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

impl Node {
    /// Takes a new request.
    pub(crate) fn receive(&mut self, now: Time, query: Query, out: &mut Vec<Action>) {
        let found = self.find_route(&query);
        let (contract, route) = match found {
            Ok(found) => found,
            Err(refusal) => return turn_away(&query, None, None, refusal, out),
        };
        let admitted = self.check_key(now, &query, &contract, &route);
        if let Err(reason) = admitted {
            let refusal = Refusal::not_run(reason);
            return turn_away(&query, Some(&contract), Some(&route), refusal, out);
        }
        let patience = query.patience.unwrap_or(route.deadline).min(route.deadline);
        let open = Open {
            state: self.chart.initial(),
            start_by: now + patience,
            deadline: now + patience,
            attempts: Attempts::new(route.replay, ATTEMPTS),
            rated: false,
            give_up: None,
            waits: None,
            forwarded: None,
            ticket: None,
            claim: None,
            attempt: 0,
            sent: false,
            picked: None,
            broken: 0,
            remembered: None,
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

    fn find_route(&self, query: &Query) -> Result<(Arc<Contract>, Arc<Route>), Refusal> {
        if self.contracts.all().is_empty() {
            return Err(Refusal::not_run(Reason::NotReady).retry_after(NOT_READY_RETRY));
        }
        let contract = self.contracts.by_host(&query.host);
        let contract = contract.ok_or(Refusal::not_run(Reason::UnknownHost))?;
        let route = contract.route(&query.method, &query.path);
        let route = route.ok_or(Refusal::not_run(Reason::UnknownRoute))?;
        if route.replay != Replay::Idempotent && query.token.is_none() {
            return Err(Refusal::not_run(Reason::TokenMissing));
        }
        Ok((Arc::clone(contract), Arc::clone(route)))
    }

    // A key is checked wherever one came, on open routes too, so that nobody
    // takes a wrong key for a working one.
    fn check_key(
        &self,
        now: Time,
        query: &Query,
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

/// Refuses a request that is not held open.
fn turn_away(
    query: &Query,
    contract: Option<&Contract>,
    route: Option<&Route>,
    refusal: Refusal,
    out: &mut Vec<Action>,
) {
    let account = contract.map(|c| c.account.clone());
    let route = route.map(|r| r.name.clone());
    out.push(Action::Log(Record::Refused {
        trace: Arc::clone(&query.trace),
        account,
        route,
        reason: refusal.reason,
        ran: refusal.ran,
    }));
    refuse(query.id, refusal, out);
}

/// Tells a caller of a refusal.
pub(crate) fn refuse(id: RequestId, refusal: Refusal, out: &mut Vec<Action>) {
    out.push(Action::Refuse { id, refusal });
}
