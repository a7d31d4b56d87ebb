//! Runs one request: gets a slot, reads the body, waits out the service time and answers.

use std::cell::Cell;
use std::time::Duration;

use async_std::net::TcpStream;
use futures_lite::FutureExt;
use http_types::Body;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;

use crate::backend::answer;
use crate::backend::duty::Answer;
use crate::backend::duty::Event;
use crate::backend::faults::AnswerFault;
use crate::backend::history::Outcome;
use crate::backend::history::Record;
use crate::backend::plan::Ending;
use crate::backend::plan::Plan;
use crate::backend::runner::Arrival;
use crate::backend::settings::Settings;
use crate::backend::stream;
use crate::duty::Ring;
use crate::serve;

/// The header in which a caller sends the region of the entry instance that it
/// uses. Entry instances forward it like any other header.
pub const REGION_HEADER: &str = "x-standin-from";

/// The header with the id of a request, which is sent back.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// The exit status of an injected crash.
const CRASH_STATUS: i32 = 101;

/// The deadline of a request without one.
const DEFAULT_DEADLINE: Duration = Duration::from_hours(1);

/// Headers that can contain a caller's key.
const KEY_HEADERS: [&str; 5] = [
    "authorization",
    "proxy-authorization",
    "x-api-key",
    "x-auth-token",
    "x-corianderway-key",
];

/// The state that all requests of the process share.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) settings: Settings,
    pub(crate) runner: Ring<Event, Answer>,
    pub(crate) next_id: Cell<u64>,
    pub(crate) secrets: Vec<String>,
}

enum Interrupt {
    Disconnected,
    Deadline,
}

impl Server {
    /// Runs one request, with the one-way delay of the link from the region in
    /// [`REGION_HEADER`] before and after it.
    pub(crate) async fn serve(
        &self,
        request: Request,
        stream: TcpStream,
    ) -> http_types::Result<Response> {
        let from = request.header(REGION_HEADER).map(|v| v.as_str());
        let mut links = self.settings.links.iter();
        let link = links.find(|l| Some(l.region.as_str()) == from);
        let delay = link.map_or(Duration::ZERO, |l| l.delay);
        serve::delay_link(delay).await;
        let id = header(&request, REQUEST_ID_HEADER);
        let response = self.execute(request, stream).await;
        serve::delay_link(delay).await;
        let mut response = response?;
        // Shows which request the response belongs to, so that the connection is kept.
        if let Some(id) = id {
            response.insert_header(REQUEST_ID_HEADER, id);
        }
        Ok(response)
    }

    async fn execute(
        &self,
        mut request: Request,
        stream: TcpStream,
    ) -> http_types::Result<Response> {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let limit = deadline(&request);
        let record = self.record(&request);
        let admission = self
            .runner
            .send(Event::Arrive(Arrival { id, record }))
            .await;
        let admitted = async { Ok(admission.recv().await) };
        let plan = match admitted.or(interrupt(&stream, limit)).await {
            Ok(Ok(Answer::Run(plan))) => plan,
            Ok(_) => return answer::shed(StatusCode::ServiceUnavailable, "shed"),
            Err(cause) => {
                self.finish(id, Outcome::Unread).await;
                return refuse_unrun(cause);
            }
        };
        let outcome = self.run(&mut request, &stream, plan, limit).await;
        match outcome {
            Ok(bytes) => self.finish_run(id, request, stream, plan, bytes).await,
            Err((outcome, response)) => {
                self.finish(id, outcome).await;
                response
            }
        }
    }

    async fn run(
        &self,
        request: &mut Request,
        stream: &TcpStream,
        plan: Plan,
        limit: Duration,
    ) -> Result<u64, (Outcome, http_types::Result<Response>)> {
        let bytes = if query_number(request, "echo").is_some() {
            0
        } else {
            receive(request)
                .await
                .map_err(|e| (Outcome::Unread, Err(e)))?
        };
        if plan.ending == Ending::Crash {
            std::process::exit(CRASH_STATUS);
        }
        let service_time =
            query_number(request, "work_ms").map_or(plan.service_time, Duration::from_millis);
        let work = async {
            async_std::task::sleep(service_time).await;
            Ok(())
        };
        let end = work.or(interrupt(stream, limit)).await;
        end.map_err(|cause| (Outcome::Cancelled, respond_cancelled(cause)))?;
        Ok(bytes)
    }

