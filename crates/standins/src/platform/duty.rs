//! The thread that owns the store and the pending watches.

use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use corianderway_model::Time;

use crate::duty;
use crate::duty::Ring;
use crate::platform::faults::Outage;
use crate::platform::operation::Operation;
use crate::platform::operation::Reply;
use crate::platform::operation::Watch;
use crate::platform::store::Decision;
use crate::platform::store::Store;

/// How long to wait for a call when no watch is pending.
const IDLE_TIMEOUT: Duration = Duration::from_hours(1);

/// A reply, and the delay after which the front end sends it.
pub(crate) type Answer = (Reply, Duration);

type Call = duty::Call<Operation, Answer>;

struct PendingWatch {
    watch: Watch,
    deadline: Time,
    reply: Sender<Answer>,
}

struct Duty {
    origin: Instant,
    store: Store,
    waiting: Vec<PendingWatch>,
    unanswered: Vec<Sender<Answer>>,
}

/// Starts the store on its own thread and returns the ring to call it by.
pub(crate) fn start() -> Ring<Operation, Answer> {
    let (ring, calls) = Ring::open();
    duty::spawn("store", || run(calls));
    ring
}

async fn run(calls: Receiver<Call>) {
    let mut duty = Duty {
        origin: Instant::now(),
        store: Store::default(),
        waiting: Vec::new(),
        unanswered: Vec::new(),
    };
    loop {
        match async_std::future::timeout(duty.next_timeout(), calls.recv()).await {
            Ok(Ok(call)) => duty.handle(call),
            Ok(Err(_)) => return,
            Err(_) => {}
        }
        duty.answer_watches();
    }
}

impl Duty {
    fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    fn next_timeout(&self) -> Duration {
        let now = self.now();
        let timeouts = self.waiting.iter().map(|w| w.deadline.since(now));
        timeouts.min().unwrap_or(IDLE_TIMEOUT)
    }

    fn handle(&mut self, call: Call) {
        let now = self.now();
        let control = matches!(call.event, Operation::Control(_));
        match self.store.step(now, call.event) {
            Decision::Answer(reply, delay) => send(&call.reply, reply, delay),
            Decision::Wait(watch) => self.waiting.push(PendingWatch {
                deadline: now + watch.wait,
                watch,
                reply: call.reply,
            }),
            Decision::Hang => self.unanswered.push(call.reply),
            Decision::Drop => {}
        }
        if control && self.store.down() != Outage::Hang {
            self.unanswered.clear();
        }
    }

    // Answers the watches whose objects have changed or whose wait has timed out.
    // An outage drops all of them or leaves them unanswered.
    fn answer_watches(&mut self) {
        let now = self.now();
        let store = &self.store;
        match store.down() {
            Outage::No => self.waiting.retain(|w| !w.try_answer(store, now)),
            Outage::Refuse => self.waiting.clear(),
            Outage::Hang => self
                .unanswered
                .extend(self.waiting.drain(..).map(|w| w.reply)),
        }
        self.store.set_waiting(self.waiting.len());
    }
}

impl PendingWatch {
    // Returns whether the watch is done: answered, or its caller has disconnected.
    fn try_answer(&self, store: &Store, now: Time) -> bool {
        let timed_out = (now >= self.deadline).then(|| store.watch_timeout());
        match store.poll_watch(&self.watch).or(timed_out) {
            Some(reply) => send(&self.reply, reply, Duration::ZERO),
            None => return self.reply.is_closed(),
        }
        true
    }
}

fn send(reply: &Sender<Answer>, answer: Reply, delay: Duration) {
    // The ring has room for a call's only answer. A closed ring means that the
    // caller has disconnected.
    drop(reply.try_send((answer, delay)));
}
