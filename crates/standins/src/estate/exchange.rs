//! The connections of an endpoint: its requests one after the other, each answered as its
//! mode says.

use std::time::Duration;
use std::time::Instant;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use httparse::Status;

use crate::estate::endpoint::Endpoint;
use crate::estate::endpoint::Mode;
use crate::estate::endpoint::Rejection;
use crate::estate::endpoint::RequestRecord;

/// The `server-stamp` of every response.
const SERVER_STAMP: &str = "3e1b.07.5a2";

/// The time that a request for a path under `/slow/` runs.
const SLOW_PATH_DELAY: Duration = Duration::from_millis(1_500);

/// The time that a request has left when it leaves the queue of an endpoint.
const QUEUE_MARGIN: Duration = Duration::from_millis(20);

/// The time in a queue of a request that doesn't say how long its caller waits.
const QUEUE_TIME: Duration = Duration::from_secs(1);

/// The maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// The size of a read, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// What an endpoint does with one request.
#[derive(Clone, Copy, Debug)]
enum Act {
    /// Answers that it has not run.
    Reject { pause: Duration },
    /// Runs it and answers with a status after a delay; `early` before it reads the body.
    Run {
        status: u16,
        delay: Duration,
        early: bool,
    },
    /// Runs it and never answers.
    Keep,
}

/// The head of a request.
#[derive(Debug, Default)]
struct Head {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
}

/// A connection of a caller.
struct Connection {
    stream: TcpStream,
    endpoint: Endpoint,
    /// Bytes that were read and not used yet.
    input: Vec<u8>,
    /// The copy of an answer that goes ahead of the next one.
    copy: Vec<u8>,
}

/// Accepts connections and serves each of them.
pub(super) async fn serve(listener: std::net::TcpListener, endpoint: Endpoint) {
    let listener = TcpListener::from(listener);
    while let Ok((stream, _)) = listener.accept().await {
        drop(stream.set_nodelay(true));
        let mut connection = Connection {
            stream,
            endpoint: endpoint.clone(),
            input: Vec::new(),
            copy: Vec::new(),
        };
        task::spawn_local(async move {
            // A broken connection affects only its own caller.
            while connection.exchange().await.is_some() {}
        });
    }
}

impl Head {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    fn millis(&self, name: &str) -> Option<Duration> {
        let value = self.header(name)?.parse().ok();
        value.map(Duration::from_millis)
    }
}

impl Act {
    // `turn` is the number of requests that arrived at the endpoint before this one.
    fn new(mode: Mode, turn: u64, head: &Head) -> Self {
        let run = |status, delay| Self::Run {
            status,
            delay,
            early: false,
        };
        let reject = Self::Reject {
            pause: Duration::ZERO,
        };
        let is_slow = head.target.starts_with("/slow/");
        let delay = if is_slow {
            SLOW_PATH_DELAY
        } else {
            Duration::ZERO
        };
        match mode {
            Mode::Slow(span) => run(200, span),
            Mode::Failing => run(500, delay),
            Mode::Status(status) => run(status, delay),
            Mode::Early(status) => Self::Run {
                status,
                delay,
                early: true,
            },
            Mode::Full => reject,
            Mode::Repeating | Mode::Queued if turn.is_multiple_of(2) => reject,
            Mode::Healthy | Mode::Leaving | Mode::Repeating | Mode::Queued | Mode::Stranger => {
                run(200, delay)
            }
            Mode::Pausing(pause) => Self::Reject { pause },
            Mode::Unanswered => Self::Keep,
        }
    }
}

impl Connection {
    // Serves one request; `None` when the connection has ended.
    async fn exchange(&mut self) -> Option<()> {
        let head = self.head().await?;
        let at = Instant::now();
        let (by, mode, turn) = {
            let mut state = self.endpoint.lock();
            let turn = state.arrived;
            state.arrived += 1;
            (state.id.clone(), state.mode, turn)
        };
        let expected = head.header("expect-instance");
        if expected.is_some_and(|expected| expected != by) {
            let response = response(421, &[("instance-id", &by)], "");
            return self.reply(&head, response, Mode::Healthy).await;
        }
        if mode == Mode::Queued {
            let left = head.millis("deadline-ms").unwrap_or(QUEUE_TIME);
            task::sleep(left.saturating_sub(QUEUE_MARGIN)).await;
        }
        match Act::new(mode, turn, &head) {
            Act::Reject { pause } => {
                let response = self.reject(&head, at, by, pause);
                self.reply(&head, response, mode).await
            }
            Act::Run {
                status,
                delay,
                early: true,
            } => {
                let number = self.start(&head, at, by.clone(), mode, Vec::new());
                task::sleep(delay).await;
                let response = self.result(&head, status, mode, &by);
                self.write(response, mode).await?;
                let (body, whole) = self.body(&head).await;
                let body = String::from_utf8_lossy(&body).into();
                self.endpoint.lock().seen[number].body = body;
                whole.then_some(())
            }
            Act::Run { status, delay, .. } => {
                let (body, whole) = self.body(&head).await;
                self.start(&head, at, by.clone(), mode, body);
                whole.then_some(())?;
                task::sleep(delay).await;
                let response = self.result(&head, status, mode, &by);
                self.write(response, mode).await
            }
            Act::Keep => {
                let (body, _) = self.body(&head).await;
                self.start(&head, at, by, mode, body);
                std::future::pending().await
            }
        }
    }

