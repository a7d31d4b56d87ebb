//! What to warm in a cold cache before traffic moves onto it.
//!
//! `cargo run --release -p corianderway-routing --example warming -- [SEEDS]`
//! prints the part of requests that miss in the first seconds after a move,
//! for several ways to choose the keys that are warmed.

use std::collections::HashMap;
use std::collections::HashSet;
use std::env;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

const DEFAULT_SEEDS: u64 = 5;
const KEYS: usize = 20_000;
const WARMED: usize = 1_000;
const RATE: usize = 500;
// Popularity is proportional to the rank to the power of this.
const SKEW: f64 = -0.9;
const BEFORE_S: usize = 300;
const AFTER_S: usize = 10;
const WINDOW_S: usize = 30;
const HOP_S: usize = 10;
const HALF_LIFE_S: f64 = 60.0;
// Each interval a part of the ranks is dealt again, so that popularity drifts.
const DRIFT_S: usize = 10;
const DRIFTS: [f64; 3] = [0.0, 0.01, 0.05];

#[derive(Clone, Copy, Debug)]
enum Choice {
    Nothing,
    MostRecent,
    AllTime,
    HoppingWindow,
    Decayed,
    Oracle,
}

impl Choice {
    const ALL: [Self; 6] = [
        Self::Nothing,
        Self::MostRecent,
        Self::AllTime,
        Self::HoppingWindow,
        Self::Decayed,
        Self::Oracle,
    ];
}

struct Log {
    // The key and the second of each request before the move.
    before: Vec<(usize, usize)>,
    after: Vec<usize>,
}

fn main() {
    let seeds = env::args().nth(1).and_then(|s| s.parse().ok());
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    println!("| drift each {DRIFT_S} s | warmed by | missed % | by seed |\n|---|---|---|---|");
    for drift in DRIFTS {
        let logs: Vec<Log> = (1..=seeds).map(|seed| log(drift, seed)).collect();
        for choice in Choice::ALL {
            let mut missed: Vec<f64> = logs.iter().map(|log| missed(log, choice)).collect();
            missed.sort_by(f64::total_cmp);
            let mean = missed.iter().sum::<f64>() / missed.len() as f64;
            let (least, most) = (missed[0], missed[missed.len() - 1]);
            println!("| {drift} | {choice:?} | {mean:.1} | {least:.1} to {most:.1} |");
        }
    }
}

fn log(drift: f64, seed: u64) -> Log {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut total = 0.0;
    let mut sums = Vec::with_capacity(KEYS);
    for rank in 1..=KEYS {
        total += (rank as f64).powf(SKEW);
        sums.push(total);
    }
    let mut keys: Vec<usize> = (0..KEYS).collect();
    let mut log = Log {
        before: Vec::new(),
        after: Vec::new(),
    };
    for second in 0..BEFORE_S + AFTER_S {
        if second.is_multiple_of(DRIFT_S) {
            for _ in 0..(drift * KEYS as f64) as usize {
                keys.swap(rng.random_range(0..KEYS), rng.random_range(0..KEYS));
            }
        }
        for _ in 0..RATE {
            let drawn = rng.random::<f64>() * total;
            let key = keys[sums.partition_point(|sum| *sum < drawn).min(KEYS - 1)];
            if second < BEFORE_S {
                log.before.push((key, second));
            } else {
                log.after.push(key);
            }
        }
    }
    log
}

fn missed(log: &Log, choice: Choice) -> f64 {
    let mut cached = warmed(log, choice);
    let count = log.after.iter().filter(|key| cached.insert(**key)).count();
    count as f64 / log.after.len() as f64 * 100.0
}

fn warmed(log: &Log, choice: Choice) -> HashSet<usize> {
    let before = || log.before.iter().copied();
    let weights: Vec<(usize, f64)> = match choice {
        Choice::Nothing => Vec::new(),
        Choice::MostRecent => {
            let recent = before().enumerate().map(|(at, (key, _))| (key, at as f64));
            return best(recent.collect::<HashMap<_, _>>());
        }
        Choice::AllTime => before().map(|(key, _)| (key, 1.0)).collect(),
        Choice::HoppingWindow => {
            // The hop that runs counts too, so the window is up to a hop longer.
            let from = (BEFORE_S - WINDOW_S) / HOP_S * HOP_S;
            let recent = before().filter(|(_, second)| *second >= from);
            recent.map(|(key, _)| (key, 1.0)).collect()
        }
        Choice::Decayed => {
            let weight = |second| (-((BEFORE_S - second) as f64) / HALF_LIFE_S).exp2();
            before()
                .map(|(key, second)| (key, weight(second)))
                .collect()
        }
        Choice::Oracle => log.after.iter().map(|key| (*key, 1.0)).collect(),
    };
    let mut sums = HashMap::new();
    for (key, weight) in weights {
        *sums.entry(key).or_insert(0.0) += weight;
    }
    best(sums)
}

fn best(weights: HashMap<usize, f64>) -> HashSet<usize> {
    let mut sorted: Vec<_> = weights.into_iter().collect();
    sorted.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    sorted
        .into_iter()
        .take(WARMED)
        .map(|(key, _)| key)
        .collect()
}
