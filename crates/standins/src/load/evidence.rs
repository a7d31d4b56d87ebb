//! Builds the checker's history of a run from the samples and the backend servers' records.

use corianderway_model::Contract;
use snafu::ResultExt;

use crate::backend::Record;
use crate::checker;
use crate::checker::Call;
use crate::checker::History;
use crate::checker::Limit;
use crate::checker::Violation;
use crate::fleet::Fleet;
use crate::load::error::Error;
use crate::load::error::FileSnafu;
use crate::load::sample::Attempt;
use crate::load::sample::End;
use crate::load::sample::Sample;
use crate::load::schedule::Schedule;
use crate::load::schedule::Way;
use crate::load::worker::id_prefix;

/// The maximum variation of the time from admission to the start of the run,
/// in milliseconds.
const SLACK_MS: u64 = 100;

/// The client account of requests that bypass the entry instances. It has no
/// limit.
const DIRECT_ACCOUNT: &str = "direct";

/// The requests that backend servers ran for one load run.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    /// The records.
    pub(crate) runs: Vec<Record>,
    /// The number of requests from other programs on this machine, which are
    /// left out.
    pub(crate) foreign: u64,
}

/// Reads the history files of all backend servers, including killed ones.
pub(crate) fn read_records(fleet: &Fleet, seed: u64) -> Result<Evidence, Error> {
    let mut runs = Vec::new();
    for file in fleet.histories() {
        let name = file.display().to_string();
        runs.extend(checker::read_runs(&file).context(FileSnafu { file: name })?);
    }
    // A port that another program's server used before can still receive that
    // program's requests.
    let (all, prefix) = (runs.len(), id_prefix(seed));
    runs.retain(|r| r.path.contains(&prefix));
    let foreign = (all - runs.len()) as u64;
    Ok(Evidence { runs, foreign })
}

impl Evidence {
    /// Checks the callers' samples against the backend servers' records.
    pub(crate) fn check(
        self,
        contracts: &[Contract],
        schedule: &Schedule,
        samples: &[Sample],
    ) -> Vec<Violation> {
        checker::check(&History {
            calls: samples.iter().flat_map(|s| calls(schedule, s)).collect(),
            runs: self.runs,
            limits: contracts.iter().map(limit).collect(),
            slack_ms: SLACK_MS,
        })
    }
}

fn limit(contract: &Contract) -> Limit {
    Limit {
        account: contract.account.as_str().into(),
        rate: contract.rate,
        burst: contract.burst,
    }
}

fn calls<'s>(schedule: &'s Schedule, sample: &'s Sample) -> impl Iterator<Item = Call> + 's {
    let arrival = &schedule.arrivals[sample.arrival];
    let class = schedule.class(arrival);
    let account = match arrival.way {
        Way::Tested => class.account.clone(),
        Way::Direct => DIRECT_ACCOUNT.into(),
    };
    let first = sample.attempts.first().map(|s| s.id.clone());
    let key = first.filter(|_| class.once());
    sample.attempts.iter().map(move |attempt| Call {
        request: attempt.id.clone(),
        account: account.clone(),
        key: key.clone(),
        once: class.once(),
        sent: attempt.sent,
        done: 0,
        end: end(attempt),
    })
}

fn end(attempt: &Attempt) -> checker::End {
    match &attempt.end {
        End::Answered { status, echoed } => checker::End::Answered {
            status: *status,
            echoed: echoed.as_ref().map(|e| echoed_id(e, &attempt.id)),
            whole: true,
        },
        End::Refused { code, ran } => checker::End::Refused {
            code: code.to_string(),
            ran: *ran,
        },
        End::Lost | End::Unreachable => checker::End::Lost,
    }
}

// The answer contains the path, which all attempts of a request share. Maps it
// to the attempt's own id, or returns it unchanged if it is of another request.
fn echoed_id(echoed: &str, id: &str) -> String {
    let same = id.rsplit_once('-').is_some_and(|(path, _)| path == echoed);
    if same { id } else { echoed }.to_owned()
}
