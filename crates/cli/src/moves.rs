//! The `move` verbs: start, watch, take back, show and list version moves.

use std::net::SocketAddr;

use corianderway_model::Service;
use corianderway_model::Version;
use corianderway_rollout::Author;
use corianderway_rollout::Conditions;
use corianderway_rollout::Evidence;
use corianderway_rollout::Move as Record;
use corianderway_rollout::MoveChart;
use corianderway_rollout::Plan;
use corianderway_rollout::State;
use corianderway_rollout::Trigger;
use corianderway_rollout::MOVE_CHART;
use serde_json::json;

use crate::command;
use crate::error::RefusedSnafu;
use crate::error::Result;
use crate::output::Output;
use crate::platform::Platform;
use crate::platform::StoredObject;
use crate::policy;
use crate::wait;
use crate::wait::DurationArg;
use crate::wait::Poll;

/// The object kind of version moves.
pub const KIND: &str = "moves";

xflags::xflags! {
    /// Version moves: moving a service from one version to another.
    cmd move {
        /// The platform's address.
        optional --platform addr: SocketAddr
        /// Writes JSON.
        optional --json

        /// Starts a version move, under the strictest policy of the contracts that
        /// route to the service.
        cmd start {
            /// The service.
            required service: String
            /// The version to move to.
            required version: String
            /// The version to move from; by default the one that the last move
            /// left in service, or else the one in the instance list.
            optional --from version: String
            /// The time limit of the move, such as 10m; by default that of the
            /// contracts, which it must not exceed.
            optional --deadline span: DurationArg
        }
        /// Waits until a version move is done (exit code 0) or withdrawn (exit
        /// code 1).
        cmd watch {
            /// The service.
            required service: String
            /// The longest time to wait, such as 5m; one hour by default.
            optional --timeout span: DurationArg
        }
        /// Takes a version move back: the old version gets all requests again.
        cmd back {
            /// The service.
            required service: String
        }
        /// Shows the state of a version move and the reason for it.
        cmd show {
            /// The service.
            required service: String
        }
        /// Lists the version moves.
        cmd list {}
    }
}

/// Runs a verb of the `move` group.
///
/// # Errors
///
/// Fails when the move is not possible, was withdrawn, or the platform does
/// not respond.
pub fn run(flags: Move) -> Result<()> {
    let platform = Platform::find(flags.platform)?;
    let out = Output { json: flags.json };
    match flags.subcommand {
        MoveCmd::Start(start) => run_start(&platform, out, &start),
        MoveCmd::Watch(watch) => run_watch(&platform, out, &watch),
        MoveCmd::Back(back) => run_back(&platform, out, &back.service),
        MoveCmd::Show(show) => run_show(&platform, out, &show.service),
        MoveCmd::List(_) => run_list(&platform, out),
    }
}

fn run_start(platform: &Platform, out: Output, start: &Start) -> Result<()> {
    let service = Service::try_from(start.service.as_str())?;
    let to = Version::try_from(start.version.as_str())?;
    let stored = platform.get(KIND, service.as_str())?;
    let last = stored
        .as_ref()
        .map(StoredObject::decode::<Record>)
        .transpose()?;
    if let Some(last) = last.as_ref().filter(|last| !last.is_over()) {
        let message = format!("{}; wait until it ends or take it back", summary(last));
        return RefusedSnafu { message }.fail();
    }
    let from = match &start.from {
        Some(from) => Version::try_from(from.as_str())?,
        None => base_version(platform, &service, &to, last.as_ref())?,
    };
    let record = Record::try_from(Plan {
        policy: policy::find(platform, &service, start.deadline.map(|d| d.0))?,
        wall: command::unix_millis(),
        who: command::author().into(),
        service,
        from,
        to,
    })?;
    let name = record.service.as_str();
    let version = platform.write(KIND, name, stored.as_ref(), &record)?;
    let value = json!({ "version": version, "value": record });
    out.result(&value, summary(&record));
    Ok(())
}

// Returns the version that the last move left in service, or else the only
// version beside `to` that backend servers run.
fn base_version(
    platform: &Platform,
    service: &Service,
    to: &Version,
    last: Option<&Record>,
) -> Result<Version> {
    if let Some(last) = last {
        let done = last.state == State::Done;
        return Ok(if done {
            last.to.clone()
        } else {
            last.from.clone()
        });
    }
    let backends = platform.instances()?.backends;
    let on_service = backends.into_iter().filter(|b| b.service == *service);
    let mut versions: Vec<Version> = on_service.map(|b| b.version).collect();
    versions.retain(|version| version != to);
    versions.sort();
    versions.dedup();
    if let [only] = versions.as_slice() {
        return Ok(only.clone());
    }
    let message =
        format!("service {service} runs versions {versions:?} beside {to}; choose one with --from");
    RefusedSnafu { message }.fail()
}

