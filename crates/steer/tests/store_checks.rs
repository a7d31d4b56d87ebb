//! A watch of the store that will never be answered is noticed in time, in virtual time with
//! drawn delays and drawn changes of other kinds.

use std::time::Duration;

use corianderway_model::Era;
use corianderway_model::Revision;
use corianderway_steer::CheckAnswer;
use corianderway_steer::InputKind;
use corianderway_steer::Remedy;
use corianderway_steer::Revisions;
use corianderway_steer::StoreCheck;
use rand::rngs::SmallRng;
use rand::Rng as _;
use rand::SeedableRng as _;

/// The platform's limit on the time until a change takes effect.
const MAX_CHANGE_DELAY: Duration = Duration::from_millis(2_500);

/// The part of that limit in which a change must arrive whose watch is lost, in ms.
const MAX_NOTICE: u64 = MAX_CHANGE_DELAY.as_millis() as u64 / 3;

/// The delay between two watches of a kind, in ms.
const GATHER_DELAY: u64 = 100;

/// The maximum one-way delay of a call, in ms.
const MAX_DELAY: u64 = 30;

/// The maximum price of all checks and of watches that are sent again, as a part of that of the
/// watches, while each kind changes.
const MAX_COST: f64 = 0.1;

/// The number of draws.
const DRAWS: u64 = 1_000;

const KINDS: [InputKind; 5] = [
    InputKind::Plan,
    InputKind::Servers,
    InputKind::Orders,
    InputKind::Evacuations,
    InputKind::Members,
];

const CHECKED: [InputKind; 3] = [InputKind::Plan, InputKind::Servers, InputKind::Evacuations];

/// Changes of the store, each with its time in ms. The place in the list is the revision.
#[derive(Debug, Default)]
struct Store(Vec<(u64, InputKind)>);

impl Store {
    // Returns the store's revision at a time.
    fn revision(&self, now: u64) -> Revision {
        let number = self.0.partition_point(|row| row.0 <= now) as u64;
        Revision::new(Era::FIRST, number)
    }

    // Returns whether a kind changed after a revision.
    fn has_news(&self, now: u64, kind: InputKind, after: Revision) -> bool {
        let end = self.revision(now).number as usize;
        let later = self.0.get(after.number as usize..end).unwrap_or_default();
        later.iter().any(|row| row.1 == kind)
    }
}

/// A call that waits for changes of a kind.
#[derive(Clone, Copy, Debug)]
enum Watch {
    /// It will never be answered.
    Lost,
    /// It arrives at the store at this time.
    Waiting(u64),
    /// The answer, with its revision, arrives at this time.
    Answered(u64, Revision),
    /// The next one is sent at this time.
    Paused(u64),
}

/// A check of the store.
#[derive(Clone, Copy, Debug)]
enum Check {
    /// The next one is sent at this time.
    Due(u64),
    /// It arrives at the store at this time, with the revision up to which its kind is known.
    Sent(u64, InputKind, Revision),
    /// The answer arrives at this time.
    Answered(u64, InputKind, Revision, CheckAnswer),
}

/// An instance that follows the store.
#[derive(Debug)]
struct Reader {
    store: Store,
    known: Revisions,
    watches: [Watch; KINDS.len()],
    check: Check,
    checks: StoreCheck,
    rng: SmallRng,
    now: u64,
    // The number of checks, of watches, and of those that were sent again.
    sent: u64,
    watched: u64,
    resent: u64,
}

impl Reader {
    fn new(store: Store, rng: SmallRng) -> Self {
        Self {
            store,
            known: Revisions::default(),
            watches: [Watch::Paused(0); KINDS.len()],
            check: Check::Due(0),
            checks: StoreCheck::new().expect("the chart is valid"),
            rng,
            now: 0,
            sent: 0,
            watched: 0,
            resent: 0,
        }
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(1..=MAX_DELAY)
    }

    // Advances the time by 1 ms.
    fn turn(&mut self) {
        self.now += 1;
        for kind in KINDS {
            self.turn_watch(kind);
        }
        self.turn_check();
    }

    fn turn_watch(&mut self, kind: InputKind) {
        let now = self.now;
        let known = self.known.of(kind);
        let watch = match self.watches[kind as usize] {
            Watch::Waiting(at) if at <= now && self.store.has_news(now, kind, known) => {
                Watch::Answered(now + self.delay(), self.store.revision(now))
            }
            Watch::Answered(at, revision) if at <= now => {
                self.known.raise(kind, revision);
                Watch::Paused(now + GATHER_DELAY)
            }
            Watch::Paused(at) if at <= now => {
                self.watched += 1;
                Watch::Waiting(now + self.delay())
            }
            watch => watch,
        };
        self.watches[kind as usize] = watch;
    }

