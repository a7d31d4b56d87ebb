//! Running one request: the slot, the body, the service time and the answer.

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
use crate::backend::faults::Cut;
use crate::backend::history::Outcome;
use crate::backend::history::Record;
use crate::backend::plan::Fate;
use crate::backend::plan::Plan;
use crate::backend::runner::Arrival;
use crate::backend::settings::Settings;
use crate::backend::stream;
use crate::duty::Ring;
use crate::serve;

/// The header in which a caller names the region of the entry instance that it
/// uses; the system passes it on as any other.
pub const FROM: &str = "x-standin-from";

/// The exit status of a crash.
const CRASH_STATUS: i32 = 101;

/// The wait for a request that names no deadline.
const NO_DEADLINE: Duration = Duration::from_hours(1);

/// Headers that can carry a caller's key.
const KEY_HEADERS: [&str; 5] = [
    "authorization",
    "proxy-authorization",
    "x-api-key",
    "x-auth-token",
    "x-corianderway-key",
];

/// What the requests of one process share.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) settings: Settings,
    pub(crate) runner: Ring<Event, Answer>,
    pub(crate) next: Cell<u64>,
    pub(crate) secrets: Vec<String>,
}

enum Interrupt {
    Gone,
    Deadline,
}

impl Server {
    /// Runs one request that comes over a link from the region that it names.
    pub(crate) async fn serve(
        &self,
        request: Request,
        stream: TcpStream,
    ) -> http_types::Result<Response> {
        let from = request.header(FROM).map(|v| v.as_str());
        let mut links = self.settings.links.iter();
        let link = links.find(|l| Some(l.region.as_str()) == from);
        let delay = link.map_or(Duration::ZERO, |l| l.delay);
        serve::pass(delay).await;
        let response = self.execute(request, stream).await;
        serve::pass(delay).await;
        response
    }

    async fn execute(
        &self,
        mut request: Request,
        stream: TcpStream,
    ) -> http_types::Result<Response> {
        let id = self.next.replace(self.next.get() + 1);
        let limit = deadline(&request);
        let record = self.record(&request);
        let admission = self
            .runner
            .send(Event::Arrive(Arrival { id, record }))
            .await;
        let granted = async { Ok(admission.recv().await) };
        let plan = match granted.or(interrupt(&stream, limit)).await {
            Ok(Ok(Answer::Run(plan))) => plan,
            Ok(_) => return answer::shed(StatusCode::ServiceUnavailable, "shed"),
            Err(cause) => {
                self.finish(id, Outcome::Unread).await;
                return refuse(cause);
            }
        };
        let outcome = self.run(&mut request, &stream, plan, limit).await;
        match outcome {
            Ok(bytes) => self.conclude(id, request, stream, plan, bytes).await,
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
        let bytes = if flag(request, "echo").is_some() {
            0
        } else {
            receive(request)
                .await
                .map_err(|e| (Outcome::Unread, Err(e)))?
        };
        if plan.fate == Fate::Crash {
            std::process::exit(CRASH_STATUS);
        }
        let span = flag(request, "work_ms").map_or(plan.span, Duration::from_millis);
        let work = async {
            async_std::task::sleep(span).await;
            Ok(())
        };
        let end = work.or(interrupt(stream, limit)).await;
        end.map_err(|cause| (Outcome::Cancelled, interrupted(cause)))?;
        Ok(bytes)
    }

    async fn conclude(
        &self,
        id: u64,
        mut request: Request,
        stream: TcpStream,
        plan: Plan,
        bytes: u64,
    ) -> http_types::Result<Response> {
        if plan.fate == Fate::Fail {
            self.finish(id, Outcome::Failed).await;
            let body = json!({ "error": "failed", "ran": true });
            return serve::answer(StatusCode::InternalServerError, &body);
        }
        self.finish(id, Outcome::Done).await;
        if plan.cut != Cut::No {
            let body = answer::describe(&self.settings, &request, bytes);
            return answer::cut(stream, plan, &body).await;
        }
        self.respond(&mut request, bytes)
    }

    fn respond(&self, request: &mut Request, bytes: u64) -> http_types::Result<Response> {
        let mut response = Response::new(StatusCode::Ok);
        if flag(request, "echo").is_some() {
            response.set_body(request.take_body());
        } else if let Some(size) = flag(request, "bytes") {
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
            request: header(request, "x-request-id"),
            keyed: self.keyed(request),
            ..Record::default()
        }
    }

    fn keyed(&self, request: &Request) -> bool {
        let holds = |text: &str| self.secrets.iter().any(|s| text.contains(s.as_str()));
        let header = request.iter().any(|(name, values)| {
            KEY_HEADERS.contains(&name.as_str()) || values.iter().any(|v| holds(v.as_str()))
        });
        header || holds(request.url().as_str())
    }
}

// Reads the whole body; fails when it ends early.
async fn receive(request: &mut Request) -> http_types::Result<u64> {
    let expected = request.len();
    let mut body = request.take_body();
    let bytes = stream::count(&mut body).await?;
    match expected {
        Some(expected) if expected as u64 != bytes => Err(serve::refused(
            StatusCode::BadRequest,
            "send the whole body",
        )),
        _ => Ok(bytes),
    }
}

async fn interrupt<T>(stream: &TcpStream, limit: Duration) -> Result<T, Interrupt> {
    let gone = async {
        stream::gone(stream).await;
        Err(Interrupt::Gone)
    };
    let late = async {
        async_std::task::sleep(limit).await;
        Err(Interrupt::Deadline)
    };
    gone.or(late).await
}

fn refuse(cause: Interrupt) -> http_types::Result<Response> {
    match cause {
        Interrupt::Deadline => answer::shed(StatusCode::GatewayTimeout, "deadline"),
        Interrupt::Gone => Err(serve::refused(
            StatusCode::RequestTimeout,
            "the caller left",
        )),
    }
}

fn interrupted(cause: Interrupt) -> http_types::Result<Response> {
    match cause {
        Interrupt::Deadline => {
            let body = json!({ "error": "deadline", "ran": true });
            serve::answer(StatusCode::GatewayTimeout, &body)
        }
        Interrupt::Gone => refuse(cause),
    }
}

fn deadline(request: &Request) -> Duration {
    let millis = header(request, "x-deadline-ms").and_then(|v| v.parse().ok());
    millis.map_or(NO_DEADLINE, Duration::from_millis)
}

fn header(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|v| v.as_str().to_owned())
}

fn flag(request: &Request, name: &str) -> Option<u64> {
    let mut pairs = request.url().query_pairs();
    let (_, value) = pairs.find(|(n, _)| n == name)?;
    value.parse().ok()
}
