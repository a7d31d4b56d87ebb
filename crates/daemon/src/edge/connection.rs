//! A connection of a caller.
//!
//! Each request is read whole, passed to the decision duty, and answered with the reply.
//! While one is open, further ones are read ahead; [`Pipeline`] decides which run beside each
//! other, and keeps the order of the answers. A request that can't be read is refused as not
//! run, and its connection is closed.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::future;
use async_std::net::TcpStream;
use async_std::task;
use corianderway_steer::CallerRequest;
use corianderway_steer::Event;
use corianderway_steer::ExchangeKind;
use corianderway_steer::Pipeline;
use corianderway_steer::PipelineAction;
use corianderway_steer::PipelineEvent;
use corianderway_steer::Reason;
use corianderway_steer::Refusal;
use corianderway_steer::RequestId;
use futures_lite::future::FutureExt as _;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;

use crate::edge::callers::Context;
use crate::edge::callers::RequestGuard;
use crate::edge::incoming;
use crate::edge::incoming::Incoming;
use crate::edge::incoming::Request;
use crate::edge::incoming::Unreadable;
use crate::edge::outgoing;
use crate::edge::rings::Input;
use crate::edge::rings::Reply;
use crate::message_reader;

/// The retry delay given to a caller whose request found the ring to the
/// decision duty full.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The interval at which a connection with unread bytes is checked for its end, which can't
/// be read before them.
const HANG_UP_INTERVAL: Duration = Duration::from_millis(200);

/// The timeout for reading the head of a request that is refused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether a connection stays open for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Keep,
    Close,
}

/// The reading of a request while others are open; owns the bytes that were read ahead.
type Reading<'a> = Pin<Box<dyn Future<Output = (Vec<u8>, Incoming<'a>)> + 'a>>;

/// What has been read of the next request.
enum Stage<'a> {
    Nothing,
    Some(Reading<'a>),
    Head(Box<Request<'a>>),
}

/// What a connection with open requests waited for.
enum Woken<'a> {
    /// The reply to the first request; `None` at process end.
    Replied(Option<Reply>),
    /// There are bytes of a further request.
    Bytes,
    /// A further request was read, and these bytes beyond it.
    Read(Vec<u8>, Incoming<'a>),
    /// The caller has left.
    Left,
}

/// A request that is not answered yet.
struct Queued<'a> {
    id: RequestId,
    trace: Arc<str>,
    bodiless: bool,
    // Present until the request begins.
    request: Option<Request<'a>>,
    // Present from then on.
    replies: Option<Receiver<Reply>>,
    answer: Option<Answer>,
    // Present while the request is not passed on; its guard moves here afterwards.
    active: Option<RequestGuard<'a>>,
    #[expect(dead_code, reason = "held for its drop")]
    behind: Option<RequestGuard<'a>>,
}

/// What is written for a request.
enum Answer {
    Reply(Reply),
    Unreadable(Unreadable),
}

struct Connection<'a> {
    stream: &'a TcpStream,
    ctx: &'a Context,
    pipeline: Pipeline,
    actions: VecDeque<PipelineAction>,
    // In the order of the pipeline's queue.
    queue: VecDeque<Queued<'a>>,
    ahead: Vec<u8>,
    stage: Stage<'a>,
    // Whether the caller has sent bytes behind a request before its answer, so that closing
    // may find some unread.
    pipelines: bool,
    // Asks for the close of the connection while it is idle.
    close: (Sender<()>, Receiver<()>),
}

/// Serves requests until the connection is closed.
pub async fn serve(stream: &TcpStream, ctx: &Context) {
    // Otherwise Nagle's algorithm delays small answers until earlier data is
    // acknowledged.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut connection = Connection {
        stream,
        ctx,
        pipeline: Pipeline::new(&ctx.chart),
        actions: VecDeque::new(),
        // Most callers have one request open at a time.
        queue: VecDeque::with_capacity(1),
        ahead: Vec::new(),
        stage: Stage::Nothing,
        pipelines: false,
        close: async_channel::bounded(1),
    };
    while connection.advance().await == Next::Keep {}
}

/// Refuses the first request as not run, since too many connections are open.
pub async fn refuse(stream: &TcpStream, ctx: &Context) {
    let mut ahead = Vec::new();
    let max_bytes = ctx.limits.get().head_bytes;
    let read = message_reader::read_head_within(stream, &mut ahead, max_bytes);
    // An answer ahead of its request might be taken for another one's.
    let Ok(Ok(_)) = future::timeout(REFUSAL_TIMEOUT, read).await else {
        return;
    };
    let refusal = Unreadable::crowded();
    if outgoing::write_unreadable(stream, &refusal).await.is_ok() {
        outgoing::drain_input(stream).await;
    }
}

