//! The store duty: reads from and writes to the platform's store.
//!
//! The decision duty chooses the source: the store itself, or the replica of
//! another instance. The duty keeps a copy of the contents, publishes changes to
//! the decision duty, serves the copy to other instances and executes the
//! decision duty's commands. At most one source is followed at a time.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::task;
use corianderway_model::Era;
use corianderway_model::FailureDomain;
use corianderway_model::Region;
use corianderway_model::Revision;
use corianderway_model::SortedMap;
use corianderway_platform::settings::Settings;
use corianderway_platform::store;
use corianderway_platform::store::Call;
use corianderway_platform::store::Change;
use corianderway_platform::store::Consistency;
use corianderway_platform::store::Kind;
use corianderway_platform::store::Object;
use corianderway_platform::store::KINDS;
use corianderway_steer::Event;
use corianderway_steer::Member;
use corianderway_steer::Reach;
use corianderway_steer::Source;
use corianderway_steer::StoreCheck;
use corianderway_wire::log_line::LogLine;
use futures_lite::future::FutureExt as _;
use log::Level;

use crate::client::Client;
use crate::edge::copy::StoreCopy;
use crate::edge::heartbeat;
use crate::edge::learnt::Learnt;
use crate::edge::learnt::Origin;
use crate::edge::notifier::Notifier;
use crate::edge::replica_client;
use crate::edge::replica_server;
use crate::edge::rings::Input;
use crate::edge::rings::StoreCommand;
use crate::edge::watch;
use crate::edge::writes;
use crate::logs::Log;

/// The timeout for an answer of the store.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The timeout for the answer to a check, and to a probe by an instance that has read the store.
pub(super) const CHECK_TIMEOUT: Duration = Duration::from_millis(700);

/// The delay before the first retry of a failed call; doubles with each retry.
pub(super) const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The maximum delay before a retry of a failed call.
pub(super) const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// HTTP statuses of the store's answers.
pub(super) const OK: u16 = 200;
pub(super) const CREATED: u16 = 201;
pub(super) const NOT_FOUND: u16 = 404;
pub(super) const CONFLICT: u16 = 409;
pub(super) const HISTORY_GONE: u16 = 410;

/// The state that the tasks of the duty share.
#[derive(Debug)]
pub struct Context {
    pub(super) client: Client,
    pub(super) decisions: Sender<Input>,
    pub(super) log: Log,
    pub(super) me: Member,
    pub(super) regions: SortedMap<FailureDomain, Region>,
    /// The copy of the store.
    pub copy: RefCell<StoreCopy>,
    /// When each kind was last learnt of.
    pub(super) learnt: RefCell<Learnt>,
    /// Wakes the streams to instances that follow the copy.
    pub notifier: Notifier,
    /// Wakes the task that follows a kind, in the order of [`KINDS`], when its call may
    /// never be answered.
    pub(super) resend: [Notifier; KINDS.len()],
    /// The checks of the store, as they begin when it is followed.
    pub(super) checks: StoreCheck,
    reach: Cell<Reach>,
    // What is followed.
    source: Cell<Source>,
    // Dropping the sender cancels the tasks that follow the source.
    cancel: RefCell<Option<Sender<()>>>,
    // The kinds that were listed since the source was set, and are not being listed again.
    listed: RefCell<Vec<Kind>>,
    // The store's era; `None` before its first answer.
    era: Cell<Option<Era>>,
    // The era in which this instance's entry was last written.
    registered: Cell<Era>,
}

/// An answer of the store.
#[derive(Debug)]
pub(super) struct Answer {
    /// The HTTP status.
    pub(super) status: u16,
    /// The body.
    pub(super) body: Vec<u8>,
    /// The era of the store.
    pub(super) era: Era,
}

impl Context {
    /// Returns true if the copy is up to date with the store itself.
    pub fn is_current(&self) -> bool {
        self.reach.get() == Reach::Store
    }

    /// Returns true if the source is the store itself, even if not all kinds are
    /// listed yet.
    pub fn follows_store(&self) -> bool {
        self.source.get() == Source::Store
    }

    /// Returns true if the source is the replica of another instance.
    pub fn follows_replica(&self) -> bool {
        matches!(self.source.get(), Source::Copy(_))
    }

    /// Returns the latest era of the store that was noticed.
    pub(super) fn era(&self) -> Era {
        self.era.get().unwrap_or_default()
    }

    /// Returns true if each kind was read in the latest era of the store.
    pub(super) fn is_read(&self) -> bool {
        let copy = self.copy.borrow();
        let of_era = |kind| copy.of(kind).revision.is_some_and(|r| r.era == self.era());
        KINDS.into_iter().all(of_era)
    }

