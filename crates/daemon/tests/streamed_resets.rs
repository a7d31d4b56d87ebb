//! Backend servers whose answers are passed on as they come, and that answer a long upload before
//! they have read it, without a length, and end the connection.

mod support;
mod uploads;

use std::io::Write as _;
use std::time::Duration;

use corianderway_standins::estate::ReceivedRequest;
use corianderway_standins::estate::Scripted;
use corianderway_standins::estate::Step;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Client;
use corianderway_standins::harness::Reply;
use corianderway_standins::harness::Request;

use crate::support::Fleet;
use crate::support::HOST;
use crate::support::WAIT_TIMEOUT;
use crate::uploads::RESET_DELAY;
use crate::uploads::UPLOAD_BYTES;
use crate::uploads::UPLOAD_COUNT;

/// The size of the answer's part, which doesn't fit into the ring between the duties.
const PART_BYTES: usize = 200_000;

/// The number of parts of a slow upload, and the time between two of them.
const SLOW_PARTS: usize = 50;
const SLOW_INTERVAL: Duration = Duration::from_millis(100);

struct Uploads {
    fleet: Fleet,
    endpoint: Scripted,
    key: String,
}

impl Uploads {
    // Starts an instance that passes bodies on as they come, and one scripted server.
    fn start(script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static) -> Self {
        let mut fleet = Fleet::start(1, 1);
        let (_, key) = fleet.create_key("finder");
        let endpoint = Scripted::start(move |heard| match heard.target.as_str() {
            "/health" => vec![sized("{\"status\":\"ok\"}")],
            "/load" => vec![sized("{\"running\":0}")],
            target if target.starts_with("/dates/") => script(heard),
            _ => vec![sized("scripted")],
        });
        fleet.add_backend("finder-9", endpoint.addr);
        fleet.servers.clear();
        let get = Request::get("/capsules/1").host(HOST);
        until("answers of the scripted server", WAIT_TIMEOUT, || {
            let reply = fleet.entries[0].call(&get).ok()?;
            (reply.text() == "scripted").then_some(())
        })
        .unwrap();
        Self {
            fleet,
            endpoint,
            key,
        }
    }

    // Returns the complete answers to all uploads.
    fn upload_all(&self) -> Vec<Reply> {
        let mut complete = Vec::new();
        for number in 0..UPLOAD_COUNT {
            let post = Request::post(&format!("/dates/{number}")).host(HOST);
            let bytes = post.key(&self.key).body(vec![b'u'; UPLOAD_BYTES]).bytes();
            let mut client = Client::connect(self.fleet.entries[0].callers).unwrap();
            let mut writer = client.clone_stream().unwrap();
            let writing = std::thread::spawn(move || drop(writer.write_all(&bytes)));
            complete.extend(client.read("POST").ok().filter(|reply| reply.status == 200));
            drop(client);
            writing.join().unwrap();
        }
        let heard = self.endpoint.heard();
        let uploads = heard.iter().filter(|h| h.target.starts_with("/dates/"));
        assert!(uploads.count() >= UPLOAD_COUNT, "uploads that were sent");
        complete
    }
}

fn sized(body: &str) -> Step {
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    Step::Write([head.as_bytes(), body.as_bytes()].concat())
}

// Returns an answer without a length.
fn answer() -> Step {
    let head = b"HTTP/1.1 200 OK\r\n\r\n";
    Step::Write([&head[..], &vec![b'p'; PART_BYTES]].concat())
}

// Guards against a part of an answer that is taken for a whole one: the write of the upload fails
// with the reset, and the read behind it finds a plain end.
#[test]
fn a_streamed_early_answer_that_is_reset_is_not_complete() {
    let uploads = Uploads::start(|_| vec![answer(), Step::Reset]);
    let complete = uploads.upload_all().len();
    assert_eq!(complete, 0, "complete, of {UPLOAD_COUNT} answers");
}

// Guards against an end that is read right before the reset.
#[test]
fn a_streamed_early_answer_that_is_reset_after_its_end_is_not_complete() {
    let uploads = Uploads::start(|_| {
        let delay = Step::Wait(RESET_DELAY);
        vec![answer(), Step::Close, delay, Step::Reset]
    });
    let complete = uploads.upload_all().len();
    assert_eq!(complete, 0, "complete, of {UPLOAD_COUNT} answers");
}

// Guards against an answer that is cut off since its request has not been read.
#[test]
fn a_streamed_early_answer_is_complete_if_its_server_reads_on_after_its_end() {
    let uploads = Uploads::start(|_| {
        let rest = Step::Read(UPLOAD_BYTES - 1);
        vec![answer(), Step::Close, rest]
    });
    let complete = uploads.upload_all();
    assert_eq!(complete.len(), UPLOAD_COUNT);
    for reply in complete {
        assert_eq!(reply.body.len(), PART_BYTES);
    }
}

// Guards against a whole answer that is cut since its caller still sends.
#[test]
fn a_streamed_early_answer_is_complete_although_its_upload_takes_longer() {
    let uploads = Uploads::start(|_| {
        let rest = Step::Read(UPLOAD_BYTES - 1);
        vec![answer(), Step::Close, rest]
    });
    let post = Request::post("/dates/slow").host(HOST).key(&uploads.key);
    let bytes = post.body(vec![b'u'; UPLOAD_BYTES]).bytes();
    let mut client = Client::connect(uploads.fleet.entries[0].callers).unwrap();
    let mut writer = client.clone_stream().unwrap();
    let writing = std::thread::spawn(move || {
        for part in bytes.chunks(UPLOAD_BYTES / SLOW_PARTS) {
            writer.write_all(part).unwrap();
            std::thread::sleep(SLOW_INTERVAL);
        }
    });
    let reply = client.read("POST").unwrap();
    assert_eq!((reply.status, reply.body.len()), (200, PART_BYTES));
    drop(client);
    writing.join().unwrap();
}
