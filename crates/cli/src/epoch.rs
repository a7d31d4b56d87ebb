//! The `epoch` verbs: show the epoch of the limits and confirm that its missing
//! members have ended.

use std::net::SocketAddr;

use corianderway_limits::Epoch;
use corianderway_node::Confirmation;
use serde_json::json;

use crate::command;
use crate::error::Result;
use crate::output::Output;
use crate::platform::Platform;
use crate::platform::StoredObject;

/// The object kind of epochs.
const KIND: &str = "epochs";

/// The name of the object with the epoch.
const EPOCH_NAME: &str = "limits";

/// The name of the object with an operator's confirmation.
const CONFIRMATION_NAME: &str = "confirmed";

xflags::xflags! {
    /// The epoch of the limits: the instances that share them.
    cmd epochs {
        /// The platform's address.
        optional --platform addr: SocketAddr
        /// Writes JSON.
        optional --json

        /// Shows the members and whether each is in the instance list.
        cmd show {}
        /// Confirms that every member that is not in the instance list has ended
        /// and will not come back, so that others may get its quotas. Needed
        /// only after more than half of the members are lost at once.
        cmd confirm {}
    }
}

/// Runs a verb of the `epoch` group.
///
/// # Errors
///
/// Fails when there is no epoch or the platform does not respond.
pub fn run(flags: Epochs) -> Result<()> {
    let platform = Platform::find(flags.platform)?;
    let out = Output { json: flags.json };
    let stored = platform.require(KIND, EPOCH_NAME)?;
    let epoch: Epoch = stored.decode()?;
    match flags.subcommand {
        EpochsCmd::Show(_) => run_show(&platform, out, &stored, &epoch),
        EpochsCmd::Confirm(_) => run_confirm(&platform, out, &epoch),
    }
}

fn run_show(platform: &Platform, out: Output, stored: &StoredObject, epoch: &Epoch) -> Result<()> {
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
            "version": stored.version,
            "member": member,
            "listed": known,
        }));
    }
    out.list(&values, &["epoch", "member", "seen"], rows);
    Ok(())
}

fn run_confirm(platform: &Platform, out: Output, epoch: &Epoch) -> Result<()> {
    let base = platform.get(KIND, CONFIRMATION_NAME)?;
    let confirmation = Confirmation {
        epoch: epoch.number(),
        who: command::author(),
    };
    let version = platform.write(KIND, CONFIRMATION_NAME, base.as_ref(), &confirmation)?;
    let value = json!({ "epoch": confirmation.epoch, "who": confirmation.who, "version": version });
    let text = format!(
        "confirmed: the missing members of epoch {} have ended",
        confirmation.epoch
    );
    out.result(&value, text);
    Ok(())
}
