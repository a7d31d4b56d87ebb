//! The order of pipelined requests, over drawn orders of arrivals, answers, leaves and stops.

use std::collections::VecDeque;

use corianderway_steer::ConnectionChart;
use corianderway_steer::ExchangeKind;
use corianderway_steer::Pipeline;
use corianderway_steer::PipelineAction;
use corianderway_steer::PipelineEvent;
use corianderway_steer::RequestId;
use corianderway_steer::MAX_QUEUED;
use corianderway_steer::MAX_QUEUED_BYTES;
use rand::rngs::SmallRng;
use rand::Rng as _;
use rand::SeedableRng as _;

/// The number of connections that are played, and of events on each.
const CONNECTIONS: u64 = 4_000;
const EVENTS: usize = 60;

/// The sizes of most requests, and the largest one, in bytes.
const REQUEST_BYTES: usize = 300;
const LARGE_BYTES: usize = 100_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Running,
    Answered,
    Written,
    Dropped,
    Cancelled,
}

#[derive(Debug)]
struct Sent {
    kind: ExchangeKind,
    closes: bool,
    bytes: usize,
    stage: Stage,
}

/// The end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Open,
    Left,
    Closed,
}

/// A connection, and what its caller and the backend servers see of it.
#[derive(Debug)]
struct World {
    pipeline: Pipeline,
    // By the number of the request, from 0.
    sent: Vec<Sent>,
    actions: VecDeque<PipelineAction>,
    writing: Option<bool>,
    announced: bool,
    // Whether a stop found a request whose answer can announce the close.
    sealed: bool,
    end: End,
}

impl World {
    fn new(chart: &ConnectionChart) -> Self {
        Self {
            pipeline: Pipeline::new(chart),
            sent: Vec::new(),
            actions: VecDeque::new(),
            writing: None,
            announced: false,
            sealed: false,
            end: End::Open,
        }
    }

    fn step(&mut self, event: PipelineEvent) {
        self.pipeline.step(event, &mut self.actions);
        while let Some(action) = self.actions.pop_front() {
            assert_ne!(self.end, End::Closed, "{action:?} after the close");
            match action {
                PipelineAction::Begin(id) => self.begin(id),
                PipelineAction::Write { id, close } => self.write(id, close),
                PipelineAction::Drop(id) => {
                    assert_eq!(self.stage(id), Stage::Waiting, "{id:?}");
                    self.set(id, Stage::Dropped);
                }
                PipelineAction::Cancel(id) => {
                    assert_eq!(self.end, End::Left, "{id:?} is cancelled without a leave");
                    assert_eq!(self.stage(id), Stage::Running, "{id:?}");
                    self.set(id, Stage::Cancelled);
                }
                PipelineAction::Close => self.close(),
            }
        }
        let open = self.open().count();
        assert!(open <= MAX_QUEUED, "{open} requests are open");
    }

    fn read(&mut self, kind: ExchangeKind, bytes: usize, closes: bool) {
        let id = RequestId(self.sent.len() as u64);
        let held: usize = self.open().map(|sent| sent.bytes).sum();
        let open = self.open().count();
        assert!(open == 0 || (open < MAX_QUEUED && held < MAX_QUEUED_BYTES));
        self.sent.push(Sent {
            kind,
            closes: closes || kind == ExchangeKind::Unreadable,
            bytes,
            stage: Stage::Waiting,
        });
        self.step(PipelineEvent::Read {
            id,
            kind,
            bytes,
            closes,
        });
    }

    fn answer(&mut self, number: usize, bytes: usize) {
        self.sent[number].stage = Stage::Answered;
        self.sent[number].bytes += bytes;
        let id = RequestId(number as u64);
        self.step(PipelineEvent::Answered { id, bytes });
    }

    fn stop(&mut self) {
        let begun = self.open().filter(|sent| sent.stage != Stage::Waiting);
        self.sealed |= begun.count() > usize::from(self.writing.is_some());
        self.step(PipelineEvent::Stopped);
    }

