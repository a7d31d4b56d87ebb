//! The set of held objects: versions only go up, and digests tell sets apart.

use corianderway_control::ConfigSet;
use corianderway_control::Id;
use corianderway_control::Kind;
use corianderway_control::MergeOutcome;
use corianderway_control::Object;
use quickcheck::Gen;
use quickcheck::QuickCheck;

fn object((name, version, value): (u8, u8, u8)) -> Object {
    let kind = if name % 2 == 0 {
        Kind::Contract
    } else {
        Kind::Key
    };
    let id = Id::new(kind, format!("o{}", name % 16));
    let version = u64::from(version % 8);
    match value % 4 {
        0 => Object::tombstone(id, version),
        value => Object::new(id, version, value.to_string()),
    }
}

#[test]
fn writer_goes_above_held_and_stored() {
    let id = Id::new(Kind::Contract, "finder");
    let mut set = ConfigSet::default();
    set.merge(Object::new(id.clone(), 9, "{}"));
    assert_eq!(set.next_version(&id, 4), 10);
    assert_eq!(set.next_version(&id, 30), 31);
}

/// No offer lowers the rank of a held object.
fn keeps_rank(offers: Vec<(u8, u8, u8)>) -> bool {
    let mut set = ConfigSet::default();
    offers.into_iter().map(object).all(|offer| {
        let before = set.rank(&offer.id);
        let outcome = set.merge(offer.clone());
        let after = set.rank(&offer.id);
        after >= before && (outcome == MergeOutcome::Accepted) == (after > before)
    })
}

/// Sets that were offered the same objects in any order are equal, as are
/// their digests; a set that differs has another digest.
fn agrees_in_any_order(offers: Vec<(u8, u8, u8)>, extra: (u8, u8, u8)) -> bool {
    let mut one = ConfigSet::default();
    let mut two = ConfigSet::default();
    for offer in &offers {
        one.merge(object(*offer));
    }
    for offer in offers.iter().rev() {
        two.merge(object(*offer));
    }
    let same =
        one.all() == two.all() && one.root() == two.root() && one.key_digest() == two.key_digest();
    let changed = two.merge(object(extra)) == MergeOutcome::Accepted;
    same && changed == (one.root() != two.root())
}

#[test]
fn rank_never_falls() {
    quick().quickcheck(keeps_rank as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn order_does_not_matter() {
    quick().quickcheck(agrees_in_any_order as fn(Vec<(u8, u8, u8)>, (u8, u8, u8)) -> bool);
}

/// A quickcheck whose seed is fixed, or given in `CONTROL_SEED`.
fn quick() -> QuickCheck {
    let given = std::env::var("CONTROL_SEED").ok();
    let seed = given.and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("CONTROL_SEED={seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, seed))
        .tests(300)
}
