//! Tests that backend servers are used again soon after all of them were lost and returned.

mod common;

use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Time;
use corianderway_routing::Fleet;
use corianderway_routing::Outcome;
use corianderway_routing::Router;

const SERVERS: usize = 6;

/// The platform's limit on the time from the return of the machines to service.
const RECOVERY_LIMIT_MS: u64 = 15_000;

/// The intervals between two steps, and between two lists and two probes of a server.
const STEP_MS: u64 = 50;
const INPUT_INTERVAL_MS: u64 = 1_000;

/// How long the servers answer before each loss.
const CALM_MS: u64 = 4_000;

/// What the instance list says of servers that are lost.
#[derive(Clone, Copy, Debug)]
enum Listing {
    Kept,
    Empty,
}

// Loses all servers at the same moment `losses` times for `span_ms`. Returns the time from the
// last return until each of them was chosen, in milliseconds, or `None` if it takes twice the
// limit in which that must happen.
fn return_ms(listing: Listing, losses: u64, span_ms: u64) -> Option<u64> {
    let list: Vec<Backend> = (0..SERVERS).map(common::backend).collect();
    let mut fleet = Fleet::new().unwrap();
    fleet.sync(&list, Time::ZERO);
    let router = Router::new(list[0].region.clone(), list[0].domain.clone());
    let query = common::query(&list[0]);
    let returned = losses * (CALM_MS + span_ms);
    let mut chosen = Vec::new();
    for ms in (0..returned + 2 * RECOVERY_LIMIT_MS).step_by(STEP_MS as usize) {
        let now = Time::from_millis(ms);
        let is_lost = ms < returned && ms % (CALM_MS + span_ms) >= CALM_MS;
        if ms.is_multiple_of(INPUT_INTERVAL_MS) {
            match listing {
                Listing::Empty if is_lost => fleet.sync(&[], now),
                Listing::Empty | Listing::Kept => fleet.sync(&list, now),
            };
            for backend in &list {
                let server = fleet.find(&backend.id).unwrap();
                fleet.record_probe(server, !is_lost, now);
            }
        }
        fleet.tick(now);
        let mut running = Vec::new();
        for draw in 0..SERVERS as u64 {
            let draw = (ms + draw).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let Ok(decision) = router.route(&fleet, &query, draw, |_| false) else {
                continue;
            };
            running.push(fleet.begin(decision.server));
            if ms >= returned && !chosen.contains(&decision.server) {
                chosen.push(decision.server);
            }
        }
        for ticket in running {
            let outcome = if is_lost {
                Outcome::Refused
            } else {
                Outcome::Answered(Duration::from_millis(9))
            };
            fleet.finish(ticket, outcome, now);
        }
        if chosen.len() == SERVERS {
            return Some(ms - returned);
        }
    }
    None
}

// Guards against servers that are out of use for long after they returned, since their holds had
// grown, or for good, since the lists lacked all of them meanwhile (RECOVER).
#[test]
fn servers_that_were_all_lost_are_used_again_within_the_limit() {
    let mut late = Vec::new();
    for listing in [Listing::Kept, Listing::Empty] {
        for losses in [1, 2, 3] {
            for span_ms in [1_000, 1_500, 2_000, 3_000, 12_000] {
                let took = return_ms(listing, losses, span_ms);
                if took.is_none_or(|took| took > RECOVERY_LIMIT_MS) {
                    late.push((listing, losses, span_ms, took));
                }
            }
        }
    }
    assert!(late.is_empty(), "{late:?}");
}
