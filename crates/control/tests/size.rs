//! The estimated sizes by which messages are bounded are near the encoded ones.

use std::sync::Arc;

use ciborium::into_writer;
use corianderway_control::Age;
use corianderway_control::Digest;
use corianderway_control::DomainAge;
use corianderway_control::DomainHash;
use corianderway_control::FreshnessReport;
use corianderway_control::Id;
use corianderway_control::Kind;
use corianderway_control::Message;
use corianderway_control::Object;
use corianderway_control::PeerMessage;
use corianderway_control::Value;
use corianderway_model::Entry;
use corianderway_model::FailureDomain;
use corianderway_model::InstanceId;
use corianderway_model::Presence;
use corianderway_model::Region;

fn encoded(message: &PeerMessage) -> usize {
    let mut bytes = Vec::new();
    into_writer(message, &mut bytes).unwrap();
    bytes.len()
}

fn object(name: usize) -> Object {
    let text = "x".repeat(300);
    Object::new(
        Id::new(Kind::Contract, format!("account-{name}")),
        70_000,
        text,
    )
}

fn messages() -> Vec<Message> {
    let digest = Digest(u64::MAX / 3);
    let objects = (0..20).map(object).collect::<Vec<_>>();
    let stamps = objects.iter().map(Object::stamp).collect::<Vec<_>>();
    let ids = objects.iter().map(|o| o.id.clone()).collect::<Vec<_>>();
    let entry = Arc::new(Entry {
        id: InstanceId::try_from("entry-0017-5f3a9c").unwrap(),
        callers: "10.20.30.40:8443".parse().unwrap(),
        peers: "10.20.30.40:7000".parse().unwrap(),
        region: Region::try_from("north").unwrap(),
        domain: FailureDomain::try_from("north-2").unwrap(),
        presence: Presence::Live,
    });
    let member = Object {
        id: Id::new(Kind::Member, entry.id.as_str()),
        version: 4,
        value: Value::Member(entry),
    };
    vec![
        Message::Objects(vec![member; 20]),
        Message::Objects(objects.clone()),
        Message::Offer(stamps.clone()),
        Message::Want(ids.clone()),
        Message::Root(digest),
        Message::Groups(vec![digest; 16]),
        Message::Buckets {
            group: 3,
            digests: vec![digest; 16],
        },
        Message::Bucket {
            group: 3,
            bucket: 4,
            stamps: stamps.clone(),
        },
        Message::Page {
            after: ids.first().cloned(),
        },
        Message::Filled {
            objects,
            more: true,
        },
        Message::Ask(stamps[0].clone()),
        Message::Held {
            stamp: stamps[0].clone(),
            in_force: true,
        },
    ]
}

#[test]
fn estimated_sizes_match_the_encoding() {
    for message in messages() {
        let size = message.encoded_size() as f64;
        let actual = encoded(&PeerMessage::Config(message.clone())) as f64;
        let ratio = actual / size;
        let name = format!("{message:?}");
        let name = &name[..name.len().min(12)];
        println!("{name} bytes={actual} size={size}");
        assert!(
            (0.8..=1.1).contains(&ratio),
            "{name}: encoded in {actual} bytes, estimated {size}"
        );
    }
}

#[test]
fn answer_with_every_failure_domain_is_small() {
    let domains = (0..48).map(|n| DomainAge(DomainHash(n * 1000), Age(3000)));
    let word = FreshnessReport {
        keys: Digest(u64::MAX / 3),
        counted: Digest(u64::MAX / 3),
        platform: Some(Age(2000)),
        domains: domains.collect(),
    };
    let actual = encoded(&PeerMessage::Answer(1 << 20, word));
    assert!(actual <= 50 + 48 * 8, "{actual} bytes");
}