    /// Notices the era of an answer, or of a replica. If it is a later one, the store came back
    /// from an older copy, and everything must be read again.
    pub(super) async fn notice_era(&self, era: Era) {
        let Some(from) = self.era.get() else {
            self.era.set(Some(era));
            self.registered.set(era);
            return;
        };
        if era <= from {
            return;
        }
        // Precedes all events of the era. A second one of the same era changes nothing.
        send_event(self, Event::Restored(era)).await;
        if self.era() >= era {
            return;
        }
        let line = LogLine::new("store-era").with("from", from).with("to", era);
        self.log.put(Level::Info, line);
        self.era.set(Some(era));
        self.listed.borrow_mut().clear();
        // The decision duty keeps what it knows, but the copy is not served until it is read.
        self.reach.set(Reach::Nothing);
        self.resend.iter().for_each(Notifier::notify);
        self.notifier.notify();
    }

    /// Returns true once for each era in which the list of instances was read, except for
    /// the first: this instance's entry may be missing.
    pub(super) fn begin_registration(&self) -> bool {
        let known = self.copy.borrow().of(Kind::Members).revision;
        let era = known.map(|known| known.era).unwrap_or_default();
        self.registered.replace(era.max(self.registered.get())) < era
    }

    /// Applies a whole list of a kind; returns what changed.
    pub fn replace(
        &self,
        kind: Kind,
        origin: Origin,
        objects: Vec<Object>,
        revision: Revision,
    ) -> Vec<Change> {
        let mut copy = self.copy.borrow_mut();
        let changes = copy.of_mut(kind).replace(objects, revision);
        self.record(kind, origin, revision, &changes);
        self.notifier.notify();
        changes
    }

    /// Applies changes of a kind; returns those that were new.
    pub fn apply(
        &self,
        kind: Kind,
        origin: Origin,
        received: Vec<Change>,
        revision: Revision,
    ) -> Vec<Change> {
        let mut copy = self.copy.borrow_mut();
        let changes = copy.of_mut(kind).apply(received, revision);
        self.record(kind, origin, revision, &changes);
        self.notifier.notify();
        changes
    }

    fn record(&self, kind: Kind, origin: Origin, revision: Revision, changes: &[Change]) {
        let mut learnt = self.learnt.borrow_mut();
        learnt.record(&self.log, kind, origin, revision, changes.len());
    }

    /// Records that a kind is being listed.
    pub(super) fn begin_listing(&self, kind: Kind) {
        self.listed.borrow_mut().retain(|listed| *listed != kind);
    }

    /// Returns true if a kind was listed since the source was set, and is not being listed
    /// again.
    pub(super) fn is_listed(&self, kind: Kind) -> bool {
        self.listed.borrow().contains(&kind)
    }

    /// Returns true if a watch of a kind waits.
    pub(super) fn awaits_changes(&self, kind: Kind) -> bool {
        self.is_listed(kind) && self.resend[kind as usize].has_subscribers()
    }

    /// Records that a kind was listed; once all are, the copy is up to date with
    /// the store. A list of an earlier era doesn't count.
    pub async fn mark_listed(&self, kind: Kind) {
        let revision = self.copy.borrow().of(kind).revision;
        if revision.is_none_or(|revision| revision.era != self.era()) {
            return;
        }
        let complete = {
            let mut listed = self.listed.borrow_mut();
            if !listed.contains(&kind) {
                listed.push(kind);
            }
            listed.len() == KINDS.len()
        };
        if complete {
            self.set_reach(Reach::Store).await;
        }
    }

    /// Sets what the copy is up to date with, and informs the decision duty of a
    /// change.
    pub async fn set_reach(&self, reach: Reach) {
        if self.reach.replace(reach) != reach {
            self.notifier.notify();
            send_event(self, Event::Reach(reach)).await;
        }
    }

    // Sets the source and cancels the tasks that follow the former one. The
    // returned receiver closes when the source is set again.
    fn set_source(&self, source: Source) -> Receiver<()> {
        let (cancel, cancelled) = async_channel::bounded(1);
        self.source.set(source);
        self.listed.borrow_mut().clear();
        *self.cancel.borrow_mut() = Some(cancel);
        self.notifier.notify();
        cancelled
    }
}

/// Runs until the decision duty has ended.
pub fn run(
    settings: Settings,
    checks: StoreCheck,
    (listener, max_followers): (TcpListener, usize),
    commands: Receiver<StoreCommand>,
    decisions: Sender<Input>,
    log: Log,
) {
    task::block_on(async move {
        let ctx = Rc::new(Context {
            client: Client::new(settings.store),
            decisions,
            log,
            me: settings.member,
            regions: settings.regions,
            copy: RefCell::default(),
            learnt: RefCell::default(),
            notifier: Notifier::default(),
            resend: Default::default(),
            checks,
            reach: Cell::new(Reach::Nothing),
            source: Cell::new(Source::Nothing),
            cancel: RefCell::default(),
            listed: RefCell::default(),
            era: Cell::default(),
            registered: Cell::default(),
        });
        send_event(&ctx, Event::Seeds(settings.seeds)).await;
        task::spawn_local(replica_server::serve(
            listener,
            max_followers,
            Rc::clone(&ctx),
        ));
        task::spawn_local(writes::register(Rc::clone(&ctx)));
        while let Ok(command) = commands.recv().await {
            execute(&ctx, command).await;
        }
    });
}

