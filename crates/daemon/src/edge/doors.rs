//! The doors duty: readiness, the directory, metrics and explanations.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Sender;
use async_h1::server;
use async_h1::server::ServerOptions;
use async_std::future;
use async_std::net;
use async_std::task;
use corianderway_platform::directory;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use crate::edge::callers::Numbers;
use crate::edge::decisions::Board;
use crate::edge::rings::Input;
use crate::edge::rings::Reply;
use crate::metrics::Scrape;

/// The longest wait for the decision duty.
const ANSWER: Duration = Duration::from_millis(800);

/// The pause after an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The numbers of the directory's requests begin here, far above those of
/// callers' requests.
const FIRST_NUMBER: u64 = 1 << 62;

/// What is behind a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door {
    /// Whether the instance serves callers.
    Ready,
    /// Which instance to use.
    Directory,
    /// Metrics and explanations.
    Admin,
}

/// What the tasks of the duty share.
#[derive(Debug)]
pub struct Desk {
    decisions: Sender<Input>,
    board: Board,
    scrape: Scrape,
    numbers: Numbers,
}

impl Desk {
    /// Makes the desk of one process.
    pub fn new(decisions: Sender<Input>, board: Board, scrape: Scrape) -> Self {
        Self {
            decisions,
            board,
            scrape,
            numbers: Numbers::after(FIRST_NUMBER),
        }
    }
}

/// Serves every door until the process ends.
pub fn run(doors: Vec<(Door, TcpListener)>, make: impl FnOnce() -> Desk) {
    task::block_on(async move {
        let desk = Rc::new(make());
        let mut open = Vec::new();
        for (door, listener) in doors {
            open.push(task::spawn_local(serve(door, listener, Rc::clone(&desk))));
        }
        for door in open {
            door.await;
        }
    });
}

async fn serve(door: Door, listener: TcpListener, desk: Rc<Desk>) {
    let listener = net::TcpListener::from(listener);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let desk = Rc::clone(&desk);
        task::spawn_local(async move {
            let answer = |request: Request| {
                let desk = Rc::clone(&desk);
                async move { Ok(respond(door, &request, &desk).await) }
            };
            let options = ServerOptions::default();
            // A connection that breaks concerns its caller only.
            drop(server::accept_with_opts(stream, answer, options).await);
        });
    }
}

async fn respond(door: Door, request: &Request, desk: &Desk) -> Response {
    let url = request.url();
    match (door, url.path()) {
        (Door::Ready, directory::READY_PATH) => {
            if desk.board.ready.load(Ordering::Acquire) {
                text(StatusCode::Ok, "text/plain", "ready".to_owned())
            } else {
                text(
                    StatusCode::ServiceUnavailable,
                    "text/plain",
                    "not ready".to_owned(),
                )
            }
        }
        (Door::Directory, directory::RESOLVE_PATH) => {
            let pairs: Vec<_> = url.query_pairs().collect();
            let place = directory::parse_location(pairs.iter().map(|(n, v)| (&**n, &**v)));
            direct(desk, place).await
        }
        (Door::Admin, "/metrics") => text(StatusCode::Ok, "text/plain", desk.scrape.text()),
        (Door::Admin, "/explain") => {
            let mut pairs = url.query_pairs();
            let request = pairs.find(|(name, _)| name == "request");
            explain(
                desk,
                request.map(|(_, id)| id.into_owned()).unwrap_or_default(),
            )
            .await
        }
        _ => Response::new(StatusCode::NotFound),
    }
}

async fn direct(desk: &Desk, place: directory::Location) -> Response {
    let (sender, replies) = async_channel::bounded(1);
    let id = desk.numbers.next();
    let input = Input::Directory(id, place.region, place.domain, sender);
    let asked = async {
        desk.decisions.send(input).await.ok()?;
        replies.recv().await.ok()
    };
    match future::timeout(ANSWER, asked).await.ok().flatten() {
        Some(Reply::Direct(entries, ttl)) if !entries.is_empty() => {
            let answer = directory::write_response(&entries, ttl);
            text(StatusCode::Ok, "application/json", answer)
        }
        _ => Response::new(StatusCode::ServiceUnavailable),
    }
}

async fn explain(desk: &Desk, trace: String) -> Response {
    let (sender, answers) = async_channel::bounded(1);
    let asked = async {
        desk.decisions
            .send(Input::Explain(trace, sender))
            .await
            .ok()?;
        answers.recv().await.ok()
    };
    match future::timeout(ANSWER, asked).await.ok().flatten() {
        Some(answer) => text(StatusCode::Ok, "application/json", answer),
        None => Response::new(StatusCode::ServiceUnavailable),
    }
}

fn text(status: StatusCode, kind: &str, body: String) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header("content-type", kind);
    response
}
