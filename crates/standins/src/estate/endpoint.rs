//! An endpoint of the platform: runs requests and keeps what it saw.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_h1::server;
use async_std::net;
use async_std::task;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;
use serde_json::Value;

use crate::duty;

/// The stamp on every answer.
const STAMP: &str = "3e1b.07.5a2";

/// How long a request for `/slow/` runs.
const SLOW: Duration = Duration::from_millis(1_500);

/// The slots that an entry tells.
const SLOTS: u32 = 8;

/// One request that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The method and the target.
    pub line: String,
    /// The caller's id of the request.
    pub id: String,
    /// The client account that was named.
    pub account: Option<String>,
    /// The names of all headers, in lower case.
    pub headers: Vec<String>,
    /// The body.
    pub body: String,
}

/// A running endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its identity.
    pub id: String,
    /// Where it takes requests.
    pub addr: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Endpoint {
    /// Starts an endpoint.
    ///
    /// # Panics
    ///
    /// Panics when the system gives no port.
    pub fn start(id: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("the address of a listener");
        let endpoint = Self {
            id: id.to_owned(),
            addr,
            seen: Arc::default(),
        };
        let served = endpoint.clone();
        duty::spawn("endpoint", move || serve(listener, served));
        endpoint
    }

    /// What it says of itself in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str, seq: u64) -> Value {
        json!({
            "address": self.addr.to_string(),
            "info": { "service": service, "version": "v1", "zone": zone, "slots": SLOTS },
            "status": { "state": state, "seq": seq, "cold_left_ms": 0 },
            "born": 1_790_000_000_000_u64,
        })
    }

    /// The requests that ran, in their order.
    pub fn seen(&self) -> Vec<Seen> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn serve(listener: TcpListener, endpoint: Endpoint) {
    let listener = net::TcpListener::from(listener);
    while let Ok((stream, _)) = listener.accept().await {
        let endpoint = endpoint.clone();
        task::spawn_local(async move {
            let answer = |request: Request| {
                let endpoint = endpoint.clone();
                async move { Ok(run(request, &endpoint).await) }
            };
            // A connection that breaks concerns its caller only.
            drop(server::accept(stream, answer).await);
        });
    }
}

async fn run(mut request: Request, endpoint: &Endpoint) -> Response {
    let header = |request: &Request, name: &str| {
        let values = request.header(name);
        values.map(|values| values.as_str().to_owned())
    };
    let meant = header(&request, "expect-instance");
    if meant.is_some_and(|meant| meant != endpoint.id) {
        let mut response = Response::new(StatusCode::MisdirectedRequest);
        response.insert_header("instance-id", &endpoint.id);
        return response;
    }
    let url = request.url();
    let query = url.query().map_or(String::new(), |q| format!("?{q}"));
    let slow = url.path().starts_with("/slow/");
    let line = format!("{} {}{query}", request.method(), url.path());
    let body = request.body_string().await.unwrap_or_default();
    let id = header(&request, "request-id").unwrap_or_default();
    endpoint.lock().push(Seen {
        line,
        id: id.clone(),
        account: header(&request, "tenant"),
        headers: request.header_names().map(ToString::to_string).collect(),
        body,
    });
    if slow {
        task::sleep(SLOW).await;
    }
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header("request-id", id);
    response.insert_header("server-stamp", STAMP);
    response.insert_header("server-load", format!("1,0,{SLOTS}"));
    response.set_body(format!("answer of {}", endpoint.id));
    response
}
