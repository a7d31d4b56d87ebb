//! The effects of the acts of a run, one line of text each.

use std::time::Duration;
use std::time::Instant;

use corianderway_model::Backend;

use crate::backend::Outcome;
use crate::backend::Record;
use crate::harness::Error;
use crate::harness::Process;
use crate::load::act::Act;
use crate::load::sample::Sample;
use crate::load::schedule::Schedule;
use crate::load::schedule::Way;

const NANOS_PER_S: f64 = 1e9;

/// An act that was applied, and its time.
#[derive(Clone, Debug)]
pub(crate) struct AppliedAct {
    /// The act.
    pub(crate) act: Act,
    /// When it was applied, in nanoseconds since the Unix epoch.
    pub(crate) at: u64,
}

/// The data of a run from which the effects are derived.
#[derive(Debug)]
pub(crate) struct RunData<'k> {
    pub(crate) schedule: &'k Schedule,
    pub(crate) samples: &'k [Sample],
    pub(crate) runs: &'k [Record],
    pub(crate) backends: &'k [Backend],
}

impl RunData<'_> {
    /// Returns one line for each act whose effect shows in the data.
    pub(crate) fn lines(&self, applied: &[AppliedAct]) -> Vec<String> {
        applied.iter().filter_map(|h| self.line(h)).collect()
    }

    fn line(&self, applied: &AppliedAct) -> Option<String> {
        let label = applied.act.label();
        match &applied.act {
            Act::LeaveDomain(domain) => {
                let left = |b: &&Backend| b.domain.as_str() == domain;
                let ids = self.backends.iter().filter(left);
                let ids = ids.map(|b| b.id.as_str()).collect::<Vec<_>>();
                let runs = self.tested_runs();
                let runs = runs.filter(|r| ids.contains(&r.server.as_str()));
                let last = seconds_after(runs.map(|r| r.start), applied.at);
                Some(format!("{label}: last new work after {last:.2} s"))
            }
            Act::WithdrawKey(account) => {
                let last = seconds_after(self.served_with_key(account), applied.at);
                Some(format!("{label}: last request served after {last:.2} s"))
            }
            Act::StartVersion { version, .. } => Some(self.version_line(&label, version)),
            _ => None,
        }
    }

    // Runs of tested requests only, since direct callers ignore the instance list.
    fn tested_runs(&self) -> impl Iterator<Item = &Record> + Clone + '_ {
        let way = |r: &Record| {
            let (_, place) = r.path.rsplit_once('-')?;
            let arrival = self.schedule.arrivals.get(place.parse::<usize>().ok()?)?;
            Some(arrival.way)
        };
        self.runs
            .iter()
            .filter(move |r| way(r) == Some(Way::Tested))
    }

    // The send times of the requests that were served with a key of a client account.
    fn served_with_key<'k>(&'k self, account: &'k str) -> impl Iterator<Item = u64> + 'k {
        self.samples.iter().filter_map(move |sample| {
            let class = self.schedule.class(&self.schedule.arrivals[sample.arrival]);
            let of_account = &*class.account == account && class.key.is_some();
            let last = sample.attempts.last()?;
            (of_account && last.end.served()).then_some(last.sent)
        })
    }

    fn version_line(&self, label: &str, version: &str) -> String {
        let of = |b: &&Backend| b.version.as_str() == version;
        let ids = self.backends.iter().filter(of);
        let ids = ids.map(|b| b.id.as_str()).collect::<Vec<_>>();
        let runs = self.tested_runs();
        let runs = runs.filter(|r| ids.contains(&r.server.as_str()));
        let failed = runs
            .clone()
            .filter(|r| r.outcome == Outcome::Failed)
            .count();
        let last = runs.clone().map(|r| r.start).max().unwrap_or_default();
        let end = self.runs.iter().map(|r| r.start).max().unwrap_or_default();
        let idle = end.saturating_sub(last) as f64 / NANOS_PER_S;
        let count = runs.count();
        format!("{label}: {count} runs, {failed} failed, none in the last {idle:.2} s")
    }
}

fn seconds_after(times: impl Iterator<Item = u64>, at: u64) -> f64 {
    let last = times.max().unwrap_or(at);
    last.saturating_sub(at) as f64 / NANOS_PER_S
}

/// Waits at most `limit` for an operator's command to end, and returns a line
/// with its exit status, duration and last line of output.
pub(crate) fn wait_for_operator(label: &str, mut process: Process, limit: Duration) -> String {
    let begun = Instant::now();
    let exit = process.wait(limit);
    let span = begun.elapsed().as_secs_f64();
    let last = process.lines().pop().unwrap_or_default();
    match exit {
        Ok(status) => format!("{label}: {status} after {span:.2} s: {last}"),
        Err(Error::Deadline { .. }) => format!("{label}: not ended after {span:.2} s: {last}"),
        Err(error) => format!("{label}: {error}"),
    }
}
