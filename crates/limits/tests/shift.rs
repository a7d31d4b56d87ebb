//! A region is lost at the peak, and its traffic moves onto cold caches.

mod fleet;

use std::time::Duration;

use corianderway_limits::Limit;
use corianderway_limits::ShiftLimit;
use corianderway_limits::Terms;
use corianderway_limits::Tokens;
use corianderway_limits::Verdict;
use corianderway_model::Contract;
use fleet::seeds;
use fleet::Faults;
use fleet::Fleet;

const CONTRACT: &str = "
account: finder
hosts: [finder.lakeshore.example]
rate: 1000
burst: 500
routes:
  - { name: find, path: /, methods: [GET], service: finder }
regions:
  - { name: south, capacity: 300, shift: 40 }
";
const SHIFT: u32 = 40;
const CAPACITY: u32 = 300;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mover {
    Capped,
    /// Moves all that the region's capacity takes.
    Uncapped,
}

#[derive(Debug, Default)]
struct History {
    // Requests moved in each step of the driver.
    moved: Vec<u32>,
    shed: u32,
}

impl History {
    fn second(&self, end: usize) -> u32 {
        let steps = (1000 / fleet::STEP_MS) as usize;
        self.moved[end.saturating_sub(steps)..end].iter().sum()
    }

    fn most(&self) -> u32 {
        (0..=self.moved.len())
            .map(|end| self.second(end))
            .max()
            .unwrap_or(0)
    }

    fn steepest(&self) -> u32 {
        let steps = (1000 / fleet::STEP_MS) as usize;
        let growth = |end: usize| self.second(end).saturating_sub(self.second(end - steps));
        (steps..=self.moved.len()).map(growth).max().unwrap_or(0)
    }
}

fn region_lost(seed: u64, mover: Mover, faults: Faults, span: Duration) -> History {
    let contract = Contract::parse("finder.yaml", CONTRACT).unwrap();
    let limits = Limit::of(&contract);
    let named = |want: fn(&Limit) -> bool| limits.iter().find(|l| want(&l.0)).unwrap().0.clone();
    let shift = named(|l| matches!(l, Limit::Shift(..)));
    let capacity = named(|l| matches!(l, Limit::Capacity(..)));
    let mut fleet = Fleet::new(seed, 6, 1000.0, 500.0, Terms::default());
    fleet.extra = limits;
    fleet.restart(fleet::Sabotage::None);
    fleet.offered = 0.0;
    fleet.run(Duration::from_secs(20));
    fleet.faults = faults;
    let mut movers = vec![ShiftLimit::new(); 6];
    let mut history = History::default();
    let steps = span.as_millis() as u64 / fleet::STEP_MS;
    for step in 0..steps {
        fleet.step();
        let mut moved = 0;
        for (at, limit) in movers.iter_mut().enumerate() {
            let node = &mut fleet.nodes[at];
            // Three instances carry the traffic of the lost region: 400 a
            // second each, in lumps.
            if node.paused || at >= 3 || !(step + at as u64).is_multiple_of(3) {
                continue;
            }
            let now = node.clock(fleet.ms);
            for _ in 0..12 {
                let fits = node.quota.admit(now, &capacity, Tokens::ONE) == Verdict::Admitted;
                let capped = mover == Mover::Capped;
                let goes = fits
                    && (!capped || limit.admit(now, &mut node.quota, &shift) == Verdict::Admitted);
                moved += u32::from(goes);
                history.shed += u32::from(!goes);
            }
        }
        history.moved.push(moved);
    }
    history
}

#[test]
fn a_lost_region_moves_within_the_cap() {
    for seed in seeds(3) {
        let history = region_lost(
            seed,
            Mover::Capped,
            Faults::default(),
            Duration::from_secs(30),
        );
        let (most, steepest) = (history.most(), history.steepest());
        let end = history.second(history.moved.len());
        println!("LIMITS_SEED={seed} most={most}/s steepest={steepest}/s² end={end}/s");
        assert!(steepest <= SHIFT, "LIMITS_SEED={seed} grew by {steepest}");
        assert!(most <= CAPACITY, "LIMITS_SEED={seed} moved {most}");
        assert!(
            end >= CAPACITY / 2,
            "LIMITS_SEED={seed} only {end} after 30 s"
        );
        assert!(history.shed > 0, "the rest is refused");
    }
}

#[test]
fn faults_add_nothing_to_the_cap() {
    for seed in seeds(6) {
        let faults = Faults {
            loss: 0.1,
            repeat: 0.5,
            delay_ms: 2_000,
            outage: 0.05,
            split: 0.05,
            ..Faults::default()
        };
        let history = region_lost(seed, Mover::Capped, faults, Duration::from_secs(40));
        let (most, steepest) = (history.most(), history.steepest());
        println!("LIMITS_SEED={seed} most={most}/s steepest={steepest}/s²");
        assert!(steepest <= SHIFT, "LIMITS_SEED={seed} grew by {steepest}");
        assert!(most <= CAPACITY, "LIMITS_SEED={seed} moved {most}");
    }
}

#[test]
fn moving_without_the_cap_is_noticed() {
    let history = region_lost(
        1,
        Mover::Uncapped,
        Faults::default(),
        Duration::from_secs(10),
    );
    assert!(history.steepest() > 2 * SHIFT);
}
