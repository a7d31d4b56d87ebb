//! Sending one request.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_std::net::TcpStream;
use futures_lite::FutureExt;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;
use serde::Deserialize;

use crate::checker::Ran;
use crate::load::book::Book;
use crate::load::book::Target;
use crate::load::pool::Pool;
use crate::load::sample::End;
use crate::load::scenario::Callers;
use crate::load::schedule::Arrival;
use crate::load::schedule::Class;
use crate::load::schedule::Way;

/// The longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(30);

/// What the callers of one worker share.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) book: RefCell<Arc<Book>>,
    pub(crate) books: Receiver<Arc<Book>>,
    pub(crate) callers: Callers,
    pub(crate) target: Target,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) turn: Cell<usize>,
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
    /// Sends a request and waits for its whole answer.
    pub(crate) async fn send(&self, arrival: &Arrival, class: &Class, id: &str) -> End {
        let answered = self.attempt(arrival, class, id);
        let late = async {
            async_std::task::sleep(PATIENCE).await;
            End::Lost
        };
        answered.or(late).await
    }

    // Tries the next address only where no connection could be made.
    async fn attempt(&self, arrival: &Arrival, class: &Class, id: &str) -> End {
        for addr in self.addrs(arrival, class) {
            let kept = self.pool.borrow_mut().take(addr);
            let stream = match kept {
                Some(stream) => Ok(stream),
                None => TcpStream::connect(addr).await,
            };
            let Ok(stream) = stream else {
                self.pool.borrow_mut().give(addr, None);
                continue;
            };
            let key = class.key.as_ref().filter(|_| self.asks_entries(arrival));
            let end = exchange(&stream, class, key, id).await;
            let whole = !matches!(end, End::Lost);
            self.pool.borrow_mut().give(addr, whole.then_some(stream));
            return end;
        }
        End::Unreachable
    }

    // Only entry instances may see a key.
    fn asks_entries(&self, arrival: &Arrival) -> bool {
        arrival.way == Way::Tested && self.target == Target::Entries
    }

    // The newest book.
    fn book(&self) -> Arc<Book> {
        while let Ok(book) = self.books.try_recv() {
            self.book.replace(book);
        }
        self.book.borrow().clone()
    }

    fn addrs(&self, arrival: &Arrival, class: &Class) -> Vec<SocketAddr> {
        let book = self.book();
        let servers = book.servers(class.route.service.as_str());
        let nth = |n: usize| servers.get(n % servers.len().max(1)).copied();
        let one = match (arrival.way, self.target) {
            (Way::Direct, _) => nth(arrival.draw as usize),
            (Way::Tested, Target::Entries) => return book.entries(self.callers, arrival.draw),
            (Way::Tested, Target::RoundRobin) => nth(self.turn.replace(self.turn.get() + 1)),
            (Way::Tested, Target::LeastConnections) => self.pool.borrow_mut().least(servers),
        };
        one.into_iter().collect()
    }
}

async fn exchange(stream: &TcpStream, class: &Class, key: Option<&Arc<str>>, id: &str) -> End {
    if stream.set_nodelay(true).is_err() {
        return End::Lost;
    }
    let Some(request) = request(class, key, id) else {
        return End::Lost;
    };
    match async_h1::connect(stream.clone(), request).await {
        Ok(response) => read(response).await,
        Err(_) => End::Lost,
    }
}

fn request(class: &Class, key: Option<&Arc<str>>, id: &str) -> Option<Request> {
    let url = Url::parse(&format!("http://{}{}{id}", class.host, class.route.path)).ok()?;
    let method = class.route.methods[0].parse::<Method>().ok()?;
    let mut request = Request::new(method, url);
    request.insert_header("x-request-id", id);
    if let Some(key) = key {
        request.insert_header("authorization", format!("Bearer {key}"));
    }
    if class.once() {
        request.insert_header("idempotency-key", id);
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
