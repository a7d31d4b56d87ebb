//! One call of a caller: its query, its verdicts and its attempts.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use corianderway_control::BodyHash;
use corianderway_model::Time;
use corianderway_node::AttemptOutcome;
use corianderway_node::Event;
use corianderway_node::Reason;
use corianderway_node::Refusal;
use corianderway_node::RequestHead;
use corianderway_node::RequestId;
use corianderway_wire::credential;
use corianderway_wire::credential::Credential;
use corianderway_wire::replay;
use corianderway_wire::replay::ReplayHead;
use corianderway_wire::response;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;
use xxhash_rust::xxh3::Xxh3;

use crate::body::Payload;
use crate::callers::Desk;
use crate::exchange::Failure;
use crate::exchange::Job;
use crate::rings;
use crate::rings::Input;
use crate::rings::Verdict;
use crate::tee::Kept;

/// Where callers ask which entry instance to use.
const DIRECTORY_PATH: &str = "/.well-known/corianderway/entries";

/// The longest request id that is taken from a caller, in bytes.
const TRACE_BYTES: usize = 64;

/// The longest idempotency key, in bytes.
const TOKEN_BYTES: usize = 256;

/// One call, from its head to the end of its answer.
#[derive(Debug)]
pub struct Call {
    id: RequestId,
    trace: Arc<str>,
    head: Request,
    payload: Payload,
    client: SocketAddr,
    credential: Credential,
    kept: Option<(Kept, Option<ReplayHead>)>,
    stage: Stage,
    // Whether the answer is wanted even if the caller leaves.
    lasting: Rc<Cell<bool>>,
}

/// The two moments that bound an attempt.
#[derive(Clone, Copy, Debug)]
struct Times {
    start_by: Time,
    deadline: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Fresh,
    Open,
    Finished,
}

impl Call {
    /// Takes the key out of a request and numbers the call.
    pub fn new(mut head: Request, client: SocketAddr, payload: Payload, desk: &Desk) -> Self {
        let id = desk.next_id();
        let credential = credential::extract(&mut head);
        let trace = trace(&head, id, &desk.prefix);
        head.insert_header(response::REQUEST_ID, &*trace);
        Self {
            id,
            trace,
            head,
            payload,
            client,
            credential,
            kept: None,
            stage: Stage::Fresh,
            lasting: Rc::default(),
        }
    }

    /// Carries the call to the head of its answer or to a refusal.
    pub async fn run(&mut self, desk: &Desk) -> Response {
        if self.head.url().path() == DIRECTORY_PATH {
            return self.direct(desk).await;
        }
        let refusal = match self.query() {
            Ok(query) => match self.converse(desk, query).await {
                Ok(response) => return response,
                Err(refusal) => refusal,
            },
            Err(refusal) => refusal,
        };
        response::refusal(&refusal, &self.trace)
    }

