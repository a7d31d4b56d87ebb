//! Measures admission, an epoch change with many limits, and shift limits.

use std::hint::black_box;

use corianderway_limits::Action;
use corianderway_limits::Amount;
use corianderway_limits::Basis;
use corianderway_limits::Epoch;
use corianderway_limits::Event;
use corianderway_limits::Limit;
use corianderway_limits::Quota;
use corianderway_limits::ShiftLimit;
use corianderway_limits::StoredEpoch;
use corianderway_limits::Timing;
use corianderway_limits::Tokens;
use corianderway_model::Account;
use corianderway_model::InstanceId;
use corianderway_model::Region;
use corianderway_model::Time;
use criterion::BenchmarkId;
use criterion::Criterion;

fn limits(accounts: usize) -> Vec<(Limit, Amount)> {
    let name = |index| Limit::Rate(Account::try_from(format!("account-{index:04}")).unwrap());
    (0..accounts)
        .map(|index| (name(index), Amount::new(1e6, 1e6)))
        .collect()
}

fn epoch(number: u64, nodes: usize) -> StoredEpoch {
    let name = |index| InstanceId::try_from(format!("entry-{index:04}")).unwrap();
    let epoch = Epoch::new(number, Basis::Confirmed, (0..nodes).map(name));
    let version = number;
    StoredEpoch { version, epoch }
}

fn adopt_epoch(quota: &mut Quota, now: Time, stored: &StoredEpoch) {
    let mut out = vec![];
    quota.step(now, Event::Tick, &mut out);
    for action in std::mem::take(&mut out) {
        if let Action::Read { nonce } = action {
            let stored = Some(stored.clone());
            quota.step(now, Event::ReadDone { nonce, stored }, &mut out);
        }
    }
}

fn quota(accounts: usize, nodes: usize) -> Quota {
    let me = InstanceId::try_from("entry-0000").unwrap();
    let mut quota = Quota::new(me, Timing::default(), 1);
    let start = Time::from_millis(60_000);
    let limits = limits(accounts);
    quota.step(start, Event::Limits(limits), &mut vec![]);
    adopt_epoch(&mut quota, start, &epoch(1, nodes));
    quota
}

fn bench_admit(c: &mut Criterion) {
    let mut group = c.benchmark_group("admit");
    for (accounts, nodes) in [
        (8, 10),
        (500, 10),
        (5_000, 10),
        (5_000, 150),
        (5_000, 1_500),
    ] {
        let mut quota = quota(accounts, nodes);
        let limits = limits(accounts);
        let id = BenchmarkId::from_parameter(format!("{accounts}x{nodes}"));
        let mut nanos = 60_001_000_000;
        group.bench_function(id, |b| {
            b.iter(|| {
                nanos += 10;
                let index = (nanos / 10 * 7919) as usize % accounts;
                let now = Time::from_nanos(nanos);
                quota.admit(now, black_box(&limits[index].0), Tokens::ONE)
            });
        });
    }
    group.finish();
}

fn bench_epoch_change(c: &mut Criterion) {
    let mut group = c.benchmark_group("learn_epoch");
    group.sample_size(10);
    for nodes in [10, 150, 1_500] {
        group.bench_function(BenchmarkId::from_parameter(format!("5000x{nodes}")), |b| {
            b.iter_batched(
                || quota(5_000, nodes),
                |mut quota| {
                    // Each tick updates the floors of some of the entries.
                    for tick in 0..10 {
                        let now = Time::from_millis(60_000 + tick * 50);
                        quota.step(now, Event::Tick, &mut vec![]);
                    }
                    quota
                },
                criterion::BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

fn bench_shift(c: &mut Criterion) {
    let account = Account::try_from("finder").unwrap();
    let limit = Limit::Shift(account, Region::try_from("south").unwrap());
    let mut quota = quota(8, 10);
    let limits = vec![(limit.clone(), Amount::new(1e6, 1e6))];
    let start = Time::from_millis(60_000);
    quota.step(start, Event::Limits(limits), &mut vec![]);
    let mut shift = ShiftLimit::new();
    let mut nanos = 60_001_000_000;
    c.bench_function("shift", |b| {
        b.iter(|| {
            nanos += 100_000;
            shift.admit(Time::from_nanos(nanos), &mut quota, &limit)
        });
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_admit(&mut criterion);
    bench_epoch_change(&mut criterion);
    bench_shift(&mut criterion);
    criterion.final_summary();
}
