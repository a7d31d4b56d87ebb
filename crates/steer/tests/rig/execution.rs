//! What the process around an instance does with its actions.

use corianderway_steer::Action;
use corianderway_steer::Event;
use corianderway_steer::Message;
use corianderway_steer::Outcome;
use corianderway_steer::RequestId;
use rand::Rng as _;

use super::views;
use super::views::Attempt;
use super::views::Caller;
use super::world::World;

impl World {
    /// Applies an event to the instance and carries out what follows, as the decision duty
    /// does: a full ring ends an attempt at once, between the actions of the step.
    pub fn step(&mut self, event: Event) {
        for action in self.rig.step(event).to_vec() {
            self.pause();
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Forward { id, once, .. } => {
                if !self.held.contains(&id) {
                    self.drawn.unforwarded += 1;
                    return;
                }
                let seen = self.seen.get_mut(&id).expect("a request");
                let violation = views::check_forward(seen, once);
                seen.attempts.push(Attempt::default());
                self.report(id, violation);
                if self.ring_is_full {
                    self.drawn.nested += 1;
                    self.attempt_ended(id, Outcome::NotSent);
                } else {
                    self.running.push(id);
                }
            }
            Action::Cancel(id) => {
                self.drawn.cancelled += 1;
                let seen = self.seen.get_mut(&id).expect("a request");
                if let Some(last) = seen.attempts.last_mut() {
                    last.cancelled = true;
                }
            }
            Action::Deliver(id) => {
                self.drawn.delivered += 1;
                let violation = views::check_answer(&self.seen[&id]);
                self.end(id, Caller::Ended, violation);
            }
            Action::Refuse { id, refusal } => {
                let key = (refusal.reason.as_str(), refusal.status());
                *self.drawn.refused.entry(key).or_default() += 1;
                let violation = views::check_refusal(&self.seen[&id], &refusal);
                let end = if views::promises(&refusal) {
                    Caller::Promised
                } else {
                    Caller::Ended
                };
                self.end(id, end, violation);
            }
            Action::Release(id) => {
                let waits = self.seen[&id].caller != Caller::Left;
                let violation = waits.then_some("released though its caller waits");
                self.end(id, Caller::Ended, violation);
            }
            Action::CheckServer { server, .. } => {
                let reachable = self.rng.random_bool(0.3);
                self.step(Event::ServerChecked { server, reachable });
            }
            Action::Send { message, .. } => {
                self.drawn.asked += usize::from(matches!(message, Message::TokenRequest(_)));
                self.messages.push((true, message));
            }
            _ => (),
        }
    }

    fn end(&mut self, id: RequestId, end: Caller, violation: Option<&'static str>) {
        let again = (!self.held.remove(&id)).then_some("ended twice");
        self.report(id, violation.or(again));
        self.seen.get_mut(&id).expect("a request").caller = end;
    }

    fn report(&mut self, id: RequestId, violation: Option<&'static str>) {
        if let Some(violation) = violation {
            let seen = &self.seen[&id];
            self.violations
                .push(format!("{violation}: {id:?} {seen:?}"));
        }
    }
}
