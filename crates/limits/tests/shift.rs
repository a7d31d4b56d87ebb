//! A region fails at peak load, and its traffic is shifted to a region with
//! cold caches.

mod fleet;

use std::time::Duration;

use corianderway_limits::Limit;
use corianderway_limits::ShiftLimit;
use corianderway_limits::Timing;
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
const SHIFT_LIMIT: u32 = 40;
const CAPACITY: u32 = 300;

/// How instances decide to shift a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShiftPolicy {
    Limited,
    /// Shifts as much as the region's capacity admits.
    Unlimited,
}

/// The requests shifted and refused in one simulation.
#[derive(Debug, Default)]
struct History {
    // Requests shifted in each simulation step.
    moved: Vec<u32>,
    shed: u32,
}

impl History {
    fn rate_at(&self, end: usize) -> u32 {
        let steps = (1000 / fleet::STEP_MS) as usize;
        self.moved[end.saturating_sub(steps)..end].iter().sum()
    }

    fn max_rate(&self) -> u32 {
        (0..=self.moved.len())
            .map(|end| self.rate_at(end))
            .max()
            .unwrap_or(0)
    }

    fn max_growth(&self) -> u32 {
        let steps = (1000 / fleet::STEP_MS) as usize;
        let growth = |end: usize| self.rate_at(end).saturating_sub(self.rate_at(end - steps));
        (steps..=self.moved.len()).map(growth).max().unwrap_or(0)
    }
}

fn fail_over_region(seed: u64, policy: ShiftPolicy, faults: Faults, span: Duration) -> History {
    let contract = Contract::parse("finder.yaml", CONTRACT).unwrap();
    let limits = Limit::of(&contract);
    let named = |want: fn(&Limit) -> bool| limits.iter().find(|l| want(&l.0)).unwrap().0.clone();
    let shift = named(|l| matches!(l, Limit::Shift(..)));
    let capacity = named(|l| matches!(l, Limit::Capacity(..)));
    let mut fleet = Fleet::new(seed, 6, 1000.0, 500.0, Timing::default());
    fleet.extra_limits = limits;
    fleet.restart(fleet::Defect::None);
    fleet.offered_rate = 0.0;
    fleet.run(Duration::from_secs(20));
    fleet.faults = faults;
    let mut shift_limits = vec![ShiftLimit::new(); 6];
    let mut history = History::default();
    let steps = span.as_millis() as u64 / fleet::STEP_MS;
    for step in 0..steps {
        fleet.step();
        let mut moved = 0;
        for (index, limit) in shift_limits.iter_mut().enumerate() {
            let node = &mut fleet.nodes[index];
            // Three instances carry the traffic of the failed region, 400
            // requests per second each, in batches of 12.
            if node.paused || index >= 3 || !(step + index as u64).is_multiple_of(3) {
                continue;
            }
            let now = node.clock(fleet.ms);
            for _ in 0..12 {
                let has_capacity =
                    node.quota.admit(now, &capacity, Tokens::ONE) == Verdict::Admitted;
                let limited = policy == ShiftPolicy::Limited;
                let admitted = has_capacity
                    && (!limited || limit.admit(now, &mut node.quota, &shift) == Verdict::Admitted);
                moved += u32::from(admitted);
                history.shed += u32::from(!admitted);
            }
        }
        history.moved.push(moved);
    }
    history
}

#[test]
fn region_failover_stays_within_limits() {
    for seed in seeds(3) {
        let history = fail_over_region(
            seed,
            ShiftPolicy::Limited,
            Faults::default(),
            Duration::from_secs(30),
        );
        let (max_rate, max_growth) = (history.max_rate(), history.max_growth());
        let end = history.rate_at(history.moved.len());
        println!("LIMITS_SEED={seed} most={max_rate}/s steepest={max_growth}/s² end={end}/s");
        assert!(
            max_growth <= SHIFT_LIMIT,
            "LIMITS_SEED={seed} grew by {max_growth}"
        );
        assert!(max_rate <= CAPACITY, "LIMITS_SEED={seed} moved {max_rate}");
        assert!(
            end >= CAPACITY / 2,
            "LIMITS_SEED={seed} only {end} after 30 s"
        );
        assert!(history.shed > 0, "the rest is refused");
    }
}

#[test]
fn faults_do_not_exceed_the_shift_limit() {
    for seed in seeds(6) {
        let faults = Faults {
            loss: 0.1,
            duplication: 0.5,
            delay_ms: 2_000,
            outage: 0.05,
            partition: 0.05,
            ..Faults::default()
        };
        let history = fail_over_region(seed, ShiftPolicy::Limited, faults, Duration::from_secs(40));
        let (max_rate, max_growth) = (history.max_rate(), history.max_growth());
        println!("LIMITS_SEED={seed} most={max_rate}/s steepest={max_growth}/s²");
        assert!(
            max_growth <= SHIFT_LIMIT,
            "LIMITS_SEED={seed} grew by {max_growth}"
        );
        assert!(max_rate <= CAPACITY, "LIMITS_SEED={seed} moved {max_rate}");
    }
}

#[test]
fn check_detects_unlimited_shift() {
    let history = fail_over_region(
        1,
        ShiftPolicy::Unlimited,
        Faults::default(),
        Duration::from_secs(10),
    );
    assert!(history.max_growth() > 2 * SHIFT_LIMIT);
}
