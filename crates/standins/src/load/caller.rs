//! Sends the requests of one worker, with timeouts and retries.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_channel::Receiver;
use async_std::net::TcpStream;
use corianderway_model::Region;
use futures_lite::FutureExt;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;
use serde::Deserialize;

use crate::backend::REGION_HEADER;
use crate::checker::Ran;
use crate::harness::request_key;
use crate::load::book::AddressBook;
use crate::load::book::Target;
use crate::load::pool;
use crate::load::pool::Pool;
use crate::load::sample::Attempt;
use crate::load::sample::End;
use crate::load::scenario::Callers;
use crate::load::schedule::Arrival;
use crate::load::schedule::Class;
use crate::load::schedule::Way;

/// How long to wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// The delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The state that the requests of one worker share.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) book: RefCell<Arc<AddressBook>>,
    pub(crate) books: Receiver<Arc<AddressBook>>,
    pub(crate) callers: Callers,
    pub(crate) target: Target,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) turn: Cell<usize>,
    pub(crate) max_attempts: usize,
}

// The values that one attempt sends.
struct RequestParts<'e> {
    // The last segment of the path, the same for all attempts.
    path: &'e str,
    id: &'e str,
    key: Option<&'e Arc<str>>,
    token: Option<&'e String>,
}

// The body of a refusal by an entry instance.
#[derive(Deserialize)]
struct Refusal {
    code: Arc<str>,
    ran: String,
}

// The body of an answer of a backend server stand-in.
#[derive(Deserialize)]
struct Answer {
    path: String,
}

impl Caller {
    /// Sends a request and returns its attempts. On routes that run a request
    /// at most once, retries with the same idempotency key while it is unknown
    /// whether the request ran.
    pub(crate) async fn send(&self, arrival: &Arrival, class: &Class, id: &str) -> Vec<Attempt> {
        let token = class.once().then(|| request_key(arrival.draw));
        let mut attempts = Vec::new();
        for number in 0..self.max_attempts {
            let attempt_id = format!("{id}-{number}");
            let entry_draw = arrival.draw.wrapping_add(number as u64);
            let sent = unix_nanos();
            let parts = RequestParts {
                path: id,
                id: &attempt_id,
                key: class.key.as_ref().filter(|_| self.uses_entries(arrival)),
                token: token.as_ref(),
            };
            let end = self
                .send_with_timeout(arrival, class, &parts, entry_draw)
                .await;
            let unknown = end.run_unknown();
            attempts.push(Attempt {
                id: attempt_id,
                sent,
                end,
            });
            if token.is_none() || !unknown {
                break;
            }
            async_std::task::sleep(RETRY_DELAY).await;
        }
        attempts
    }

    async fn send_with_timeout(
        &self,
        arrival: &Arrival,
        class: &Class,
        parts: &RequestParts<'_>,
        entry_draw: u64,
    ) -> End {
        let answered = self.send_once(arrival, class, parts, entry_draw);
        let timeout = async {
            async_std::task::sleep(ANSWER_TIMEOUT).await;
            End::Lost
        };
        answered.or(timeout).await
    }

    // Tries the next address only if no connection could be made.
    async fn send_once(
        &self,
        arrival: &Arrival,
        class: &Class,
        parts: &RequestParts<'_>,
        entry_draw: u64,
    ) -> End {
        for (addr, from) in self.routes(arrival, class, entry_draw) {
            self.pool.borrow_mut().begin(addr);
            let Ok(stream) = self.connect(addr).await else {
                self.pool.borrow_mut().finish(addr, None);
                continue;
            };
            let (end, kept) = exchange(&stream, class, parts, &from).await;
            self.pool.borrow_mut().finish(addr, kept.then_some(stream));
            return end;
        }
        End::Unreachable
    }

