//! Limits that each instance applies alone: buckets, retries and queues.

use std::time::Duration;

use corianderway_limits::Amount;
use corianderway_limits::Bucket;
use corianderway_limits::FairQueue;
use corianderway_limits::QueuedRequest;
use corianderway_limits::RetryBudget;
use corianderway_limits::Share;
use corianderway_limits::Tokens;
use corianderway_limits::Verdict;
use corianderway_model::Account;
use corianderway_model::Priority;
use corianderway_model::Time;
use quickcheck::Gen;
use quickcheck::QuickCheck;

fn account(name: &str) -> Account {
    Account::try_from(name).unwrap()
}

fn waiting<T>(
    name: &str,
    weight: f64,
    priority: Priority,
    deadline: u64,
    item: T,
) -> QueuedRequest<T> {
    QueuedRequest {
        account: account(name),
        weight,
        priority,
        deadline: Time::from_millis(deadline),
        item,
    }
}

/// Runs properties on random arguments. `LIMITS_SEED` replaces the default
/// seed.
macro_rules! properties {
    ($($(#[$doc:meta])* fn $name:ident($($arg:ident: $kind:ty),*) -> bool $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            fn property($($arg: $kind),*) -> bool $body
            let seed = std::env::var("LIMITS_SEED").map_or(41, |s| s.parse().unwrap());
            println!("seed {seed}");
            let draws = Gen::from_size_and_seed(100, seed);
            let property: fn($($kind),*) -> bool = property;
            QuickCheck::new().rng(draws).quickcheck(property);
        }
    )*};
}

properties! {
    // Buckets that transfer shares and tokens, and lose some of them, admit no
    // more than a single bucket of the whole limit.
    fn buckets_never_exceed_the_whole(steps: Vec<(u8, u8, u8, bool)>) -> bool {
        let whole = Amount::new(100.0, 20.0);
        let mut buckets = vec![Bucket::new(Time::ZERO); 4];
        buckets[0].reconfigure(Time::ZERO, Share::WHOLE, whole);
        let (mut ms, mut level, mut lost) = (0, 0.0_f64, Share::NONE);
        for (gap, index, fraction, lose) in steps {
            ms += u64::from(gap);
            level = (level - 0.1 * f64::from(gap)).max(0.0);
            let (now, index) = (Time::from_millis(ms), usize::from(index) % 4);
            for _ in 0..fraction {
                level += f64::from(u8::from(buckets[index].admit(now, Tokens::ONE) == Verdict::Admitted));
            }
            let share = Share::new(buckets[index].share().get() / 256 * u64::from(fraction));
            let tokens = buckets[index].split_tokens(share);
            let rest = buckets[index].share().minus(share);
            buckets[index].reconfigure(now, rest, whole);
            if lose {
                lost = lost + share;
                continue;
            }
            let to = (index + 1) % 4;
            let more = buckets[to].share() + share;
            buckets[to].reconfigure(now, more, whole);
            buckets[to].add_tokens(tokens);
        }
        let held: Share = buckets.iter().map(Bucket::share).sum();
        level <= 20.0 + 1e-6 && held + lost == Share::WHOLE
    }

    fn retries_stay_within_ratio(steps: Vec<(u8, bool)>) -> bool {
        let mut budget = RetryBudget::new(0.1, 2, Duration::from_secs(1));
        let (mut now, mut tries, mut retries) = (0, vec![], vec![]);
        for (gap, retry) in steps {
            now += u64::from(gap);
            let time = Time::from_millis(now);
            if !retry {
                budget.record_attempt(time);
                tries.push(now);
            } else if budget.try_take(time) {
                retries.push(now);
            }
        }
        // The window is one second in slices of 100 ms.
        let within = |all: &[u64], end: u64| all.iter().filter(|t| **t <= end && **t + 1000 > end).count();
        retries.iter().all(|&end| within(&retries, end / 100 * 100) <= 2 + tries.len() / 10)
            && retries.len() <= (2 + tries.len() / 10) * (1 + now as usize / 900)
    }
}

