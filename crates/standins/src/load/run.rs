//! Runs a scenario against its own fleet.

use std::cell::Cell;
use std::cell::RefCell;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_channel::Receiver;
use async_channel::Sender;
use corianderway_model::Contract;
use snafu::ResultExt;

use crate::duty;
use crate::fleet;
use crate::fleet::read_contracts;
use crate::fleet::Fleet;
use crate::fleet::GrantedKey;
use crate::fleet::Options;
use crate::fleet::Topology;
use crate::harness::Process;
use crate::harness::Server;
use crate::load::act::Act;
use crate::load::aftermath;
use crate::load::aftermath::AppliedAct;
use crate::load::aftermath::RunData;
use crate::load::book::AddressBook;
use crate::load::book::Target;
use crate::load::caller::Caller;
use crate::load::error::Error;
use crate::load::evidence;
use crate::load::pool::Pool;
use crate::load::sample::Sample;
use crate::load::scenario::Callers;
use crate::load::scenario::Scenario;
use crate::load::schedule::Schedule;
use crate::load::summary::summarize;
use crate::load::summary::Summary;
use crate::load::usage::Reading;
use crate::load::worker;
use crate::load::worker::WorkerShare;

/// The number of threads that send requests.
const WORKERS: usize = 3;

/// The maximum number of attempts of a request whose route runs it at most once.
const MAX_ATTEMPTS: usize = 4;

/// The capacity of the ring of address books to a worker.
const BOOK_RING_CAPACITY: usize = 64;

/// The time from the start of the workers to the start of the schedule.
const START_DELAY: Duration = Duration::from_millis(200);

/// Runs a scenario once and returns its summary; `deploy` is the folder of the
/// deployments.
///
/// # Errors
///
/// Returns an error if the deployment can't be read or the fleet can't be
/// started or changed.
pub fn run(
    scenario: &Scenario,
    deploy: &Path,
    target: Target,
    seed: u64,
) -> Result<Summary, Error> {
    let folder = deploy.join(&scenario.deployment);
    let topology = Topology::read(&folder)?;
    let raw = read_contracts(&folder)?;
    let checked = raw.iter().cloned().map(Contract::try_from);
    let contracts = checked.collect::<Result<Vec<_>, _>>();
    let contracts = contracts.context(fleet::ContractSnafu)?;
    let options = Options {
        seed,
        level: "warn".into(),
        ..Options::default()
    };
    let mut fleet = Fleet::start(&topology, &raw, options)?;
    let keys = grant(&mut fleet, &contracts)?;
    fleet.wait_until_ready()?;
    let schedule = Schedule::draw(scenario, &contracts, seed, |account| {
        let mut granted = keys.iter();
        let key = granted.find(|k| k.account.as_str() == account)?;
        Some(key.text.as_str().into())
    });
    let schedule = Arc::new(schedule);
    let before = Reading::take(&fleet)?;
    let sent = send(scenario, target, seed, &schedule, &mut fleet)?;
    let after = Reading::take(&fleet)?;
    let mut summary = summarize(scenario, target, seed, &schedule, &sent.samples);
    summary.usage = after.since(&before);
    let evidence = evidence::read_records(&fleet, seed)?;
    summary.foreign = evidence.foreign;
    let backends = fleet.servers.iter().map(Server::describe);
    let data = RunData {
        schedule: &schedule,
        samples: &sent.samples,
        runs: &evidence.runs,
        backends: &backends.collect::<Result<Vec<_>, _>>()?,
    };
    summary.aftermath = data.lines(&sent.applied);
    summary.aftermath.extend(sent.ended);
    // The guarantees hold only for requests through the entry instances.
    if target == Target::Entries {
        summary.violations = evidence.check(&contracts, &schedule, &sent.samples);
    }
    Ok(summary)
}

// The samples of a run and the acts applied during it.
struct SendResult {
    samples: Vec<Sample>,
    applied: Vec<AppliedAct>,
    // One line on each operator's command.
    ended: Vec<String>,
}

