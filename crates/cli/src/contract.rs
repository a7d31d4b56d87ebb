//! The `contract` verbs: apply, diff, show and list contracts.

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
use crate::force::InForceWait;
use crate::output::Output;
use crate::platform::Platform;
use crate::platform::StoredObject;
use crate::wait::DurationArg;

/// The object kind of contracts.
pub const KIND: &str = "contracts";

xflags::xflags! {
    /// Contracts of client accounts.
    cmd contract {
        /// The platform's address.
        optional --platform addr: SocketAddr
        /// Writes JSON.
        optional --json

        /// Validates contracts and applies them; none is applied unless all are
        /// valid.
        cmd apply {
            /// Contract files, in YAML.
            repeated files: PathBuf
            /// Fails unless the contract in force has this version.
            optional --expect version: u64
            /// Waits up to this long, such as 10s, until they are in force at every
            /// instance.
            optional --wait span: DurationArg
            /// The admin address of an entry instance to query; may be repeated.
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

/// Runs a verb of the `contract` group.
///
/// # Errors
///
/// Fails when the input is invalid, the platform does not respond or another
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
        let message = "give at least one contract file".into();
        return Err(Error::Usage { message });
    }
    let in_force = InForceWait::find(apply.wait, &apply.instance)?;
    let loaded = apply.files.iter().map(|file| load(file));
    let contracts = loaded.collect::<Result<Vec<_>>>()?;
    let mut applied = Vec::new();
    for contract in &contracts {
        applied.push(apply_one(platform, contract, apply.expect)?);
    }
    let lines = applied.iter().map(describe).collect::<Vec<_>>();
    out.result(&applied, lines.join("\n"));
    for Applied {
        account, version, ..
    } in &applied
    {
        let object = format!("{KIND}/{account}");
        in_force
            .as_ref()
            .map_or(Ok(()), |f| f.wait(out, &object, *version))?;
    }
    Ok(())
}

fn apply_one(
    platform: &Platform,
    contract: &raw::Contract,
    expect: Option<u64>,
) -> Result<Applied> {
    let account = contract.account.clone();
    let stored = platform.get(KIND, &account)?;
    let value = value(contract)?;
    let changes = changes(stored.as_ref(), &value);
    let found = stored.as_ref().map(|h| h.version);
    if expect.is_some() && found != expect {
        let object = format!("{KIND}/{account}");
        let version = found;
        let current = stored.as_ref().map_or(&Value::Null, |h| &h.value);
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
        _ => platform.write(KIND, &account, stored.as_ref(), &value)?,
    };
    Ok(Applied {
        account,
        version,
        changes,
    })
}

fn describe(applied: &Applied) -> String {
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
    let contract = load(file)?;
    let stored = platform.get(KIND, &contract.account)?;
    let changes = changes(stored.as_ref(), &value(&contract)?);
    let version = stored.map(|h| h.version);
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
    let stored = platform.require(KIND, account)?;
    let contract: raw::Contract = stored.decode()?;
    let yaml = serde_yaml_ng::to_string(&contract).map_err(|error| Error::Refused {
        message: format!("the contract can't be written as YAML ({error}); use --json"),
    })?;
    out.result(&stored, format!("# version {}\n{yaml}", stored.version));
    Ok(())
}

fn run_list(platform: &Platform, out: Output) -> Result<()> {
    let stored = platform.list(KIND)?;
    let mut rows = Vec::new();
    for stored in &stored {
        let contract: raw::Contract = stored.decode()?;
        rows.push(vec![
            contract.account,
            stored.version.to_string(),
            contract.rate.to_string(),
            contract.burst.to_string(),
            contract.routes.len().to_string(),
            contract.hosts.join(","),
        ]);
    }
    let head = ["account", "version", "rate", "burst", "routes", "hosts"];
    out.list(&stored, &head, rows);
    Ok(())
}

// Reads and validates a contract. The raw form is returned, since that is what
// the platform stores.
fn load(file: &Path) -> Result<raw::Contract> {
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

fn changes(stored: Option<&StoredObject>, value: &Value) -> Vec<Change> {
    let before = stored.map_or(&Value::Null, |h| &h.value);
    diff::changes(before, value)
}
