//! A store that came back from an older copy.
//!
//! The copy lacks what was written in its last seconds; operators and backend servers write
//! theirs again. Until the store has settled, what was known before stays in force beside what
//! is listed; then only the lists count.

use corianderway_model::Era;
use corianderway_model::FailureDomain;
use corianderway_model::Time;

use crate::event::Action;
use crate::listing::Member;
use crate::listing::Order;
use crate::note::Note;
use crate::note::Severity;
use crate::outage::Signal as OutageSignal;
use crate::revisions::InputKind;
use crate::steer::Steer;

/// The latest lists of a store that has not settled; `None` for a kind that was not read since
/// it came back.
#[derive(Debug, Default)]
pub(crate) struct UnsettledLists {
    evacuated: Option<Vec<FailureDomain>>,
    orders: Option<Vec<Order>>,
    members: Option<Vec<Member>>,
}

impl Steer {
    /// Enters the era of a store that came back from an older copy.
    pub(crate) fn enter_era(&mut self, now: Time, era: Era, out: &mut Vec<Action>) {
        if era <= self.known.era() {
            return;
        }
        let note = Note::new(Severity::Notable, "store-restored")
            .with("from", self.known.era())
            .with("to", era);
        out.push(Action::Log(note));
        self.changed.enter(era);
        self.known.enter(era);
        self.fleet.enter_era(era);
        self.advance_outage(now, OutageSignal::Restored);
        self.unsettled.get_or_insert_default();
        self.urgent = true;
    }

    /// Applies the list of evacuated failure domains.
    pub(crate) fn apply_evacuations(
        &mut self,
        now: Time,
        mut domains: Vec<FailureDomain>,
        out: &mut Vec<Action>,
    ) {
        self.mark_arrived(InputKind::Evacuations);
        if let Some(lists) = &mut self.unsettled {
            lists.evacuated = Some(domains.clone());
            let known = self.fleet.evacuated();
            let kept = known.iter().filter(|domain| !domains.contains(domain));
            let kept: Vec<FailureDomain> = kept.cloned().collect();
            domains.extend(kept);
        }
        if !self.fleet.set_evacuated(now, &domains) {
            return;
        }
        let names: Vec<&str> = domains.iter().map(FailureDomain::as_str).collect();
        let note = Note::new(Severity::Notable, "evacuations").with("domains", names.join(","));
        out.push(Action::Log(note));
    }

    /// Applies the list of orders.
    pub(crate) fn apply_orders(&mut self, now: Time, orders: Vec<Order>, out: &mut Vec<Action>) {
        self.mark_arrived(InputKind::Orders);
        if let Some(lists) = &mut self.unsettled {
            lists.orders = Some(orders.clone());
        }
        let settled = self.unsettled.is_none();
        let notes = self.moves.update_orders(now, orders, settled);
        out.extend(notes.into_iter().map(Action::Log));
    }

    /// Applies the list of instances.
    pub(crate) fn apply_members(&mut self, now: Time, mut members: Vec<Member>) {
        self.mark_arrived(InputKind::Members);
        if let Some(lists) = &mut self.unsettled {
            lists.members = Some(members.clone());
            let is_listed = |other: &Member| members.iter().any(|m| m.entry.id == other.entry.id);
            let kept = self.members.others().filter(|other| !is_listed(other));
            let kept: Vec<Member> = kept.cloned().collect();
            members.extend(kept);
        }
        self.members.set_listed(now, members);
        self.update_quotas(now);
        self.urgent = true;
    }

    /// Takes the lists as they are, once the store has settled.
    pub(crate) fn settle_lists(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.outage.is_unsettled() {
            return;
        }
        let Some(lists) = self.unsettled.take() else {
            return;
        };
        let note = Note::new(Severity::Notable, "store-settled").with("era", self.known.era());
        out.push(Action::Log(note));
        if let Some(domains) = lists.evacuated {
            self.apply_evacuations(now, domains, out);
        }
        if let Some(orders) = lists.orders {
            self.apply_orders(now, orders, out);
        }
        if let Some(members) = lists.members {
            self.apply_members(now, members);
        }
    }
}
