//! The order of the requests on one connection of a caller.
//!
//! A caller may send further requests before the first is answered. Idempotent ones run
//! beside each other, and the answers are written in the order of the requests. A request
//! that must not run twice runs alone. After a request whose answer closes the connection
//! none is begun, so that the caller may send those behind it again.

use std::collections::VecDeque;
use std::sync::Arc;

use corianderway_chart::Chart;
use serde::Deserialize;
use snafu::ResultExt as _;

use crate::event::RequestId;
use crate::steer::ChartError;
use crate::steer::ChartSnafu;

/// The state chart of a caller's connection, as YAML.
pub const CONNECTION_CHART: &str = include_str!("../charts/edge-connection.yaml");

/// The maximum number of requests of a connection that are read and not answered.
pub const MAX_QUEUED: usize = 8;

/// The size of the queued requests and their answers, in bytes, from which no further
/// request is read or begun.
pub const MAX_QUEUED_BYTES: usize = 64 * 1024;

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum State {
    Open,
    Stopping,
    Ending,
    Closed,
}

/// An event of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Signal {
    Read,
    Answered,
    Written,
    Stopped,
    Left,
}

/// A condition that selects a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Guard {
    /// The answer of the request that was read closes the connection.
    Closing,
    /// No answer that is still to be written can announce the close.
    Idle,
    /// The written answer was that of the last request.
    Last,
}

/// An action of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Effect {
    /// Appends the request that was read.
    Enqueue,
    /// Begins each request whose turn it is.
    Begin,
    /// Keeps an answer until its turn.
    Keep,
    /// Writes the first answer, if it is there.
    Write,
    /// Removes the request whose answer was written.
    Finish,
    /// Drops the requests that have not begun.
    DropWaiting,
    /// Cancels each request that runs.
    Cancel,
    /// Closes the connection.
    Close,
}

/// What may be done with a request while others are ahead of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeKind {
    /// It may run beside other idempotent ones.
    Idempotent,
    /// It runs alone.
    Once,
    /// It was not read whole, so its refusal is already known and closes the connection.
    Unreadable,
}

/// An input to [`Pipeline::step`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PipelineEvent {
    /// A request was read.
    Read {
        /// The number given to the request.
        id: RequestId,
        /// What may be done with it.
        kind: ExchangeKind,
        /// Its size, in bytes.
        bytes: usize,
        /// Whether the caller wants no further answer on the connection.
        closes: bool,
    },
    /// The answer of a request is there.
    Answered {
        /// The request.
        id: RequestId,
        /// The size of the answer, in bytes.
        bytes: usize,
    },
    /// The answer of the first request was written.
    Written,
    /// A planned stop has begun; repeating it is harmless.
    Stopped,
    /// The caller has left, or can't be written to.
    Left,
}

/// An output of [`Pipeline::step`], to be performed in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PipelineAction {
    /// Pass a request on.
    Begin(RequestId),
    /// Write the answer of the first request.
    Write {
        /// The request.
        id: RequestId,
        /// Whether the answer announces that the connection is closed after it.
        close: bool,
    },
    /// Forget a request that has not begun.
    Drop(RequestId),
    /// Abort a request whose answer nobody awaits any more.
    Cancel(RequestId),
    /// Close the connection.
    Close,
}

/// The checked chart of callers' connections; clones share it.
#[derive(Clone, Debug)]
pub struct ConnectionChart(Arc<Chart<State, Signal, Guard, Effect>>);

/// The requests of one connection that are not answered yet, in the order in which they
/// were sent.
///
/// Those that have begun are the first ones of the queue.
#[derive(Clone, Debug)]
pub struct Pipeline {
    chart: ConnectionChart,
    state: State,
    queue: VecDeque<Exchange>,
    begun: usize,
    // Whether the first answer is being written.
    writing: bool,
}

#[derive(Clone, Copy, Debug)]
struct Exchange {
    id: RequestId,
    kind: ExchangeKind,
    // The size of the request, and of the answer once it is there.
    bytes: usize,
    answered: bool,
}

impl ConnectionChart {
    /// Loads the chart.
    ///
    /// # Errors
    ///
    /// Fails if the chart is invalid.
    pub fn load() -> Result<Self, ChartError> {
        let file = "edge-connection.yaml";
        let chart = Chart::parse(CONNECTION_CHART).context(ChartSnafu { file })?;
        Ok(Self(Arc::new(chart)))
    }
}

