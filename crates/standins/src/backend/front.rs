//! The HTTP front end of a backend server stand-in.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use async_std::net::TcpStream;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;

use crate::backend::duty;
use crate::backend::duty::Answer;
use crate::backend::duty::Event;
use crate::backend::runner::Runner;
use crate::backend::runner::State;
use crate::backend::settings::Settings;
use crate::backend::work::Server;
use crate::duty::Ring;
use crate::serve;
use crate::serve::ListenAddress;

/// Runs a backend server stand-in until the process ends.
///
/// A request that contains one of `secrets` in its URL or a header is recorded
/// as one that carries a caller's key.
///
/// # Errors
///
/// Returns an error if the address can't be bound or the history file can't be
/// opened.
pub async fn run(settings: Settings, secrets: Vec<String>) -> io::Result<()> {
    let doors = vec![ListenAddress::main(settings.listen)];
    let runner = Runner::new(duty::wall_clock(), settings.clone())?;
    let (ring, calls) = Ring::open();
    crate::duty::spawn("runner", move || duty::run(runner, calls));
    let server = Rc::new(Server {
        settings,
        runner: ring,
        next_id: Cell::new(1),
        secrets,
    });
    serve::run(doors, move |request, stream| {
        handle(server.clone(), request, stream)
    })
    .await
}

async fn handle(
    server: Rc<Server>,
    mut request: Request,
    stream: TcpStream,
) -> http_types::Result<Response> {
    let event = match decode(&mut request).await {
        Ok(Some(event)) => event,
        Ok(None) => return server.serve(request, stream).await,
        Err(error) => {
            let message = error.to_string();
            return serve::json_response(error.status(), &json!({ "error": message }));
        }
    };
    match server.runner.ask(event).await {
        Some(answer) => encode(answer),
        None => wait_for_disconnect(&stream).await,
    }
}

async fn decode(request: &mut Request) -> http_types::Result<Option<Event>> {
    let path = request.url().path().to_owned();
    Ok(Some(match (request.method(), path.as_str()) {
        (Method::Get, "/health") => Event::Health,
        (Method::Get, "/load") => Event::Load,
        (Method::Get, "/standin/history") => Event::History,
        (Method::Put, "/standin/faults") => Event::SetFaults(serve::read_json(request).await?),
        (Method::Put, "/standin/drain") => Event::Drain(true),
        (Method::Delete, "/standin/drain") => Event::Drain(false),
        (_, other) if other.starts_with("/standin/") => {
            return Err(serve::error_response(
                StatusCode::NotFound,
                "unknown control path",
            ));
        }
        _ => return Ok(None),
    }))
}

fn encode(answer: Answer) -> http_types::Result<Response> {
    match answer {
        Answer::Health(state) => {
            let status = match state {
                State::Cold | State::Live => StatusCode::Ok,
                State::Draining => StatusCode::ServiceUnavailable,
            };
            serve::json_response(status, &json!({ "state": state }))
        }
        Answer::Load(load) => serve::json_response(StatusCode::Ok, &load),
        Answer::History(records) => serve::json_response(StatusCode::Ok, &records),
        Answer::Run(_) | Answer::Shed | Answer::Done => {
            serve::json_response(StatusCode::Ok, &json!({}))
        }
    }
}

// Sends no answer and waits until the caller has disconnected.
async fn wait_for_disconnect(stream: &TcpStream) -> http_types::Result<Response> {
    crate::backend::stream::disconnected(stream).await;
    Err(serve::error_response(
        StatusCode::RequestTimeout,
        "the caller disconnected",
    ))
}