    fn begin(&mut self, id: RequestId) {
        assert_eq!(self.stage(id), Stage::Waiting, "{id:?}");
        let (ahead, rest) = self.sent.split_at(id.0 as usize);
        let kind = rest[0].kind;
        for sent in ahead {
            assert!(!sent.closes, "{id:?} begins behind a close: {self:#?}");
            if sent.stage != Stage::Written {
                let beside = [kind, sent.kind].map(|kind| kind == ExchangeKind::Idempotent);
                assert_eq!(beside, [true; 2], "{id:?} begins early: {self:#?}");
                assert_ne!(sent.stage, Stage::Waiting, "{id:?} overtakes one");
            }
        }
        assert!(!self.announced, "{id:?} begins after an announced close");
        assert!(!self.sealed, "{id:?} begins after a stop: {self:#?}");
        self.set(id, Stage::Running);
    }

    fn write(&mut self, id: RequestId, close: bool) {
        assert_eq!(self.writing, None);
        let number = id.0 as usize;
        let ahead = &self.sent[..number];
        assert!(ahead.iter().all(|sent| sent.stage == Stage::Written));
        let sent = &self.sent[number];
        let known = sent.stage == Stage::Answered || sent.kind == ExchangeKind::Unreadable;
        assert!(known, "{id:?} has no answer yet");
        assert!(close || !sent.closes, "the close is not announced");
        assert!(!self.announced, "an answer follows the announced close");
        if close {
            let behind = self.sent[number + 1..].iter();
            let passed_on = behind.filter(|sent| sent.stage != Stage::Dropped).count();
            assert_eq!(passed_on, 0, "the close cuts off requests");
        }
        self.announced = close;
        self.writing = Some(close);
    }

    fn written(&mut self) {
        let stages = self.sent.iter().map(|sent| sent.stage);
        let number = stages
            .enumerate()
            .find_map(|(number, stage)| (stage != Stage::Written).then_some(number));
        self.sent[number.unwrap()].stage = Stage::Written;
        self.writing = None;
        self.step(PipelineEvent::Written);
    }

    fn close(&mut self) {
        let running = self.sent.iter().filter(|s| s.stage == Stage::Running);
        assert_eq!(running.count(), 0, "cut off: {self:#?}");
        assert!(self.end == End::Left || self.announced, "{self:#?}");
        self.end = End::Closed;
    }

    fn open(&self) -> impl Iterator<Item = &Sent> {
        let open = [Stage::Waiting, Stage::Running, Stage::Answered];
        self.sent.iter().filter(move |s| open.contains(&s.stage))
    }

    fn running(&self) -> Vec<usize> {
        let numbers = 0..self.sent.len();
        numbers
            .filter(|number| self.sent[*number].stage == Stage::Running)
            .collect()
    }

    fn stage(&self, id: RequestId) -> Stage {
        self.sent[id.0 as usize].stage
    }

    fn set(&mut self, id: RequestId, stage: Stage) {
        self.sent[id.0 as usize].stage = stage;
    }

    // Plays one drawn event, if it can happen now.
    fn play(&mut self, rng: &mut SmallRng) {
        match rng.random_range(0..80) {
            0 => {
                self.end = End::Left;
                self.step(PipelineEvent::Left);
            }
            1 => self.stop(),
            2..36 if self.pipeline.may_read() => {
                let kind = match rng.random_range(0..20) {
                    0 => ExchangeKind::Unreadable,
                    1..5 => ExchangeKind::Once,
                    _ => ExchangeKind::Idempotent,
                };
                let bytes = drawn_bytes(rng);
                self.read(kind, bytes, rng.random_bool(0.03));
            }
            36..60 => {
                let running = self.running();
                if !running.is_empty() {
                    let number = running[rng.random_range(0..running.len())];
                    let bytes = drawn_bytes(rng);
                    self.answer(number, bytes);
                }
            }
            _ if self.writing.is_some() => self.written(),
            _ => (),
        }
    }

    // Answers and writes whatever is left; nothing may hang.
    fn finish(&mut self) {
        for _ in 0..self.sent.len() * 3 {
            if let Some(number) = self.running().first() {
                self.answer(*number, REQUEST_BYTES);
            } else if self.writing.is_some() && self.end == End::Open {
                self.written();
            }
        }
        assert!(
            self.end == End::Closed || self.pipeline.is_empty(),
            "{self:#?}"
        );
    }
}