impl Pipeline {
    /// Creates the queue of a connection on which nothing was read.
    pub fn new(chart: &ConnectionChart) -> Self {
        Self {
            chart: chart.clone(),
            state: chart.0.initial(),
            queue: VecDeque::new(),
            begun: 0,
            writing: false,
        }
    }

    /// Processes an event and appends the actions to perform.
    pub fn step(&mut self, event: PipelineEvent, out: &mut VecDeque<PipelineAction>) {
        let signal = match event {
            PipelineEvent::Read { .. } => Signal::Read,
            PipelineEvent::Answered { .. } => Signal::Answered,
            PipelineEvent::Written => Signal::Written,
            PipelineEvent::Stopped => Signal::Stopped,
            PipelineEvent::Left => Signal::Left,
        };
        let chart = self.chart.clone();
        let step = chart.0.step(self.state, signal, |guard| match guard {
            Guard::Closing => matches!(
                event,
                PipelineEvent::Read { kind, closes, .. }
                    if closes || kind == ExchangeKind::Unreadable
            ),
            Guard::Idle => self.queue.len() == usize::from(self.writing),
            Guard::Last => self.queue.len() == 1,
        });
        self.state = step.to;
        for effect in step.actions {
            self.perform(*effect, event, out);
        }
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns whether a request that is read is still served.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open | State::Stopping)
    }

    /// Returns whether a further request may be read now.
    pub fn may_read(&self) -> bool {
        let has_room = self.queue.len() < MAX_QUEUED && self.bytes() < MAX_QUEUED_BYTES;
        self.is_open() && (has_room || self.queue.is_empty())
    }

    fn perform(
        &mut self,
        effect: Effect,
        event: PipelineEvent,
        out: &mut VecDeque<PipelineAction>,
    ) {
        match effect {
            Effect::Enqueue => {
                if let PipelineEvent::Read {
                    id, kind, bytes, ..
                } = event
                {
                    self.queue.push_back(Exchange {
                        id,
                        kind,
                        bytes,
                        answered: kind == ExchangeKind::Unreadable,
                    });
                }
            }
            Effect::Begin => self.begin(out),
            Effect::Keep => {
                if let PipelineEvent::Answered { id, bytes } = event {
                    let mut begun = self.queue.iter_mut().take(self.begun);
                    if let Some(exchange) = begun.find(|e| e.id == id && !e.answered) {
                        exchange.answered = true;
                        exchange.bytes += bytes;
                    }
                }
            }
            Effect::Write => self.write(out),
            Effect::Finish => {
                self.queue.pop_front();
                self.begun = self.begun.saturating_sub(1);
                self.writing = false;
            }
            Effect::DropWaiting => self.drop_waiting(out),
            Effect::Cancel => {
                let begun = self.queue.drain(..).take(self.begun);
                let running = begun.filter(|exchange| !exchange.answered);
                out.extend(running.map(|exchange| PipelineAction::Cancel(exchange.id)));
                self.begun = 0;
            }
            Effect::Close => out.push_back(PipelineAction::Close),
        }
    }

    fn begin(&mut self, out: &mut VecDeque<PipelineAction>) {
        while let Some(next) = self.queue.get(self.begun) {
            let mut up_to_next = self.queue.iter().take(self.begun + 1);
            let beside = up_to_next.all(|e| e.kind == ExchangeKind::Idempotent);
            let begun = self.queue.iter().take(self.begun);
            let held: usize = begun.map(|exchange| exchange.bytes).sum();
            if self.begun > 0 && !(beside && held < MAX_QUEUED_BYTES) {
                return;
            }
            if next.kind != ExchangeKind::Unreadable {
                out.push_back(PipelineAction::Begin(next.id));
            }
            self.begun += 1;
        }
    }

    fn write(&mut self, out: &mut VecDeque<PipelineAction>) {
        let first = self.queue.front().filter(|_| !self.writing);
        if let Some(first) = first.filter(|exchange| exchange.answered) {
            let close = self.state == State::Ending && self.queue.len() == 1;
            out.push_back(PipelineAction::Write {
                id: first.id,
                close,
            });
            self.writing = true;
        }
    }

    // Keeps one request more if no answer of those that have begun can announce the close,
    // as the only one is being written.
    fn drop_waiting(&mut self, out: &mut VecDeque<PipelineAction>) {
        let kept = self.begun.max(1 + usize::from(self.writing));
        while self.queue.len() > kept {
            if let Some(dropped) = self.queue.pop_back() {
                out.push_back(PipelineAction::Drop(dropped.id));
            }
        }
    }

    fn bytes(&self) -> usize {
        self.queue.iter().map(|exchange| exchange.bytes).sum()
    }
}