impl<'a> Connection<'a> {
    async fn advance(&mut self) -> Next {
        if self.queue.is_empty() {
            let incoming = self.read_first().await;
            return self.receive(incoming).await;
        }
        match self.wait().await {
            Woken::Replied(Some(reply)) => {
                self.note_stop();
                self.keep_reply(0, reply);
                self.perform().await
            }
            Woken::Bytes => {
                self.pipelines = true;
                self.stage = Stage::Some(self.read_behind());
                Next::Keep
            }
            Woken::Read(ahead, incoming) => {
                self.ahead = ahead;
                self.stage = Stage::Nothing;
                self.receive(incoming).await
            }
            Woken::Replied(None) | Woken::Left => self.leave().await,
        }
    }

    // Reads the next request while no other is open.
    async fn read_first(&mut self) -> Incoming<'a> {
        match std::mem::replace(&mut self.stage, Stage::Nothing) {
            Stage::Nothing => {
                let idle = self.ctx.limits.get().idle_timeout;
                if self.ahead.is_empty() {
                    let guard = self.ctx.begin_idle(self.stream, &self.close.0);
                    let closed = async {
                        // Fails never, since the connection holds a sender.
                        let _ = self.close.1.recv().await;
                        false
                    };
                    let is_used = closed.or(has_bytes(self.stream, idle)).await;
                    drop(guard);
                    if !is_used {
                        return Incoming::Ended;
                    }
                }
                incoming::read(self.stream, self.ctx, &mut self.ahead, true).await
            }
            Stage::Some(reading) => {
                let (ahead, incoming) = reading.await;
                self.ahead = ahead;
                incoming
            }
            Stage::Head(request) => {
                incoming::read_body(self.stream, self.ctx, &mut self.ahead, *request).await
            }
        }
    }

    // Reads the next request behind open ones.
    fn read_behind(&mut self) -> Reading<'a> {
        let (stream, ctx) = (self.stream, self.ctx);
        let mut ahead = std::mem::take(&mut self.ahead);
        Box::pin(async move {
            let incoming = incoming::read(stream, ctx, &mut ahead, false).await;
            (ahead, incoming)
        })
    }

    // Waits for the first request's reply, and for what the caller does meanwhile.
    async fn wait(&mut self) -> Woken<'a> {
        let replies = self.queue.front().and_then(|first| first.replies.as_ref());
        let replied = async {
            match replies {
                Some(replies) => Woken::Replied(replies.recv().await.ok()),
                None => std::future::pending().await,
            }
        };
        let (stream, stage) = (self.stream, &mut self.stage);
        let pipelines = &mut self.pipelines;
        let (reads, has_ahead) = (self.pipeline.may_read(), !self.ahead.is_empty());
        let heard = async {
            match stage {
                Stage::Some(reading) => {
                    let (ahead, incoming) = reading.await;
                    Woken::Read(ahead, incoming)
                }
                Stage::Nothing if reads && has_ahead => Woken::Bytes,
                Stage::Nothing if reads => {
                    if has_byte(stream).await {
                        Woken::Bytes
                    } else {
                        Woken::Left
                    }
                }
                Stage::Nothing | Stage::Head(_) => {
                    while has_byte(stream).await && !has_hung_up(stream) {
                        *pipelines = true;
                        task::sleep(HANG_UP_INTERVAL).await;
                    }
                    Woken::Left
                }
            }
        };
        replied.or(heard).await
    }

    async fn receive(&mut self, incoming: Incoming<'a>) -> Next {
        self.note_stop();
        self.collect_replies();
        let behind = (!self.queue.is_empty()).then(|| self.ctx.begin_behind());
        let (event, queued) = match incoming {
            Incoming::Request(request) => {
                let event = PipelineEvent::Read {
                    id: request.head.query.id,
                    kind: request.kind,
                    bytes: request.bytes(),
                    closes: request.head.closes,
                };
                (event, Queued::of(request, behind))
            }
            Incoming::Unreadable(unreadable, active) => {
                let id = self.ctx.ids.next();
                let event = PipelineEvent::Read {
                    id,
                    kind: ExchangeKind::Unreadable,
                    bytes: 0,
                    closes: true,
                };
                self.pipelines = true;
                (event, Queued::unreadable(id, unreadable, active, behind))
            }
            Incoming::Paused(request) => {
                self.stage = Stage::Head(Box::new(request));
                return self.perform().await;
            }
            Incoming::Ended => return self.leave().await,
        };
        if self.pipeline.is_open() {
            self.queue.push_back(queued);
            self.pipeline.step(event, &mut self.actions);
        }
        self.perform().await
    }

    // Performs the actions of the pipeline until there are none left.
    async fn perform(&mut self) -> Next {
        while let Some(action) = self.actions.pop_front() {
            match action {
                PipelineAction::Begin(id) => self.begin(id),
                PipelineAction::Write { close, .. } => {
                    let Some(first) = self.queue.pop_front() else {
                        continue;
                    };
                    if first.write(self.stream, close).await.is_err() {
                        return self.leave().await;
                    }
                    if close && self.pipelines {
                        outgoing::drain_input(self.stream).await;
                    }
                    let written = PipelineEvent::Written;
                    self.pipeline.step(written, &mut self.actions);
                }
                PipelineAction::Drop(id) => self.queue.retain(|queued| queued.id != id),
                PipelineAction::Cancel(id) => report_disconnect(self.ctx, id).await,
                PipelineAction::Close => return Next::Close,
            }
        }
        Next::Keep
    }

    fn begin(&mut self, id: RequestId) {
        let Some(at) = self.queue.iter().position(|queued| queued.id == id) else {
            return;
        };
        if let Err(refusal) = self.queue[at].pass_on(self.ctx) {
            self.keep_reply(at, Reply::Refuse(refusal));
        }
    }

    // Keeps the reply to a request until its turn.
    fn keep_reply(&mut self, at: usize, reply: Reply) {
        let Some(queued) = self.queue.get_mut(at) else {
            return;
        };
        let bytes = match &reply {
            Reply::Answer(answer) => answer.head.start.len() + answer.body.len(),
            Reply::Refuse(_) | Reply::Instances(..) => 0,
        };
        queued.answer = Some(Answer::Reply(reply));
        let event = PipelineEvent::Answered {
            id: queued.id,
            bytes,
        };
        self.pipeline.step(event, &mut self.actions);
    }

    // Keeps the replies to all requests but the first, so that their size is known.
    fn collect_replies(&mut self) {
        for at in 1..self.queue.len() {
            let queued = &self.queue[at];
            let replies = queued.replies.as_ref().filter(|_| queued.answer.is_none());
            if let Some(reply) = replies.and_then(|replies| replies.try_recv().ok()) {
                self.keep_reply(at, reply);
            }
        }
    }

    fn note_stop(&mut self) {
        if self.ctx.is_stopping() || self.ctx.is_crowded() {
            let stopped = PipelineEvent::Stopped;
            self.pipeline.step(stopped, &mut self.actions);
        }
    }

    async fn leave(&mut self) -> Next {
        self.pipeline.step(PipelineEvent::Left, &mut self.actions);
        while let Some(action) = self.actions.pop_front() {
            if let PipelineAction::Cancel(id) = action {
                report_disconnect(self.ctx, id).await;
            }
        }
        Next::Close
    }
}

