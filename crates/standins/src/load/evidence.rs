//! The history of a run for the checker.

use corianderway_model::Contract;
use snafu::ResultExt;

use crate::checker;
use crate::checker::Call;
use crate::checker::History;
use crate::checker::Limit;
use crate::checker::Violation;
use crate::fleet::Fleet;
use crate::load::error::Error;
use crate::load::error::FileSnafu;
use crate::load::sample::End;
use crate::load::sample::Sample;
use crate::load::schedule::Schedule;
use crate::load::schedule::Way;
use crate::load::worker::request_id;

/// The most that the time from admission to the run varies, in milliseconds.
const SLACK_MS: u64 = 100;

/// The client account of requests that go around the system.
const DIRECT: &str = "direct";

/// Checks what callers saw against what backend servers ran.
pub(crate) fn check(
    fleet: &Fleet,
    contracts: &[Contract],
    schedule: &Schedule,
    samples: &[Sample],
    seed: u64,
) -> Result<Vec<Violation>, Error> {
    let mut history = History {
        slack_ms: SLACK_MS,
        ..History::default()
    };
    for file in fleet.histories() {
        let name = file.display().to_string();
        let runs = checker::read_runs(&file).context(FileSnafu { file: name })?;
        history.runs.extend(runs);
    }
    history.calls = samples.iter().map(|s| call(schedule, s, seed)).collect();
    history.limits = contracts.iter().map(limit).collect();
    Ok(checker::check(&history))
}

fn limit(contract: &Contract) -> Limit {
    Limit {
        account: contract.account.as_str().into(),
        rate: contract.rate,
        burst: contract.burst,
    }
}

fn call(schedule: &Schedule, sample: &Sample, seed: u64) -> Call {
    let arrival = &schedule.arrivals[sample.arrival];
    let class = schedule.class(arrival);
    let id = request_id(seed, sample.arrival);
    let account = match arrival.way {
        Way::Tested => class.account.clone(),
        Way::Direct => DIRECT.into(),
    };
    Call {
        account,
        key: class.once().then(|| id.clone()),
        once: class.once(),
        request: id,
        sent: sample.sent,
        done: sample.sent + sample.latency.as_nanos() as u64,
        end: end(&sample.end),
    }
}

fn end(end: &End) -> checker::End {
    match end {
        End::Answered { status, echoed } => checker::End::Answered {
            status: *status,
            echoed: echoed.clone(),
            whole: true,
        },
        End::Refused { code, ran } => checker::End::Refused {
            code: code.to_string(),
            ran: *ran,
        },
        End::Lost | End::Unreachable => checker::End::Lost,
    }
}