fn run_watch(platform: &Platform, out: Output, watch: &Watch) -> Result<()> {
    let what = format!("the version move of {}", watch.service);
    let limit = wait::limit_or_default(watch.timeout);
    let record = wait::poll_until_end(out, &what, limit, || {
        let record: Record = platform.require(KIND, &watch.service)?.decode()?;
        Ok(Poll {
            state: format!("{} {}", state(&record), share_percent(&record)),
            text: summary(&record),
            end: record.is_over().then_some(record),
        })
    })?;
    if record.state != State::Done {
        let message = explanation(&record);
        return RefusedSnafu { message }.fail();
    }
    out.result(&record, summary(&record));
    Ok(())
}

fn run_back(platform: &Platform, out: Output, service: &str) -> Result<()> {
    let stored = platform.require(KIND, service)?;
    let record: Record = stored.decode()?;
    let chart = MoveChart::parse(MOVE_CHART)?;
    let author = Author {
        who: command::author().into(),
        wall: command::unix_millis(),
        evidence: record.evidence.clone(),
    };
    let conditions = Conditions::default();
    let Some(next) = record.advance(&chart, Trigger::TakeBack, conditions, author) else {
        let message = format!("{}; there is nothing to take back", summary(&record));
        return RefusedSnafu { message }.fail();
    };
    let version = platform.write(KIND, service, Some(&stored), &next)?;
    let value = json!({ "version": version, "value": next });
    out.result(&value, summary(&next));
    Ok(())
}

fn run_show(platform: &Platform, out: Output, service: &str) -> Result<()> {
    let stored = platform.require(KIND, service)?;
    let record: Record = stored.decode()?;
    out.result(&stored, explanation(&record));
    Ok(())
}

fn run_list(platform: &Platform, out: Output) -> Result<()> {
    let stored = platform.list(KIND)?;
    let mut rows = Vec::new();
    for stored in &stored {
        let record: Record = stored.decode()?;
        rows.push(vec![
            record.service.to_string(),
            record.from.to_string(),
            record.to.to_string(),
            state(&record),
            share_percent(&record),
            time_left(&record),
            record.who.to_string(),
        ]);
    }
    let head = ["service", "from", "to", "state", "share", "left", "by"];
    out.list(&stored, &head, rows);
    Ok(())
}

/// Describes the state of a version move in one line.
pub fn summary(record: &Record) -> String {
    format!(
        "{} from {} to {}: {} at {}, {} left, last written by {}",
        record.service,
        record.from,
        record.to,
        state(record),
        share_percent(record),
        time_left(record),
        record.who,
    )
}

fn explanation(record: &Record) -> String {
    let Evidence {
        old_total,
        old_failed,
        new_total,
        new_failed,
        proof,
        doubt,
        fault,
    } = &record.evidence;
    let why = match (fault, record.state) {
        (Some(fault), _) => format!("the new version shows {fault}"),
        (None, State::Withdrawing | State::Withdrawn) if record.changed >= record.deadline => {
            "the deadline passed before there was enough evidence for the new version".to_owned()
        }
        (None, State::Withdrawing | State::Withdrawn) => "an operator took it back".to_owned(),
        (None, State::Planned) => "no backend server of the new version is ready yet".into(),
        (None, _) => "no fault was detected".to_owned(),
    };
    format!(
        "{}\n  why: {why}\n  old: {old_failed} of {old_total} failed\n  \
         new: {new_failed} of {new_total} failed\n  \
         evidence for: {proof:.1}, against: {doubt:.1} (natural logarithms)",
        summary(record),
    )
}

fn state(record: &Record) -> String {
    json!(record.state).as_str().unwrap_or_default().to_owned()
}

fn share_percent(record: &Record) -> String {
    format!("{:.1}%", record.share.ratio() * 100.0)
}

fn time_left(record: &Record) -> String {
    if record.is_over() {
        return "nothing".into();
    }
    let millis = record.deadline.saturating_sub(command::unix_millis());
    format!("{} s", millis / 1000)
}
