//! Admission must not allocate, even when the standing changes.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::cell::Cell;

use corianderway_limits::Action;
use corianderway_limits::Amount;
use corianderway_limits::Basis;
use corianderway_limits::Epoch;
use corianderway_limits::Event;
use corianderway_limits::FloorStatus;
use corianderway_limits::Limit;
use corianderway_limits::Quota;
use corianderway_limits::StoredEpoch;
use corianderway_limits::Timing;
use corianderway_limits::Tokens;
use corianderway_limits::Verdict;
use corianderway_model::Account;
use corianderway_model::InstanceId;
use corianderway_model::Time;

thread_local! {
    // Per thread, because the test harness allocates at any time on its own
    // thread.
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

struct CountingAllocator;

#[expect(unsafe_code, reason = "an allocator can't be counted otherwise")]
// SAFETY: every call is forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.set(ALLOCATIONS.get() + 1);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: `ptr` was returned by `alloc` above with this layout.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn adopt_epoch(quota: &mut Quota, now: Time, members: Vec<InstanceId>) {
    let mut out = vec![];
    quota.step(now, Event::Tick, &mut out);
    let epoch = Epoch::new(1, Basis::Confirmed, members);
    for action in std::mem::take(&mut out) {
        if let Action::Read { nonce } = action {
            let stored = Some(StoredEpoch {
                version: 1,
                epoch: epoch.clone(),
            });
            quota.step(now, Event::ReadDone { nonce, stored }, &mut out);
        }
    }
}

#[test]
fn admission_allocates_nothing() {
    let name = |index| InstanceId::try_from(format!("entry-{index}")).unwrap();
    let limit = |index| Limit::Rate(Account::try_from(format!("account-{index}")).unwrap());
    let limits: Vec<_> = (0..1_000).map(limit).collect();
    let mut quota = Quota::new(name(0), Timing::default(), 1);
    let amounts = limits.iter().map(|l| (l.clone(), Amount::new(100.0, 50.0)));
    let start = Time::from_millis(60_000);
    quota.step(start, Event::Limits(amounts.collect()), &mut vec![]);
    adopt_epoch(&mut quota, start, (0..40).map(name).collect());
    quota.step(start, Event::Live(vec![]), &mut vec![]);
    assert_eq!(quota.floor_status(), FloorStatus::Held);

    let before = ALLOCATIONS.get();
    let (mut admitted, mut refused) = (0, 0);
    // The lease expires half way through.
    for step in 0..20_000 {
        let now = Time::from_millis(60_000 + step);
        match quota.admit(now, &limits[step as usize % 1_000], Tokens::ONE) {
            Verdict::Admitted => admitted += 1,
            Verdict::Refused { .. } => refused += 1,
        }
    }
    let after = ALLOCATIONS.get();
    assert_eq!(quota.floor_status(), FloorStatus::Stale);
    assert!(
        admitted > 0 && refused > 0,
        "{admitted} admitted, {refused} refused"
    );
    assert_eq!(after - before, 0);
}
