//! Drains of backend servers, failure domains and regions: plan, watch,
//! cancel, list.

use std::net::SocketAddr;

use corianderway_rollout::Drain as Record;
use corianderway_rollout::DrainChart;
use corianderway_rollout::DrainConditions;
use corianderway_rollout::DrainScope;
use corianderway_rollout::DrainState;
use corianderway_rollout::DrainTrigger;
use corianderway_rollout::ServerLocation;
use corianderway_rollout::DRAIN_CHART;
use serde_json::json;

use crate::command;
use crate::error::RefusedSnafu;
use crate::error::Result;
use crate::error::UsageSnafu;
use crate::output::Output;
use crate::platform::Held;
use crate::platform::Platform;
use crate::wait;
use crate::wait::DurationArg;
use crate::wait::Poll;

/// The kind of the platform's objects.
pub const KIND: &str = "drains";

xflags::xflags! {
    /// Drains of a backend server, a failure domain or a region.
    cmd drain {
        /// The platform's address.
        optional --platform addr: SocketAddr
        /// Writes JSON.
        optional --json

        /// Plans a drain; it begins when the rest can carry the load.
        cmd plan {
            /// What is drained: server, domain or region.
            required scope: String
            /// Its name.
            required name: String
        }
        /// Waits until a drain is over (code 0) or cancelled (code 1).
        cmd watch {
            /// What is drained: server, domain or region.
            required scope: String
            /// Its name.
            required name: String
            /// The longest wait, such as 5m; an hour if it is not given.
            optional --timeout span: DurationArg
        }
        /// Cancels a drain, or ends one that is over.
        cmd cancel {
            /// What is drained: server, domain or region.
            required scope: String
            /// Its name.
            required name: String
        }
        /// Lists the drains.
        cmd list {}
    }
}

/// Runs a verb.
///
/// # Errors
///
/// Fails when the scope is not known, the drain was cancelled, or the
/// platform does not answer.
pub fn run(flags: Drain) -> Result<()> {
    let platform = Platform::find(flags.platform)?;
    let out = Output { json: flags.json };
    match flags.subcommand {
        DrainCmd::Plan(plan) => run_plan(&platform, out, scope(&plan.scope, &plan.name)?),
        DrainCmd::Watch(watch) => run_watch(&platform, out, &watch),
        DrainCmd::Cancel(cancel) => {
            run_cancel(&platform, out, &scope(&cancel.scope, &cancel.name)?)
        }
        DrainCmd::List(_) => run_list(&platform, out),
    }
}

fn run_plan(platform: &Platform, out: Output, scope: DrainScope) -> Result<()> {
    let name = scope.object_name();
    let held = platform.get(KIND, &name)?;
    let last = held.as_ref().map(Held::read::<Record>).transpose()?;
    if let Some(last) = last.filter(|last| last.state != DrainState::Cancelled) {
        let message = format!("{}; cancel it to plan it anew", sentence(&last));
        return RefusedSnafu { message }.fail();
    }
    let covered = covered(platform, &scope)?;
    if covered == 0 {
        let message = format!("no backend server lies in {scope}; check the name");
        return RefusedSnafu { message }.fail();
    }
    let record = Record::new(scope, command::unix_millis(), command::author());
    let version = platform.write(KIND, &name, held.as_ref(), &record)?;
    let value = json!({ "version": version, "value": record, "servers": covered });
    let text = format!("{} ({covered} backend servers)", sentence(&record));
    out.result(&value, text);
    Ok(())
}

fn covered(platform: &Platform, scope: &DrainScope) -> Result<usize> {
    let backends = platform.instances()?.backends;
    let places = backends.into_iter().map(|backend| ServerLocation {
        server: backend.id,
        domain: backend.domain,
        region: backend.region,
    });
    Ok(places.filter(|place| scope.covers(place)).count())
}

fn run_watch(platform: &Platform, out: Output, watch: &Watch) -> Result<()> {
    let scope = scope(&watch.scope, &watch.name)?;
    let name = scope.object_name();
    let what = format!("the drain of {scope}");
    let limit = wait::limit_or_default(watch.timeout);
    let record = wait::poll_until_end(out, &what, limit, || {
        let record: Record = platform.need(KIND, &name)?.read()?;
        Ok(Poll {
            state: state(&record),
            text: sentence(&record),
            end: record.is_over().then_some(record),
        })
    })?;
    if record.state != DrainState::Drained {
        let message = sentence(&record);
        return RefusedSnafu { message }.fail();
    }
    out.result(&record, sentence(&record));
    Ok(())
}

fn run_cancel(platform: &Platform, out: Output, scope: &DrainScope) -> Result<()> {
    let name = scope.object_name();
    let held = platform.need(KIND, &name)?;
    let record: Record = held.read()?;
    let chart = DrainChart::parse(DRAIN_CHART)?;
    let standing = DrainConditions::default();
    let (wall, who) = (command::unix_millis(), command::author());
    let next = record.advance(&chart, DrainTrigger::Cancel, standing, wall, who);
    let Some(next) = next else {
        let message = format!("{}; there is nothing to cancel", sentence(&record));
        return RefusedSnafu { message }.fail();
    };
    let version = platform.write(KIND, &name, Some(&held), &next)?;
    let value = json!({ "version": version, "value": next });
    out.result(&value, sentence(&next));
    Ok(())
}

fn run_list(platform: &Platform, out: Output) -> Result<()> {
    let held = platform.list(KIND)?;
    let mut rows = Vec::new();
    for held in &held {
        let record: Record = held.read()?;
        let work = if record.withheld { "none" } else { "as usual" };
        rows.push(vec![
            record.scope.to_string(),
            state(&record),
            work.to_owned(),
            record.who.to_string(),
        ]);
    }
    out.list(&held, &["scope", "state", "new work", "by"], rows);
    Ok(())
}

fn scope(kind: &str, name: &str) -> Result<DrainScope> {
    Ok(match kind {
        "server" => DrainScope::Server(name.try_into()?),
        "domain" => DrainScope::Domain(name.try_into()?),
        "region" => DrainScope::Region(name.try_into()?),
        _ => {
            let message = format!("{kind:?} can't be drained; name a server, domain or region");
            return UsageSnafu { message }.fail();
        }
    })
}

/// One line on where it stands.
pub fn sentence(record: &Record) -> String {
    let why = match record.state {
        DrainState::Planned => "waits until the rest can carry the load",
        DrainState::Draining => "gets no new work; requests in flight end",
        DrainState::Drained => "no request is in flight there",
        DrainState::Cancelled => "takes work as usual",
    };
    let (scope, state, who) = (&record.scope, state(record), &record.who);
    format!("{scope}: {state}, {why}, last written by {who}")
}

fn state(record: &Record) -> String {
    json!(record.state).as_str().unwrap_or_default().to_owned()
}
