//! Version moves: start, watch, back, show, list.

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
use crate::platform::Held;
use crate::platform::Platform;
use crate::policy;
use crate::wait;
use crate::wait::DurationArg;
use crate::wait::Poll;

/// The kind of the platform's objects.
pub const KIND: &str = "moves";

xflags::xflags! {
    /// Moves of a service from one version to the next.
    cmd move {
        /// The platform's address.
        optional --platform addr: SocketAddr
        /// Writes JSON.
        optional --json

        /// Starts a move, under the strictest policy of the contracts.
        cmd start {
            /// The service.
            required service: String
            /// The version that takes over.
            required version: String
            /// The version in service; found in the last move or the instance
            /// list if it is not given.
            optional --from version: String
            /// The time until the move has to end, such as 10m; the contract's
            /// if it is not given, and never later.
            optional --deadline span: DurationArg
        }
        /// Waits until a move is done (code 0) or taken back (code 1).
        cmd watch {
            /// The service.
            required service: String
            /// The longest wait, such as 5m; an hour if it is not given.
            optional --timeout span: DurationArg
        }
        /// Takes a new version back.
        cmd back {
            /// The service.
            required service: String
        }
        /// Says where a move stands and why.
        cmd show {
            /// The service.
            required service: String
        }
        /// Lists the moves.
        cmd list {}
    }
}

/// Runs a verb.
///
/// # Errors
///
/// Fails when the move is not possible, was taken back, or the platform does
/// not answer.
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
    let held = platform.get(KIND, service.as_str())?;
    let last = held.as_ref().map(Held::read::<Record>).transpose()?;
    if let Some(last) = last.as_ref().filter(|last| !last.is_over()) {
        let message = format!("{}; wait for its end or take it back", sentence(last));
        return RefusedSnafu { message }.fail();
    }
    let from = match &start.from {
        Some(from) => Version::try_from(from.as_str())?,
        None => in_service(platform, &service, &to, last.as_ref())?,
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
    let version = platform.write(KIND, name, held.as_ref(), &record)?;
    let value = json!({ "version": version, "value": record });
    out.result(&value, sentence(&record));
    Ok(())
}

// The version that the last move left in service, else the only other one
// that backend servers run.
fn in_service(
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
    let running = backends.into_iter().filter(|b| b.service == *service);
    let mut versions: Vec<Version> = running.map(|b| b.version).collect();
    versions.retain(|version| version != to);
    versions.sort();
    versions.dedup();
    if let [only] = versions.as_slice() {
        return Ok(only.clone());
    }
    let message = format!("service {service} runs {versions:?} beside {to}; give --from");
    RefusedSnafu { message }.fail()
}

fn run_watch(platform: &Platform, out: Output, watch: &Watch) -> Result<()> {
    let what = format!("the move of {}", watch.service);
    let limit = wait::limit_or_default(watch.timeout);
    let record = wait::poll_until_end(out, &what, limit, || {
        let record: Record = platform.need(KIND, &watch.service)?.read()?;
        Ok(Poll {
            state: format!("{} {}", state(&record), percent(&record)),
            text: sentence(&record),
            end: record.is_over().then_some(record),
        })
    })?;
    if record.state != State::Done {
        let message = explanation(&record);
        return RefusedSnafu { message }.fail();
    }
    out.result(&record, sentence(&record));
    Ok(())
}

fn run_back(platform: &Platform, out: Output, service: &str) -> Result<()> {
    let held = platform.need(KIND, service)?;
    let record: Record = held.read()?;
    let chart = MoveChart::parse(MOVE_CHART)?;
    let author = Author {
        who: command::author().into(),
        wall: command::unix_millis(),
        evidence: record.evidence.clone(),
    };
    let standing = Conditions::default();
    let Some(next) = record.advance(&chart, Trigger::TakeBack, standing, author) else {
        let message = format!("{}; there is nothing to take back", sentence(&record));
        return RefusedSnafu { message }.fail();
    };
    let version = platform.write(KIND, service, Some(&held), &next)?;
    let value = json!({ "version": version, "value": next });
    out.result(&value, sentence(&next));
    Ok(())
}

fn run_show(platform: &Platform, out: Output, service: &str) -> Result<()> {
    let held = platform.need(KIND, service)?;
    let record: Record = held.read()?;
    out.result(&held, explanation(&record));
    Ok(())
}

fn run_list(platform: &Platform, out: Output) -> Result<()> {
    let held = platform.list(KIND)?;
    let mut rows = Vec::new();
    for held in &held {
        let record: Record = held.read()?;
        rows.push(vec![
            record.service.to_string(),
            record.from.to_string(),
            record.to.to_string(),
            state(&record),
            percent(&record),
            left(&record),
            record.who.to_string(),
        ]);
    }
    let head = ["service", "from", "to", "state", "share", "left", "by"];
    out.list(&held, &head, rows);
    Ok(())
}

/// One line on where it stands.
pub fn sentence(record: &Record) -> String {
    format!(
        "{} from {} to {}: {} at {}, {} left, last written by {}",
        record.service,
        record.from,
        record.to,
        state(record),
        percent(record),
        left(record),
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
            "the deadline passed before the new version was proven".to_owned()
        }
        (None, State::Withdrawing | State::Withdrawn) => "an operator took it back".to_owned(),
        (None, State::Planned) => "no backend server of the new version takes requests yet".into(),
        (None, _) => "no fault is seen".to_owned(),
    };
    format!(
        "{}\n  why: {why}\n  old: {old_failed} of {old_total} failed\n  \
         new: {new_failed} of {new_total} failed\n  \
         evidence for: {proof:.1}, against: {doubt:.1} (natural logarithms)",
        sentence(record),
    )
}

fn state(record: &Record) -> String {
    json!(record.state).as_str().unwrap_or_default().to_owned()
}

fn percent(record: &Record) -> String {
    format!("{:.1}%", record.share.ratio() * 100.0)
}

fn left(record: &Record) -> String {
    if record.is_over() {
        return "nothing".into();
    }
    let millis = record.deadline.saturating_sub(command::unix_millis());
    format!("{} s", millis / 1000)
}
