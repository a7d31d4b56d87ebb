//! Requests on the platform that are unusual but harmless: what they get, and that they don't make
//! sound backend servers count as faulty.

mod scripted_fleet;

use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpStream;

use corianderway_standins::estate::node;
use corianderway_standins::estate::Step;
use corianderway_standins::harness::call;
use corianderway_standins::harness::Request;

use crate::scripted_fleet::run_and_answer;
use crate::scripted_fleet::Fleet;
use crate::scripted_fleet::BODY;
use crate::scripted_fleet::WAIT_TIMEOUT;

// Guards against a caller whose id looks like the start of a second answer. Backend servers
// echo it, so a sound server would count as one that breaks off its answers.
#[test]
fn an_id_that_looks_like_a_status_line_fails_no_backend_server() {
    let fleet = Fleet::start(|heard| run_and_answer(heard, 200));
    assert_eq!(fleet.post("/read/17", "r-0").status, 200);
    let status = fleet.post("/read/17", "HTTP/1.1 200").status;
    assert!(matches!(status, 200 | 400), "{status}");
    let lines = fleet.instance.process.lines();
    let broken = lines.iter().find(|line| line.contains("outcome=Broken"));
    assert_eq!(broken, None);
}

// Guards against a caller that sends no id, on a connection that was used before: the answer
// can't be matched, and a sound backend server would count as a faulty one.
#[test]
fn a_request_without_an_id_fails_no_backend_server() {
    let fleet = Fleet::start(|heard| {
        if heard.id.is_empty() {
            let answer = b"HTTP/1.1 400 No Id\r\nNot-Run: id\r\nContent-Length: 0\r\n\r\n";
            return vec![Step::Read(BODY.len()), Step::Write(answer.to_vec())];
        }
        run_and_answer(heard, 200)
    });
    for number in 0..4 {
        let id = format!("r-{number}");
        fleet.until("an answer", || {
            (fleet.post("/read/17", &id).status == 200).then_some(())
        });
        let request = Request::post("/read/17").header("Host", node::HOST);
        let addr = fleet.instance.addr(node::CALLERS_PORT);
        let status = call(addr, &request.body(BODY)).unwrap().status;
        assert_ne!(status, 502);
    }
    let lines = fleet.instance.process.lines();
    let broken = lines.iter().find(|line| line.contains("outcome=Broken"));
    assert_eq!(broken, None);
}

// Guards against the body of a refusal that is sent for a `HEAD` request: its caller reads
// the body as the start of the next answer on the connection.
#[test]
fn a_refused_head_request_gets_no_body() {
    let fleet = Fleet::start(|heard| run_and_answer(heard, 200));
    let mut stream = TcpStream::connect(fleet.instance.addr(node::CALLERS_PORT)).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let host = node::HOST;
    let head = format!("HEAD /nowhere HTTP/1.1\r\nHost: {host}\r\nRequest-Id: r-0\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    let get = format!(
        "GET /nowhere HTTP/1.1\r\nHost: {host}\r\nRequest-Id: r-1\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(get.as_bytes()).unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    let text = String::from_utf8_lossy(&bytes);
    let second = text.split_once("\r\n\r\n").unwrap().1;
    assert!(second.starts_with("HTTP/1.1 404"), "{text}");
}