    // Answers before the body is read, and reads it then.
    async fn reply(&mut self, head: &Head, response: Vec<u8>, mode: Mode) -> Option<()> {
        self.write(response, mode).await?;
        let (_, whole) = self.body(head).await;
        whole.then_some(())
    }

    fn reject(&self, head: &Head, at: Instant, by: String, pause: Duration) -> Vec<u8> {
        let id = head.header("request-id").unwrap_or_default();
        let rejection = Rejection {
            at,
            endpoint: by,
            id: id.to_owned(),
            pause,
        };
        self.endpoint.lock().rejected.push(rejection);
        let after = pause.as_secs_f64().to_string();
        let mut headers = vec![("request-id", id), ("not-run", "full")];
        if !pause.is_zero() {
            headers.push(("retry-after", &after));
        }
        response(503, &headers, "")
    }

    // Records that a request runs; returns the number of its record.
    fn start(&self, head: &Head, at: Instant, by: String, mode: Mode, body: Vec<u8>) -> usize {
        let record = RequestRecord {
            at,
            began: Instant::now(),
            endpoint: by,
            request_line: format!("{} {}", head.method, head.target),
            id: head.header("request-id").unwrap_or_default().to_owned(),
            account: head.header("tenant").map(str::to_owned),
            headers: head.headers.iter().map(|(name, _)| name.clone()).collect(),
            body: String::from_utf8_lossy(&body).into(),
            leaving: mode == Mode::Leaving,
        };
        let mut state = self.endpoint.lock();
        state.seen.push(record);
        state.seen.len() - 1
    }

    fn result(&self, head: &Head, status: u16, mode: Mode, by: &str) -> Vec<u8> {
        if mode == Mode::Stranger {
            return response(status, &[], "starting");
        }
        let load = format!("1,0,{}", self.endpoint.lock().slots);
        let id = head.header("request-id").unwrap_or_default();
        let mut headers = vec![
            ("request-id", id),
            ("server-stamp", SERVER_STAMP),
            ("server-load", &load),
            ("content-type", "text/plain;charset=utf-8"),
        ];
        if mode == Mode::Leaving {
            headers.push(("server-leaving", "1"));
        }
        response(status, &headers, &format!("answer of {by}"))
    }

    // Writes a response, after the copy of the one before if there is one.
    async fn write(&mut self, response: Vec<u8>, mode: Mode) -> Option<()> {
        let copy = std::mem::take(&mut self.copy);
        self.stream.write_all(&copy).await.ok()?;
        self.stream.write_all(&response).await.ok()?;
        if mode == Mode::Repeating {
            self.copy = response;
        }
        Some(())
    }

    async fn head(&mut self) -> Option<Head> {
        loop {
            if let Status::Complete((head, size)) = parse(&self.input)? {
                self.input.drain(..size);
                return Some(head);
            }
            self.read().await?;
        }
    }

    // Returns the body, as much of it as arrives, and whether it is whole.
    async fn body(&mut self, head: &Head) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        let is_chunked = head.header("transfer-encoding").is_some();
        if !is_chunked {
            let size = head.header("content-length").map_or(Ok(0), str::parse);
            let whole = self.take(size.unwrap_or_default(), &mut body).await;
            return (body, whole.is_some());
        }
        let whole = self.chunks(&mut body).await;
        (body, whole.is_some())
    }

    async fn chunks(&mut self, body: &mut Vec<u8>) -> Option<()> {
        loop {
            let (start, size) = match httparse::parse_chunk_size(&self.input).ok()? {
                Status::Complete(chunk) => chunk,
                Status::Partial => {
                    self.read().await?;
                    continue;
                }
            };
            self.input.drain(..start);
            self.take(size as usize, body).await?;
            // A chunk, and the body, ends with an empty line.
            self.take(2, &mut Vec::new()).await?;
            if size == 0 {
                return Some(());
            }
        }
    }

    async fn take(&mut self, size: usize, into: &mut Vec<u8>) -> Option<()> {
        let mut left = size;
        loop {
            let part = left.min(self.input.len());
            into.extend(self.input.drain(..part));
            left -= part;
            if left == 0 {
                return Some(());
            }
            self.read().await?;
        }
    }

    async fn read(&mut self) -> Option<()> {
        let mut bytes = vec![0; READ_BYTES];
        let size = self.stream.read(&mut bytes).await.ok()?;
        self.input.extend_from_slice(&bytes[..size]);
        (size > 0).then_some(())
    }
}

// Returns the head at the start of the bytes with its size; `None` when it is no head.
fn parse(bytes: &[u8]) -> Option<Status<(Head, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let Status::Complete(size) = request.parse(bytes).ok()? else {
        return Some(Status::Partial);
    };
    let pair = |header: &httparse::Header<'_>| {
        let value = String::from_utf8_lossy(header.value).into_owned();
        (header.name.to_ascii_lowercase(), value)
    };
    let head = Head {
        method: request.method?.to_owned(),
        target: request.path?.to_owned(),
        headers: request.headers.iter().map(pair).collect(),
    };
    Some(Status::Complete((head, size)))
}

fn response(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut lines = vec![format!("HTTP/1.1 {status} Status")];
    lines.extend(
        headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}")),
    );
    lines.push(format!("content-length: {}\r\n\r\n{body}", body.len()));
    lines.join("\r\n").into_bytes()
}
