//! Running a scenario against a fleet of its own.

use std::cell::Cell;
use std::cell::RefCell;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use corianderway_model::Contract;
use snafu::ResultExt;

use crate::duty;
use crate::fleet;
use crate::fleet::read_contracts;
use crate::fleet::Fleet;
use crate::fleet::Granted;
use crate::fleet::Options;
use crate::fleet::Topology;
use crate::load::act::Moment;
use crate::load::book::Book;
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
use crate::load::usage::Usage;
use crate::load::worker;
use crate::load::worker::Part;

/// Threads that send requests.
const WORKERS: usize = 3;

/// Sendings of a request that runs once, while its outcome is open.
const SENDINGS: usize = 4;

/// New books under way to a worker.
const BOOKS: usize = 64;

/// The time from the start of the workers to the first request.
const LEAD: Duration = Duration::from_millis(200);

/// Runs a scenario once; `deploy` is the folder of the deployments.
///
/// # Errors
///
/// Fails when the deployment can't be read or the fleet can't be started.
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
    fleet.settle()?;
    let schedule = Schedule::draw(scenario, &contracts, seed, |account| {
        let mut granted = keys.iter();
        let key = granted.find(|k| k.account.as_str() == account)?;
        Some(key.text.as_str().into())
    });
    let schedule = Arc::new(schedule);
    let before = Usage::read(&fleet)?;
    let samples = send(scenario, target, seed, &schedule, &mut fleet)?;
    let after = Usage::read(&fleet)?;
    let mut summary = summarize(scenario, target, seed, &schedule, &samples);
    summary.usage = after.since(&before);
    // Without the system nothing is promised.
    if target == Target::Entries {
        let evidence = evidence::check(&fleet, &contracts, &schedule, &samples, seed)?;
        summary.violations = evidence.violations;
        summary.foreign = evidence.foreign;
    }
    Ok(summary)
}

fn grant(fleet: &mut Fleet, contracts: &[Contract]) -> Result<Vec<Granted>, Error> {
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
) -> Result<Vec<Sample>, Error> {
    let start = Instant::now() + LEAD;
    let (sender, samples) = async_channel::bounded(WORKERS);
    let mut updates = Vec::new();
    for number in 0..WORKERS {
        let part = Part {
            schedule: schedule.clone(),
            seed,
            number,
            workers: WORKERS,
            start,
        };
        let book = Book::of(fleet)?;
        updates.push(employ(part, scenario.callers, target, book, sender.clone()));
    }
    drop(sender);
    let mut moments = scenario.moments.clone();
    moments.sort_by_key(|m| m.at);
    for moment in &moments {
        happen(moment, start, fleet)?;
        let book = Arc::new(Book::of(fleet)?);
        for update in &updates {
            // A worker that has ended needs no book.
            drop(update.send_blocking(book.clone()));
        }
    }
    Ok(collect(&samples))
}

// Starts a worker and gives back where it takes new books.
fn employ(
    part: Part,
    callers: Callers,
    target: Target,
    book: Book,
    samples: Sender<Vec<Sample>>,
) -> Sender<Arc<Book>> {
    let (update, books) = async_channel::bounded(BOOKS);
    duty::spawn("callers", move || {
        let caller = Caller {
            book: RefCell::new(Arc::new(book)),
            books,
            callers,
            target,
            turn: Cell::new(part.number),
            sendings: SENDINGS,
            pool: RefCell::new(Pool::default()),
        };
        worker::run(part, caller, samples)
    });
    update
}

fn happen(moment: &Moment, start: Instant, fleet: &mut Fleet) -> Result<(), Error> {
    let due = start + moment.at;
    std::thread::sleep(due.saturating_duration_since(Instant::now()));
    moment.act.apply(fleet)
}

fn collect(samples: &Receiver<Vec<Sample>>) -> Vec<Sample> {
    let mut all = Vec::new();
    while let Ok(part) = samples.recv_blocking() {
        all.extend(part);
    }
    all.sort_by_key(|s| s.arrival);
    all
}