    async fn connect(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        loop {
            let kept = self.pool.borrow_mut().take_idle(addr);
            match kept {
                Some(stream) if pool::is_reusable(&stream).await => return Ok(stream),
                Some(_) => {}
                None => break,
            }
        }
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    // Whether the request is sent to an entry instance. Only those may receive a key.
    fn uses_entries(&self, arrival: &Arrival) -> bool {
        arrival.way == Way::Tested && self.target == Target::Entries
    }

    // The newest address book that the run has sent.
    fn book(&self) -> Arc<AddressBook> {
        while let Ok(book) = self.books.try_recv() {
            self.book.replace(book);
        }
        self.book.borrow().clone()
    }

    // The addresses to try, each with the region that the request is sent from.
    fn routes(
        &self,
        arrival: &Arrival,
        class: &Class,
        entry_draw: u64,
    ) -> Vec<(SocketAddr, Region)> {
        let book = self.book();
        let entries = book.entries(self.callers, entry_draw);
        let servers = book.servers(class.route.service.as_str());
        let nth = |n: usize| servers.get(n % servers.len().max(1)).copied();
        let one = match (arrival.way, self.target) {
            (Way::Direct, _) => nth((arrival.draw >> u16::BITS) as usize),
            (Way::Tested, Target::Entries) => {
                return entries.iter().map(|(a, r)| (*a, (*r).clone())).collect();
            }
            (Way::Tested, Target::RoundRobin) => nth(self.turn.replace(self.turn.get() + 1)),
            (Way::Tested, Target::LeastConnections) => self.pool.borrow_mut().least_loaded(servers),
        };
        // A caller that bypasses the entry instances is in the region of the one
        // that it would have used.
        let from = entries.first().map(|(_, region)| (*region).clone());
        one.zip(from).into_iter().collect()
    }
}

// Sends the request and returns how it ended, and whether the connection can be
// reused.
async fn exchange(
    stream: &TcpStream,
    class: &Class,
    parts: &RequestParts<'_>,
    from: &Region,
) -> (End, bool) {
    let Some(mut request) = request(class, parts) else {
        return (End::Lost, false);
    };
    request.insert_header(REGION_HEADER, from.as_str());
    match async_h1::connect(stream.clone(), request).await {
        Ok(response) => {
            let closing = closes(&response);
            let end = read(response).await;
            let kept = !closing && end != End::Lost;
            (end, kept)
        }
        Err(_) => (End::Lost, false),
    }
}

fn closes(response: &Response) -> bool {
    let value = response.header("connection");
    value.is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"))
}

fn request(class: &Class, parts: &RequestParts<'_>) -> Option<Request> {
    let (host, path) = (&class.host, &class.route.path);
    let url = Url::parse(&format!("http://{host}{path}{}", parts.path)).ok()?;
    let method = class.route.methods[0].parse::<Method>().ok()?;
    let mut request = Request::new(method, url);
    request.insert_header("x-request-id", parts.id);
    if let Some(key) = parts.key {
        request.insert_header("authorization", format!("Bearer {key}"));
    }
    if let Some(token) = parts.token {
        request.insert_header("idempotency-key", token.as_str());
    }
    if matches!(method, Method::Post | Method::Put) {
        request.set_body("{}");
    }
    Some(request)
}

async fn read(mut response: Response) -> End {
    let status = u16::from(response.status());
    let expected = response.len();
    let Ok(body) = response.body_bytes().await else {
        return End::Lost;
    };
    if expected.is_some_and(|size| size != body.len()) {
        return End::Lost;
    }
    if let Ok(refusal) = serde_json::from_slice::<Refusal>(&body) {
        let ran = if refusal.ran == "not-run" {
            Ran::No
        } else {
            Ran::Maybe
        };
        let code = refusal.code;
        return End::Refused { code, ran };
    }
    let answer = serde_json::from_slice::<Answer>(&body).ok();
    let segment = |a: Answer| a.path.rsplit('/').next().map(str::to_owned);
    End::Answered {
        status,
        echoed: answer.and_then(segment),
    }
}

fn unix_nanos() -> u64 {
    let span = SystemTime::now().duration_since(UNIX_EPOCH);
    span.unwrap_or_default().as_nanos() as u64
}
