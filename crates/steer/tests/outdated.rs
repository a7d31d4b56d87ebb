//! Choices that are outdated before anything is sent: the request goes elsewhere, and the
//! server that was chosen gets nothing.

mod rig;

use std::time::Duration;

use corianderway_model::ServerId;
use corianderway_steer::Action;
use corianderway_steer::Event;
use corianderway_steer::Outcome;
use corianderway_steer::RequestId;
use corianderway_steer::ServerChange;
use corianderway_steer::ServerNotice;

use crate::rig::answered;
use crate::rig::Rig;

/// How old a choice may be when the request is sent. With the time in which a change is known
/// it must stay below the 2.5 s after which a server that leaves gets no requests.
const MAX_CHOICE_AGE: Duration = Duration::from_secs(1);

fn recalled(rig: &Rig, id: RequestId) -> bool {
    let recalls = |action: &Action| matches!(action, Action::Recall(other) if *other == id);
    rig.out.iter().any(recalls)
}

// Guards against requests that reach a server seconds after it was known to leave, since they
// had been decided before and waited within the instance.
#[test]
fn a_choice_is_recalled_when_its_server_leaves() {
    for path in ["/bids/1", "/payouts/1"] {
        let mut rig = Rig::new();
        let gone = rig.request(path, Some(1));
        let first = rig.sent(gone).expect("a server has room");
        let others = (2..20).map(|object| {
            let id = rig.request(path, Some(object));
            (id, rig.sent(id))
        });
        let stays = others.filter(|row| row.1.is_some() && row.1.as_ref() != Some(&first));
        let stays: Vec<RequestId> = stays.map(|row| row.0).collect();
        assert!(!stays.is_empty(), "{path}: all went to one server");
        let server = ServerId::try_from(first.as_str()).expect("a valid id");
        rig.step(Event::Servers(vec![ServerChange::Removed(server)]));
        assert!(recalled(&rig, gone), "{path}");
        let others = stays.iter().filter(|id| recalled(&rig, **id));
        assert_eq!(others.count(), 0, "{path}: other servers' requests");
        rig.end(gone, Outcome::Outdated);
        let second = rig.sent(gone).expect("another server has room");
        assert_ne!(first, second, "{path}");
    }
}

#[test]
fn a_choice_is_recalled_when_its_server_says_that_it_leaves() {
    let mut rig = Rig::new();
    let speaks = rig.request("/bids/1", Some(1));
    let first = rig.sent(speaks);
    let others = (0..50).map(|_| {
        let id = rig.request("/bids/1", Some(1));
        (id, rig.sent(id))
    });
    let waits = others.filter(|row| row.1 == first).map(|row| row.0).next();
    let waits = waits.expect("a second request for the server");
    rig.step(Event::ServerNotice {
        id: speaks,
        notice: ServerNotice::Leaving,
    });
    assert!(recalled(&rig, waits));
    rig.end(speaks, answered(200));
    assert!(rig.is_delivered(speaks), "a recall doesn't end an exchange");
}

#[test]
fn a_choice_holds_for_a_bounded_time() {
    let mut rig = Rig::new();
    rig.request("/bids/1", Some(1));
    let begin_by = rig.out.iter().find_map(|action| match action {
        Action::Forward { begin_by, .. } => Some(*begin_by),
        _ => None,
    });
    let age = begin_by.expect("a request is sent").since(rig.now);
    assert!(age <= MAX_CHOICE_AGE, "{age:?}");
}

// The server got nothing, so the end counts neither as a retry nor as the server's failure.
#[test]
fn outdated_choices_cost_no_retries_and_may_return_to_the_server() {
    let mut rig = Rig::new();
    let id = rig.request("/payouts/1", Some(1));
    let first = rig.sent(id);
    for round in 0..100 {
        rig.end(id, Outcome::Outdated);
        assert_eq!(rig.sent(id), first, "round {round}");
    }
}
