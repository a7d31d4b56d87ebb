//! The thread that owns the store and the watches that wait on it.

use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use corianderway_model::Time;

use crate::duty;
use crate::duty::Ring;
use crate::platform::faults::Down;
use crate::platform::operation::Operation;
use crate::platform::operation::Reply;
use crate::platform::operation::Watch;
use crate::platform::store::Store;
use crate::platform::store::Verdict;

/// The wait for a call while no watch waits.
const IDLE: Duration = Duration::from_hours(1);

/// What the front receives: the answer, and how long to hold it back.
pub(crate) type Answer = (Reply, Duration);

type Call = duty::Call<Operation, Answer>;

struct Waiting {
    watch: Watch,
    until: Time,
    reply: Sender<Answer>,
}

struct Duty {
    origin: Instant,
    store: Store,
    waiting: Vec<Waiting>,
    hung: Vec<Sender<Answer>>,
}

/// Starts the store on a thread of its own.
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
        hung: Vec::new(),
    };
    loop {
        match async_std::future::timeout(duty.idle(), calls.recv()).await {
            Ok(Ok(call)) => duty.decide(call),
            Ok(Err(_)) => return,
            Err(_) => {}
        }
        duty.settle();
    }
}

impl Duty {
    fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    fn idle(&self) -> Duration {
        let now = self.now();
        let spans = self.waiting.iter().map(|w| w.until.since(now));
        spans.min().unwrap_or(IDLE)
    }

    fn decide(&mut self, call: Call) {
        let now = self.now();
        let control = matches!(call.event, Operation::Control(_));
        match self.store.step(now, call.event) {
            Verdict::Answer(reply, delay) => send(&call.reply, reply, delay),
            Verdict::Wait(watch) => self.waiting.push(Waiting {
                until: now + watch.wait,
                watch,
                reply: call.reply,
            }),
            Verdict::Hang => self.hung.push(call.reply),
            Verdict::Drop => {}
        }
        if control && self.store.down() != Down::Hang {
            self.hung.clear();
        }
    }

    // Answers the watches whose objects have changed or whose wait has ended.
    fn settle(&mut self) {
        let now = self.now();
        let store = &self.store;
        match store.down() {
            Down::No => self.waiting.retain(|w| !w.settle(store, now)),
            Down::Refuse => self.waiting.clear(),
            Down::Hang => self.hung.extend(self.waiting.drain(..).map(|w| w.reply)),
        }
        self.store.set_waiting(self.waiting.len());
    }
}

impl Waiting {
    fn settle(&self, store: &Store, now: Time) -> bool {
        let ended = (now >= self.until).then(|| store.expire());
        match store.poll(&self.watch).or(ended) {
            Some(reply) => send(&self.reply, reply, Duration::ZERO),
            None => return self.reply.is_closed(),
        }
        true
    }
}

fn send(reply: &Sender<Answer>, answer: Reply, delay: Duration) {
    // The ring holds one answer and a call has one; a caller that left needs none.
    drop(reply.try_send((answer, delay)));
}
