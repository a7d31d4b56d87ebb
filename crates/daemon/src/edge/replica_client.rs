//! Follows the replica of the store that another instance serves.
//!
//! Sends the revisions that this instance knows, then applies the received
//! frames to its copy and publishes the changes to the decision duty.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::future;
use async_std::net::TcpStream;
use async_tungstenite::WebSocketStream;
use corianderway_model::Era;
use corianderway_platform::store;
use corianderway_platform::store::Change;
use corianderway_platform::store::KINDS;
use corianderway_steer::Event;
use corianderway_steer::Reach;

use crate::edge::frame::Frame;
use crate::edge::frame::KnownRevisions;
use crate::edge::learnt::Origin;
use crate::edge::publish::publish;
use crate::edge::replica_server;
use crate::edge::replica_server::ReadError;
use crate::edge::store::Context;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The time without a frame after which a replica counts as lost: three pulses
/// are missing.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Why a replica can no longer be followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReplicaLoss {
    /// The stream broke, and its instance may not have closed it on purpose.
    Broken,
    /// The instance that serves the replica no longer follows the store.
    StoreLost,
    /// The instance is silent, can't be reached, or sent a frame that can't be read.
    Unusable(String),
}

impl ReplicaLoss {
    /// Returns the event for the decision duty.
    pub(super) fn event(&self) -> Event {
        match self {
            Self::StoreLost => Event::StoreLost,
            Self::Broken | Self::Unusable(_) => Event::ReplicaLost,
        }
    }
}

impl fmt::Display for ReplicaLoss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken => f.write_str("broken"),
            Self::StoreLost => f.write_str("lost the store"),
            Self::Unusable(why) => f.write_str(why),
        }
    }
}

/// Follows the replica of an instance; returns the reason when it no longer can.
///
/// A broken stream is opened again, since its instance may still be running.
/// The function returns if a stream ends for another reason, or before the copy
/// was up to date.
pub(super) async fn follow(ctx: &Rc<Context>, from: SocketAddr) -> ReplicaLoss {
    loop {
        let mut followed = false;
        let loss = read_stream(ctx, from, &mut followed).await;
        if !followed || loss != ReplicaLoss::Broken {
            return loss;
        }
    }
}

// Reads a stream to its end. Sets `followed` once the copy is up to date.
async fn read_stream(ctx: &Rc<Context>, from: SocketAddr, followed: &mut bool) -> ReplicaLoss {
    let Some(mut socket) = connect(from).await else {
        return ReplicaLoss::Unusable(format!("{from}: no connection"));
    };
    let known = KnownRevisions(KINDS.map(|kind| ctx.copy.borrow().of(kind).revision));
    if replica_server::write_message(&mut socket, &known)
        .await
        .is_none()
    {
        return ReplicaLoss::Broken;
    }
    loop {
        let applied = match replica_server::read_message(&mut socket, SILENCE_TIMEOUT).await {
            // An instance that never followed the store has not lost it.
            Ok(Frame::Lost) if *followed => return ReplicaLoss::StoreLost,
            Ok(Frame::Lost | Frame::Ended) => {
                return ReplicaLoss::Unusable(format!("{from}: follows no store"));
            }
            // The instance has not noticed yet that the store came back from an older copy.
            Ok(Frame::Pulse) if !ctx.is_read() => Ok(()),
            Ok(Frame::Pulse) => {
                *followed = true;
                ctx.learnt.borrow_mut().confirm();
                ctx.set_reach(Reach::Replica).await;
                Ok(())
            }
            Ok(Frame::Whole { kind, list, era }) => apply(ctx, from, kind, era, &list, None).await,
            Ok(Frame::Part {
                kind,
                list,
                removed,
                era,
            }) => apply(ctx, from, kind, era, &list, Some(removed)).await,
            Err(ReadError::Broken) => return ReplicaLoss::Broken,
            Err(ReadError::TimedOut) => {
                return ReplicaLoss::Unusable(format!("{from}: silent"));
            }
        };
        if let Err(why) = applied {
            return ReplicaLoss::Unusable(format!("{from}: {why}"));
        }
    }
}

async fn connect(to: SocketAddr) -> Option<WebSocketStream<TcpStream>> {
    let stream = future::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let url = format!("ws://{to}/copy");
    let opened = async_tungstenite::client_async(url, stream);
    let opened = future::timeout(replica_server::HANDSHAKE_TIMEOUT, opened).await;
    Some(opened.ok()?.ok()?.0)
}

// Applies a whole list, or the changed objects and the names of removed ones. Those of an
// earlier era change nothing.
async fn apply(
    ctx: &Rc<Context>,
    from: SocketAddr,
    index: u8,
    era: Era,
    list: &str,
    removed: Option<Vec<String>>,
) -> Result<(), String> {
    let kind = Frame::kind(index).ok_or_else(|| format!("kind {index} is not known"))?;
    ctx.notice_era(era).await;
    if era < ctx.era() {
        return Ok(());
    }
    let page = store::parse_page(list.as_bytes(), era).map_err(|error| error.to_string())?;
    let origin = Origin::Replica(from);
    let changes = match removed {
        None => ctx.replace(kind, origin, page.objects, page.revision),
        Some(removed) => {
            let removals = removed
                .iter()
                .map(|name| Change::Removed(name.as_str().into()));
            let puts = page.objects.into_iter().map(Change::Put);
            ctx.apply(kind, origin, removals.chain(puts).collect(), page.revision)
        }
    };
    publish(ctx, kind, &changes).await;
    Ok(())
}
