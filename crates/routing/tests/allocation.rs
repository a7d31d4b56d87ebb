//! The decisions for each request make no heap allocation.

mod common;

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::cell::Cell;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use corianderway_model::Time;
use corianderway_routing::Block;
use corianderway_routing::Fleet;
use corianderway_routing::Lookup;
use corianderway_routing::Outcome;
use corianderway_routing::Quarantine;
use corianderway_routing::Router;
use corianderway_routing::Site;

thread_local! {
    static ALLOCATIONS: Cell<usize> = const { Cell::new(0) };
}

struct CountingAllocator;

#[allow(unsafe_code, reason = "counting allocations needs a global allocator")]
// SAFETY: every call is passed unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.with(|count| count.set(count.get() + 1));
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn allocations(run: impl FnOnce()) -> usize {
    let before = ALLOCATIONS.get();
    run();
    ALLOCATIONS.get() - before
}

#[test]
fn routing_a_request_does_not_allocate() {
    let list: Vec<_> = (0..40).map(common::backend).collect();
    let mut fleet = Fleet::new().unwrap();
    fleet.sync(&list, Time::ZERO);
    let router = Router::new(list[0].region.clone(), list[0].domain.clone());
    let query = common::query(&list[0]);
    let mut quarantine = Quarantine::new();
    let count = allocations(|| {
        for draw in 0..100_u64 {
            let draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let decision = router.route(&fleet, &query, draw, |_| true).unwrap();
            quarantine.admit(draw, Time::ZERO);
            let ticket = fleet.begin(decision.server);
            let outcome = Outcome::Answered(Duration::from_millis(5));
            fleet.finish(ticket, outcome, Time::ZERO);
            quarantine.record_completion(draw, Time::ZERO);
        }
    });
    assert_eq!(count, 0);
}

#[test]
fn a_lookup_does_not_allocate() {
    let site = |at| Site {
        name: format!("site-{at}").into(),
        region: "north".try_into().unwrap(),
        keep_share: 0.5,
        overflow_weight: 1.0,
    };
    let block = Block {
        prefix: "10.0.0.0/8".try_into().unwrap(),
        site: "site-1".into(),
    };
    let lookup = Lookup::build((0..9).map(site).collect(), &[block]).unwrap();
    let count = allocations(|| {
        for low in 0..100 {
            let addr = IpAddr::V4(Ipv4Addr::new(10 + low % 2, low, 0, 0));
            assert!(lookup.find(addr).is_some());
        }
    });
    assert_eq!(count, 0);
}
