//! Compares ways to choose the keys that are loaded into a cold cache before
//! requests are sent to it.
//!
//! `cargo run --release -p corianderway-routing --example warming -- [SEEDS]`
//! prints the share of requests that miss in the first seconds after the change.

use std::collections::HashMap;
use std::collections::HashSet;
use std::env;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

const DEFAULT_SEEDS: u64 = 5;
const KEYS: usize = 20_000;
const WARMED_KEYS: usize = 1_000;
const REQUESTS_PER_S: usize = 500;
// The popularity of a key is proportional to its rank to the power of this.
const POPULARITY_EXPONENT: f64 = -0.9;
const BEFORE_S: usize = 300;
const AFTER_S: usize = 10;
const WINDOW_S: usize = 30;
const HOP_S: usize = 10;
const HALF_LIFE_S: f64 = 60.0;
// At each interval a fraction of the keys swap ranks with others, so that popularity
// drifts.
const DRIFT_INTERVAL_S: usize = 10;
const DRIFT_FRACTIONS: [f64; 3] = [0.0, 0.01, 0.05];

// How the keys to load are chosen.
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

struct RequestLog {
    // The key and the second of each request before the change.
    before: Vec<(usize, usize)>,
    after: Vec<usize>,
}

fn main() {
    let seeds = env::args().nth(1).and_then(|s| s.parse().ok());
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    println!(
        "| drift each {DRIFT_INTERVAL_S} s | warmed by | missed % | by seed |\n|---|---|---|---|"
    );
    for drift in DRIFT_FRACTIONS {
        let logs: Vec<RequestLog> = (1..=seeds).map(|seed| request_log(drift, seed)).collect();
        for choice in Choice::ALL {
            let mut percents: Vec<f64> = logs.iter().map(|log| miss_percent(log, choice)).collect();
            percents.sort_by(f64::total_cmp);
            let mean = percents.iter().sum::<f64>() / percents.len() as f64;
            let (lowest, highest) = (percents[0], percents[percents.len() - 1]);
            println!("| {drift} | {choice:?} | {mean:.1} | {lowest:.1} to {highest:.1} |");
        }
    }
}

fn request_log(drift: f64, seed: u64) -> RequestLog {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut total = 0.0;
    let mut sums = Vec::with_capacity(KEYS);
    for rank in 1..=KEYS {
        total += (rank as f64).powf(POPULARITY_EXPONENT);
        sums.push(total);
    }
    let mut keys: Vec<usize> = (0..KEYS).collect();
    let mut log = RequestLog {
        before: Vec::new(),
        after: Vec::new(),
    };
    for second in 0..BEFORE_S + AFTER_S {
        if second.is_multiple_of(DRIFT_INTERVAL_S) {
            for _ in 0..(drift * KEYS as f64) as usize {
                keys.swap(rng.random_range(0..KEYS), rng.random_range(0..KEYS));
            }
        }
        for _ in 0..REQUESTS_PER_S {
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

fn miss_percent(log: &RequestLog, choice: Choice) -> f64 {
    let mut cached = warmed_keys(log, choice);
    let count = log.after.iter().filter(|key| cached.insert(**key)).count();
    count as f64 / log.after.len() as f64 * 100.0
}

fn warmed_keys(log: &RequestLog, choice: Choice) -> HashSet<usize> {
    let before = || log.before.iter().copied();
    let weights: Vec<(usize, f64)> = match choice {
        Choice::Nothing => Vec::new(),
        Choice::MostRecent => {
            let recent = before().enumerate().map(|(at, (key, _))| (key, at as f64));
            return top_keys(recent.collect::<HashMap<_, _>>());
        }
        Choice::AllTime => before().map(|(key, _)| (key, 1.0)).collect(),
        Choice::HoppingWindow => {
            // The window starts at a multiple of the hop, so it is up to a hop
            // longer.
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
    top_keys(sums)
}

fn top_keys(weights: HashMap<usize, f64>) -> HashSet<usize> {
    let mut sorted: Vec<_> = weights.into_iter().collect();
    sorted.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    sorted
        .into_iter()
        .take(WARMED_KEYS)
        .map(|(key, _)| key)
        .collect()
}
