//! The admin duty: metrics, health, readiness, status and explanations.

use std::net::TcpListener;
use std::time::Duration;

use async_channel::Sender;
use async_h1::server;
use async_h1::server::ServerOptions;
use async_std::future;
use async_std::net;
use async_std::task;
use corianderway_control::Id;
use corianderway_control::Kind;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use crate::metrics::Scrape;
use crate::rings::Input;
use crate::rings::Question;

/// The longest wait for the decision duty.
const ANSWER: Duration = Duration::from_secs(2);

/// The pause after an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves until the process ends.
pub fn run(listener: TcpListener, scrape: Scrape, decisions: Sender<Input>) {
    task::block_on(async move {
        let listener = net::TcpListener::from(listener);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let (scrape, decisions) = (scrape.clone(), decisions.clone());
            task::spawn_local(async move {
                let options = ServerOptions::default();
                let serve = |request| respond(request, scrape.clone(), decisions.clone());
                // A connection that breaks concerns its caller only.
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
    let asked = |name: &str| {
        let mut pairs = url.query_pairs();
        pairs.find(|(n, _)| n == name).map(|(_, v)| v.into_owned())
    };
    let question = match url.path() {
        "/metrics" => return Ok(text(StatusCode::Ok, scrape.text())),
        "/health" => return Ok(text(StatusCode::Ok, "ok".to_owned())),
        "/ready" => Question::Ready,
        "/status" => Question::Status,
        "/explain" => Question::Explain(asked("request").unwrap_or_default()),
        "/in-force" => match object(asked("object"), asked("version")) {
            Some(question) => question,
            None => return Ok(Response::new(StatusCode::BadRequest)),
        },
        _ => return Ok(Response::new(StatusCode::NotFound)),
    };
    Ok(ask(question, &decisions).await)
}

// Reads an object such as `contracts/finder` and a version.
fn object(object: Option<String>, version: Option<String>) -> Option<Question> {
    let object = object?;
    let (collection, name) = object.split_once('/')?;
    let kind = Kind::from_collection(collection)?;
    let version = version?.parse().ok()?;
    Some(Question::InForce(Id::new(kind, name), version))
}

async fn ask(question: Question, decisions: &Sender<Input>) -> Response {
    let ready = question == Question::Ready;
    let (sender, answers) = async_channel::bounded(1);
    let answered = async {
        decisions.send(Input::Ask(question, sender)).await.ok()?;
        answers.recv().await.ok()
    };
    match future::timeout(ANSWER, answered).await.ok().flatten() {
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