fn drawn_bytes(rng: &mut SmallRng) -> usize {
    if rng.random_bool(0.1) {
        rng.random_range(0..LARGE_BYTES)
    } else {
        REQUEST_BYTES
    }
}

fn chart() -> ConnectionChart {
    ConnectionChart::load().unwrap()
}

// `STEER_SEED` replaces the first seed.
#[test]
fn drawn_orders_keep_the_order_and_run_nothing_early() {
    let first = std::env::var("STEER_SEED").map_or(1, |seed| seed.parse().unwrap());
    let chart = chart();
    for seed in first..first + CONNECTIONS {
        let played = std::panic::catch_unwind(|| {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut world = World::new(&chart);
            for _ in 0..EVENTS {
                if world.end == End::Open {
                    world.play(&mut rng);
                }
            }
            if world.end == End::Open {
                world.finish();
            }
        });
        assert!(played.is_ok(), "STEER_SEED={seed}");
    }
}

#[test]
fn idempotent_requests_run_beside_each_other_up_to_the_bound() {
    let mut world = World::new(&chart());
    while world.pipeline.may_read() {
        world.read(ExchangeKind::Idempotent, REQUEST_BYTES, false);
    }
    assert_eq!(world.running().len(), MAX_QUEUED);
    // Answers that wait for the first one count for the bound.
    for number in 1..MAX_QUEUED {
        world.answer(number, REQUEST_BYTES);
    }
    assert_eq!(world.writing, None);
    assert!(!world.pipeline.may_read());
    world.answer(0, REQUEST_BYTES);
    for _ in 0..MAX_QUEUED {
        world.written();
    }
    assert!(world.pipeline.is_empty() && world.pipeline.may_read());
}

#[test]
fn large_answers_that_wait_stop_the_reading() {
    let mut world = World::new(&chart());
    world.read(ExchangeKind::Idempotent, REQUEST_BYTES, false);
    world.read(ExchangeKind::Idempotent, REQUEST_BYTES, false);
    world.answer(1, MAX_QUEUED_BYTES);
    assert!(!world.pipeline.may_read());
}

#[test]
fn a_request_that_must_not_run_twice_runs_alone() {
    let mut world = World::new(&chart());
    let (idempotent, once) = (ExchangeKind::Idempotent, ExchangeKind::Once);
    for kind in [idempotent, once, idempotent] {
        world.read(kind, REQUEST_BYTES, false);
    }
    assert_eq!(world.running(), [0]);
    world.answer(0, 0);
    assert_eq!(world.running(), []);
    world.written();
    assert_eq!(world.running(), [1]);
    world.answer(1, 0);
    world.written();
    assert_eq!(world.running(), [2]);
}

#[test]
fn a_stop_answers_what_has_begun_and_closes_with_the_last() {
    let mut world = World::new(&chart());
    let (idempotent, once) = (ExchangeKind::Idempotent, ExchangeKind::Once);
    for kind in [idempotent, idempotent, once] {
        world.read(kind, REQUEST_BYTES, false);
    }
    world.stop();
    assert_eq!(world.sent[2].stage, Stage::Dropped);
    world.answer(0, 0);
    assert_eq!(world.writing, Some(false));
    world.written();
    world.answer(1, 0);
    assert_eq!(world.writing, Some(true));
    world.written();
    assert_eq!(world.end, End::Closed);
}

#[test]
fn a_stop_on_an_idle_connection_serves_one_more_request() {
    let mut world = World::new(&chart());
    world.stop();
    world.read(ExchangeKind::Once, REQUEST_BYTES, false);
    assert_eq!(world.running(), [0]);
    assert!(!world.pipeline.may_read());
    world.answer(0, 0);
    assert_eq!(world.writing, Some(true));
}

#[test]
fn a_leave_cancels_each_request_that_runs() {
    let mut world = World::new(&chart());
    for _ in 0..3 {
        world.read(ExchangeKind::Idempotent, REQUEST_BYTES, false);
    }
    world.answer(1, 0);
    world.end = End::Left;
    world.step(PipelineEvent::Left);
    let stages = world.sent.iter().map(|sent| sent.stage);
    let wanted = [Stage::Cancelled, Stage::Answered, Stage::Cancelled];
    assert_eq!(stages.collect::<Vec<_>>(), wanted);
    assert_eq!(world.end, End::Closed);
}
