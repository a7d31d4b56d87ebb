//! One call of a caller: its request head, its verdicts and its attempts.

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
use crate::callers::CallerContext;
use crate::exchange::Failure;
use crate::exchange::Job;
use crate::rings;
use crate::rings::Input;
use crate::rings::Verdict;
use crate::tee::BodyCopy;

/// The path at which callers read the list of entry instances.
const DIRECTORY_PATH: &str = "/.well-known/corianderway/entries";

/// The maximum length of a request id that is accepted from a caller.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// The maximum length of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// One call, from its head to the end of its response.
///
/// A call that was passed to the decision duty ends with one report to it.
#[derive(Debug)]
pub struct Call {
    id: RequestId,
    request_id: Arc<str>,
    head: Request,
    payload: Payload,
    client: SocketAddr,
    credential: Credential,
    copy: Option<(BodyCopy, Option<ReplayHead>)>,
    stage: Stage,
    // Whether the response is read to its end even if the caller disconnects.
    detached: Rc<Cell<bool>>,
}

/// The time limits of an attempt.
#[derive(Clone, Copy, Debug)]
struct AttemptTimes {
    start_by: Time,
    deadline: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Created,
    Open,
    Finished,
}

impl Call {
    /// Extracts the credential from a request and assigns the call an id.
    pub fn new(
        mut head: Request,
        client: SocketAddr,
        payload: Payload,
        ctx: &CallerContext,
    ) -> Self {
        let id = ctx.next_id();
        let credential = credential::extract(&mut head);
        let request_id = request_id(&head, id, &ctx.prefix);
        head.insert_header(response::REQUEST_ID, &*request_id);
        Self {
            id,
            request_id,
            head,
            payload,
            client,
            credential,
            copy: None,
            stage: Stage::Created,
            detached: Rc::default(),
        }
    }

    /// Runs the call until the head of its response or a refusal is known.
    pub async fn run(&mut self, ctx: &CallerContext) -> Response {
        if self.head.url().path() == DIRECTORY_PATH {
            return self.serve_directory(ctx).await;
        }
        let refusal = match self.request_head() {
            Ok(request_head) => match self.handle_verdicts(ctx, request_head).await {
                Ok(response) => return response,
                Err(refusal) => refusal,
            },
            Err(refusal) => refusal,
        };
        response::refusal(&refusal, &self.request_id)
    }

