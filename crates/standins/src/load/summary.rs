//! The summary of a run.

use std::time::Duration;

use serde::Serialize;

use crate::checker::Violation;
use crate::load::book::Target;
use crate::load::figures::AccountFigures;
use crate::load::figures::FiguresBuilder;
use crate::load::figures::RouteFigures;
use crate::load::figures::Second;
use crate::load::sample::End;
use crate::load::sample::Sample;
use crate::load::scenario::Scenario;
use crate::load::schedule::Arrival;
use crate::load::schedule::Schedule;
use crate::load::schedule::Way;
use crate::load::usage::Usage;

/// Codes of refusals for the key, which are correct at any rate.
const KEY_REFUSALS: [&str; 2] = ["key-missing", "key-refused"];

/// The figures of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// The scenario.
    pub scenario: String,
    /// The processes that tested requests were sent to.
    pub target: Target,
    /// The seed.
    pub seed: u64,
    /// Figures by route and way, sorted by both.
    pub routes: Vec<RouteFigures>,
    /// Figures of the tested requests by client account, sorted by name.
    pub accounts: Vec<AccountFigures>,
    /// Counts of refusals by code, sorted by code.
    pub refusals: Vec<(String, u64)>,
    /// Figures of the tested requests by second, including the warm-up.
    pub seconds: Vec<Second>,
    /// The acts, each with its time in seconds.
    pub moments: Vec<(f64, String)>,
    /// One line on the effect of each act.
    pub aftermath: Vec<String>,
    /// The resources that the fleet used.
    pub usage: Usage,
    /// The violations that the history checker found.
    pub violations: Vec<Violation>,
    /// The number of requests that backend servers ran for other programs on
    /// this machine, which are left out.
    pub foreign: u64,
}

/// Computes the summary of a run from its samples. Leaves the usage, the effects
/// of acts, the violations and the number of foreign requests empty.
pub fn summarize(
    scenario: &Scenario,
    target: Target,
    seed: u64,
    schedule: &Schedule,
    samples: &[Sample],
) -> Summary {
    let pairs = samples.iter().map(|s| (&schedule.arrivals[s.arrival], s));
    let pairs = pairs.collect::<Vec<_>>();
    let counted = pairs.iter().filter(|(a, _)| a.at >= scenario.warmup);
    let counted = counted.copied().collect::<Vec<_>>();
    let moments = scenario.moments.iter();
    Summary {
        scenario: scenario.name.clone(),
        target,
        seed,
        routes: routes(schedule, &counted),
        accounts: accounts(schedule, &counted),
        refusals: refusals(&counted),
        seconds: seconds(scenario.length, &pairs),
        moments: moments
            .map(|m| (m.at.as_secs_f64(), m.act.label()))
            .collect(),
        aftermath: Vec::new(),
        usage: Usage::default(),
        violations: Vec::new(),
        foreign: 0,
    }
}

type Pair<'s> = (&'s Arrival, &'s Sample);

fn routes(schedule: &Schedule, pairs: &[Pair<'_>]) -> Vec<RouteFigures> {
    let name = |a: &Arrival| schedule.class(a).route.name.as_str();
    let mut sorted = pairs.to_vec();
    sorted.sort_by_key(|(a, _)| (name(a), a.way));
    let groups = sorted.chunk_by(|(a, _), (b, _)| (name(a), a.way) == (name(b), b.way));
    let figures = groups.map(|group| {
        let builder = build_figures(group);
        let (first, _) = group[0];
        RouteFigures {
            route: name(first).to_owned(),
            way: first.way,
            ends: builder.ends,
            latency: builder.latency(),
        }
    });
    figures.collect()
}

fn accounts(schedule: &Schedule, pairs: &[Pair<'_>]) -> Vec<AccountFigures> {
    let name = |a: &Arrival| &*schedule.class(a).account;
    let mut sorted = pairs.to_vec();
    sorted.retain(|(a, _)| a.way == Way::Tested);
    sorted.sort_by_key(|(a, _)| name(a));
    let groups = sorted.chunk_by(|(a, _), (b, _)| name(a) == name(b));
    groups.map(|g| account(name(g[0].0), g)).collect()
}

fn account(name: &str, group: &[Pair<'_>]) -> AccountFigures {
    let builder = build_figures(group);
    let ends = builder.ends;
    let within = group.iter().filter(|(a, _)| a.within);
    let wrongful = within.clone().filter(|(_, s)| is_wrongful(s.end()));
    let wrongful = wrongful.count() as u64;
    let within = within.count() as u64;
    // For an account above its rate, the served requests can be others than those
    // that the token bucket of the schedule counts as within the rate.
    let wrongful = wrongful.min(within.saturating_sub(ends.served));
    AccountFigures {
        account: name.to_owned(),
        ends,
        within,
        wrongful,
        share: ends.served as f64 / within.max(1) as f64,
        latency: builder.latency(),
    }
}

fn is_wrongful(end: &End) -> bool {
    matches!(end, End::Refused { code, .. } if !KEY_REFUSALS.contains(&&**code))
}

fn refusals(pairs: &[Pair<'_>]) -> Vec<(String, u64)> {
    let mut codes = Vec::new();
    for (_, sample) in pairs {
        if let End::Refused { code, .. } = sample.end() {
            codes.push(code.clone());
        }
    }
    codes.sort();
    let groups = codes.chunk_by(|a, b| a == b);
    groups.map(|g| (g[0].to_string(), g.len() as u64)).collect()
}

fn seconds(length: Duration, pairs: &[Pair<'_>]) -> Vec<Second> {
    let count = length.as_secs_f64().ceil() as usize;
    let mut builders = (0..count)
        .map(|_| FiguresBuilder::new())
        .collect::<Vec<_>>();
    for (arrival, sample) in pairs.iter().filter(|(a, _)| a.way == Way::Tested) {
        if let Some(second) = builders.get_mut(arrival.at.as_secs() as usize) {
            second.add(sample);
        }
    }
    let seconds = builders.iter().map(|g| Second {
        ends: g.ends,
        latency: g.latency(),
    });
    seconds.collect()
}

fn build_figures(group: &[Pair<'_>]) -> FiguresBuilder {
    let mut builder = FiguresBuilder::new();
    for (_, sample) in group {
        builder.add(sample);
    }
    builder
}