fn unix_nanos() -> u64 {
    let span = SystemTime::now().duration_since(UNIX_EPOCH);
    span.unwrap_or_default().as_nanos() as u64
}

fn grant(fleet: &mut Fleet, contracts: &[Contract]) -> Result<Vec<GrantedKey>, Error> {
    let mut keys = Vec::with_capacity(contracts.len());
    for contract in contracts {
        keys.push(fleet.grant(contract.account.as_str())?);
    }
    Ok(keys)
}

fn send(
    scenario: &Scenario,
    target: Target,
    seed: u64,
    schedule: &Arc<Schedule>,
    fleet: &mut Fleet,
) -> Result<SendResult, Error> {
    let start = Instant::now() + START_DELAY;
    let (sender, samples) = async_channel::bounded(WORKERS);
    let mut updates = Vec::new();
    for number in 0..WORKERS {
        let share = WorkerShare {
            schedule: schedule.clone(),
            seed,
            number,
            workers: WORKERS,
            start,
        };
        let book = AddressBook::of(fleet)?;
        updates.push(start_worker(
            share,
            scenario.callers,
            target,
            book,
            sender.clone(),
        ));
    }
    drop(sender);
    let mut applied = Vec::new();
    let mut operator_lines = Vec::new();
    let mut moments = scenario.moments.clone();
    moments.sort_by_key(|m| m.at);
    for moment in &moments {
        let scheduled = start + moment.at;
        std::thread::sleep(scheduled.saturating_duration_since(Instant::now()));
        applied.push(AppliedAct {
            act: moment.act.clone(),
            at: unix_nanos(),
        });
        moment.act.apply(fleet)?;
        if let Act::Operator(args) = &moment.act {
            let time_left = scenario.length.saturating_sub(moment.at);
            operator_lines.push(start_operator(moment.act.label(), args, fleet, time_left)?);
        }
        let book = Arc::new(AddressBook::of(fleet)?);
        for update in &updates {
            // A send fails only if the worker has ended, and then needs no address book.
            drop(update.send_blocking(book.clone()));
        }
    }
    let samples = collect(&samples);
    let ended = operator_lines
        .into_iter()
        .filter_map(|w| w.recv_blocking().ok());
    Ok(SendResult {
        samples,
        applied,
        ended: ended.collect(),
    })
}

// Starts the operator's command and a thread that waits for it. The returned
// ring receives the line on how it ended.
fn start_operator(
    label: String,
    args: &[String],
    fleet: &Fleet,
    limit: Duration,
) -> Result<Receiver<String>, Error> {
    let platform = fleet.platform.addr.to_string();
    let mut args = args.iter().map(String::as_str).collect::<Vec<_>>();
    args.extend(["--platform", &platform]);
    let process = Process::spawn("corianderway", &args)?;
    let (line_sender, operator_lines) = async_channel::bounded(1);
    duty::spawn("operator", move || async move {
        let line = aftermath::wait_for_operator(&label, process, limit);
        // Fails only if the run has ended with an error and dropped the receiver.
        drop(line_sender.send(line).await);
    });
    Ok(operator_lines)
}

// Starts a worker and returns the ring for new address books.
fn start_worker(
    share: WorkerShare,
    callers: Callers,
    target: Target,
    book: AddressBook,
    samples: Sender<Vec<Sample>>,
) -> Sender<Arc<AddressBook>> {
    let (update, books) = async_channel::bounded(BOOK_RING_CAPACITY);
    duty::spawn("callers", move || {
        let caller = Caller {
            book: RefCell::new(Arc::new(book)),
            books,
            callers,
            target,
            turn: Cell::new(share.number),
            max_attempts: MAX_ATTEMPTS,
            pool: RefCell::new(Pool::default()),
        };
        worker::run(share, caller, samples)
    });
    update
}

fn collect(samples: &Receiver<Vec<Sample>>) -> Vec<Sample> {
    let mut all = Vec::new();
    while let Ok(share) = samples.recv_blocking() {
        all.extend(share);
    }
    all.sort_by_key(|s| s.arrival);
    all
}
