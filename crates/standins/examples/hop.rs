//! Measures the cost of the hop through an entry instance compared with a direct connection.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use corianderway_model::raw;
use corianderway_standins::fleet::Fleet;
use corianderway_standins::fleet::Options;
use corianderway_standins::fleet::Topology;
use corianderway_standins::harness::Client;
use corianderway_standins::harness::Request;
use hdrhistogram::Histogram;

/// The deployment to measure. One of its entry instances receives all requests.
const DEPLOYMENT: &str = "deploy/local";

/// The duration of each measurement.
const MEASURE_TIME: Duration = Duration::from_secs(6);

/// The rate and burst of the contracts, high enough that no limit applies.
const UNLIMITED_RATE: f64 = 1_000_000.0;

/// The kernel's clock ticks per second, the unit of processor time in /proc.
const TICKS_PER_S: f64 = 100.0;

/// The maximum latency of the histogram; longer ones count as this one.
const MAX_LATENCY_NS: u64 = 60_000_000_000;

/// The result of one measurement.
struct Figures {
    served: u64,
    refused: u64,
    latency: Histogram<u64>,
    processor_time: f64,
}

fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// The number of callers, each of which sends one request after the other;
        /// 1, 8 and 32 by default.
        repeated --callers callers: usize
    };
    let callers = if flags.callers.is_empty() {
        vec![1, 8, 32]
    } else {
        flags.callers
    };
    match measure(&callers) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hop: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(callers: &[usize]) -> Result<(), Box<dyn std::error::Error>> {
    let folder = std::path::Path::new(DEPLOYMENT);
    let topology = Topology::read(folder)?;
    let mut contracts = corianderway_standins::fleet::read_contracts(folder)?;
    contracts.iter_mut().for_each(raise_limits);
    let options = Options {
        level: "error".to_owned(),
        ..Options::default()
    };
    let fleet = Fleet::start(&topology, &contracts, options)?;
    let host = contracts[0].hosts[0].clone();
    let request = Request::get("/capsules/1?work_ms=0").host(&host);
    let entry = &fleet.nodes[0].daemon;
    let direct = fleet.servers[0].addr;
    println!("callers  way     served/s  refused  p50 us  p99 us  processor us a request");
    for count in callers {
        for (way, addr) in [("direct", direct), ("entry", entry.callers)] {
            let figures = run(addr, &request, *count, entry.process.id());
            print(*count, way, &figures);
        }
    }
    Ok(())
}

fn raise_limits(contract: &mut raw::Contract) {
    contract.rate = UNLIMITED_RATE;
    contract.burst = UNLIMITED_RATE;
    for region in &mut contract.regions {
        region.capacity = UNLIMITED_RATE;
        region.shift = UNLIMITED_RATE;
    }
}

fn run(addr: SocketAddr, request: &Request, callers: usize, process_id: u32) -> Figures {
    let before = processor_time(process_id).unwrap_or_default();
    let threads: Vec<_> = (0..callers)
        .map(|_| {
            let request = request.clone();
            thread::spawn(move || call(addr, &request))
        })
        .collect();
    let mut latency = histogram();
    let (mut served, mut refused) = (0, 0);
    for thread in threads {
        let (one, refusals) = thread.join().expect("a caller never panics");
        served += one.len();
        refused += refusals;
        latency
            .add(&one)
            .expect("both histograms have the same bounds");
    }
    Figures {
        served,
        refused,
        latency,
        processor_time: processor_time(process_id).unwrap_or_default() - before,
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_NS, 3).expect("three digits are allowed")
}

fn call(addr: SocketAddr, request: &Request) -> (Histogram<u64>, u64) {
    let mut latency = histogram();
    let mut refused = 0;
    let end = Instant::now() + MEASURE_TIME;
    let Ok(mut client) = Client::connect(addr) else {
        return (latency, refused);
    };
    while Instant::now() < end {
        let started = Instant::now();
        match client.call(request) {
            Ok(reply) if reply.status == 200 => {
                latency.saturating_record(started.elapsed().as_nanos() as u64);
            }
            Ok(_) => refused += 1,
            Err(_) => break,
        }
    }
    (latency, refused)
}

// Returns the processor time of a process since its start, in seconds.
fn processor_time(process: u32) -> io::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let after = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<f64> = after
        .split_whitespace()
        .map(|field| field.parse().unwrap_or_default())
        .collect();
    // User and system time are the 14th and 15th fields of all, and the 12th and
    // 13th after the process name.
    Ok((fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0)) / TICKS_PER_S)
}

fn print(callers: usize, way: &str, figures: &Figures) {
    let micros = |quantile| figures.latency.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{callers:>7}  {way:<6}  {:>8.0}  {:>7}  {:>6.0}  {:>6.0}  {:>22.0}",
        figures.served as f64 / MEASURE_TIME.as_secs_f64(),
        figures.refused,
        micros(0.5),
        micros(0.99),
        figures.processor_time * 1e6 / figures.served.max(1) as f64,
    );
}
