//! Renders summaries as text tables.

use crate::load::figures::Ends;
use crate::load::schedule::Way;
use crate::load::summary::Summary;

const BYTES_PER_MB: f64 = 1e6;

/// Renders the table of one run.
pub fn table(summary: &Summary) -> String {
    let mut lines = vec![title(summary), route_head()];
    for figures in &summary.routes {
        let way = match figures.way {
            Way::Tested => "tested",
            Way::Direct => "direct",
        };
        let latency = figures.latency;
        let times = format!(
            "{:>9.2} {:>9.2} {:>9.2} {:>9.2}",
            latency.p50, latency.p99, latency.p999, latency.max
        );
        let ends = ends(&figures.ends);
        lines.push(format!("{:<16} {way:<6} {ends} {times}", figures.route));
    }
    lines.push(account_head());
    for figures in &summary.accounts {
        let ends = ends(&figures.ends);
        let (within, wrongful, share) = (figures.within, figures.wrongful, figures.share);
        let (p50, p99) = (figures.latency.p50, figures.latency.p99);
        let rest = format!("{within:>7} {wrongful:>8} {share:>6.3} {p50:>9.2} {p99:>9.2}");
        lines.push(format!("{:<23} {ends} {rest}", figures.account));
    }
    lines.push(usage(summary));
    let refused = summary
        .refusals
        .iter()
        .map(|(code, n)| format!(" {code}={n}"));
    lines.push(format!("refusals{}", refused.collect::<String>()));
    lines.extend(summary.aftermath.iter().cloned());
    let found = summary.violations.len();
    lines.push(format!(
        "violations {found}, foreign runs {}",
        summary.foreign
    ));
    lines.extend(
        summary
            .violations
            .iter()
            .take(5)
            .map(|v| format!("  {v:?}")),
    );
    lines.join("\n")
}

/// Renders the range over several runs of each route's latency quantiles, of the
/// wrongful refusals and of the worst-served client account.
pub fn spread(runs: &[Summary]) -> String {
    let Some(first) = runs.first() else {
        return String::new();
    };
    let mut lines = vec![format!(
        "{} to {:?}, {} runs, lowest to highest",
        first.scenario,
        first.target,
        runs.len()
    )];
    for (at, figures) in first.routes.iter().enumerate() {
        let of = |read: fn(&crate::load::Latency) -> f64| {
            let same = runs.iter().filter_map(|r| r.routes.get(at));
            range(same.map(|f| read(&f.latency)))
        };
        let (p50, p99, p999) = (of(|l| l.p50), of(|l| l.p99), of(|l| l.p999));
        let (route, way) = (&figures.route, figures.way);
        lines.push(format!(
            "{route:<16} {way:<8?} p50 {p50} p99 {p99} p99.9 {p999} ms"
        ));
    }
    let wrongful = runs
        .iter()
        .map(|r| r.accounts.iter().map(|a| a.wrongful).sum::<u64>());
    let shares = runs.iter().map(|r| r.accounts.iter().map(|a| a.share));
    let worst = shares.map(|s| s.fold(f64::INFINITY, f64::min));
    lines.push(format!(
        "wrongful refusals {}",
        range(wrongful.map(|n| n as f64))
    ));
    lines.push(format!("worst-served account's share {}", range(worst)));
    let tails = runs
        .iter()
        .map(|r| r.accounts.iter().map(|a| a.latency.p99));
    let worst = tails.map(|t| t.fold(0.0, f64::max));
    lines.push(format!("worst-served account's p99 {} ms", range(worst)));
    lines.join("\n")
}

fn title(summary: &Summary) -> String {
    let (name, target, seed) = (&summary.scenario, summary.target, summary.seed);
    format!("scenario {name}, target {target:?}, seed {seed}")
}

fn route_head() -> String {
    format!(
        "{:<16} {:<6} {} {:>9} {:>9} {:>9} {:>9}",
        "route",
        "way",
        ends_head(),
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "max ms"
    )
}

fn account_head() -> String {
    let ends = ends_head();
    format!(
        "{:<23} {ends} {:>7} {:>8} {:>6} {:>9} {:>9}",
        "account", "within", "wrongful", "share", "p50 ms", "p99 ms"
    )
}

fn ends_head() -> String {
    format!(
        "{:>7} {:>7} {:>6} {:>7} {:>5}",
        "sent", "served", "failed", "refused", "lost"
    )
}

fn ends(ends: &Ends) -> String {
    format!(
        "{:>7} {:>7} {:>6} {:>7} {:>5}",
        ends.sent, ends.served, ends.failed, ends.refused, ends.lost
    )
}

fn usage(summary: &Summary) -> String {
    let usage = &summary.usage;
    let span = summary.seconds.len().max(1) as f64;
    let tested = summary
        .seconds
        .iter()
        .map(|s| s.ends.sent)
        .sum::<u64>()
        .max(1);
    format!(
        "entry daemons {:.2} processor s, {:.0} us a request, {:.1} MB at most; platform {:.1} calls/s, {} watches",
        usage.processor,
        usage.processor * 1e6 / tested as f64,
        usage.memory as f64 / BYTES_PER_MB,
        usage.calls as f64 / span,
        usage.watches
    )
}

fn range(values: impl Iterator<Item = f64>) -> String {
    let fold = |(low, high): (f64, f64), v: f64| (low.min(v), high.max(v));
    let (low, high) = values.fold((f64::INFINITY, f64::NEG_INFINITY), fold);
    format!("{low:.2} to {high:.2}")
}
