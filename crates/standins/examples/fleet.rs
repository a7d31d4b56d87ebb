//! Runs a small fleet until Ctrl-C: platform, entry instances and backend servers.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use corianderway_standins::fleet::read_contracts;
use corianderway_standins::fleet::Error;
use corianderway_standins::fleet::Fleet;
use corianderway_standins::fleet::GrantedKey;
use corianderway_standins::fleet::Options;
use corianderway_standins::fleet::Topology;
use corianderway_standins::harness::request_key;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

const DEFAULT_FOLDER: &str = "deploy/local";

fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// The folder of the topology and the contracts; deploy/local by default.
        optional folder: PathBuf
        /// The caller port of the first entry instance; free ports by default.
        optional --port port: u16
        /// The log level of the entry instances.
        optional --level level: String
    };
    let folder = flags.folder.unwrap_or_else(|| DEFAULT_FOLDER.into());
    let defaults = Options::default();
    let options = Options {
        port: flags.port,
        level: flags.level.unwrap_or(defaults.level),
        ..defaults
    };
    match run(&folder, options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fleet: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(folder: &Path, options: Options) -> Result<(), Error> {
    // Registered before the start, so that a signal during it stops the fleet as well.
    let mut signals = Signals::new([SIGINT, SIGTERM]).expect("the signals can be caught");
    let topology = Topology::read(folder)?;
    let contracts = read_contracts(folder)?;
    let mut fleet = Fleet::start(&topology, &contracts, options)?;
    println!("platform  http://{}", fleet.platform.addr);
    for node in &fleet.nodes {
        let (id, region) = (&node.entry.id, &node.entry.region);
        let (callers, metrics) = (node.daemon.callers, node.daemon.metrics);
        println!("entry     http://{callers}  id={id} region={region} metrics=http://{metrics}");
    }
    for contract in &contracts {
        let granted = fleet.grant(&contract.account)?;
        println!("account   {}  key {}", contract.account, granted.text);
        print_requests(&fleet, contract, &granted);
    }
    println!("ready; Ctrl-C ends the fleet");
    signals.forever().next();
    fleet.stop()
}

// Prints a curl command for each route of a contract.
fn print_requests(
    fleet: &Fleet,
    contract: &corianderway_model::raw::Contract,
    granted: &GrantedKey,
) {
    let (Some(node), Some(host)) = (fleet.nodes.first(), contract.hosts.first()) else {
        return;
    };
    for route in &contract.routes {
        let method = route.methods.first().map_or("GET", String::as_str);
        let addr = node.daemon.callers;
        let mut parts = vec![format!("curl -i -X {method} -H 'Host: {host}'")];
        if route.access == corianderway_model::Access::Keyed {
            parts.push(format!("-H 'Authorization: Bearer {}'", granted.text));
        }
        if route.replay == corianderway_model::Replay::Once {
            let token = request_key(u64::from(std::process::id()));
            parts.push(format!("-H 'Idempotency-Key: {token}'"));
        }
        let line = parts.join(" ");
        println!("  {line} http://{addr}{}17", route.path);
    }
}
