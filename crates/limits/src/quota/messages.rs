//! Messages between instances: taking them apart and putting them together.

use corianderway_model::InstanceId;
use corianderway_model::Time;

use super::Quota;
use crate::borrow::Plea;
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
        if to != self.group.me {
            return;
        }
        match body {
            Body::Query(query) => self.group.answer(now, from, query, out),
            Body::Vouch(vouch) => self.group.vouched(now, from, vouch),
            Body::Prepare(query) => self.prepare(from, query, out),
            Body::Promise(query) => {
                self.proposer
                    .promised(now, from, query, &mut self.group, out);
            }
            Body::Withdraw(query) => self.group.withdraw(query),
            Body::Ask(asks) => self.lend(now, &from, &asks, out),
            Body::Grant(grants) => self.take(now, from, &grants, out),
            Body::Release(releases) => {
                for release in releases {
                    if let Some(at) = self.find(&release.limit) {
                        self.entries[at].release(now, &from, &release, &self.group);
                    }
                }
            }
        }
    }

    fn prepare(&mut self, from: InstanceId, query: Query, out: &mut Vec<Action>) {
        if self.group.promise(query) {
            self.group.send(from, Body::Promise(query), out);
        }
    }

    fn lend(&mut self, now: Time, from: &InstanceId, asks: &[Ask], out: &mut Vec<Action>) {
        let mut grants: Vec<Grant> = vec![];
        for ask in asks {
            let Some(at) = self.find(&ask.limit) else {
                continue;
            };
            let entry = &mut self.entries[at];
            grants.extend(entry.lend(now, from, ask, &self.group));
            if !entry.active {
                entry.active = true;
                self.active.push(at as u32);
            }
        }
        if !grants.is_empty() {
            self.group.send(from.clone(), Body::Grant(grants), out);
        }
    }

    fn take(&mut self, now: Time, from: InstanceId, grants: &[Grant], out: &mut Vec<Action>) {
        let mut releases = vec![];
        for grant in grants {
            if let Some(at) = self.find(&grant.limit) {
                let entry = &mut self.entries[at];
                releases.extend(entry.take(now, &from, grant, &self.group));
            }
        }
        if !releases.is_empty() {
            self.group.send(from, Body::Release(releases), out);
        }
    }

    // Sends one message of each kind to each home.
    pub(super) fn send(&self, pleas: Vec<Plea>, out: &mut Vec<Action>) {
        let mut asks: Vec<(InstanceId, Vec<Ask>)> = vec![];
        let mut releases: Vec<(InstanceId, Vec<Release>)> = vec![];
        for plea in pleas {
            match plea {
                Plea::Ask(to, ask) => group_by(&mut asks, to, ask),
                Plea::Release(to, release) => group_by(&mut releases, to, release),
            }
        }
        for (to, list) in asks {
            self.group.send(to, Body::Ask(list), out);
        }
        for (to, list) in releases {
            self.group.send(to, Body::Release(list), out);
        }
    }
}

fn group_by<T>(all: &mut Vec<(InstanceId, Vec<T>)>, to: InstanceId, item: T) {
    match all.binary_search_by(|(id, _)| id.cmp(&to)) {
        Ok(at) => all[at].1.push(item),
        Err(at) => all.insert(at, (to, vec![item])),
    }
}
