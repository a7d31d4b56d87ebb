//! Contracts: apply, diff, show, list.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use corianderway_model::raw;
use serde::Serialize;
use serde_json::json;
use serde_json::Value;
use snafu::ResultExt;

use crate::diff;
use crate::diff::Change;
use crate::error::ConflictSnafu;
use crate::error::Error;
use crate::error::FileSnafu;
use crate::error::Result;
use crate::error::ValueSnafu;
use crate::force::Force;
use crate::output::Output;
use crate::platform::Held;
use crate::platform::Platform;
use crate::wait::DurationArg;

/// The kind of the platform's objects.
pub const KIND: &str = "contracts";

xflags::xflags! {
    /// Contracts of client accounts.
    cmd contract {
        /// The platform's address.
        optional --platform addr: SocketAddr
        /// Writes JSON.
        optional --json

        /// Checks contracts and puts them in force; all are checked before the
        /// first is sent.
        cmd apply {
            /// Contract files, in YAML.
            repeated files: PathBuf
            /// Refuses if the contract in force has another version than this.
            optional --expect version: u64
            /// Waits this long, such as 10s, until every instance holds them.
            optional --wait span: DurationArg
            /// The admin address of an entry instance to ask; may be repeated.
            repeated --instance addr: SocketAddr
        }
        /// Shows what applying a contract would change.
        cmd diff {
            /// A contract file, in YAML.
            required file: PathBuf
        }
        /// Shows the contract in force, with its version.
        cmd show {
            /// The client account.
            required account: String
        }
        /// Lists the contracts in force.
        cmd list {}
    }
}

#[derive(Serialize)]
struct Applied {
    account: String,
    version: u64,
    changes: Vec<Change>,
}

/// Runs a verb.
///
/// # Errors
///
/// Fails when the input is not valid, the platform does not answer or another
/// operator has changed the contract.
pub fn run(flags: Contract) -> Result<()> {
    let platform = Platform::find(flags.platform)?;
    let out = Output { json: flags.json };
    match flags.subcommand {
        ContractCmd::Apply(apply) => run_apply(&platform, out, &apply),
        ContractCmd::Diff(diff) => run_diff(&platform, out, &diff.file),
        ContractCmd::Show(show) => run_show(&platform, out, &show.account),
        ContractCmd::List(_) => run_list(&platform, out),
    }
}

fn run_apply(platform: &Platform, out: Output, apply: &Apply) -> Result<()> {
    if apply.files.is_empty() {
        let message = "name at least one contract file".into();
        return Err(Error::Usage { message });
    }
    let force = Force::find(apply.wait, &apply.instance)?;
    let read = apply.files.iter().map(|file| checked(file));
    let contracts = read.collect::<Result<Vec<_>>>()?;
    let mut applied = Vec::new();
    for contract in &contracts {
        applied.push(put(platform, contract, apply.expect)?);
    }
    let lines = applied.iter().map(told).collect::<Vec<_>>();
    out.result(&applied, lines.join("\n"));
    for Applied {
        account, version, ..
    } in &applied
    {
        let object = format!("{KIND}/{account}");
        force
            .as_ref()
            .map_or(Ok(()), |f| f.wait(out, &object, *version))?;
    }
    Ok(())
}

fn put(platform: &Platform, contract: &raw::Contract, expect: Option<u64>) -> Result<Applied> {
    let account = contract.account.clone();
    let held = platform.get(KIND, &account)?;
    let value = value(contract)?;
    let changes = changes(held.as_ref(), &value);
    let found = held.as_ref().map(|h| h.version);
    if expect.is_some() && found != expect {
        let object = format!("{KIND}/{account}");
        let version = found;
        let current = held.as_ref().map_or(&Value::Null, |h| &h.value);
        let changes = diff::changes(&value, current);
        return ConflictSnafu {
            object,
            version,
            changes,
        }
        .fail();
    }
    let version = match found {
        Some(version) if changes.is_empty() => version,
        _ => platform.write(KIND, &account, held.as_ref(), &value)?,
    };
    Ok(Applied {
        account,
        version,
        changes,
    })
}

fn told(applied: &Applied) -> String {
    let Applied {
        account, version, ..
    } = applied;
    if applied.changes.is_empty() {
        return format!("{account}: unchanged, version {version} is in force");
    }
    let lines = applied.changes.iter().map(|c| format!("\n  {c}"));
    let lines = lines.collect::<String>();
    format!("{account}: version {version} is accepted{lines}")
}

fn run_diff(platform: &Platform, out: Output, file: &Path) -> Result<()> {
    let contract = checked(file)?;
    let held = platform.get(KIND, &contract.account)?;
    let changes = changes(held.as_ref(), &value(&contract)?);
    let version = held.map(|h| h.version);
    let head = match version {
        Some(version) => format!("{}: against version {version}", contract.account),
        None => format!("{}: new", contract.account),
    };
    let lines = changes.iter().map(|c| format!("\n  {c}"));
    let text = head + &lines.collect::<String>();
    let value = json!({ "account": contract.account, "version": version, "changes": changes });
    out.result(&value, text);
    Ok(())
}

fn run_show(platform: &Platform, out: Output, account: &str) -> Result<()> {
    let held = platform.need(KIND, account)?;
    let contract: raw::Contract = held.read()?;
    let yaml = serde_yaml_ng::to_string(&contract).map_err(|error| Error::Refused {
        message: format!("the contract has no YAML form ({error}); use --json"),
    })?;
    out.result(&held, format!("# version {}\n{yaml}", held.version));
    Ok(())
}

fn run_list(platform: &Platform, out: Output) -> Result<()> {
    let held = platform.list(KIND)?;
    let mut rows = Vec::new();
    for held in &held {
        let contract: raw::Contract = held.read()?;
        rows.push(vec![
            contract.account,
            held.version.to_string(),
            contract.rate.to_string(),
            contract.burst.to_string(),
            contract.routes.len().to_string(),
            contract.hosts.join(","),
        ]);
    }
    let head = ["account", "version", "rate", "burst", "routes", "hosts"];
    out.list(&held, &head, rows);
    Ok(())
}

// Reads a contract and checks all of it; what is sent is the file's own form.
fn checked(file: &Path) -> Result<raw::Contract> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).context(FileSnafu { file: &name })?;
    corianderway_model::Contract::parse(&name, &text)?;
    serde_yaml_ng::from_str(&text).map_err(|error| Error::Refused {
        message: format!("{name}: {error}; correct the YAML"),
    })
}

fn value(contract: &raw::Contract) -> Result<Value> {
    let object = format!("{KIND}/{}", contract.account);
    serde_json::to_value(contract).context(ValueSnafu { object })
}

fn changes(held: Option<&Held>, value: &Value) -> Vec<Change> {
    let before = held.map_or(&Value::Null, |h| &h.value);
    diff::changes(before, value)
}
