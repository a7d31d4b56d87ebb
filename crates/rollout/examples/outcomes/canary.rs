//! The plain policy: one fixed share, and the failure ratios compared once.

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use crate::fleet::Run;
use crate::fleet::Size;
use crate::fleet::MARGIN;
use crate::fleet::SHARE;
use crate::fleet::TICK;
use crate::traffic;
use crate::traffic::Kind;
use crate::traffic::Setting;

/// The part of the move after which the ratios are compared.
const COMPARED: f64 = 0.4;

/// Runs the plain policy until the deadline.
pub fn run(kind: Kind, size: Size, seed: u64) -> Run {
    let mut rng = SmallRng::seed_from_u64(seed);
    let ticks = size.deadline.as_millis() as u64 / TICK.as_millis() as u64;
    let compared = (ticks as f64 * COMPARED) as u64;
    let (mut total, mut failed) = ([0_u64; 2], [0_u64; 2]);
    let mut run = Run::default();
    let (mut share, mut recent) = (SHARE, 0.0);
    for tick in 0..ticks {
        if tick == compared {
            let ratio = |arm: usize| failed[arm] as f64 / total[arm].max(1) as f64;
            run.withdrawn = ratio(1) > ratio(0) + MARGIN;
            run.finished = !run.withdrawn;
            run.secs = tick as f64 * TICK.as_secs_f64();
            share = if run.withdrawn { 0.0 } else { 1.0 };
        }
        for _ in 0..traffic::arrivals(&mut rng, size.rate * TICK.as_secs_f64()) {
            let new = rng.random_bool(share);
            let setting = Setting {
                new,
                route: traffic::route(&mut rng),
                part: tick as f64 / ticks as f64,
                age: tick as f64 * TICK.as_secs_f64(),
                load: recent,
            };
            recent += f64::from(u8::from(new));
            run.new += u64::from(new);
            run.met += u64::from(kind.shows(&setting));
            let answer = kind.answer(&setting, &mut rng);
            total[usize::from(new)] += 1;
            failed[usize::from(new)] += u64::from(answer.failed);
        }
        recent *= 1.0 - TICK.as_secs_f64();
    }
    run
}
