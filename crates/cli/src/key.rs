//! The `key` verbs: grant, withdraw and list keys of client accounts.

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
use crate::force::InForceWait;
use crate::output::Output;
use crate::platform::Platform;
use crate::wait::DurationArg;

/// The object kind of keys.
const KIND: &str = "keys";

xflags::xflags! {
    /// Keys of client accounts; only their salted hashes are stored.
    cmd key {
        /// The platform's address.
        optional --platform addr: SocketAddr
        /// Writes JSON.
        optional --json

        /// Creates a key for a client account and prints it. It can't be shown
        /// again.
        cmd grant {
            /// The client account.
            required account: String
        }
        /// Withdraws a key permanently.
        cmd withdraw {
            /// The key id: the part of the key before the dot.
            required id: String
            /// Waits up to this long, such as 10s, until every instance rejects
            /// the key.
            optional --wait span: DurationArg
            /// The admin address of an entry instance to query; may be repeated.
            repeated --instance addr: SocketAddr
        }
        /// Lists the keys.
        cmd list {}
    }
}

/// Runs a verb of the `key` group.
///
/// # Errors
///
/// Fails when there is no such client account or key, or the platform does
/// not respond.
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
    platform.require(contract::KIND, account.as_str())?;
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
        format!(
            "{key}\nkey {} is granted; the key can't be shown again",
            record.id
        ),
    );
    Ok(())
}

fn run_withdraw(platform: &Platform, out: Output, withdraw: &Withdraw) -> Result<()> {
    let id = withdraw.id.as_str();
    let in_force = InForceWait::find(withdraw.wait, &withdraw.instance)?;
    let stored = platform.require(KIND, id)?;
    let record: KeyRecord = stored.decode()?;
    let mut version = stored.version;
    if record.state == KeyState::Withdrawn {
        out.result(&stored, format!("key {id} is already withdrawn"));
    } else {
        let record = record.with_state(KeyState::Withdrawn);
        version = platform.write(KIND, id, Some(&stored), &record)?;
        let value = json!({ "id": id, "version": version, "state": record.state });
        let text = format!("key {id}: the withdrawal is accepted as version {version}");
        out.result(&value, text);
    }
    in_force.map_or(Ok(()), |f| f.wait(out, &format!("{KIND}/{id}"), version))
}

// Lists the keys without their salts and hashes.
fn run_list(platform: &Platform, out: Output) -> Result<()> {
    let (mut values, mut rows) = (Vec::new(), Vec::new());
    for stored in platform.list(KIND)? {
        let record: KeyRecord = stored.decode()?;
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
            "version": stored.version,
        }));
    }
    out.list(&values, &["id", "account", "state", "created"], rows);
    Ok(())
}
