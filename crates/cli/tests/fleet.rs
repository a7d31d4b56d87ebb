//! Runs the operator's verbs against the local fleet of real processes.

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
use crate::support::temp_file;
use crate::support::CommandResult;
use crate::support::FAILED;

/// The timeout for a change to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
const HOST: &str = "families.lakeshore.example";

fn local_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/local")
}

fn call_first(fleet: &Fleet, request: &Request) -> Reply {
    let request = request.clone().host(HOST);
    fleet.nodes[0].daemon.call(&request).unwrap()
}

fn wait_for_status(fleet: &Fleet, what: &str, request: &Request, status: u16) -> Reply {
    let poll = || Some(call_first(fleet, request)).filter(|r| r.status == status);
    until(what, IN_FORCE_TIMEOUT, poll).unwrap()
}

struct Operator {
    platform: SocketAddr,
    instance: String,
}

impl Operator {
    fn run(&self, args: &[&str]) -> CommandResult {
        command_at(args, Some(self.platform))
    }

    fn explain(&self, request: &str) -> CommandResult {
        self.run(&["explain", request, "--instance", &self.instance])
    }
}

#[test]
fn an_operator_applies_grants_withdraws_moves_and_drains() {
    let topology = Topology::read(&local_dir()).unwrap();
    let contracts = read_contracts(&local_dir()).unwrap();
    let fleet = Fleet::start(&topology, &contracts, Options::default()).unwrap();
    let operator = Operator {
        platform: fleet.platform.addr,
        instance: fleet.nodes[0].daemon.metrics.to_string(),
    };
    apply_and_explain(&fleet, &operator);
    grant_and_withdraw_key(&fleet, &operator);
    start_move_and_take_back(&fleet, &operator);
    plan_and_cancel_drain(&fleet, &operator);
}

fn apply_and_explain(fleet: &Fleet, operator: &Operator) {
    let contract = std::fs::read_to_string(local_dir().join("families.yaml")).unwrap();
    let changed = temp_file(&contract.replace("rate: 600", "rate: 500"));
    let result = operator
        .run(&["contract", "apply", &changed])
        .expect_success();
    assert!(result.out.contains("600.0 -> 500.0"), "{}", result.out);
    let reply = wait_for_status(fleet, "the contract", &Request::get("/capsules/17"), 200);
    let request = reply.header("x-request-id").unwrap();
    let result = operator.explain(request).expect_success();
    assert!(result.out.contains("route=lookup"), "{}", result.out);
    assert_eq!(operator.explain("entry-00-1").code, FAILED);
}

fn grant_and_withdraw_key(fleet: &Fleet, operator: &Operator) {
    let granted = operator.run(&["key", "grant", "families", "--json"]);
    let granted = granted.expect_success().json();
    let seals = Request::get("/seals/17");
    let keyed = seals.clone().key(granted["key"].as_str().unwrap());
    wait_for_status(fleet, "the key", &keyed, 200);
    assert_eq!(call_first(fleet, &seals).status, 401);
    let id = granted["id"].as_str().unwrap();
    let withdraw = ["key", "withdraw", id, "--wait", "10s", "--instance"];
    let result = operator.run(&[&withdraw[..], &[operator.instance.as_str()]].concat());
    assert!(result.expect_success().err.contains("in force everywhere"));
    for node in &fleet.nodes {
        let reply = node.daemon.call(&keyed.clone().host(HOST)).unwrap();
        assert_eq!(reply.status, 403, "{}", reply.text());
    }
}

// Without traffic there is no evidence, so the move stays in its trial until the
// operator takes it back and no instance routes to the new version any more.
fn start_move_and_take_back(fleet: &Fleet, operator: &Operator) {
    let args = [
        "--id",
        "finder-09",
        "--service",
        "finder",
        "--version",
        "v2",
    ];
    let location = ["--region", "huron", "--domain", "huron-a", "--slots", "6"];
    let server = Server::start(&[args, location].concat()).unwrap();
    let described = server.describe().unwrap();
    fleet.platform.register_backend(&described).unwrap();
    let start = ["move", "start", "finder", "v2", "--deadline", "5m"];
    operator.run(&start).expect_success();
    let trial = || {
        let result = operator.run(&["move", "show", "finder", "--json"]);
        (result.expect_success().json()["value"]["state"] == "trial").then_some(())
    };
    until("the trial", IN_FORCE_TIMEOUT, trial).unwrap();
    operator.run(&["move", "back", "finder"]).expect_success();
    let watch = ["move", "watch", "finder", "--timeout", "30s"];
    let result = operator.run(&watch);
    assert_eq!(result.code, FAILED, "{}", result.err);
    assert!(result.err.contains("withdrawn"), "{}", result.err);
}

fn plan_and_cancel_drain(fleet: &Fleet, operator: &Operator) {
    let scope = ["server", "finder-01"];
    let verb = |verb| operator.run(&[&["drain", verb], &scope[..]].concat());
    verb("plan").expect_success();
    verb("watch").expect_success();
    for _ in 0..20 {
        let reply = call_first(fleet, &Request::get("/capsules/17"));
        assert_eq!(reply.header("x-server"), Some("finder-02"));
    }
    verb("cancel").expect_success();
}
