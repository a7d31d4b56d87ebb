//! Checks a whole history of concurrent callers and backend servers after a run.
//!
//! [`check`] takes what callers saw, what backend servers ran and what the
//! contracts allow, and names every [`Violation`]. It knows nothing of how the
//! history came about.

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

/// Names every violation in a history, in the order of the rules.
pub fn check(history: &History) -> Vec<Violation> {
    let view = View::new(history);
    let mut found = Vec::new();
    found.extend(view.unasked());
    found.extend(view.keyed());
    found.extend(view.repeated());
    found.extend(view.false_refusals());
    found.extend(view.wrong_answers());
    for limit in &history.limits {
        found.extend(rate::check(limit, history.slack_ms, view.starts(limit)));
    }
    found
}

// A history with the runs joined to their calls.
struct View<'h> {
    history: &'h History,
    // Sorted by request id.
    calls: Vec<&'h Call>,
    // Each run and its call, in the order of the runs.
    runs: Vec<(&'h Record, Option<&'h Call>)>,
}

impl<'h> View<'h> {
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

    fn keyed(&self) -> impl Iterator<Item = Violation> + '_ {
        let runs = self.history.runs.iter().filter(|run| run.keyed);
        runs.map(|run| Violation::KeySeen {
            server: run.server.clone(),
            path: run.path.clone(),
        })
    }

    // Runs of one idempotency key of one client account on routes that run once.
    fn repeated(&self) -> Vec<Violation> {
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

    // When the first run of each admitted call of an account began, sorted.
    fn starts(&self, limit: &Limit) -> Vec<u64> {
        let mine = |(run, call): &(&Record, Option<&'h Call>)| {
            let call = call.filter(|c| c.account == limit.account)?;
            Some((call.request.clone(), run.start))
        };
        let mut starts = self.runs.iter().filter_map(mine).collect::<Vec<_>>();
        starts.sort_unstable();
        starts.dedup_by(|later, first| later.0 == first.0);
        let mut starts = starts.into_iter().map(|(_, at)| at).collect::<Vec<_>>();
        starts.sort_unstable();
        starts
    }
}

// A run belongs to the call whose request id it carries in its header, or else
// as the last segment of its path.
fn find<'h>(calls: &[&'h Call], run: &Record) -> Option<&'h Call> {
    let by = |id: &str| {
        let order = |c: &&Call| -> Ordering { (*c.request).cmp(id) };
        let at = calls.binary_search_by(order).ok()?;
        Some(calls[at])
    };
    let segment = run.path.rsplit('/').next();
    run.request
        .as_deref()
        .and_then(by)
        .or_else(|| segment.and_then(by))
}
