//! The epoch of the limits: show it, and confirm that silent members have ended.

use std::net::SocketAddr;

use corianderway_limits::Epoch;
use corianderway_node::Confirmation;
use serde_json::json;

use crate::command;
use crate::error::Result;
use crate::output::Output;
use crate::platform::Held;
use crate::platform::Platform;

/// The kind of the platform's objects.
const KIND: &str = "epochs";

/// The name of the object that holds the epoch.
const EPOCH: &str = "limits";

/// The name of the object that holds an operator's word.
const CONFIRMED: &str = "confirmed";

xflags::xflags! {
    /// The epoch that says which instances hold the limits.
    cmd epochs {
        /// The platform's address.
        optional --platform addr: SocketAddr
        /// Writes JSON.
        optional --json

        /// Shows the members, and which of them are on the list of instances.
        cmd show {}
        /// Says that every member that is not on the list of instances has
        /// ended and will not wake, so that their part of the limits may be
        /// given to others. Needed only after more than half are lost at once.
        cmd confirm {}
    }
}

/// Runs a verb.
///
/// # Errors
///
/// Fails when there is no epoch or the platform does not answer.
pub fn run(flags: Epochs) -> Result<()> {
    let platform = Platform::find(flags.platform)?;
    let out = Output { json: flags.json };
    let held = platform.need(KIND, EPOCH)?;
    let epoch: Epoch = held.read()?;
    match flags.subcommand {
        EpochsCmd::Show(_) => run_show(&platform, out, &held, &epoch),
        EpochsCmd::Confirm(_) => run_confirm(&platform, out, &epoch),
    }
}

fn run_show(platform: &Platform, out: Output, held: &Held, epoch: &Epoch) -> Result<()> {
    let listed = platform.instances()?.entries;
    let (mut values, mut rows) = (Vec::new(), Vec::new());
    for member in epoch.members() {
        let known = listed.iter().any(|entry| entry.id == *member);
        let seen = if known { "listed" } else { "missing" };
        rows.push(vec![
            epoch.number().to_string(),
            member.to_string(),
            seen.to_owned(),
        ]);
        values.push(json!({
            "epoch": epoch.number(),
            "version": held.version,
            "member": member,
            "listed": known,
        }));
    }
    out.list(&values, &["epoch", "member", "seen"], rows);
    Ok(())
}

fn run_confirm(platform: &Platform, out: Output, epoch: &Epoch) -> Result<()> {
    let base = platform.get(KIND, CONFIRMED)?;
    let word = Confirmation {
        epoch: epoch.number(),
        who: command::author(),
    };
    let version = platform.write(KIND, CONFIRMED, base.as_ref(), &word)?;
    let value = json!({ "epoch": word.epoch, "who": word.who, "version": version });
    let text = format!("the silent members of epoch {} have ended", word.epoch);
    out.result(&value, text);
    Ok(())
}
