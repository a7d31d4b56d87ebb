//! The results of runs and their row in the table.

use std::time::Duration;

/// The results of one run.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// Latencies from the arrival of a request to its response at the caller.
    pub latencies: Vec<Duration>,
    /// Number of requests that were refused and not run.
    pub refused: usize,
    /// Number of requests that ended in an error.
    pub failed: usize,
    /// Maximum over time and regions of the requests in flight over the slots.
    pub max_utilization: f64,
}

/// The results of several seeds.
#[derive(Debug)]
pub struct Summary {
    all: Results,
    // The p99 of each run in milliseconds, sorted.
    p99s_ms: Vec<f64>,
}

impl Summary {
    /// The header of the table.
    pub const HEADER: &'static str = "| scenario | policy | p50 ms | p99 ms | p99.9 ms \
        | p99 by seed | refused % | failed % | most in flight / slots |\n\
        |---|---|---|---|---|---|---|---|---|";

    /// Merges the results of runs.
    pub fn new(runs: Vec<Results>) -> Self {
        let mut all = Results::default();
        let mut p99s_ms = Vec::new();
        for mut run in runs {
            run.latencies.sort_unstable();
            p99s_ms.push(percentile(&run.latencies, 0.99));
            all.latencies.append(&mut run.latencies);
            all.refused += run.refused;
            all.failed += run.failed;
            all.max_utilization = all.max_utilization.max(run.max_utilization);
        }
        all.latencies.sort_unstable();
        p99s_ms.sort_by(f64::total_cmp);
        Self { all, p99s_ms }
    }

    /// Formats the row of a scenario and policy.
    pub fn row(&self, scenario: &str, policy: &str) -> String {
        let all = &self.all;
        let at = |rank| percentile(&all.latencies, rank);
        let count = (all.latencies.len() + all.refused + all.failed) as f64;
        let percent = |some: usize| some as f64 / count * 100.0;
        let (lowest, highest) = (self.p99s_ms[0], self.p99s_ms[self.p99s_ms.len() - 1]);
        format!(
            "| {scenario} | {policy} | {:.0} | {:.0} | {:.0} | {lowest:.0} to {highest:.0} \
             | {:.2} | {:.2} | {:.1} |",
            at(0.5),
            at(0.99),
            at(0.999),
            percent(all.refused),
            percent(all.failed),
            all.max_utilization,
        )
    }
}

fn percentile(sorted: &[Duration], rank: f64) -> f64 {
    let at = (sorted.len() as f64 * rank) as usize;
    let at = at.min(sorted.len().saturating_sub(1));
    sorted.get(at).map_or(f64::NAN, |d| d.as_secs_f64() * 1e3)
}
