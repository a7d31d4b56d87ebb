//! Checks the complete history of concurrent callers and backend servers after a run.
//!
//! [`check`] compares the calls that callers recorded, the runs that backend
//! servers recorded and the limits of the contracts, and returns every
//! [`Violation`]. It doesn't depend on how the history was produced.

mod history;
mod rate;
mod violation;

use std::cmp::Ordering;
use std::sync::Arc;

use crate::backend::Outcome;
use crate::backend::Record;

pub use crate::checker::history::read_runs;
pub use crate::checker::history::Call;
pub use crate::checker::history::End;
pub use crate::checker::history::History;
pub use crate::checker::history::Limit;
pub use crate::checker::history::Ran;
pub use crate::checker::violation::Violation;

/// Returns every violation in a history, grouped by rule.
pub fn check(history: &History) -> Vec<Violation> {
    let joined = JoinedHistory::new(history);
    let mut found = Vec::new();
    found.extend(joined.unasked());
    found.extend(joined.exposed_keys());
    found.extend(joined.repeated_runs());
    found.extend(joined.false_refusals());
    found.extend(joined.wrong_answers());
    for limit in &history.limits {
        found.extend(rate::check(
            limit,
            history.slack_ms,
            joined.start_times(limit),
        ));
    }
    found
}

// A history in which each run is joined to its call. Leaves out runs whose
// outcome is `Unread`, since they didn't start.
struct JoinedHistory<'h> {
    history: &'h History,
    // Sorted by request id.
    calls: Vec<&'h Call>,
    // Each run with its call, if one is found, in the order of the history.
    runs: Vec<(&'h Record, Option<&'h Call>)>,
}

impl<'h> JoinedHistory<'h> {
    fn new(history: &'h History) -> Self {
        let mut calls = history.calls.iter().collect::<Vec<_>>();
        calls.sort_by(|a, b| a.request.cmp(&b.request));
        let ran = |r: &&Record| r.outcome != Outcome::Unread;
        let runs = history.runs.iter().filter(ran);
        let runs = runs.map(|r| (r, find(&calls, r))).collect();
        Self {
            history,
            calls,
            runs,
        }
    }

    fn unasked(&self) -> impl Iterator<Item = Violation> + '_ {
        let runs = self.runs.iter().filter(|(_, call)| call.is_none());
        runs.map(|(run, _)| Violation::Unasked {
            server: run.server.clone(),
            path: run.path.clone(),
        })
    }

    fn exposed_keys(&self) -> impl Iterator<Item = Violation> + '_ {
        let runs = self.history.runs.iter().filter(|run| run.keyed);
        runs.map(|run| Violation::KeySeen {
            server: run.server.clone(),
            path: run.path.clone(),
        })
    }

    // Idempotency keys that ran more than once for one client account, on
    // routes that run a request at most once.
    fn repeated_runs(&self) -> Vec<Violation> {
        let mut keys = Vec::new();
        for (run, call) in &self.runs {
            let Some(call) = call.filter(|c| c.once) else {
                continue;
            };
            let key = call.key.as_ref().or(run.key.as_ref());
            keys.extend(key.map(|key| (&call.account, key)));
        }
        keys.sort_unstable();
        let groups = keys.chunk_by(|a, b| a == b).filter(|g| g.len() > 1);
        let repeat = |group: &[(&Arc<str>, &String)]| Violation::RanAgain {
            account: group[0].0.to_string(),
            key: group[0].1.clone(),
            runs: group.len(),
        };
        groups.map(repeat).collect()
    }

    fn false_refusals(&self) -> impl Iterator<Item = Violation> + '_ {
        self.runs.iter().filter_map(|(run, call)| match call {
            Some(call) if call.end.denies_run() => Some(Violation::FalseRefusal {
                request: call.request.clone(),
                server: run.server.clone(),
            }),
            _ => None,
        })
    }

    fn wrong_answers(&self) -> impl Iterator<Item = Violation> + '_ {
        self.calls.iter().filter_map(|call| {
            let End::Answered { echoed, whole, .. } = &call.end else {
                return None;
            };
            let request = call.request.clone();
            match echoed {
                _ if !whole => Some(Violation::CutAnswer { request }),
                Some(echoed) if *echoed != call.request => Some(Violation::WrongAnswer {
                    request,
                    answered: echoed.clone(),
                }),
                _ => None,
            }
        })
    }

    // The start times of the first run of each call of the limit's client
    // account, sorted.
    fn start_times(&self, limit: &Limit) -> Vec<u64> {
        let run_of_account = |(run, call): &(&Record, Option<&'h Call>)| {
            let call = call.filter(|c| c.account == limit.account)?;
            Some((call.request.clone(), run.start))
        };
        let mut starts = self
            .runs
            .iter()
            .filter_map(run_of_account)
            .collect::<Vec<_>>();
        starts.sort_unstable();
        starts.dedup_by(|later, first| later.0 == first.0);
        let mut starts = starts.into_iter().map(|(_, at)| at).collect::<Vec<_>>();
        starts.sort_unstable();
        starts
    }
}

// Finds the call of a run by the request id in the run's header, or else by the
// last segment of its path.
fn find<'h>(calls: &[&'h Call], run: &Record) -> Option<&'h Call> {
    let find_id = |id: &str| {
        let order = |c: &&Call| -> Ordering { (*c.request).cmp(id) };
        let at = calls.binary_search_by(order).ok()?;
        Some(calls[at])
    };
    let segment = run.path.rsplit('/').next();
    run.request
        .as_deref()
        .and_then(find_id)
        .or_else(|| segment.and_then(find_id))
}
