//! The HTTP front end of the platform stand-in.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;

use crate::duty::Ring;
use crate::platform::duty;
use crate::platform::duty::Answer;
use crate::platform::objects::Object;
use crate::platform::operation::Condition;
use crate::platform::operation::Control;
use crate::platform::operation::Operation;
use crate::platform::operation::Reply;
use crate::platform::operation::Watch;
use crate::serve;
use crate::serve::ListenAddress;

/// Runs the platform stand-in until the process ends.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn run(doors: Vec<ListenAddress>) -> io::Result<()> {
    let store = duty::start();
    serve::run(doors, move |request, _stream| {
        handle(store.clone(), request)
    })
    .await
}

async fn handle(
    store: Ring<Operation, Answer>,
    mut request: Request,
) -> http_types::Result<Response> {
    let operation = match decode(&mut request).await {
        Ok(operation) => operation,
        Err(error) => {
            let message = error.to_string();
            return serve::json_response(error.status(), &json!({ "error": message }));
        }
    };
    let Some((reply, delay)) = store.ask(operation).await else {
        return Err(serve::error_response(
            StatusCode::ServiceUnavailable,
            "the store has stopped",
        ));
    };
    if !delay.is_zero() {
        async_std::task::sleep(delay).await;
    }
    encode(reply)
}

async fn decode(request: &mut Request) -> http_types::Result<Operation> {
    let path = request.url().path().to_owned();
    let parts = path.trim_matches('/').split('/').collect::<Vec<_>>();
    let condition = condition(request)?;
    match (request.method(), parts.as_slice()) {
        (Method::Get, ["objects", kind, name]) => {
            Ok(Operation::Get((*kind).into(), (*name).into()))
        }
        (Method::Put, ["objects", kind, name]) => {
            let value = serve::read_json(request).await?;
            let (kind, name) = ((*kind).into(), (*name).into());
            Ok(Operation::Put(kind, name, condition, Arc::new(value)))
        }
        (Method::Delete, ["objects", kind, name]) => {
            let (kind, name) = ((*kind).into(), (*name).into());
            Ok(Operation::Delete(kind, name, condition))
        }
        (Method::Get, ["objects", kind]) => Ok(Operation::List((*kind).into())),
        (Method::Get, ["watch"]) => watch(request).map(Operation::Watch),
        (Method::Get, ["instances"]) => Ok(Operation::Instances),
        (method, ["standin", rest @ ..]) => {
            let control = control(method, rest, request).await?;
            Ok(Operation::Control(control))
        }
        _ => Err(serve::error_response(StatusCode::NotFound, "no such path")),
    }
}

async fn control(
    method: Method,
    path: &[&str],
    request: &mut Request,
) -> http_types::Result<Control> {
    Ok(match (method, path) {
        (Method::Put, ["entries", _]) => Control::PutEntry(serve::read_json(request).await?),
        (Method::Put, ["backends", _]) => Control::PutBackend(serve::read_json(request).await?),
        (Method::Delete, ["entries", id]) => Control::DropEntry((*id).into()),
        (Method::Delete, ["backends", id]) => Control::DropBackend((*id).into()),
        (Method::Put, ["faults"]) => Control::SetFaults(serve::read_json(request).await?),
        (Method::Get, ["calls"]) => Control::Calls,
        (Method::Get, ["dump"]) => Control::Dump,
        _ => {
            return Err(serve::error_response(
                StatusCode::NotFound,
                "unknown control path",
            ))
        }
    })
}

fn condition(request: &Request) -> http_types::Result<Option<Condition>> {
    if let Some(value) = request.header("if-match") {
        let digits = value.as_str().trim().trim_matches('"');
        let invalid =
            |_| serve::error_response(StatusCode::BadRequest, "If-Match needs a quoted version");
        return Ok(Some(Condition::Version(digits.parse().map_err(invalid)?)));
    }
    let if_none_match = request.header("if-none-match");
    Ok(if_none_match.and_then(|v| (v.as_str().trim() == "*").then_some(Condition::Absent)))
}

fn watch(request: &Request) -> http_types::Result<Watch> {
    let mut watch = Watch {
        kinds: Vec::new(),
        since: 0,
        wait: Duration::ZERO,
    };
    for (name, value) in request.url().query_pairs() {
        let number = || {
            let invalid = |_| serve::error_response(StatusCode::BadRequest, "not a whole number");
            value.parse::<u64>().map_err(invalid)
        };
        match &*name {
            "kinds" => watch.kinds = value.split(',').map(Arc::from).collect(),
            "since" => watch.since = number()?,
            "wait_ms" => watch.wait = Duration::from_millis(number()?),
            _ => {
                return Err(serve::error_response(
                    StatusCode::BadRequest,
                    "unknown parameter",
                ))
            }
        }
    }
    Ok(watch)
}

fn encode(reply: Reply) -> http_types::Result<Response> {
    match reply {
        Reply::Object(object) => with_etag(&object),
        Reply::Missing => serve::json_response(StatusCode::NotFound, &json!(null)),
        Reply::Written(version) => {
            serve::json_response(StatusCode::Ok, &json!({ "version": version }))
        }
        Reply::Conflict(object) => serve::json_response(StatusCode::PreconditionFailed, &object),
        Reply::Unconditional => {
            let message = json!({ "error": "a write needs If-Match or If-None-Match" });
            serve::json_response(StatusCode::PreconditionRequired, &message)
        }
        Reply::Objects(revision, objects) => {
            let body = json!({ "revision": revision, "objects": objects });
            serve::json_response(StatusCode::Ok, &body)
        }
        Reply::Gone => {
            let message = json!({ "error": "no history from this revision; list the objects and watch from the list's revision" });
            serve::json_response(StatusCode::Gone, &message)
        }
        Reply::Instances(list) => serve::json_response(StatusCode::Ok, &list),
        Reply::Calls(calls) => serve::json_response(StatusCode::Ok, &calls),
        Reply::Done => serve::json_response(StatusCode::Ok, &json!({})),
    }
}

fn with_etag(object: &Object) -> http_types::Result<Response> {
    let mut response = serve::json_response(StatusCode::Ok, object)?;
    response.insert_header("etag", format!("\"{}\"", object.version));
    Ok(response)
}
