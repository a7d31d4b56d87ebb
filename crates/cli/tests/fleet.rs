//! The operator's first hour with the local fleet, all of it real processes.

mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use corianderway_standins::fleet::read_contracts;
use corianderway_standins::fleet::Fleet;
use corianderway_standins::fleet::Options;
use corianderway_standins::fleet::Topology;
use corianderway_standins::harness::until;
use corianderway_standins::harness::Reply;
use corianderway_standins::harness::Request;
use corianderway_standins::harness::Server;

use crate::support::command_at;
use crate::support::file;
use crate::support::Told;
use crate::support::FAILED;

/// The longest wait for a change to be in force.
const SOON: Duration = Duration::from_secs(10);
const HOST: &str = "families.lakeshore.example";

fn local() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/local")
}

fn ask(fleet: &Fleet, request: &Request) -> Reply {
    let request = request.clone().host(HOST);
    fleet.nodes[0].daemon.call(&request).unwrap()
}

fn waits(fleet: &Fleet, what: &str, request: &Request, status: u16) -> Reply {
    let look = || Some(ask(fleet, request)).filter(|r| r.status == status);
    until(what, SOON, look).unwrap()
}

struct Operator {
    platform: SocketAddr,
    instance: String,
}

impl Operator {
    fn runs(&self, args: &[&str]) -> Told {
        command_at(args, Some(self.platform))
    }

    fn explains(&self, request: &str) -> Told {
        self.runs(&["explain", request, "--instance", &self.instance])
    }
}

#[test]
fn an_operator_applies_grants_withdraws_moves_and_drains() {
    let topology = Topology::read(&local()).unwrap();
    let contracts = read_contracts(&local()).unwrap();
    let fleet = Fleet::start(&topology, &contracts, Options::default()).unwrap();
    let operator = Operator {
        platform: fleet.platform.addr,
        instance: fleet.nodes[0].daemon.metrics.to_string(),
    };
    apply_and_ask(&fleet, &operator);
    grant_and_withdraw(&fleet, &operator);
    move_and_take_back(&fleet, &operator);
    drain(&fleet, &operator);
}

fn apply_and_ask(fleet: &Fleet, operator: &Operator) {
    let contract = std::fs::read_to_string(local().join("families.yaml")).unwrap();
    let changed = file(&contract.replace("rate: 600", "rate: 500"));
    let told = operator.runs(&["contract", "apply", &changed]).done();
    assert!(told.out.contains("600.0 -> 500.0"), "{}", told.out);
    let reply = waits(fleet, "the contract", &Request::get("/capsules/17"), 200);
    let request = reply.header("x-request-id").unwrap();
    let told = operator.explains(request).done();
    assert!(told.out.contains("route=lookup"), "{}", told.out);
    assert_eq!(operator.explains("entry-00-1").code, FAILED);
}

fn grant_and_withdraw(fleet: &Fleet, operator: &Operator) {
    let granted = operator.runs(&["key", "grant", "families", "--json"]);
    let granted = granted.done().json();
    let seals = Request::get("/seals/17");
    let keyed = seals.clone().key(granted["key"].as_str().unwrap());
    waits(fleet, "the key", &keyed, 200);
    assert_eq!(ask(fleet, &seals).status, 401);
    let id = granted["id"].as_str().unwrap();
    let withdraw = ["key", "withdraw", id, "--wait", "10s", "--instance"];
    let told = operator.runs(&[&withdraw[..], &[operator.instance.as_str()]].concat());
    assert!(told.done().err.contains("in force everywhere"));
    for node in &fleet.nodes {
        let reply = node.daemon.call(&keyed.clone().host(HOST)).unwrap();
        assert_eq!(reply.status, 403, "{}", reply.text());
    }
}

// Without traffic nothing is proven, so the move stays in its trial until the
// operator takes it back and every instance has let go of the new version.
fn move_and_take_back(fleet: &Fleet, operator: &Operator) {
    let args = [
        "--id",
        "finder-09",
        "--service",
        "finder",
        "--version",
        "v2",
    ];
    let place = ["--region", "huron", "--domain", "huron-a", "--slots", "6"];
    let server = Server::start(&[args, place].concat()).unwrap();
    let described = server.describe().unwrap();
    fleet.platform.register_backend(&described).unwrap();
    let start = ["move", "start", "finder", "v2", "--deadline", "5m"];
    operator.runs(&start).done();
    let trial = || {
        let told = operator.runs(&["move", "show", "finder", "--json"]);
        (told.done().json()["value"]["state"] == "trial").then_some(())
    };
    until("the trial", SOON, trial).unwrap();
    operator.runs(&["move", "back", "finder"]).done();
    let watch = ["move", "watch", "finder", "--timeout", "30s"];
    let told = operator.runs(&watch);
    assert_eq!(told.code, FAILED, "{}", told.err);
    assert!(told.err.contains("withdrawn"), "{}", told.err);
}

fn drain(fleet: &Fleet, operator: &Operator) {
    let scope = ["server", "finder-01"];
    let verb = |verb| operator.runs(&[&["drain", verb], &scope[..]].concat());
    verb("plan").done();
    verb("watch").done();
    for _ in 0..20 {
        let reply = ask(fleet, &Request::get("/capsules/17"));
        assert_eq!(reply.header("x-server"), Some("finder-02"));
    }
    verb("cancel").done();
}