    async fn finish_run(
        &self,
        id: u64,
        mut request: Request,
        stream: TcpStream,
        plan: Plan,
        bytes: u64,
    ) -> http_types::Result<Response> {
        if plan.ending == Ending::Fail {
            self.finish(id, Outcome::Failed).await;
            let body = json!({ "error": "failed", "ran": true });
            return serve::json_response(StatusCode::InternalServerError, &body);
        }
        self.finish(id, Outcome::Done).await;
        if plan.cut != AnswerFault::No {
            let body = answer::describe(&self.settings, &request, bytes);
            return answer::cut(stream, plan, &body).await;
        }
        self.respond(&mut request, bytes)
    }

    fn respond(&self, request: &mut Request, bytes: u64) -> http_types::Result<Response> {
        let mut response = Response::new(StatusCode::Ok);
        if query_number(request, "echo").is_some() {
            response.set_body(request.take_body());
        } else if let Some(size) = query_number(request, "bytes") {
            response.set_body(stream::generated(size));
        } else {
            let body = answer::describe(&self.settings, request, bytes);
            response.set_body(Body::from_json(&body)?);
        }
        response.insert_header("x-server", self.settings.id.as_str());
        response.insert_header("x-version", self.settings.version.as_str());
        Ok(response)
    }

    async fn finish(&self, id: u64, outcome: Outcome) {
        self.runner.ask(Event::Finish(id, outcome)).await;
    }

    fn record(&self, request: &Request) -> Record {
        Record {
            method: request.method().to_string(),
            path: request.url().path().to_owned(),
            key: header(request, "idempotency-key"),
            request: header(request, REQUEST_ID_HEADER),
            keyed: self.carries_key(request),
            ..Record::default()
        }
    }

    fn carries_key(&self, request: &Request) -> bool {
        let contains_secret = |text: &str| self.secrets.iter().any(|s| text.contains(s.as_str()));
        let header = request.iter().any(|(name, values)| {
            KEY_HEADERS.contains(&name.as_str())
                || values.iter().any(|v| contains_secret(v.as_str()))
        });
        header || contains_secret(request.url().as_str())
    }
}

// Reads the body to its end; returns an error if it is shorter than its length.
async fn receive(request: &mut Request) -> http_types::Result<u64> {
    let expected = request.len();
    let mut body = request.take_body();
    let bytes = stream::count(&mut body).await?;
    match expected {
        Some(expected) if expected as u64 != bytes => Err(serve::error_response(
            StatusCode::BadRequest,
            "the body ended before its content-length",
        )),
        _ => Ok(bytes),
    }
}

async fn interrupt<T>(stream: &TcpStream, limit: Duration) -> Result<T, Interrupt> {
    let disconnected = async {
        stream::disconnected(stream).await;
        Err(Interrupt::Disconnected)
    };
    let deadline_passed = async {
        async_std::task::sleep(limit).await;
        Err(Interrupt::Deadline)
    };
    disconnected.or(deadline_passed).await
}

fn refuse_unrun(cause: Interrupt) -> http_types::Result<Response> {
    match cause {
        Interrupt::Deadline => answer::shed(StatusCode::GatewayTimeout, "deadline"),
        Interrupt::Disconnected => Err(serve::error_response(
            StatusCode::RequestTimeout,
            "the caller disconnected",
        )),
    }
}

fn respond_cancelled(cause: Interrupt) -> http_types::Result<Response> {
    match cause {
        Interrupt::Deadline => {
            let body = json!({ "error": "deadline", "ran": true });
            serve::json_response(StatusCode::GatewayTimeout, &body)
        }
        Interrupt::Disconnected => refuse_unrun(cause),
    }
}

fn deadline(request: &Request) -> Duration {
    let millis = header(request, "x-deadline-ms").and_then(|v| v.parse().ok());
    millis.map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

fn header(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|v| v.as_str().to_owned())
}

fn query_number(request: &Request, name: &str) -> Option<u64> {
    let mut pairs = request.url().query_pairs();
    let (_, value) = pairs.find(|(n, _)| n == name)?;
    value.parse().ok()
}
