//! Measures the check of a presented key, which hashes the secret every time
//! instead of caching verified secrets.
//!
//! `key_check KEYS` prints the mean time of a check in nanoseconds.

use std::hint::black_box;
use std::time::Instant;

use corianderway_control::KeyRecord;
use corianderway_control::KeyTable;
use corianderway_control::Standing;
use corianderway_control::NONCE_BYTES;
use corianderway_model::Account;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

const CHECKS: usize = 1_000_000;

fn main() {
    let count = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let count = count.unwrap_or(100);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut keys = KeyTable::new();
    let mut texts = Vec::new();
    for _ in 0..count {
        let account = Account::try_from("finder").expect("a valid name");
        let mut nonce = [0; NONCE_BYTES];
        rng.fill(&mut nonce[..]);
        let (record, text) = KeyRecord::generate(account, &nonce, 1);
        keys.apply(record);
        texts.push(text);
    }
    let begin = Instant::now();
    for at in 0..CHECKS {
        let text = texts[at % count].reveal();
        let accepted = keys.check(black_box(text), Standing::Current);
        black_box(accepted).expect("an accepted key");
    }
    let each = begin.elapsed().as_nanos() / CHECKS as u128;
    println!("keys={count} check_ns={each}");
}
