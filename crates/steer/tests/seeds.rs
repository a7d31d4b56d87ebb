//! The configured addresses of other instances.

mod rig;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderway_steer::Action;
use corianderway_steer::Event;
use corianderway_steer::Message;
use corianderway_steer::Revisions;
use corianderway_steer::Source;
use corianderway_steer::Summary;

use crate::rig::Rig;

// A summary from an instance of another failure domain.
fn summary(sequence: u64) -> Event {
    let from = rig::member("entry-9", "south", "south-a");
    Event::Message(Message::Summary(Arc::new(Summary {
        from: from.entry.id,
        run: from.run,
        sequence,
        domain: from.entry.domain,
        partial: false,
        instances: Vec::new(),
        legacy_revision: 0,
        changed: Revisions::default(),
        rate: 0.0,
        demands: Vec::new(),
        workloads: Vec::new(),
        moves: Vec::new(),
        crashes: Vec::new(),
        known_crashes: Vec::new(),
    })))
}

fn follows(actions: &[Action], addr: SocketAddr) -> bool {
    let source = Source::Copy(addr);
    let mut follows = actions.iter();
    follows.any(|action| matches!(action, Action::Follow(followed) if *followed == source))
}

#[test]
fn an_instance_that_the_store_turns_away_at_its_start_follows_a_replica() {
    let mut rig = Rig::bare(rig::member("entry-1", "north", "north-a"));
    let seed = "127.0.0.1:30999".parse().unwrap();
    rig.step(Event::Seeds(vec![seed]));
    let actions = rig.pass(Duration::from_secs(2));
    assert!(follows(&actions, seed), "{actions:?}");
}

#[test]
fn an_instance_that_hears_of_others_and_does_not_know_them_follows_a_replica() {
    let mut rig = Rig::bare(rig::member("entry-1", "north", "north-a"));
    let seed = "127.0.0.1:30999".parse().unwrap();
    rig.step(Event::Seeds(vec![seed]));
    let mut actions = Vec::new();
    for sequence in 1..=10 {
        rig.step(summary(sequence));
        actions.extend(rig.pass(Duration::from_millis(300)));
    }
    assert!(follows(&actions, seed), "{actions:?}");
}
