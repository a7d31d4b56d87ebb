//! A fixed canary for comparison: one share, and one comparison of failure rates.

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use crate::fleet::Run;
use crate::fleet::Size;
use crate::fleet::MARGIN;
use crate::fleet::SHARE;
use crate::fleet::TICK;
use crate::traffic;
use crate::traffic::Profile;
use crate::traffic::RequestContext;

/// The fraction of the move after which the failure rates are compared.
const COMPARED_AT: f64 = 0.4;

/// Runs the canary until the deadline.
pub fn run(profile: Profile, size: Size, seed: u64) -> Run {
    let mut rng = SmallRng::seed_from_u64(seed);
    let ticks = size.deadline.as_millis() as u64 / TICK.as_millis() as u64;
    let compared = (ticks as f64 * COMPARED_AT) as u64;
    let (mut total, mut failed) = ([0_u64; 2], [0_u64; 2]);
    let mut run = Run::default();
    let (mut share, mut recent_load) = (SHARE, 0.0);
    for tick in 0..ticks {
        if tick == compared {
            let failure_rate = |arm: usize| failed[arm] as f64 / total[arm].max(1) as f64;
            run.withdrawn = failure_rate(1) > failure_rate(0) + MARGIN;
            run.finished = !run.withdrawn;
            run.secs = tick as f64 * TICK.as_secs_f64();
            share = if run.withdrawn { 0.0 } else { 1.0 };
        }
        for _ in 0..traffic::arrivals(&mut rng, size.rate * TICK.as_secs_f64()) {
            let new = rng.random_bool(share);
            let context = RequestContext {
                new,
                route: traffic::route(&mut rng),
                progress: tick as f64 / ticks as f64,
                age: tick as f64 * TICK.as_secs_f64(),
                load: recent_load,
            };
            recent_load += f64::from(u8::from(new));
            run.new += u64::from(new);
            run.exposed += u64::from(profile.shows(&context));
            let answer = profile.answer(&context, &mut rng);
            total[usize::from(new)] += 1;
            failed[usize::from(new)] += u64::from(answer.failed);
        }
        recent_load *= 1.0 - TICK.as_secs_f64();
    }
    run
}
