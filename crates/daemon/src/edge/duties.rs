//! The duties thread: holds the duty to report usage, or follows the instance that does.
//!
//! It has its own clients for the store and for the platform's API, so that neither waits
//! for other work. At most one store call and one report are open at a time; the answer to
//! one that was superseded is dropped.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::future;
use async_std::task;
use corianderway_duties::Action;
use corianderway_duties::Attempt;
use corianderway_duties::Duty;
use corianderway_duties::Event;
use corianderway_duties::Found;
use corianderway_duties::Moment;
use corianderway_duties::Note;
use corianderway_duties::Peer;
use corianderway_duties::Record;
use corianderway_duties::Report;
use corianderway_duties::Version;
use corianderway_model::Time;
use corianderway_platform::duties;
use corianderway_platform::settings::Settings;
use corianderway_platform::settings::UsageSettings;
use corianderway_platform::store;
use corianderway_platform::store::Call;
use corianderway_steer::AttemptCount;
use corianderway_steer::Member;
use corianderway_steer::Severity;
use corianderway_wire::log_line::LogLine;
use log::Level;

use crate::client::Client;
use crate::client::Reply;
use crate::clock;
use crate::clock::Clock;
use crate::edge::rings::DutyInput;
use crate::edge::rings::PeerMessage;
use crate::edge::store::CONFLICT;
use crate::edge::store::CREATED;
use crate::edge::store::NOT_FOUND;
use crate::edge::store::OK;
use crate::logs::Log;

/// The interval of the periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The timeout of a store call: a third of the shortest usual lease, so that a renewal can
/// be repeated.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// The timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The lowest HTTP status of a report that may succeed if it is repeated.
const SERVER_ERROR: u16 = 500;

/// The status of a report that came too soon after another.
const TOO_MANY: u16 = 429;

/// What the thread receives from and sends to.
#[derive(Debug)]
pub struct Rings {
    /// What other threads tell.
    pub inputs: Receiver<DutyInput>,
    /// To the same ring, for the answers to calls.
    pub answers: Sender<DutyInput>,
    /// To the peers duty.
    pub peers: Sender<PeerMessage>,
    /// To the metrics duty.
    pub samples: Sender<corianderway_steer::Note>,
    /// The token while this instance holds the duty, else 0.
    pub token: Arc<AtomicU64>,
    /// To the log duty.
    pub log: Log,
}

/// The state that the tasks of the thread share.
struct Context {
    store: Client,
    reports: Client,
    holder: String,
    // The number of the latest store call.
    latest: Cell<u64>,
    rings: Rings,
}

/// Returns the fallible state of the thread.
///
/// # Errors
///
/// Fails if a state chart is faulty.
pub fn start(
    settings: &Settings,
    usage: &UsageSettings,
) -> Result<Duty, corianderway_duties::ChartError> {
    Duty::new(peer(&settings.member), usage.terms.clone(), clock::boot())
}

/// Runs as long as the process.
pub fn run(settings: &Settings, usage: &UsageSettings, mut duty: Duty, clock: Clock, rings: Rings) {
    task::block_on(async move {
        let ctx = Rc::new(Context {
            store: Client::new(settings.store),
            reports: Client::new(usage.address),
            holder: settings.member.entry.id.as_str().to_owned(),
            latest: Cell::new(0),
            rings,
        });
        let mut next_tick = clock::boot();
        loop {
            let wait = next_tick.since(clock::boot());
            // Checked before the ring, which may never be empty under load.
            let input = if wait.is_zero() {
                None
            } else {
                future::timeout(wait, ctx.rings.inputs.recv()).await.ok()
            };
            let event = match input {
                Some(Ok(input)) => event(&ctx, clock, input),
                Some(Err(_closed)) => return,
                None => {
                    next_tick = clock::boot() + TICK_INTERVAL;
                    Some(Event::Tick)
                }
            };
            let Some(event) = event else {
                continue;
            };
            let mut actions = Vec::new();
            duty.step(moment(), event, &mut actions);
            let token = duty.token().unwrap_or(0);
            ctx.rings.token.store(token, Ordering::Release);
            for action in actions {
                execute(&ctx, action);
            }
        }
    });
}

fn moment() -> Moment {
    Moment {
        now: clock::boot(),
        wall_ms: clock::wall(),
    }
}

fn peer(member: &Member) -> Peer {
    Peer {
        id: member.entry.id.clone(),
        run: member.run,
        addr: member.entry.peers,
        millicores: member.millicores,
    }
}

// Returns the event that an input stands for; that of a superseded store call is none.
fn event(ctx: &Context, clock: Clock, input: DutyInput) -> Option<Event> {
    match input {
        DutyInput::Counted(counts) => {
            let (now, wall) = (clock.now(), clock::wall());
            let attempts = counts.into_iter().map(|count| attempt(now, wall, count));
            Some(Event::Counted(attempts.collect()))
        }
        DutyInput::Members(members) => Some(Event::Peers(members.iter().map(peer).collect())),
        DutyInput::Message(message) => Some(Event::Message(message)),
        DutyInput::Stored(call, event) => (call == ctx.latest.get()).then_some(event),
        DutyInput::Reported(event) => Some(event),
    }
}