    fn turn_check(&mut self) {
        let now = self.now;
        self.check = match self.check {
            Check::Due(at) if at <= now => {
                self.sent += 1;
                let kind = self.checks.choose(&self.known);
                Check::Sent(now + self.delay(), kind, self.known.of(kind))
            }
            Check::Sent(at, kind, known) if at <= now => {
                let (revision, news) = (
                    self.store.revision(now),
                    self.store.has_news(now, kind, known),
                );
                let answer = CheckAnswer::Told { revision, news };
                Check::Answered(now + self.delay(), kind, known, answer)
            }
            Check::Answered(at, kind, known, answer) if at <= now => {
                let answer = match answer {
                    CheckAnswer::Told { revision, news } => CheckAnswer::Told {
                        revision,
                        news: news && self.known.of(kind) == known,
                    },
                    CheckAnswer::Missed => CheckAnswer::Missed,
                };
                match self.checks.answer(kind, answer) {
                    Some(Remedy::Resend(kind)) => self.resend(kind),
                    Some(remedy) => panic!("{remedy:?} although each check was answered"),
                    None => (),
                }
                Check::Due(now + self.checks.delay(&self.known).as_millis() as u64)
            }
            check => check,
        };
    }

    // Sends a watch again, unless none waits.
    fn resend(&mut self, kind: InputKind) {
        if !matches!(self.watches[kind as usize], Watch::Paused(_)) {
            self.resent += 1;
            self.watches[kind as usize] = Watch::Waiting(self.now + self.delay());
        }
    }
}

// Draws the changes of kinds up to a time, each at a steady interval between 15 ms and 4 s.
fn draw_changes(rng: &mut SmallRng, kinds: &[InputKind], until: u64) -> Vec<(u64, InputKind)> {
    let mut changes = Vec::new();
    for kind in kinds {
        let interval = (15.0 * 2_f64.powf(rng.random_range(0.0..8.0))) as u64;
        let mut at = rng.random_range(0..interval);
        while at < until {
            changes.push((at, *kind));
            at += interval;
        }
    }
    changes
}

// Returns the time in ms until a change arrives whose watch is lost.
fn notice_time(seed: u64) -> u64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let lost = CHECKED[rng.random_range(0..CHECKED.len())];
    let others: Vec<_> = KINDS.into_iter().filter(|kind| *kind != lost).collect();
    let changed = rng.random_range(3_000..5_000);
    let mut changes = draw_changes(&mut rng, &others, changed + 20_000);
    changes.push((changed, lost));
    changes.sort_by_key(|row| row.0);
    let position = changes.iter().position(|row| row.1 == lost);
    let revision = Revision::new(Era::FIRST, position.expect("the change") as u64 + 1);
    let mut reader = Reader::new(Store(changes), rng);
    reader.watches[lost as usize] = Watch::Lost;
    while reader.known.of(lost) < revision && reader.now < changed + 20_000 {
        reader.turn();
    }
    reader.now - changed
}

// Guards against a change that arrives late since the checks stayed with a kind that changed
// more often than its watch was answered: a withdrawn key was served for 5 s.
#[test]
fn a_lost_watch_is_noticed_in_time_whatever_else_changes() {
    let mut spans: Vec<u64> = (0..DRAWS).map(notice_time).collect();
    spans.sort_unstable();
    let [late, broken] = [MAX_NOTICE, MAX_CHANGE_DELAY.as_millis() as u64]
        .map(|limit| spans.iter().filter(|span| **span > limit).count());
    let last = spans.last();
    assert!(
        late == 0,
        "{late} of {DRAWS} beyond {MAX_NOTICE} ms, {broken} beyond {MAX_CHANGE_DELAY:?}, {last:?} ms"
    );
}

// Guards against a bill that grows: a check costs a tenth of a watch, and a watch that is sent
// again although it would be answered costs a whole one.
#[test]
fn checks_of_healthy_watches_cost_little() {
    for seed in 0..DRAWS / 20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let seconds = 60;
        let changes = match seed % 2 {
            0 => Vec::new(),
            _ => draw_changes(&mut rng, &KINDS, seconds * 1_000),
        };
        let quiet = changes.is_empty();
        let mut store = Store(changes);
        store.0.sort_by_key(|row| row.0);
        let mut reader = Reader::new(store, rng);
        (0..seconds * 1_000).for_each(|_| reader.turn());
        let (checks, again) = (reader.sent, reader.resent);
        if quiet {
            assert!(checks <= 2 * seconds && again == 0, "{checks} {again}");
        } else {
            let part = (checks as f64 / 10.0 + again as f64) / reader.watched as f64;
            assert!(part < MAX_COST, "{checks} {again} {part}");
        }
    }
}

#[test]
fn one_missed_answer_sends_calls_again_and_two_lose_the_store() {
    let known = Revisions::default();
    for news in [false, true] {
        let revision = Revision::new(Era::FIRST, 7);
        let told = CheckAnswer::Told { revision, news };
        let mut checks = StoreCheck::new().expect("the chart is valid");
        assert!(checks.delay(&known) > Duration::ZERO);
        let kind = checks.choose(&known);
        assert_eq!(checks.answer(kind, CheckAnswer::Missed), None);
        assert_eq!(checks.delay(&known), Duration::ZERO);
        let kind = checks.choose(&known);
        assert_eq!(checks.answer(kind, told), Some(Remedy::ResendAll));
        let kind = checks.choose(&known);
        assert_eq!(checks.answer(kind, CheckAnswer::Missed), None);
        let kind = checks.choose(&known);
        let lost = checks.answer(kind, CheckAnswer::Missed);
        assert_eq!(lost, Some(Remedy::Lose));
    }
}