    /// Whether the answer is wanted even if the caller leaves.
    pub fn lasting(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.lasting)
    }

    /// Begins to keep a copy of the answer, if one is wanted.
    pub fn keep(&mut self, response: &Response) -> Option<Kept> {
        let (kept, head) = self.kept.as_mut()?;
        *head = Some(ReplayHead::from_response(response));
        Some(kept.clone())
    }

    /// Reports the end of the call, once.
    pub async fn finish(&mut self, desk: &Desk, whole: bool) {
        if std::mem::replace(&mut self.stage, Stage::Finished) != Stage::Open {
            return;
        }
        desk.open.fetch_sub(1, Ordering::AcqRel);
        let answer = self.kept.take().filter(|_| whole);
        let answer = answer.and_then(|(kept, head)| Some(head?.with_body(&kept.bytes())));
        let answer = answer.map(Arc::new);
        let id = self.id;
        report(desk, Event::RequestEnded { id, whole, answer }).await;
    }

    async fn converse(&mut self, desk: &Desk, query: RequestHead) -> Result<Response, Refusal> {
        let (verdict, verdicts) = async_channel::bounded(rings::VERDICTS);
        let overloaded = Refusal::not_run(Reason::Overloaded).retry_after(Duration::from_secs(1));
        self.stage = Stage::Open;
        desk.open.fetch_add(1, Ordering::AcqRel);
        let input = Input::Request(query, verdict);
        if desk.rings.decisions.try_send(input).is_err() {
            desk.open.fetch_sub(1, Ordering::AcqRel);
            self.stage = Stage::Finished;
            return Err(overloaded);
        }
        let mut sent = false;
        loop {
            let verdict = verdicts.recv().await;
            // The decision duty ends last, so its silence is a fault of its own.
            let verdict = verdict.map_err(|_closed| lost(sent))?;
            match verdict {
                Verdict::Refuse(refusal) => return Err(refusal),
                Verdict::Replay(answer) => return Ok(replay::restore(&answer)),
                Verdict::Direct(entries, ttl) => return Ok(directory(&entries, ttl)),
                Verdict::Forward {
                    server,
                    start_by,
                    deadline,
                    fresh,
                    keep,
                } => {
                    if keep {
                        self.lasting.set(true);
                        self.kept = Some((Kept::default(), None));
                    }
                    let times = Times { start_by, deadline };
                    let attempt = self.attempt(desk, server.addr, times, fresh).await;
                    sent = true;
                    if let Some(response) = attempt {
                        return Ok(response);
                    }
                }
            }
        }
    }

    // Sends the request to one backend server and reports how it ended.
    async fn attempt(
        &mut self,
        desk: &Desk,
        addr: SocketAddr,
        times: Times,
        fresh: bool,
    ) -> Option<Response> {
        let (reply, replies) = async_channel::bounded(1);
        let started = desk.clock.now();
        let payload = std::mem::replace(&mut self.payload, Payload::Spent);
        let job = Job {
            addr,
            head: self.head.clone(),
            payload,
            start_by: times.start_by,
            deadline: times.deadline,
            fresh,
            reply,
        };
        let result = self.submit(desk, job, replies).await;
        let (outcome, response) = match result {
            Ok(mut response) => {
                let status = response.status().into();
                let took = desk.clock.now().since(started);
                response.insert_header(response::REQUEST_ID, &*self.trace);
                (AttemptOutcome::Answered { status, took }, Some(response))
            }
            Err(outcome) => (outcome, None),
        };
        let id = self.id;
        report(desk, Event::AttemptEnded { id, outcome }).await;
        response
    }

    async fn submit(
        &mut self,
        desk: &Desk,
        job: Job,
        replies: Receiver<Result<Response, Failure>>,
    ) -> Result<Response, AttemptOutcome> {
        if let Err(full) = desk.rings.jobs.try_send(job) {
            self.payload = full.into_inner().payload;
            return Err(AttemptOutcome::NotSent);
        }
        match replies.recv().await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(failure)) => {
                self.payload = failure.payload;
                // A body that was spent can't be sent to another server.
                match (failure.outcome, &self.payload) {
                    (AttemptOutcome::Shed, Payload::Spent) => Err(AttemptOutcome::Broken),
                    (outcome, _) => Err(outcome),
                }
            }
            Err(_closed) => Err(AttemptOutcome::Broken),
        }
    }

    async fn direct(&mut self, desk: &Desk) -> Response {
        let (verdict, verdicts) = async_channel::bounded(1);
        let input = Input::Directory(self.id, self.client, verdict);
        if desk.rings.decisions.try_send(input).is_ok() {
            if let Ok(Verdict::Direct(entries, ttl)) = verdicts.recv().await {
                return directory(&entries, ttl);
            }
        }
        response::refusal(&Refusal::not_run(Reason::Overloaded), &self.trace)
    }

    fn query(&self) -> Result<RequestHead, Refusal> {
        let key = match &self.credential {
            Credential::Absent => None,
            Credential::Key(key) if credential::path_contains(&self.head, key.expose()) => {
                return Err(Refusal::not_run(Reason::KeyRefused));
            }
            Credential::Key(key) => Some(key.clone()),
            Credential::Ambiguous => return Err(Refusal::not_run(Reason::KeyRefused)),
        };
        let url = self.head.url();
        Ok(RequestHead {
            id: self.id,
            request_id: Arc::clone(&self.trace),
            host: url
                .host_str()
                .unwrap_or_default()
                .to_ascii_lowercase()
                .into(),
            method: self.head.method().to_string().into(),
            path: url.path().into(),
            key,
            idempotency_key: self.token(),
            digest: self.digest(),
            request_hash: self.body_hash(),
            client: self.client.ip(),
            timeout: self.patience(),
        })
    }

    fn token(&self) -> Option<Arc<str>> {
        let token = self.head.header(response::IDEMPOTENCY_KEY)?.as_str();
        let fits = (1..=TOKEN_BYTES).contains(&token.len());
        fits.then(|| token.into())
    }

    fn patience(&self) -> Option<Duration> {
        let text = self.head.header(response::DEADLINE)?.as_str();
        text.parse().ok().map(Duration::from_millis)
    }

    fn body_hash(&self) -> BodyHash {
        let url = self.head.url();
        let target = [url.path(), "?", url.query().unwrap_or("")].concat();
        let length;
        let body: &[u8] = match &self.payload {
            Payload::Whole(bytes) => bytes,
            Payload::Stream(_, size) => {
                length = size.unwrap_or(0).to_be_bytes();
                &length
            }
            Payload::Spent => &[],
        };
        let method = self.head.method();
        BodyHash::new([method.as_ref().as_bytes(), target.as_bytes(), body])
    }

    // Two requests with one digest ask the same; a streamed body counts by its length.
    fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        let url = self.head.url();
        for part in [
            self.head.method().as_ref(),
            url.path(),
            url.query().unwrap_or(""),
        ] {
            hash.update(part.as_bytes());
            hash.update(&[0]);
        }
        match &self.payload {
            Payload::Whole(bytes) => hash.update(bytes),
            Payload::Stream(_, length) => hash.update(&length.unwrap_or(0).to_be_bytes()),
            Payload::Spent => (),
        }
        hash.digest()
    }
}

async fn report(desk: &Desk, event: Event) {
    // The decision duty ends last; when it is gone, so is the process.
    drop(desk.rings.decisions.send(Input::Event(event)).await);
}

fn lost(sent: bool) -> Refusal {
    if sent {
        Refusal::may_have_run(Reason::Stopping)
    } else {
        Refusal::not_run(Reason::Stopping)
    }
}

fn trace(head: &Request, id: RequestId, prefix: &str) -> Arc<str> {
    let given = head
        .header(response::REQUEST_ID)
        .map(|values| values.as_str());
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    match given {
        Some(text) if (1..=TRACE_BYTES).contains(&text.len()) && text.bytes().all(plain) => {
            text.into()
        }
        Some(_) | None => format!("{prefix}-{}", id.0).into(),
    }
}

fn directory(entries: &[SocketAddr], ttl: Duration) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header("content-type", "application/json");
    let body = json!({ "entries": entries, "ttl_ms": ttl.as_millis() as u64 });
    response.set_body(body.to_string());
    response
}