// Places an attempt on the wall clock as it is now, so that a step of it moves all counts.
fn attempt(now: Time, wall_ms: u64, count: AttemptCount) -> Attempt {
    let age = now.since(count.sent).as_millis() as u64;
    Attempt {
        account: count.account,
        sent_ms: wall_ms.saturating_sub(age),
        change: count.change,
    }
}

fn execute(ctx: &Rc<Context>, action: Action) {
    match action {
        Action::Read => {
            let (ctx, number) = (Rc::clone(ctx), next_call(ctx));
            task::spawn_local(async move {
                let event = read(&ctx).await;
                drop(
                    ctx.rings
                        .answers
                        .send(DutyInput::Stored(number, event))
                        .await,
                );
            });
        }
        Action::Write(record, revision) => {
            let (ctx, number) = (Rc::clone(ctx), next_call(ctx));
            task::spawn_local(async move {
                let event = write(&ctx, &record, revision).await;
                drop(
                    ctx.rings
                        .answers
                        .send(DutyInput::Stored(number, event))
                        .await,
                );
            });
        }
        Action::Send {
            report,
            token,
            until,
        } => {
            let ctx = Rc::clone(ctx);
            task::spawn_local(async move {
                let event = send(&ctx, &report, token, until).await;
                drop(ctx.rings.answers.send(DutyInput::Reported(event)).await);
            });
        }
        Action::Tell(to, message) => {
            // Dropped if the ring is full; the next message supersedes it.
            let message = corianderway_steer::Message::Duty(message);
            drop(ctx.rings.peers.try_send((to, message)));
        }
        Action::Log(note) => publish(ctx, note),
    }
}

fn next_call(ctx: &Context) -> u64 {
    ctx.latest.set(ctx.latest.get() + 1);
    ctx.latest.get()
}

async fn read(ctx: &Context) -> Event {
    let Some(reply) = call_store(ctx, &duties::read()).await else {
        return Event::ReadFailed;
    };
    let era = duties::parse_era(reply.header(store::ERA_HEADER));
    match reply.status {
        OK => duties::parse(&reply.body, era).map_or(Event::ReadFailed, Event::Read),
        NOT_FOUND => Event::Read(Found {
            version: Version { era, revision: 0 },
            record: None,
        }),
        _ => Event::ReadFailed,
    }
}

async fn write(ctx: &Context, record: &Record, revision: u64) -> Event {
    let Ok(call) = duties::write(record, revision) else {
        return Event::WriteFailed;
    };
    let Some(reply) = call_store(ctx, &call).await else {
        return Event::WriteFailed;
    };
    let era = duties::parse_era(reply.header(store::ERA_HEADER));
    let found = duties::parse(&reply.body, era);
    match (reply.status, found) {
        (OK | CREATED, Ok(found)) => Event::Written(found.version),
        (CONFLICT, Ok(found)) => Event::Conflict(found),
        (NOT_FOUND, _) => Event::Conflict(Found {
            version: Version { era, revision: 0 },
            record: None,
        }),
        _ => Event::WriteFailed,
    }
}

async fn call_store(ctx: &Context, call: &Call) -> Option<Reply> {
    let body = call.body.clone();
    let reply = ctx
        .store
        .call(call.method, &call.path, &[], body, STORE_TIMEOUT);
    // Opening the connection has a timeout of its own, longer than a renewal may take.
    let reply = future::timeout(STORE_TIMEOUT, Box::pin(reply));
    reply.await.ok()?.ok()
}

// Sends a report unless the lease has ended by the time the connection is open.
async fn send(ctx: &Context, report: &Report, token: u64, until: Time) -> Event {
    let window = report.window;
    let call = duties::report(&ctx.holder, token, report);
    let left = until.since(clock::boot()).min(REPORT_TIMEOUT);
    let permitted = || clock::boot() < until;
    let (method, path, body) = (call.call.method, &call.call.path, call.call.body);
    let reply = ctx
        .reports
        .call_if(method, path, &call.headers, body, left, permitted);
    match future::timeout(left, Box::pin(reply)).await {
        Ok(Ok(reply)) if reply.status == TOO_MANY || reply.status >= SERVER_ERROR => {
            Event::Unanswered(window)
        }
        Ok(Ok(reply)) if (OK..300).contains(&reply.status) => Event::Accepted(window),
        Ok(Ok(reply)) => Event::Rejected(window, reply.status),
        Ok(Err(_)) | Err(_) => Event::Unanswered(window),
    }
}

fn publish(ctx: &Context, note: Note) {
    let line = LogLine::new(note.event);
    let fields = note.fields.iter();
    let line = fields.fold(line, |line, (name, value)| line.with(name, value));
    let (level, severity) = if note.alert {
        (Level::Warn, Severity::Alert)
    } else {
        (Level::Info, Severity::Notable)
    };
    ctx.rings.log.put(level, line);
    // A sample is lost if the ring is full.
    let sample = corianderway_steer::Note::new(severity, note.event);
    drop(ctx.rings.samples.try_send(sample));
}
