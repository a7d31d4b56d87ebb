//! The set of held objects: ranks never decrease, and digests differ where sets do.

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
fn next_version_exceeds_held_and_stored() {
    let id = Id::new(Kind::Contract, "finder");
    let mut set = ConfigSet::default();
    set.merge(Object::new(id.clone(), 9, "{}"));
    assert_eq!(set.next_version(&id, 4), 10);
    assert_eq!(set.next_version(&id, 30), 31);
}

/// Returns whether no merge decreases the rank of a held object.
fn rank_does_not_decrease(objects: Vec<(u8, u8, u8)>) -> bool {
    let mut set = ConfigSet::default();
    objects.into_iter().map(object).all(|merged| {
        let before = set.rank(&merged.id);
        let outcome = set.merge(merged.clone());
        let after = set.rank(&merged.id);
        after >= before && (outcome == MergeOutcome::Accepted) == (after > before)
    })
}

/// Returns whether sets that merged the same objects in different orders are
/// equal, and whether their digests differ after a further change to one.
fn sets_agree(objects: Vec<(u8, u8, u8)>, extra: (u8, u8, u8)) -> bool {
    let mut one = ConfigSet::default();
    let mut two = ConfigSet::default();
    for merged in &objects {
        one.merge(object(*merged));
    }
    for merged in objects.iter().rev() {
        two.merge(object(*merged));
    }
    let same =
        one.all() == two.all() && one.root() == two.root() && one.key_digest() == two.key_digest();
    let changed = two.merge(object(extra)) == MergeOutcome::Accepted;
    same && changed == (one.root() != two.root())
}

#[test]
fn rank_never_decreases() {
    seeded_quickcheck().quickcheck(rank_does_not_decrease as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn sets_agree_in_any_merge_order() {
    seeded_quickcheck().quickcheck(sets_agree as fn(Vec<(u8, u8, u8)>, (u8, u8, u8)) -> bool);
}

/// Creates a quickcheck run with the seed in `CONTROL_SEED`, or a fixed one.
fn seeded_quickcheck() -> QuickCheck {
    let given = std::env::var("CONTROL_SEED").ok();
    let seed = given.and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("CONTROL_SEED={seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, seed))
        .tests(300)
}
