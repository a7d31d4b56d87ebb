//! Keys of client accounts: grant, withdraw, list.

use std::net::SocketAddr;

use corianderway_control::KeyRecord;
use corianderway_control::KeyState;
use corianderway_control::NONCE_BYTES;
use corianderway_model::Account;
use rand::rngs::OsRng;
use rand::TryRngCore;
use serde_json::json;

use crate::command;
use crate::contract;
use crate::error::Error;
use crate::error::Result;
use crate::force::Force;
use crate::output::Output;
use crate::platform::Platform;
use crate::wait::DurationArg;

/// The kind of the platform's objects.
const KIND: &str = "keys";

xflags::xflags! {
    /// Keys of client accounts; only their salted hashes are stored.
    cmd key {
        /// The platform's address.
        optional --platform addr: SocketAddr
        /// Writes JSON.
        optional --json

        /// Makes a key for a client account and prints it, this once only.
        cmd grant {
            /// The client account.
            required account: String
        }
        /// Withdraws a key for good.
        cmd withdraw {
            /// The public part of the key, before the dot.
            required id: String
            /// Waits this long, such as 10s, until every instance refuses it.
            optional --wait span: DurationArg
            /// The admin address of an entry instance to ask; may be repeated.
            repeated --instance addr: SocketAddr
        }
        /// Lists the keys.
        cmd list {}
    }
}

/// Runs a verb.
///
/// # Errors
///
/// Fails when there is no such client account or key, or the platform does
/// not answer.
pub fn run(flags: Key) -> Result<()> {
    let platform = Platform::find(flags.platform)?;
    let out = Output { json: flags.json };
    match flags.subcommand {
        KeyCmd::Grant(grant) => run_grant(&platform, out, &grant.account),
        KeyCmd::Withdraw(withdraw) => run_withdraw(&platform, out, &withdraw),
        KeyCmd::List(_) => run_list(&platform, out),
    }
}

fn run_grant(platform: &Platform, out: Output, account: &str) -> Result<()> {
    let account = Account::try_from(account)?;
    platform.need(contract::KIND, account.as_str())?;
    let mut nonce = [0; NONCE_BYTES];
    OsRng.try_fill_bytes(&mut nonce).map_err(|error| {
        let message = format!("the system's random generator failed ({error}); try again");
        Error::Refused { message }
    })?;
    let created = command::unix_millis() / 1000;
    let (record, text) = KeyRecord::generate(account, &nonce, created);
    let version = platform.write(KIND, record.id.as_str(), None, &record)?;
    let key = text.reveal();
    let value =
        json!({ "id": record.id, "account": record.account, "version": version, "key": key });
    out.result(
        &value,
        format!("{key}\nkey {} is granted; it is shown only now", record.id),
    );
    Ok(())
}

fn run_withdraw(platform: &Platform, out: Output, withdraw: &Withdraw) -> Result<()> {
    let id = withdraw.id.as_str();
    let force = Force::find(withdraw.wait, &withdraw.instance)?;
    let held = platform.need(KIND, id)?;
    let record: KeyRecord = held.read()?;
    let mut version = held.version;
    if record.state == KeyState::Withdrawn {
        out.result(&held, format!("key {id} is withdrawn already"));
    } else {
        let record = record.with_state(KeyState::Withdrawn);
        version = platform.write(KIND, id, Some(&held), &record)?;
        let value = json!({ "id": id, "version": version, "state": record.state });
        let text = format!("key {id}: the withdrawal is accepted as version {version}");
        out.result(&value, text);
    }
    force.map_or(Ok(()), |f| f.wait(out, &format!("{KIND}/{id}"), version))
}

// The hashes stay out of the list.
fn run_list(platform: &Platform, out: Output) -> Result<()> {
    let (mut values, mut rows) = (Vec::new(), Vec::new());
    for held in platform.list(KIND)? {
        let record: KeyRecord = held.read()?;
        let state = json!(record.state);
        rows.push(vec![
            record.id.to_string(),
            record.account.to_string(),
            state.as_str().unwrap_or_default().to_owned(),
            record.created.to_string(),
        ]);
        values.push(json!({
            "id": record.id,
            "account": record.account,
            "state": state,
            "created": record.created,
            "version": held.version,
        }));
    }
    out.list(&values, &["id", "account", "state", "created"], rows);
    Ok(())
}