async fn execute(ctx: &Rc<Context>, command: StoreCommand) {
    match command {
        StoreCommand::Follow(source) => follow(ctx, source).await,
        // Lists that are under way bring what is not known, and would begin anew.
        StoreCommand::Reread if ctx.follows_store() && KINDS.iter().all(|k| ctx.is_listed(*k)) => {
            follow(ctx, Source::Store).await;
        }
        StoreCommand::Reread => (),
        StoreCommand::Probe => {
            let ctx = Rc::clone(ctx);
            task::spawn_local(async move { probe(&ctx).await });
        }
        StoreCommand::ReportProgress(order, progress) => {
            let ctx = Rc::clone(ctx);
            task::spawn_local(async move { writes::report(&ctx, &order, progress).await });
        }
        StoreCommand::RemoveMember(member) => {
            let ctx = Rc::clone(ctx);
            task::spawn_local(async move { writes::remove_member(&ctx, &member).await });
        }
    }
}

async fn follow(ctx: &Rc<Context>, source: Source) {
    let cancelled = ctx.set_source(source);
    match source {
        Source::Nothing => ctx.set_reach(Reach::Nothing).await,
        Source::Store => {
            for kind in KINDS {
                let (ctx, cancelled) = (Rc::clone(ctx), cancelled.clone());
                task::spawn_local(async move {
                    let watching = async { Some(watch::follow(&ctx, kind).await) };
                    if let Some(why) = watching.or(until_cancelled(&cancelled)).await {
                        log_event(&ctx, "store-lost", kind, &why);
                        lose_source(&ctx, Event::StoreLost).await;
                    }
                });
            }
            let ctx = Rc::clone(ctx);
            task::spawn_local(async move {
                let checking = async { Some(heartbeat::run(&ctx).await) };
                if let Some(missed) = checking.or(until_cancelled(&cancelled)).await {
                    log_silence(&ctx, "store-lost", missed);
                    lose_source(&ctx, Event::StoreLost).await;
                }
            });
        }
        Source::Copy(from) => {
            let ctx = Rc::clone(ctx);
            task::spawn_local(async move {
                let following = async { Some(replica_client::follow(&ctx, from).await) };
                if let Some(loss) = following.or(until_cancelled(&cancelled)).await {
                    let line = LogLine::new("copy-lost").with("why", &loss);
                    ctx.log.put(Level::Info, line);
                    lose_source(&ctx, loss.event()).await;
                }
            });
        }
    }
}

// Ends when another source is set.
async fn until_cancelled<T>(cancelled: &Receiver<()>) -> Option<T> {
    let _ = cancelled.recv().await;
    None
}

// Handles the loss of the source. The event is sent even if the copy never was
// up to date with this source.
async fn lose_source(ctx: &Context, event: Event) {
    drop(ctx.set_source(Source::Nothing));
    ctx.reach.set(Reach::Nothing);
    ctx.notifier.notify();
    send_event(ctx, event).await;
}

// Checks whether the store answers. An instance that knows nothing takes what it can get, so
// it waits as long as for a list.
async fn probe(ctx: &Context) {
    let timeout = if ctx.is_read() {
        CHECK_TIMEOUT
    } else {
        ANSWER_TIMEOUT
    };
    let call = Call::list(Kind::Evacuations, None, Consistency::Cached);
    let why = match send_call(ctx, &call, timeout).await {
        Some(reply) if reply.status == OK => {
            send_event(ctx, Event::ProbeAnswered).await;
            return;
        }
        Some(reply) => format!("status {}", reply.status),
        None => "no answer".to_owned(),
    };
    log_event(ctx, "store-away", Kind::Evacuations, &why);
    send_event(ctx, Event::ProbeFailed).await;
}

/// Sends a call and notices the era of the answer, which may be earlier than the latest one.
pub(super) async fn send_call(ctx: &Context, call: &Call, timeout: Duration) -> Option<Answer> {
    let body = call.body.clone();
    let reply = ctx.client.call(call.method, &call.path, &[], body, timeout);
    let reply = Box::pin(reply).await.ok()?;
    match store::parse_era(reply.header(store::ERA_HEADER)) {
        Ok(era) => {
            ctx.notice_era(era).await;
            Some(Answer {
                status: reply.status,
                body: reply.body,
                era,
            })
        }
        Err(error) => {
            let line = LogLine::new("store-fault").with("why", &error);
            ctx.log.put(Level::Info, line);
            None
        }
    }
}

pub(super) async fn send_event(ctx: &Context, event: Event) {
    // Fails only at process end, since the decision duty ends last.
    drop(ctx.decisions.send(Input::Event(event)).await);
}

/// Logs that the store is lost, or that it answers again, after calls without an answer.
pub(super) fn log_silence(ctx: &Context, event: &str, missed: u32) {
    let line = LogLine::new(event).with("missed", missed);
    ctx.log.put(Level::Info, line);
}

pub(super) fn log_event(ctx: &Context, event: &str, kind: Kind, why: &str) {
    let line = LogLine::new(event)
        .with("kind", kind.as_str())
        .with("why", why);
    ctx.log.put(Level::Info, line);
}
