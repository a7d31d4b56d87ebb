//! Handles the messages of other instances and builds loan messages.

use corianderway_model::InstanceId;
use corianderway_model::Time;

use super::Quota;
use crate::borrow::LoanMessage;
use crate::event::Action;
use crate::message::Ask;
use crate::message::Body;
use crate::message::Grant;
use crate::message::Message;
use crate::message::Query;
use crate::message::Release;

impl Quota {
    pub(super) fn receive(&mut self, now: Time, message: Message, out: &mut Vec<Action>) {
        let Message { from, to, body } = message;
        if to != self.membership.own_id {
            return;
        }
        match body {
            Body::Query(query) => self.membership.answer_query(now, from, query, out),
            Body::Vouch(vouch) => self.membership.handle_vouch(now, from, vouch),
            Body::Prepare(query) => self.handle_prepare(from, query, out),
            Body::Promise(query) => {
                self.proposer
                    .handle_promise(now, from, query, &mut self.membership, out);
            }
            Body::Withdraw(query) => self.membership.withdraw(query),
            Body::Ask(asks) => self.handle_asks(now, &from, &asks, out),
            Body::Grant(grants) => self.handle_grants(now, from, &grants, out),
            Body::Release(releases) => {
                for release in releases {
                    if let Some(index) = self.find(&release.limit) {
                        self.entries[index].release(now, &from, &release, &self.membership);
                    }
                }
            }
        }
    }

    fn handle_prepare(&mut self, from: InstanceId, query: Query, out: &mut Vec<Action>) {
        if self.membership.promise(query) {
            self.membership.send(from, Body::Promise(query), out);
        }
    }

    fn handle_asks(&mut self, now: Time, from: &InstanceId, asks: &[Ask], out: &mut Vec<Action>) {
        let mut grants: Vec<Grant> = vec![];
        for ask in asks {
            let Some(index) = self.find(&ask.limit) else {
                continue;
            };
            let entry = &mut self.entries[index];
            grants.extend(entry.lend(now, from, ask, &self.membership));
            if !entry.active {
                entry.active = true;
                self.active.push(index as u32);
            }
        }
        if !grants.is_empty() {
            self.membership.send(from.clone(), Body::Grant(grants), out);
        }
    }

    fn handle_grants(
        &mut self,
        now: Time,
        from: InstanceId,
        grants: &[Grant],
        out: &mut Vec<Action>,
    ) {
        let mut releases = vec![];
        for grant in grants {
            if let Some(index) = self.find(&grant.limit) {
                let entry = &mut self.entries[index];
                releases.extend(entry.apply_grant(now, &from, grant, &self.membership));
            }
        }
        if !releases.is_empty() {
            self.membership.send(from, Body::Release(releases), out);
        }
    }

    // Sends each owner at most one message of each kind.
    pub(super) fn send_loan_messages(
        &self,
        loan_messages: Vec<LoanMessage>,
        out: &mut Vec<Action>,
    ) {
        let mut asks: Vec<(InstanceId, Vec<Ask>)> = vec![];
        let mut releases: Vec<(InstanceId, Vec<Release>)> = vec![];
        for message in loan_messages {
            match message {
                LoanMessage::Ask(to, ask) => push_for(&mut asks, to, ask),
                LoanMessage::Release(to, release) => push_for(&mut releases, to, release),
            }
        }
        for (to, list) in asks {
            self.membership.send(to, Body::Ask(list), out);
        }
        for (to, list) in releases {
            self.membership.send(to, Body::Release(list), out);
        }
    }
}

fn push_for<T>(all: &mut Vec<(InstanceId, Vec<T>)>, to: InstanceId, item: T) {
    match all.binary_search_by(|(id, _)| id.cmp(&to)) {
        Ok(index) => all[index].1.push(item),
        Err(index) => all.insert(index, (to, vec![item])),
    }
}
