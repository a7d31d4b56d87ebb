//! Which keys are accepted, and that neither replies nor stored data reveal a secret.

use corianderway_chart::Definition;
use corianderway_control::KeyRecord;
use corianderway_control::KeyRefusal;
use corianderway_control::KeyState;
use corianderway_control::KeyTable;
use corianderway_control::KeyText;
use corianderway_control::Standing;
use corianderway_control::KEY_CHART;
use corianderway_control::NONCE_BYTES;
use corianderway_model::Account;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const STATES: [KeyState; 3] = [KeyState::Granted, KeyState::Lapsing, KeyState::Withdrawn];

fn generate(fill: u8) -> (KeyRecord, KeyText) {
    let account = Account::try_from("finder").unwrap();
    KeyRecord::generate(account, &[fill; NONCE_BYTES], 1)
}

#[test]
fn only_the_exact_key_is_accepted() {
    let (record, text) = generate(0xab);
    let mut keys = KeyTable::new();
    keys.apply(record);
    let check = |text: &str| {
        keys.check(text, Standing::Current)
            .map(|a| a.account.as_str())
    };
    assert_eq!(check(text.reveal()), Ok("finder"));
    let (id, secret) = text.reveal().split_once('.').unwrap();
    assert_eq!(check(id), Err(KeyRefusal::Malformed));
    assert_eq!(check(&format!("0{id}.{secret}")), Err(KeyRefusal::Unknown));
    assert_eq!(check(&format!("{id}.{secret}0")), Err(KeyRefusal::Mismatch));
    assert_eq!(check(&format!("{id}.")), Err(KeyRefusal::Mismatch));
    assert_eq!(
        check(&format!("{id}.{}", secret.to_uppercase())),
        Err(KeyRefusal::Mismatch)
    );
}

#[test]
fn withdrawal_is_revealed_only_with_the_right_secret() {
    let (record, text) = generate(0xab);
    let mut keys = KeyTable::new();
    let id = record.id.clone();
    keys.apply(record.with_state(KeyState::Withdrawn));
    let owner = keys.check(text.reveal(), Standing::Current);
    let guess = keys.check(&format!("{id}.guess"), Standing::Current);
    assert_eq!(owner.unwrap_err(), KeyRefusal::Withdrawn);
    assert_eq!(guess.unwrap_err(), KeyRefusal::Mismatch);
}

#[test]
fn isolated_instance_refuses_keys() {
    let (record, text) = generate(0xab);
    let mut keys = KeyTable::new();
    keys.apply(record);
    let refused = keys.check(text.reveal(), Standing::Isolated);
    assert_eq!(refused.unwrap_err(), KeyRefusal::Isolated);
    assert!(keys.check(text.reveal(), Standing::PeersOnly).is_ok());
}

#[test]
fn debug_and_stored_text_contain_no_secret() {
    let (record, text) = generate(0xab);
    let secret = text.reveal().split_once('.').unwrap().1;
    let mut keys = KeyTable::new();
    keys.apply(record.clone());
    let stored = serde_json::to_string(&record).unwrap();
    for shown in [format!("{text:?}"), format!("{keys:?}"), stored] {
        assert!(!shown.contains(secret), "{shown}");
    }
}

#[test]
fn record_round_trips_through_json() {
    let (record, _) = generate(9);
    let stored = serde_json::to_string(&record).unwrap();
    assert_eq!(serde_json::from_str::<KeyRecord>(&stored).unwrap(), record);
}

#[test]
fn states_list_is_complete() {
    let outline = Definition::parse(KEY_CHART).unwrap();
    assert_eq!(outline.states.len(), STATES.len());
}

/// No sequence of records and deletions returns a key to an earlier state.
fn never_goes_back(records: Vec<u8>) -> bool {
    let (record, text) = generate(0xab);
    let mut keys = KeyTable::new();
    let mut highest = None;
    for choice in records {
        if let Some(state) = STATES.get(usize::from(choice % 4)) {
            keys.apply(record.clone().with_state(*state));
            highest = highest.max(Some(*state));
        } else {
            keys.delete(&record.id);
            highest = Some(KeyState::Withdrawn);
        }
    }
    let accepted = keys.check(text.reveal(), Standing::Current).is_ok();
    accepted == highest.is_some_and(|state| state < KeyState::Withdrawn)
}

#[test]
fn state_never_goes_back() {
    seeded_quickcheck().quickcheck(never_goes_back as fn(Vec<u8>) -> bool);
}

/// A quickcheck runner with the seed in `CONTROL_SEED`, or else a fixed one.
fn seeded_quickcheck() -> QuickCheck {
    let given = std::env::var("CONTROL_SEED").ok();
    let seed = given.and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("CONTROL_SEED={seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, seed))
        .tests(300)
}
