//! The doors duty: serves readiness, the directory, metrics and explanations over
//! HTTP, on a port each (metrics and explanations share one).
//!
//! The directory tells callers which instances to use. Metrics and explanations serve only
//! operators, so their port may be in use by another process.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_h1::server::ConnectionStatus;
use async_h1::server::Server;
use async_std::future;
use async_std::task;
use corianderway_platform::directory;
use corianderway_wire::log_line::LogLine;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use log::Level;

use crate::acceptor::Acceptor;
use crate::descriptors::Descriptors;
use crate::descriptors::Share;
use crate::edge::callers::RequestIds;
use crate::edge::connection;
use crate::edge::decisions::SharedState;
use crate::edge::rings::Input;
use crate::edge::rings::Reply;
use crate::logs::Log;
use crate::metrics::Scrape;
use crate::slots::Slots;

/// The timeout for an answer of the decision duty.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// The timeout for the next request on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout from the first byte of a request to the end of its answer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// The interval at which the port for metrics is tried again while it is in use.
const METRICS_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The start of the ids of directory requests, far above those of callers'
/// requests.
const DIRECTORY_ID_START: u64 = 1 << 62;

/// What a port serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpPort {
    /// Whether the instance serves callers.
    Ready,
    /// Which instances a caller should use.
    Directory,
    /// Metrics and explanations.
    Metrics,
}

/// The state that all connections share.
#[derive(Debug)]
pub struct Context {
    decisions: Sender<Input>,
    shared: SharedState,
    scrape: Scrape,
    descriptors: Descriptors,
    // The slots of callers' requests.
    callers: Slots,
    ids: RequestIds,
    log: Log,
}

impl HttpPort {
    const fn share(self) -> Share {
        match self {
            Self::Ready => Share::Readiness,
            Self::Directory => Share::Directory,
            Self::Metrics => Share::Metrics,
        }
    }

    const fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Directory => "directory",
            Self::Metrics => "metrics",
        }
    }
}

impl Context {
    /// Creates the state.
    pub fn new(
        decisions: Sender<Input>,
        shared: SharedState,
        scrape: Scrape,
        descriptors: Descriptors,
        log: Log,
    ) -> Self {
        Self {
            callers: shared.caller_slots(descriptors),
            decisions,
            shared,
            scrape,
            descriptors,
            ids: RequestIds::after(DIRECTORY_ID_START),
            log,
        }
    }
}

/// Serves all ports, and metrics at `metrics` once that can be bound, until the process ends.
pub fn run(
    ports: Vec<(HttpPort, TcpListener)>,
    metrics: SocketAddr,
    make: impl FnOnce() -> Context,
) {
    task::block_on(async move {
        let ctx = Rc::new(make());
        let mut tasks = vec![task::spawn_local(serve_metrics(metrics, Rc::clone(&ctx)))];
        for (port, listener) in ports {
            tasks.push(task::spawn_local(serve(port, listener, Rc::clone(&ctx))));
        }
        for task in tasks {
            task.await;
        }
    });
}

// Binds the port for metrics once it is free, and serves it.
async fn serve_metrics(addr: SocketAddr, ctx: Rc<Context>) {
    let mut is_logged = false;
    let listener = loop {
        match TcpListener::bind(addr) {
            Ok(listener) => break listener,
            Err(error) => {
                if !std::mem::replace(&mut is_logged, true) {
                    let line = LogLine::new("metrics-taken").with("addr", addr);
                    ctx.log.put(Level::Warn, line.with("why", error));
                }
                task::sleep(METRICS_RETRY_INTERVAL).await;
            }
        }
    };
    let line = LogLine::new("metrics-open").with("addr", addr);
    ctx.log.put(Level::Info, line);
    serve(HttpPort::Metrics, listener, ctx).await;
}

async fn serve(port: HttpPort, listener: TcpListener, ctx: Rc<Context>) {
    let acceptor = Acceptor::new(listener, port.as_str(), ctx.log.clone());
    let slots = Slots::new(Arc::default(), ctx.descriptors.share(port.share()));
    loop {
        let (stream, _) = acceptor.accept().await;
        let Some(slot) = slots.take() else {
            acceptor.reject(slots.used());
            continue;
        };
        let ctx = Rc::clone(&ctx);
        task::spawn_local(async move {
            let answer = |request: Request| {
                let ctx = Rc::clone(&ctx);
                async move { Ok(respond(port, &request, &ctx).await) }
            };
            let mut server = Server::new(stream.clone(), answer);
            while connection::has_bytes(&stream, IDLE_TIMEOUT).await {
                let served = future::timeout(EXCHANGE_TIMEOUT, server.accept_one()).await;
                // A broken connection affects only its own caller.
                let Ok(Ok(ConnectionStatus::KeepAlive)) = served else {
                    break;
                };
            }
            drop(slot);
        });
    }
}

async fn respond(port: HttpPort, request: &Request, ctx: &Context) -> Response {
    let url = request.url();
    match (port, url.path()) {
        (HttpPort::Ready, directory::READY_PATH) => {
            // An instance that takes no connection is not ready, whatever it knows.
            let has_room = ctx.callers.used() < ctx.callers.max();
            if has_room && ctx.shared.ready.load(Ordering::Acquire) {
                text(StatusCode::Ok, "text/plain", "ready".to_owned())
            } else {
                text(
                    StatusCode::ServiceUnavailable,
                    "text/plain",
                    "not ready".to_owned(),
                )
            }
        }
        (HttpPort::Directory, directory::RESOLVE_PATH) => {
            let pairs: Vec<_> = url.query_pairs().collect();
            let place = directory::parse_location(pairs.iter().map(|(n, v)| (&**n, &**v)));
            resolve(ctx, place).await
        }
        (HttpPort::Metrics, "/metrics") => text(StatusCode::Ok, "text/plain", ctx.scrape.text()),
        (HttpPort::Metrics, "/explain") => {
            let mut pairs = url.query_pairs();
            let request = pairs.find(|(name, _)| name == "request");
            explain(
                ctx,
                request.map(|(_, id)| id.into_owned()).unwrap_or_default(),
            )
            .await
        }
        _ => Response::new(StatusCode::NotFound),
    }
}

// Answers which instances to use; the status is 503 if there are none.
async fn resolve(ctx: &Context, place: directory::Location) -> Response {
    let (sender, replies) = async_channel::bounded(1);
    let id = ctx.ids.next();
    let input = Input::Directory(id, place.region, place.domain, sender);
    let instances = async {
        ctx.decisions.send(input).await.ok()?;
        replies.recv().await.ok()
    };
    match future::timeout(ANSWER_TIMEOUT, instances)
        .await
        .ok()
        .flatten()
    {
        Some(Reply::Instances(entries, ttl)) if !entries.is_empty() => {
            let answer = directory::write_response(&entries, ttl);
            text(StatusCode::Ok, "application/json", answer)
        }
        _ => Response::new(StatusCode::ServiceUnavailable),
    }
}

// Answers with the recent log lines about a request.
async fn explain(ctx: &Context, trace: String) -> Response {
    let (sender, answers) = async_channel::bounded(1);
    let explanation = async {
        ctx.decisions
            .send(Input::Explain(trace, sender))
            .await
            .ok()?;
        answers.recv().await.ok()
    };
    match future::timeout(ANSWER_TIMEOUT, explanation)
        .await
        .ok()
        .flatten()
    {
        Some(answer) => text(StatusCode::Ok, "application/json", answer),
        None => Response::new(StatusCode::ServiceUnavailable),
    }
}

fn text(status: StatusCode, content_type: &str, body: String) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header("content-type", content_type);
    response
}
