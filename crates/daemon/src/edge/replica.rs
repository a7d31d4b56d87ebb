//! Serves this instance's copy of the store to instances that the store turns away.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_h1::server;
use async_h1::server::ServerOptions;
use async_std::net;
use async_std::task;
use corianderway_platform::store::Kind;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use crate::edge::store::Desk;

/// The status of an answer to one who knows as much already.
pub const UNCHANGED: u16 = 304;

/// The pause after an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves until the process ends.
pub async fn serve(listener: TcpListener, desk: Rc<Desk>) {
    let listener = net::TcpListener::from(listener);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let desk = Rc::clone(&desk);
        task::spawn_local(async move {
            let answer = |request: Request| {
                let response = respond(&request, &desk);
                async move { Ok(response) }
            };
            let options = ServerOptions::default();
            // A connection that breaks concerns its caller only.
            drop(server::accept_with_opts(stream, answer, options).await);
        });
    }
}

fn respond(request: &Request, desk: &Desk) -> Response {
    let url = request.url();
    let Some(kind) = Kind::of_path(url.path()) else {
        return Response::new(StatusCode::NotFound);
    };
    let copies = desk.copies.borrow();
    let copy = copies.of(kind);
    let (true, Some(revision)) = (desk.is_current(), copy.revision) else {
        return Response::new(StatusCode::ServiceUnavailable);
    };
    let mut pairs = url.query_pairs();
    let since = pairs.find(|(name, _)| name == "since");
    let since = since.and_then(|(_, value)| value.parse::<u64>().ok());
    if since.is_some_and(|since| since >= revision && since > 0) {
        return Response::new(StatusCode::NotModified);
    }
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(copy.text());
    response.insert_header("content-type", "application/json");
    response
}
