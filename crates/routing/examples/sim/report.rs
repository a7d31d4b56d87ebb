//! The figures of runs and their row in the table.

use std::time::Duration;

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// From the intended send to the answer.
    pub latencies: Vec<Duration>,
    /// Requests that were refused and not run.
    pub refused: usize,
    /// Requests that ended in an error.
    pub failed: usize,
    /// The most requests in a region at once, over its slots.
    pub fill: f64,
}

/// The figures of several seeds.
#[derive(Debug)]
pub struct Summary {
    all: Figures,
    tails: Vec<f64>,
}

impl Summary {
    /// The head of the table.
    pub const HEAD: &'static str = "| scenario | policy | p50 ms | p99 ms | p99.9 ms \
        | p99 by seed | refused % | failed % | most in flight / slots |\n\
        |---|---|---|---|---|---|---|---|---|";

    /// Merges runs.
    pub fn new(runs: Vec<Figures>) -> Self {
        let mut all = Figures::default();
        let mut tails = Vec::new();
        for mut run in runs {
            run.latencies.sort_unstable();
            tails.push(percentile(&run.latencies, 0.99));
            all.latencies.append(&mut run.latencies);
            all.refused += run.refused;
            all.failed += run.failed;
            all.fill = all.fill.max(run.fill);
        }
        all.latencies.sort_unstable();
        tails.sort_by(f64::total_cmp);
        Self { all, tails }
    }

    /// The row of a scenario and policy.
    pub fn row(&self, scenario: &str, policy: &str) -> String {
        let all = &self.all;
        let at = |part| percentile(&all.latencies, part);
        let count = (all.latencies.len() + all.refused + all.failed) as f64;
        let part = |some: usize| some as f64 / count * 100.0;
        let (least, most) = (self.tails[0], self.tails[self.tails.len() - 1]);
        format!(
            "| {scenario} | {policy} | {:.0} | {:.0} | {:.0} | {least:.0} to {most:.0} \
             | {:.2} | {:.2} | {:.1} |",
            at(0.5),
            at(0.99),
            at(0.999),
            part(all.refused),
            part(all.failed),
            all.fill,
        )
    }
}

fn percentile(sorted: &[Duration], part: f64) -> f64 {
    let at = (sorted.len() as f64 * part) as usize;
    let at = at.min(sorted.len().saturating_sub(1));
    sorted.get(at).map_or(f64::NAN, |d| d.as_secs_f64() * 1e3)
}
