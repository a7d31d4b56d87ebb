//! The admin duty: serves metrics, health, readiness, status and explanations over HTTP.

use std::net::TcpListener;
use std::time::Duration;

use async_channel::Sender;
use async_h1::server;
use async_h1::server::ServerOptions;
use async_std::future;
use async_std::task;
use corianderway_control::Id;
use corianderway_control::Kind;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use crate::acceptor::Acceptor;
use crate::logs::Log;
use crate::metrics::Scrape;
use crate::rings::AdminQuery;
use crate::rings::Input;

/// The timeout for an answer of the decision duty.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves connections until the process ends.
pub fn run(listener: TcpListener, scrape: Scrape, decisions: Sender<Input>, log: Log) {
    task::block_on(async move {
        let acceptor = Acceptor::new(listener, "metrics", log);
        loop {
            let (stream, _) = acceptor.accept().await;
            let (scrape, decisions) = (scrape.clone(), decisions.clone());
            task::spawn_local(async move {
                let options = ServerOptions::default();
                let serve = |request| respond(request, scrape.clone(), decisions.clone());
                // A broken connection affects only its own client.
                drop(server::accept_with_opts(stream, serve, options).await);
            });
        }
    });
}

async fn respond(
    request: Request,
    scrape: Scrape,
    decisions: Sender<Input>,
) -> http_types::Result<Response> {
    let url = request.url();
    let param = |name: &str| {
        let mut pairs = url.query_pairs();
        pairs.find(|(n, _)| n == name).map(|(_, v)| v.into_owned())
    };
    let query = match url.path() {
        "/metrics" => return Ok(text(StatusCode::Ok, scrape.text())),
        "/health" => return Ok(text(StatusCode::Ok, "ok".to_owned())),
        "/ready" => AdminQuery::Ready,
        "/status" => AdminQuery::Status,
        "/explain" => AdminQuery::Explain(param("request").unwrap_or_default()),
        "/in-force" => match in_force_query(param("object"), param("version")) {
            Some(query) => query,
            None => return Ok(Response::new(StatusCode::BadRequest)),
        },
        _ => return Ok(Response::new(StatusCode::NotFound)),
    };
    Ok(answer_query(query, &decisions).await)
}

// Parses an object such as `contracts/finder` and a version.
fn in_force_query(object: Option<String>, version: Option<String>) -> Option<AdminQuery> {
    let object = object?;
    let (collection, name) = object.split_once('/')?;
    let kind = Kind::from_collection(collection)?;
    let version = version?.parse().ok()?;
    Some(AdminQuery::InForce(Id::new(kind, name), version))
}

async fn answer_query(query: AdminQuery, decisions: &Sender<Input>) -> Response {
    let ready = query == AdminQuery::Ready;
    let (sender, answers) = async_channel::bounded(1);
    let answered = async {
        decisions.send(Input::Query(query, sender)).await.ok()?;
        answers.recv().await.ok()
    };
    match future::timeout(ANSWER_TIMEOUT, answered)
        .await
        .ok()
        .flatten()
    {
        Some(answer) if ready && answer != "ready" => text(StatusCode::ServiceUnavailable, answer),
        Some(answer) if ready => text(StatusCode::Ok, answer),
        Some(answer) => {
            let mut response = text(StatusCode::Ok, answer);
            response.insert_header("content-type", "application/json");
            response
        }
        None => text(StatusCode::ServiceUnavailable, "busy".to_owned()),
    }
}

fn text(status: StatusCode, body: String) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header("content-type", "text/plain");
    response
}