#[test]
fn retries_of_a_span_that_ends_within_a_slice_are_all_counted() {
    let mut budget = RetryBudget::new(0.1, 2, Duration::from_secs(1));
    let times = [56, 335, 928, 1_020, 1_400, 1_747, 2_000];
    let taken = times.map(|ms| budget.try_take(Time::from_millis(ms)));
    let late = taken[3..].iter().filter(|taken| **taken).count();
    assert!(late <= 2, "{late} retries between 1,001 and 2,000 ms");
}

#[test]
fn retries_are_limited_by_recent_attempts() {
    let mut budget = RetryBudget::new(0.1, 0, Duration::from_secs(1));
    (0..100).for_each(|_| budget.record_attempt(Time::ZERO));
    let taken = (0..100)
        .filter(|_| budget.try_take(Time::from_millis(500)))
        .count();
    assert!((9..=10).contains(&taken));
    assert!(
        !budget.try_take(Time::from_millis(2_000)),
        "old attempts no longer count"
    );
}

// One account floods the queue with urgent requests. Each other account must
// still get its share of the slots.
#[test]
fn flooding_account_does_not_starve_others() {
    let mut queue = FairQueue::new(100);
    let names = ["finder", "flood", "sealbook", "small"];
    let mut served = [0; 4];
    let mut refused = [0; 4];
    for round in 0..2_000_u64 {
        for (index, name) in names.iter().enumerate() {
            let priority = [Priority::Normal, Priority::Urgent][usize::from(index == 1)];
            for _ in 0..[1, 20, 1, 1][index] {
                let request = waiting(name, 100.0, priority, round * 10 + 500, index);
                refused[queue.push(request).unwrap_or(index)] += 1;
            }
        }
        // Four slots per round, and four accounts that offer at least one
        // request each.
        let now = Time::from_millis(round * 10);
        for _ in 0..4 {
            served[queue.pop(now).unwrap()] += 1;
        }
        queue.expire(now, &mut vec![]);
    }
    for index in [0, 2, 3] {
        assert!(served[index] >= 1_990, "{served:?}");
    }
}

#[test]
fn accounts_share_slot_time_not_request_count() {
    let mut queue = FairQueue::new(1_000);
    let mut held = [0, 0];
    for index in 0..1_000_u64 {
        let name = ["slow", "quick"][index as usize % 2];
        queue.push(waiting(
            name,
            1.0,
            Priority::Normal,
            1_000_000,
            index as usize % 2,
        ));
    }
    while held[0] + held[1] < 5_000 {
        let index = queue.pop(Time::ZERO).unwrap();
        let span = [90, 10][index];
        queue.record_hold_time(
            &account(["slow", "quick"][index]),
            Duration::from_millis(span),
        );
        held[index] += span;
    }
    let ratio = held[0] as f64 / held[1] as f64;
    assert!((0.7..1.4).contains(&ratio), "slot time {held:?}");
}

#[test]
fn full_queue_drops_from_longest_backlog() {
    let mut queue = FairQueue::new(4);
    for item in 0..4 {
        assert_eq!(
            queue.push(waiting("flood", 1.0, Priority::Normal, 100 + item, item)),
            None
        );
    }
    let late = queue.push(waiting("small", 1.0, Priority::Normal, 100, 9));
    assert_eq!(late, Some(3), "the flood's latest deadline is dropped");
    assert_eq!(queue.len(), 4);
}

#[test]
fn requests_past_deadline_never_run() {
    let mut queue = FairQueue::new(4);
    queue.push(waiting("small", 1.0, Priority::Normal, 10, 1));
    queue.push(waiting("small", 1.0, Priority::Normal, 30, 2));
    assert_eq!(queue.pop(Time::from_millis(10)), Some(2));
    let mut out = vec![];
    queue.expire(Time::from_millis(10), &mut out);
    assert_eq!((out, queue.is_empty()), (vec![1], true));
}
