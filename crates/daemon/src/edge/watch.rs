//! Follows the platform's store: a list of each kind, then its changes.

use std::rc::Rc;
use std::time::Duration;

use async_std::task;
use corianderway_platform::store;
use corianderway_platform::store::Call;
use corianderway_platform::store::Consistency;
use corianderway_platform::store::Kind;

use crate::client::Reply;
use crate::edge::news::tell;
use crate::edge::store::note;
use crate::edge::store::send;
use crate::edge::store::Desk;
use crate::edge::store::ANSWER;
use crate::edge::store::HISTORY_GONE;
use crate::edge::store::OK;

/// How long the store holds a watch that hears nothing: each watch is a call
/// that is paid for, and a deaf one shows by what other instances have seen.
const WATCH: Duration = Duration::from_secs(20);

/// The pause between two watches, in which changes gather for one answer.
const GATHER: Duration = Duration::from_millis(100);

/// The same for the instances' entries, of which many change at once when many start.
const GATHER_MEMBERS: Duration = Duration::from_millis(300);

/// The pause for each instance of the fleet, between two watches of the servers' list.
const GATHER_EACH: Duration = Duration::from_millis(6);

/// The longest such pause: a fifth of the 2.5 s in which a leaving server must
/// get no new work.
const GATHER_MOST: Duration = Duration::from_millis(500);

/// Why a kind could not be followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The store did not answer, or not with what was asked.
    Unanswered(String),
    /// The history after the revision is gone.
    HistoryGone,
}

/// Keeps the copy of one kind as the store has it; ends with why it no longer can.
pub(super) async fn follow(desk: &Rc<Desk>, kind: Kind) -> String {
    loop {
        let fault = match list(desk, kind, Consistency::Exact).await {
            Ok(()) => {
                desk.note_listed(kind).await;
                follow_changes(desk, kind).await
            }
            Err(fault) => fault,
        };
        match fault {
            Fault::HistoryGone => note(desk, "history-gone", kind, ""),
            Fault::Unanswered(why) => {
                note(desk, "store-fault", kind, &why);
                // One broken connection says little; a second call decides.
                if let Err(Fault::Unanswered(why)) = list(desk, kind, Consistency::Exact).await {
                    return why;
                }
            }
        }
    }
}

async fn follow_changes(desk: &Rc<Desk>, kind: Kind) -> Fault {
    loop {
        let from = desk.copies.borrow().of(kind).revision.unwrap_or(0);
        let call = Call::watch(kind, from, WATCH);
        let reply = match ask(desk, &call, WATCH + ANSWER).await {
            Ok(reply) => reply,
            Err(fault) => return fault,
        };
        if reply.status == HISTORY_GONE {
            return Fault::HistoryGone;
        }
        match store::parse_changes(&reply.body) {
            Ok(changes) => {
                for error in &changes.malformed {
                    note(desk, "object-unread", kind, error);
                }
                let (heard, revision) = (changes.changes, changes.revision);
                let news = desk.change(kind, heard, revision);
                tell(desk, kind, &news).await;
            }
            Err(error) => return Fault::Unanswered(error.to_string()),
        }
        task::sleep(gather(desk, kind)).await;
    }
}

// The pause between two watches: every one is paid for, so in a large fleet
// more changes of the servers' list wait for one another.
fn gather(desk: &Desk, kind: Kind) -> Duration {
    let copies = desk.copies.borrow();
    let instances = copies.of(Kind::Members).objects().count() as u32;
    match kind {
        Kind::Servers => GATHER.max(GATHER_EACH * instances).min(GATHER_MOST),
        Kind::Members => GATHER_MEMBERS,
        Kind::Configuration | Kind::Orders | Kind::Evacuations => GATHER,
    }
}

/// Lists a kind and tells what changed.
pub(super) async fn list(desk: &Rc<Desk>, kind: Kind, reading: Consistency) -> Result<(), Fault> {
    let mut objects = Vec::new();
    let mut after = None;
    let mut revision = None;
    loop {
        let call = Call::list(kind, after.as_deref(), reading);
        let reply = ask(desk, &call, ANSWER).await?;
        let page = store::parse_page(&reply.body);
        let page = page.map_err(|error| Fault::Unanswered(error.to_string()))?;
        for error in &page.malformed {
            note(desk, "object-unread", kind, error);
        }
        objects.extend(page.objects);
        // What changed while the pages were read is heard by the watch.
        let first = *revision.get_or_insert(page.revision);
        if page.next.is_none() {
            let news = desk.replace(kind, objects, first);
            // A list also tells that there is nothing.
            tell(desk, kind, &news).await;
            return Ok(());
        }
        after = page.next;
    }
}

async fn ask(desk: &Rc<Desk>, call: &Call, limit: Duration) -> Result<Reply, Fault> {
    let reply = send(&desk.client, call, limit).await;
    let reply = reply.ok_or_else(|| Fault::Unanswered("no answer".to_owned()))?;
    match reply.status {
        OK | HISTORY_GONE => Ok(reply),
        status => Err(Fault::Unanswered(format!("status {status}"))),
    }
}
