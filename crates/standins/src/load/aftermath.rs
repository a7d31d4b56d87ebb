//! What followed from the things that happened during a run.

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

const NANOS: f64 = 1e9;

/// Something that happened, with its time.
#[derive(Clone, Debug)]
pub(crate) struct Happened {
    /// What happened.
    pub(crate) act: Act,
    /// When it began, in nanoseconds since the Unix epoch.
    pub(crate) at: u64,
}

/// What is known after a run.
#[derive(Debug)]
pub(crate) struct Known<'k> {
    pub(crate) schedule: &'k Schedule,
    pub(crate) samples: &'k [Sample],
    pub(crate) runs: &'k [Record],
    pub(crate) backends: &'k [Backend],
}

impl Known<'_> {
    /// One line for each act that leaves a trace.
    pub(crate) fn lines(&self, happened: &[Happened]) -> Vec<String> {
        happened.iter().filter_map(|h| self.line(h)).collect()
    }

    fn line(&self, happened: &Happened) -> Option<String> {
        let label = happened.act.label();
        match &happened.act {
            Act::LeaveDomain(domain) => {
                let left = |b: &&Backend| b.domain.as_str() == domain;
                let ids = self.backends.iter().filter(left);
                let ids = ids.map(|b| b.id.as_str()).collect::<Vec<_>>();
                let runs = self.tested();
                let runs = runs.filter(|r| ids.contains(&r.server.as_str()));
                let last = after(runs.map(|r| r.start), happened.at);
                Some(format!("{label}: last new work after {last:.2} s"))
            }
            Act::WithdrawKey(account) => {
                let last = after(self.keyed(account), happened.at);
                Some(format!("{label}: last request served after {last:.2} s"))
            }
            Act::StartVersion { version, .. } => Some(self.version(&label, version)),
            _ => None,
        }
    }

    // Runs that went the tested way; direct callers heed no announcement.
    fn tested(&self) -> impl Iterator<Item = &Record> + Clone + '_ {
        let way = |r: &Record| {
            let (_, place) = r.path.rsplit_once('-')?;
            let arrival = self.schedule.arrivals.get(place.parse::<usize>().ok()?)?;
            Some(arrival.way)
        };
        self.runs
            .iter()
            .filter(move |r| way(r) == Some(Way::Tested))
    }

    // When the served requests with a key of a client account were sent.
    fn keyed<'k>(&'k self, account: &'k str) -> impl Iterator<Item = u64> + 'k {
        self.samples.iter().filter_map(move |sample| {
            let class = self.schedule.class(&self.schedule.arrivals[sample.arrival]);
            let mine = &*class.account == account && class.key.is_some();
            let last = sample.sendings.last()?;
            (mine && last.end.served()).then_some(last.sent)
        })
    }

    fn version(&self, label: &str, version: &str) -> String {
        let of = |b: &&Backend| b.version.as_str() == version;
        let ids = self.backends.iter().filter(of);
        let ids = ids.map(|b| b.id.as_str()).collect::<Vec<_>>();
        let runs = self.tested();
        let runs = runs.filter(|r| ids.contains(&r.server.as_str()));
        let failed = runs
            .clone()
            .filter(|r| r.outcome == Outcome::Failed)
            .count();
        let last = runs.clone().map(|r| r.start).max().unwrap_or_default();
        let end = self.runs.iter().map(|r| r.start).max().unwrap_or_default();
        let idle = end.saturating_sub(last) as f64 / NANOS;
        let count = runs.count();
        format!("{label}: {count} runs, {failed} failed, none in the last {idle:.2} s")
    }
}

fn after(times: impl Iterator<Item = u64>, at: u64) -> f64 {
    let last = times.max().unwrap_or(at);
    last.saturating_sub(at) as f64 / NANOS
}

/// Waits for an operator's command and says how it ended and when.
pub(crate) fn watch(label: &str, mut process: Process, limit: Duration) -> String {
    let begun = Instant::now();
    let ended = process.wait(limit);
    let span = begun.elapsed().as_secs_f64();
    let last = process.lines().pop().unwrap_or_default();
    match ended {
        Ok(status) => format!("{label}: {status} after {span:.2} s: {last}"),
        Err(Error::Deadline { .. }) => format!("{label}: not ended after {span:.2} s: {last}"),
        Err(error) => format!("{label}: {error}"),
    }
}
