//! The `drain` verbs: plan, watch, cancel and list drains of backend servers,
//! failure domains and regions.

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
use crate::platform::Platform;
use crate::platform::StoredObject;
use crate::wait;
use crate::wait::DurationArg;
use crate::wait::Poll;

/// The object kind of drains.
pub const KIND: &str = "drains";

xflags::xflags! {
    /// Drains of backend servers, failure domains and regions.
    cmd drain {
        /// The platform's address.
        optional --platform addr: SocketAddr
        /// Writes JSON.
        optional --json

        /// Plans a drain; it begins when the remaining backend servers can carry
        /// the load.
        cmd plan {
            /// The scope of the drain: server, domain or region.
            required scope: String
            /// The name of the server, domain or region.
            required name: String
        }
        /// Waits until a drain is complete (exit code 0) or cancelled (exit
        /// code 1).
        cmd watch {
            /// The scope of the drain: server, domain or region.
            required scope: String
            /// The name of the server, domain or region.
            required name: String
            /// The longest time to wait, such as 5m; one hour by default.
            optional --timeout span: DurationArg
        }
        /// Cancels a drain, or returns a drained scope to service.
        cmd cancel {
            /// The scope of the drain: server, domain or region.
            required scope: String
            /// The name of the server, domain or region.
            required name: String
        }
        /// Lists the drains.
        cmd list {}
    }
}

/// Runs a verb of the `drain` group.
///
/// # Errors
///
/// Fails when the scope is unknown, the drain was cancelled, or the
/// platform does not respond.
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
    let stored = platform.get(KIND, &name)?;
    let last = stored
        .as_ref()
        .map(StoredObject::decode::<Record>)
        .transpose()?;
    if let Some(last) = last.filter(|last| last.state != DrainState::Cancelled) {
        let message = format!("{}; cancel it before planning it again", summary(&last));
        return RefusedSnafu { message }.fail();
    }
    let server_count = count_servers(platform, &scope)?;
    if server_count == 0 {
        let message = format!("there is no backend server in {scope}; check the name");
        return RefusedSnafu { message }.fail();
    }
    let record = Record::new(scope, command::unix_millis(), command::author());
    let version = platform.write(KIND, &name, stored.as_ref(), &record)?;
    let value = json!({ "version": version, "value": record, "servers": server_count });
    let text = format!("{} ({server_count} backend servers)", summary(&record));
    out.result(&value, text);
    Ok(())
}

fn count_servers(platform: &Platform, scope: &DrainScope) -> Result<usize> {
    let backends = platform.instances()?.backends;
    let locations = backends.into_iter().map(|backend| ServerLocation {
        server: backend.id,
        domain: backend.domain,
        region: backend.region,
    });
    Ok(locations.filter(|location| scope.covers(location)).count())
}

fn run_watch(platform: &Platform, out: Output, watch: &Watch) -> Result<()> {
    let scope = scope(&watch.scope, &watch.name)?;
    let name = scope.object_name();
    let what = format!("the drain of {scope}");
    let limit = wait::limit_or_default(watch.timeout);
    let record = wait::poll_until_end(out, &what, limit, || {
        let record: Record = platform.require(KIND, &name)?.decode()?;
        Ok(Poll {
            state: state(&record),
            text: summary(&record),
            end: record.is_over().then_some(record),
        })
    })?;
    if record.state != DrainState::Drained {
        let message = summary(&record);
        return RefusedSnafu { message }.fail();
    }
    out.result(&record, summary(&record));
    Ok(())
}

fn run_cancel(platform: &Platform, out: Output, scope: &DrainScope) -> Result<()> {
    let name = scope.object_name();
    let stored = platform.require(KIND, &name)?;
    let record: Record = stored.decode()?;
    let chart = DrainChart::parse(DRAIN_CHART)?;
    let conditions = DrainConditions::default();
    let (wall, who) = (command::unix_millis(), command::author());
    let next = record.advance(&chart, DrainTrigger::Cancel, conditions, wall, who);
    let Some(next) = next else {
        let message = format!("{}; there is nothing to cancel", summary(&record));
        return RefusedSnafu { message }.fail();
    };
    let version = platform.write(KIND, &name, Some(&stored), &next)?;
    let value = json!({ "version": version, "value": next });
    out.result(&value, summary(&next));
    Ok(())
}

fn run_list(platform: &Platform, out: Output) -> Result<()> {
    let stored = platform.list(KIND)?;
    let mut rows = Vec::new();
    for stored in &stored {
        let record: Record = stored.decode()?;
        let work = if record.withheld { "none" } else { "as usual" };
        rows.push(vec![
            record.scope.to_string(),
            state(&record),
            work.to_owned(),
            record.who.to_string(),
        ]);
    }
    out.list(&stored, &["scope", "state", "new work", "by"], rows);
    Ok(())
}

fn scope(kind: &str, name: &str) -> Result<DrainScope> {
    Ok(match kind {
        "server" => DrainScope::Server(name.try_into()?),
        "domain" => DrainScope::Domain(name.try_into()?),
        "region" => DrainScope::Region(name.try_into()?),
        _ => {
            let message = format!("{kind:?} can't be drained; give server, domain or region");
            return UsageSnafu { message }.fail();
        }
    })
}

/// Describes the state of a drain in one line.
pub fn summary(record: &Record) -> String {
    let why = match record.state {
        DrainState::Planned => "waits until the remaining backend servers can carry the load",
        DrainState::Draining => "gets no new requests; those in flight run to their end",
        DrainState::Drained => "no requests are in flight",
        DrainState::Cancelled => "accepts requests as usual",
    };
    let (scope, state, who) = (&record.scope, state(record), &record.who);
    format!("{scope}: {state}, {why}, last written by {who}")
}

fn state(record: &Record) -> String {
    json!(record.state).as_str().unwrap_or_default().to_owned()
}
