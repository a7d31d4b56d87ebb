//! Follows another instance's copy of the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::future;
use async_std::net::TcpStream;
use async_tungstenite::WebSocketStream;
use corianderway_platform::store;
use corianderway_platform::store::Change;
use corianderway_platform::store::KINDS;
use corianderway_steer::Reach;

use crate::edge::frame::Frame;
use crate::edge::frame::Known;
use crate::edge::news::tell;
use crate::edge::replica;
use crate::edge::replica::Unread;
use crate::edge::store::Desk;

/// The longest time to make a connection.
const CONNECT: Duration = Duration::from_millis(400);

/// The silence after which a copy is taken for lost: three signs of life are missing.
const SILENCE: Duration = Duration::from_millis(1_300);

/// The end of a stream that its instance may not have meant.
const BROKEN: &str = "broken";

/// Follows the copy that an instance serves; ends with why it no longer can.
///
/// A stream that breaks is opened anew once: its instance may live on.
pub(super) async fn follow(desk: &Rc<Desk>, from: SocketAddr) -> String {
    loop {
        let mut followed = false;
        let why = read(desk, from, &mut followed).await;
        if !followed || why != BROKEN {
            return format!("{from}: {why}");
        }
    }
}

// Reads a stream to its end; `followed` is set once the copy was known whole.
async fn read(desk: &Rc<Desk>, from: SocketAddr, followed: &mut bool) -> String {
    let Some(mut socket) = connect(from).await else {
        return "no connection".to_owned();
    };
    let known = Known(KINDS.map(|kind| desk.copies.borrow().of(kind).revision));
    if replica::write(&mut socket, &known).await.is_none() {
        return BROKEN.to_owned();
    }
    loop {
        let taken = match replica::read(&mut socket, SILENCE).await {
            Ok(Frame::Lost) => return "lost the store".to_owned(),
            Ok(Frame::Pulse) => {
                *followed = true;
                desk.set_reach(Reach::Replica).await;
                Ok(())
            }
            Ok(Frame::Whole { kind, list }) => take(desk, kind, &list, None).await,
            Ok(Frame::Part {
                kind,
                list,
                removed,
            }) => take(desk, kind, &list, Some(removed)).await,
            Err(Unread::Broken) => return BROKEN.to_owned(),
            Err(Unread::Silent) => return "silent".to_owned(),
        };
        if let Err(why) = taken {
            return why;
        }
    }
}

async fn connect(to: SocketAddr) -> Option<WebSocketStream<TcpStream>> {
    let stream = future::timeout(CONNECT, TcpStream::connect(to)).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let url = format!("ws://{to}/copy");
    let shaken = async_tungstenite::client_async(url, stream);
    let shaken = future::timeout(replica::GREETING, shaken).await;
    Some(shaken.ok()?.ok()?.0)
}

// Takes a whole list, or the objects that changed and the names of those gone.
async fn take(
    desk: &Rc<Desk>,
    place: u8,
    list: &str,
    removed: Option<Vec<String>>,
) -> Result<(), String> {
    let kind = Frame::kind(place).ok_or_else(|| format!("kind {place} is not known"))?;
    let page = store::parse_page(list.as_bytes()).map_err(|error| error.to_string())?;
    let news = match removed {
        None => desk.replace(kind, page.objects, page.revision),
        Some(removed) => {
            let gone = removed
                .iter()
                .map(|name| Change::Removed(name.as_str().into()));
            let put = page.objects.into_iter().map(Change::Put);
            desk.change(kind, gone.chain(put).collect(), page.revision)
        }
    };
    tell(desk, kind, &news).await;
    Ok(())
}