impl<'a> Queued<'a> {
    fn of(request: Request<'a>, behind: Option<RequestGuard<'a>>) -> Self {
        Self {
            id: request.head.query.id,
            trace: Arc::clone(request.head.outbound.trace()),
            bodiless: request.head.bodiless,
            request: Some(request),
            replies: None,
            answer: None,
            active: None,
            behind,
        }
    }

    fn unreadable(
        id: RequestId,
        unreadable: Unreadable,
        active: RequestGuard<'a>,
        behind: Option<RequestGuard<'a>>,
    ) -> Self {
        Self {
            id,
            trace: Arc::default(),
            bodiless: false,
            request: None,
            replies: None,
            answer: Some(Answer::Unreadable(unreadable)),
            active: Some(active),
            behind,
        }
    }

    // Sends the request to the decision duty, with the time that is left.
    fn pass_on(&mut self, ctx: &Context) -> Result<(), Refusal> {
        let Some(request) = self.request.take() else {
            return Ok(());
        };
        let (sender, replies) = async_channel::bounded(1);
        let time_limit = request.time_left();
        let query = CallerRequest {
            time_limit,
            ..request.head.query
        };
        self.active = Some(request.active);
        let body = (request.head.outbound, request.reservation);
        let input = Input::Request(query, body, sender);
        self.replies = Some(replies);
        ctx.decisions.try_send(input).map_err(|_full| {
            Refusal::not_run(Reason::Overloaded).with_retry_after(BUSY_RETRY_DELAY)
        })
    }

    async fn write(&self, stream: &TcpStream, close: bool) -> io::Result<()> {
        match &self.answer {
            Some(Answer::Reply(reply)) => {
                let request = (&*self.trace, self.bodiless);
                outgoing::write_reply(stream, reply, request, close).await
            }
            Some(Answer::Unreadable(unreadable)) => {
                outgoing::write_unreadable(stream, unreadable).await
            }
            None => Ok(()),
        }
    }
}

async fn report_disconnect(ctx: &Context, id: RequestId) {
    // Fails only at process end, since the decision duty ends last.
    drop(
        ctx.decisions
            .send(Input::Event(Event::CallerGone(id)))
            .await,
    );
}

// Returns whether the caller has closed its end of the connection, also behind unread bytes.
fn has_hung_up(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    // Fails if a signal interrupts it; the next check tells.
    let ready = rustix::event::poll(&mut polled, Some(&Timespec::default()));
    ready.is_ok_and(|count| count > 0)
}

/// Returns whether bytes of the caller are unread.
pub fn is_readable(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::IN)];
    let ready = rustix::event::poll(&mut polled, Some(&Timespec::default()));
    ready.is_ok_and(|count| count > 0)
}

// Waits for a byte; returns false if the connection ends.
async fn has_byte(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]).await, Ok(count) if count > 0)
}

/// Waits for the first byte of a request; returns false if the connection ends or
/// stays idle too long.
pub async fn has_bytes(stream: &TcpStream, idle: Duration) -> bool {
    matches!(future::timeout(idle, has_byte(stream)).await, Ok(true))
}
