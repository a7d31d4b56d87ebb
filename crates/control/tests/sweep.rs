//! Claims are removed once they have expired and never earlier.

use std::sync::Arc;

use corianderway_control::BodyHash;
use corianderway_control::ClaimRecord;
use corianderway_control::Nonce;
use corianderway_control::RequestKey;
use corianderway_control::RequestKeyError;
use corianderway_control::Run;
use corianderway_control::StoredClaim;
use corianderway_control::Sweep;
use corianderway_control::SweepAction;
use corianderway_control::SweepEvent;
use corianderway_control::CLAIM_RETENTION_S;
use corianderway_control::REQUEST_KEY_MAX_AGE_S;
use corianderway_model::Account;
use corianderway_model::Time;

const NOW_S: u64 = 1_790_000_000;

fn claim(age: u64) -> StoredClaim {
    StoredClaim {
        name: Arc::from(format!("claim-{age}")),
        version: 3,
        record: ClaimRecord {
            holder: Nonce(1, 2),
            body: BodyHash::new([]),
            made: NOW_S - age,
            run: Run::Claimed,
        },
    }
}

fn key(made: u64, tail: u8) -> RequestKey {
    let millis = format!("{:012x}", made * 1000);
    let (high, low) = millis.split_at(8);
    let text = format!("{high}-{low}-7000-8000-0000000000{tail:02x}");
    RequestKey::try_from(text.as_str()).unwrap()
}

#[test]
fn only_expired_claims_are_removed_at_a_bounded_rate() {
    let mut sweep = Sweep::new();
    let mut out = Vec::new();
    let at = Time::from_millis;
    sweep.step(at(1), SweepEvent::Chosen, &mut out);
    sweep.step(at(1), SweepEvent::Tick, &mut out);
    assert_eq!(out, [SweepAction::List]);
    let expired = (1..=25).map(|n| claim(CLAIM_RETENTION_S + n));
    let claims = expired.chain([claim(CLAIM_RETENTION_S)]).collect();
    sweep.step(
        at(2),
        SweepEvent::Listed {
            claims,
            unix: NOW_S,
        },
        &mut out,
    );
    let mut removed = Vec::new();
    for tick in 1..=100 {
        out.clear();
        sweep.step(at(tick * 100), SweepEvent::Tick, &mut out);
        let now = out
            .iter()
            .filter(|a| matches!(a, SweepAction::Remove { .. }));
        assert!(now.clone().count() <= 10);
        removed.extend(now.cloned());
    }
    assert_eq!(removed.len(), 25);
}

#[test]
fn claim_outlives_every_acceptance_of_its_key() {
    let made = NOW_S - CLAIM_RETENTION_S;
    let last = made + REQUEST_KEY_MAX_AGE_S;
    let key = key(made, 1);
    assert_eq!(key.check_age(last), Ok(()));
    assert_eq!(key.check_age(last + 1), Err(RequestKeyError::TooOld));
    assert!(!claim(CLAIM_RETENTION_S).record.removable(last));
}

#[test]
fn names_of_older_keys_sort_first() {
    let account = Account::try_from("trazo").unwrap();
    let older = key(NOW_S - 3600, 9).claim_name(&account);
    let newer = key(NOW_S, 1).claim_name(&account);
    assert!(older < newer);
    assert_eq!(older.len(), newer.len());
}

#[test]
fn malformed_and_future_keys_are_refused() {
    let wrong = [
        "",
        "019aaaaa-0000-4000-8000-000000000000",
        "019aaaaa00007000-8000-000000000000aa",
        "019aaaaa-0000-7000-8000-00000000000g",
    ];
    for text in wrong {
        let refused = RequestKey::try_from(text);
        assert_eq!(refused, Err(RequestKeyError::Malformed), "{text}");
    }
    let future = key(NOW_S + 3600, 1).check_age(NOW_S);
    assert_eq!(future, Err(RequestKeyError::Future));
}
