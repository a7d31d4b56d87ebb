//! The rings of which one goes first.

#[path = "../src/prioritized.rs"]
mod prioritized;

use std::thread;

use futures_lite::future;

use crate::prioritized::Prioritized;

fn rings() -> (
    async_channel::Sender<u32>,
    async_channel::Sender<u32>,
    Prioritized<u32>,
) {
    let (urgent, urgent_rx) = async_channel::bounded(8);
    let (ordinary, ordinary_rx) = async_channel::bounded(2_048);
    (urgent, ordinary, Prioritized::new(urgent_rx, ordinary_rx))
}

// Guards against a withdrawal that waits behind the requests of an instance that is behind.
#[test]
fn urgent_inputs_go_before_a_backlog_and_each_ring_keeps_its_order() {
    let (urgent, ordinary, inputs) = rings();
    for number in 0..1_000 {
        ordinary.try_send(number).expect("the ring has room");
    }
    for number in [5_000, 5_001] {
        urgent.try_send(number).expect("the ring has room");
    }
    let next = || future::block_on(inputs.next()).expect("an input");
    assert_eq!([next(), next(), next()], [5_000, 5_001, 0]);
    urgent.try_send(5_002).expect("the ring has room");
    assert_eq!([next(), next(), next()], [5_002, 1, 2]);
}

#[test]
fn a_waiting_duty_wakes_for_either_ring() {
    let (urgent, ordinary, inputs) = rings();
    for ring in [urgent, ordinary] {
        let input = thread::scope(|scope| {
            let waiting = scope.spawn(|| future::block_on(inputs.next()));
            ring.try_send(7).expect("the ring has room");
            waiting.join().expect("no panic")
        });
        assert_eq!(input, Ok(7));
        // Kept open, since a closed ring ends the duty.
        std::mem::forget(ring);
    }
}