    /// Returns whether the response is read to its end even if the caller disconnects.
    pub fn detached(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.detached)
    }

    /// Returns the copy to record the body in, if the response is to be replayed.
    pub fn record_body(&mut self, response: &Response) -> Option<BodyCopy> {
        let (copy, head) = self.copy.as_mut()?;
        *head = Some(ReplayHead::from_response(response));
        Some(copy.clone())
    }

    /// Reports the end of the call; further calls do nothing.
    pub async fn finish(&mut self, ctx: &CallerContext, complete: bool) {
        if std::mem::replace(&mut self.stage, Stage::Finished) != Stage::Open {
            return;
        }
        ctx.open_requests.fetch_sub(1, Ordering::AcqRel);
        let answer = self.copy.take().filter(|_| complete);
        let answer = answer.and_then(|(copy, head)| Some(head?.with_body(&copy.bytes())));
        let answer = answer.map(Arc::new);
        let id = self.id;
        report(
            ctx,
            Event::RequestEnded {
                id,
                complete,
                answer,
            },
        )
        .await;
    }

    async fn handle_verdicts(
        &mut self,
        ctx: &CallerContext,
        request_head: RequestHead,
    ) -> Result<Response, Refusal> {
        let (verdict, verdicts) = async_channel::bounded(rings::VERDICTS_CAPACITY);
        self.stage = Stage::Open;
        ctx.open_requests.fetch_add(1, Ordering::AcqRel);
        let input = Input::Request(request_head, verdict);
        if ctx.outputs.decisions.try_send(input).is_err() {
            ctx.open_requests.fetch_sub(1, Ordering::AcqRel);
            self.stage = Stage::Finished;
            let overloaded = self.refuse(Reason::Overloaded);
            return Err(overloaded.retry_after(Duration::from_secs(1)));
        }
        let mut sent = false;
        loop {
            let verdict = verdicts.recv().await;
            // The decision duty ends last, so the ring closes only if it stopped or failed.
            let verdict = verdict.map_err(|_closed| self.stopping_refusal(sent))?;
            match verdict {
                Verdict::Refuse(refusal) => return Err(refusal),
                Verdict::Replay(answer) => return Ok(replay::restore(&answer)),
                Verdict::Entries(entries, ttl) => return Ok(directory(&entries, ttl)),
                Verdict::Forward {
                    server,
                    start_by,
                    deadline,
                    new_connection,
                    record_response,
                } => {
                    if record_response {
                        self.detached.set(true);
                        self.copy = Some((BodyCopy::default(), None));
                    }
                    let times = AttemptTimes { start_by, deadline };
                    let attempt = self.attempt(ctx, server.addr, times, new_connection).await;
                    sent = true;
                    if let Some(response) = attempt {
                        return Ok(response);
                    }
                }
            }
        }
    }

    // Sends the request to one backend server and reports the outcome.
    async fn attempt(
        &mut self,
        ctx: &CallerContext,
        addr: SocketAddr,
        times: AttemptTimes,
        new_connection: bool,
    ) -> Option<Response> {
        let (reply, replies) = async_channel::bounded(1);
        let started = ctx.clock.now();
        let payload = std::mem::replace(&mut self.payload, Payload::Spent);
        let job = Job {
            addr,
            head: self.head.clone(),
            payload,
            start_by: times.start_by,
            deadline: times.deadline,
            new_connection,
            reply,
        };
        let result = self.submit(ctx, job, replies).await;
        let (outcome, response) = match result {
            Ok(mut response) => {
                let status = response.status().into();
                let took = ctx.clock.now().since(started);
                response.insert_header(response::REQUEST_ID, &*self.request_id);
                (AttemptOutcome::Answered { status, took }, Some(response))
            }
            Err(outcome) => (outcome, None),
        };
        let id = self.id;
        report(ctx, Event::AttemptEnded { id, outcome }).await;
        response
    }

    async fn submit(
        &mut self,
        ctx: &CallerContext,
        job: Job,
        replies: Receiver<Result<Response, Failure>>,
    ) -> Result<Response, AttemptOutcome> {
        if let Err(full) = ctx.outputs.jobs.try_send(job) {
            self.payload = full.into_inner().payload;
            return Err(AttemptOutcome::NotSent);
        }
        match replies.recv().await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(failure)) => {
                self.payload = failure.payload;
                // A streamed body that was sent can't be sent to another server.
                match (failure.outcome, &self.payload) {
                    (AttemptOutcome::Shed, Payload::Spent) => Err(AttemptOutcome::Broken),
                    (outcome, _) => Err(outcome),
                }
            }
            Err(_closed) => Err(AttemptOutcome::Broken),
        }
    }

    async fn serve_directory(&mut self, ctx: &CallerContext) -> Response {
        let (verdict, verdicts) = async_channel::bounded(1);
        let input = Input::Directory(self.id, self.client, verdict);
        if ctx.outputs.decisions.try_send(input).is_ok() {
            if let Ok(Verdict::Entries(entries, ttl)) = verdicts.recv().await {
                return directory(&entries, ttl);
            }
        }
        response::refusal(&Refusal::not_run(Reason::Overloaded), &self.request_id)
    }

    fn request_head(&self) -> Result<RequestHead, Refusal> {
        let key = match &self.credential {
            Credential::Absent => None,
            Credential::Key(key) if credential::path_contains(&self.head, key.expose()) => {
                return Err(self.refuse(Reason::KeyRefused));
            }
            Credential::Key(key) => Some(key.clone()),
            Credential::Ambiguous => return Err(self.refuse(Reason::KeyRefused)),
        };
        let url = self.head.url();
        Ok(RequestHead {
            id: self.id,
            request_id: Arc::clone(&self.request_id),
            host: url
                .host_str()
                .unwrap_or_default()
                .to_ascii_lowercase()
                .into(),
            method: self.head.method().to_string().into(),
            path: url.path().into(),
            key,
            idempotency_key: self.idempotency_key(),
            digest: self.digest(),
            request_hash: self.body_hash(),
            client: self.client.ip(),
            timeout: self.timeout(),
        })
    }

    // A refusal of a request of which nothing was sent.
    fn refuse(&self, reason: Reason) -> Refusal {
        Refusal::not_run(reason).under_key(self.idempotency_key().as_deref())
    }

    fn stopping_refusal(&self, sent: bool) -> Refusal {
        if sent {
            Refusal::may_have_run(Reason::Stopping)
        } else {
            self.refuse(Reason::Stopping)
        }
    }

    fn idempotency_key(&self) -> Option<Arc<str>> {
        let idempotency_key = self.head.header(response::IDEMPOTENCY_KEY)?.as_str();
        let fits = (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&idempotency_key.len());
        fits.then(|| idempotency_key.into())
    }

    fn timeout(&self) -> Option<Duration> {
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

    // Requests with the same digest are taken to be equal. Of a streamed body, only
    // the length is hashed.
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

async fn report(ctx: &CallerContext, event: Event) {
    // The decision duty ends last, so a send fails only at the end of the process.
    drop(ctx.outputs.decisions.send(Input::Event(event)).await);
}

fn request_id(head: &Request, id: RequestId, prefix: &str) -> Arc<str> {
    let supplied = head
        .header(response::REQUEST_ID)
        .map(|values| values.as_str());
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    match supplied {
        Some(text)
            if (1..=MAX_REQUEST_ID_BYTES).contains(&text.len()) && text.bytes().all(is_allowed) =>
        {
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
