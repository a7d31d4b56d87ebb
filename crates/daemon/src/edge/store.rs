//! The store duty: follows the platform's store, writes to it, and serves a
//! copy of it to instances that the store turns away.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::task;
use corianderway_model::FailureDomain;
use corianderway_model::Region;
use corianderway_model::ServerId;
use corianderway_model::Sorted;
use corianderway_platform::objects;
use corianderway_platform::objects::ObjectError;
use corianderway_platform::settings::Settings;
use corianderway_platform::store;
use corianderway_platform::store::Call;
use corianderway_platform::store::Change;
use corianderway_platform::store::Kind;
use corianderway_platform::store::Object;
use corianderway_platform::store::KINDS;
use corianderway_steer::Event;
use corianderway_steer::Member;
use corianderway_steer::Order;
use corianderway_steer::Plan;
use corianderway_steer::Progress;
use corianderway_steer::Reach;
use corianderway_steer::ServerChange;
use corianderway_wire::line::Line;
use log::Level;

use crate::client::Client;
use crate::client::Reply;
use crate::edge::copy::Copies;
use crate::edge::replica;
use crate::edge::rings::Input;
use crate::edge::rings::StoreOrder;
use crate::logs::Log;

/// The longest wait for an answer of the store.
const ANSWER: Duration = Duration::from_millis(1_500);

/// How long the store holds a watch that hears nothing: each watch is a call
/// that is paid for, and a deaf one shows by what other instances have seen.
const WATCH: Duration = Duration::from_secs(20);

/// The pause between two watches, in which changes gather for one answer.
const GATHER: Duration = Duration::from_millis(100);

/// The pause for each instance of the fleet, between two watches of the servers' list.
const GATHER_EACH: Duration = Duration::from_millis(6);

/// The longest such pause: a fifth of the 2.5 s in which a leaving server must
/// get no new work.
const GATHER_MOST: Duration = Duration::from_millis(500);

/// The first pause after a call that failed; doubles with each next one.
const PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after a call that failed.
const PAUSE_MOST: Duration = Duration::from_millis(800);

/// The time between two looks at whether the store is back.
const LOOK: Duration = Duration::from_millis(100);

/// The time between two reads of another instance's copy.
const REPLICA: Duration = Duration::from_millis(700);

/// The longest wait for another instance's copy.
const REPLICA_ANSWER: Duration = Duration::from_millis(600);

/// Statuses of the store's answers.
const OK: u16 = 200;
const CREATED: u16 = 201;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const HISTORY_GONE: u16 = 410;

/// What the tasks of the duty share.
#[derive(Debug)]
pub struct Desk {
    client: Client,
    decisions: Sender<Input>,
    log: Log,
    me: Member,
    regions: Sorted<FailureDomain, Region>,
    seeds: RefCell<Vec<SocketAddr>>,
    /// The copies of the store.
    pub copies: RefCell<Copies>,
    reach: Cell<Reach>,
    // Counts the calls to read everything anew.
    rereads: Cell<u64>,
    // Where the next other instance is asked for its copy.
    turn: Cell<usize>,
}

/// Why a kind could not be followed.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Fault {
    /// The store did not answer, or not with what was asked.
    Unanswered(String),
    /// The history after the revision is gone.
    HistoryGone,
}

impl Desk {
    /// Whether the copies follow the store itself.
    pub fn is_current(&self) -> bool {
        self.reach.get() == Reach::Store
    }

    fn replace(&self, kind: Kind, objects: Vec<Object>, revision: u64) -> Vec<Change> {
        let mut copies = self.copies.borrow_mut();
        copies.of_mut(kind).replace(objects, revision)
    }

    fn change(&self, kind: Kind, heard: Vec<Change>, revision: u64) -> Vec<Change> {
        let mut copies = self.copies.borrow_mut();
        copies.of_mut(kind).change(heard, revision)
    }
}

/// Runs until the decision duty is gone.
pub fn run(
    settings: Settings,
    listener: TcpListener,
    orders: Receiver<StoreOrder>,
    decisions: Sender<Input>,
    log: Log,
) {
    task::block_on(async move {
        let desk = Rc::new(Desk {
            client: Client::new(settings.store),
            decisions,
            log,
            me: settings.me,
            regions: settings.regions,
            seeds: RefCell::new(settings.seeds),
            copies: RefCell::default(),
            reach: Cell::new(Reach::Nothing),
            rereads: Cell::new(0),
            turn: Cell::new(0),
        });
        task::spawn_local(replica::serve(listener, Rc::clone(&desk)));
        for kind in KINDS {
            task::spawn_local(follow(Rc::clone(&desk), kind));
        }
        task::spawn_local(recover(Rc::clone(&desk)));
        task::spawn_local(enlist(Rc::clone(&desk)));
        while let Ok(order) = orders.recv().await {
            let desk = Rc::clone(&desk);
            match order {
                StoreOrder::Report(order, progress) => {
                    task::spawn_local(async move { report(&desk, &order, progress).await });
                }
                StoreOrder::Forget(member) => {
                    task::spawn_local(async move { forget(&desk, &member).await });
                }
                StoreOrder::Reread => desk.rereads.set(desk.rereads.get() + 1),
                StoreOrder::Seeds(seeds) => *desk.seeds.borrow_mut() = seeds,
            }
        }
    });
}

// Keeps the copy of one kind as the store has it.
async fn follow(desk: Rc<Desk>, kind: Kind) {
    loop {
        while !desk.is_current() {
            task::sleep(LOOK).await;
        }
        let fault = match list(&desk, kind).await {
            Ok(()) => follow_changes(&desk, kind).await,
            Err(fault) => fault,
        };
        match fault {
            Fault::HistoryGone => note(&desk, "history-gone", kind, ""),
            Fault::Unanswered(why) => {
                note(&desk, "store-fault", kind, &why);
                // One broken connection says little; a second call decides.
                if let Err(Fault::Unanswered(why)) = list(&desk, kind).await {
                    lose(&desk, kind, &why).await;
                }
            }
        }
    }
}

async fn follow_changes(desk: &Rc<Desk>, kind: Kind) -> Fault {
    let rereads = desk.rereads.get();
    loop {
        let from = desk.copies.borrow().of(kind).revision.unwrap_or(0);
        let call = Call::watch(kind, from, WATCH);
        let answer = async { Some(ask(desk, &call, WATCH + ANSWER).await) };
        let reread = async {
            while desk.rereads.get() == rereads {
                task::sleep(LOOK).await;
            }
            None
        };
        let reply = match futures_lite::future::or(answer, reread).await {
            Some(Ok(reply)) => reply,
            Some(Err(fault)) => return fault,
            None => return Fault::HistoryGone,
        };
        if reply.status == HISTORY_GONE {
            return Fault::HistoryGone;
        }
        match store::changes(&reply.body) {
            Ok(changes) => {
                for error in &changes.unread {
                    note(desk, "object-unread", kind, error);
                }
                let (heard, revision) = (changes.changes, changes.revision);
                let news = desk.change(kind, heard, revision);
                tell(desk, kind, &news).await;
            }
            Err(error) => return Fault::Unanswered(error.to_string()),
        }
        task::sleep(gather(desk, kind)).await;
    }
}

// The pause between two watches: every instance pays for each answer, so in a
// large fleet more changes of the servers' list wait for one another.
fn gather(desk: &Desk, kind: Kind) -> Duration {
    let copies = desk.copies.borrow();
    let instances = copies.of(Kind::Members).objects().count() as u32;
    match kind {
        Kind::Servers => GATHER.max(GATHER_EACH * instances).min(GATHER_MOST),
        Kind::Configuration | Kind::Orders | Kind::Evacuations | Kind::Members => GATHER,
    }
}

async fn list(desk: &Rc<Desk>, kind: Kind) -> Result<(), Fault> {
    let mut objects = Vec::new();
    let mut after = None;
    let mut revision = None;
    loop {
        let call = Call::list(kind, after.as_deref());
        let reply = ask(desk, &call, ANSWER).await?;
        let page = store::page(&reply.body);
        let page = page.map_err(|error| Fault::Unanswered(error.to_string()))?;
        for error in &page.unread {
            note(desk, "object-unread", kind, error);
        }
        objects.extend(page.objects);
        // What changed while the pages were read is heard by the watch.
        let first = *revision.get_or_insert(page.revision);
        if page.next.is_none() {
            let news = desk.replace(kind, objects, first);
            // A list also tells that there is nothing.
            tell(desk, kind, &news).await;
            return Ok(());
        }
        after = page.next;
    }
}

async fn ask(desk: &Rc<Desk>, call: &Call, limit: Duration) -> Result<Reply, Fault> {
    let reply = send(&desk.client, call, limit).await;
    let reply = reply.ok_or_else(|| Fault::Unanswered("no answer".to_owned()))?;
    match reply.status {
        OK | HISTORY_GONE => Ok(reply),
        status => Err(Fault::Unanswered(format!("status {status}"))),
    }
}

async fn send(client: &Client, call: &Call, limit: Duration) -> Option<Reply> {
    let body = call.body.clone();
    let reply = client.call(call.method, &call.path, &[], body, limit);
    reply.await.ok()
}

async fn lose(desk: &Rc<Desk>, kind: Kind, why: &str) {
    if desk.is_current() {
        note(desk, "store-lost", kind, why);
    }
    set_reach(desk, Reach::Nothing).await;
}

// Looks whether the store is back, and reads other instances' copies meanwhile.
async fn recover(desk: Rc<Desk>) {
    let mut pause = PAUSE;
    let mut slept = Duration::ZERO;
    loop {
        if desk.is_current() {
            pause = PAUSE;
            task::sleep(LOOK).await;
            continue;
        }
        let probe = list(&desk, Kind::Configuration).await;
        if probe.is_ok() {
            set_reach(&desk, Reach::Store).await;
            continue;
        }
        if slept >= REPLICA || desk.reach.get() == Reach::Nothing {
            slept = Duration::ZERO;
            let copied = copy_from_others(&desk).await;
            let reach = if copied {
                Reach::Replica
            } else {
                Reach::Nothing
            };
            set_reach(&desk, reach).await;
        }
        let jitter = pause.mul_f64(0.5 + rand::random::<f64>() / 2.0);
        task::sleep(jitter).await;
        slept += jitter;
        pause = (pause * 2).min(PAUSE_MOST);
    }
}

// Takes the copy of one other instance that follows the store; false if none
// answers.
async fn copy_from_others(desk: &Rc<Desk>) -> bool {
    let others = others(desk);
    for step in 0..others.len().min(3) {
        let at = (desk.turn.get() + step) % others.len();
        if copy_from(desk, others[at]).await {
            // The same one is asked again next time.
            desk.turn.set(at);
            return true;
        }
    }
    desk.turn.set(desk.turn.get() + 3);
    false
}

async fn copy_from(desk: &Rc<Desk>, from: SocketAddr) -> bool {
    let client = Client::new(from);
    for kind in KINDS {
        let known = desk.copies.borrow().of(kind).revision;
        let call = Call::replica(kind, known.unwrap_or(0));
        let Some(reply) = send(&client, &call, REPLICA_ANSWER).await else {
            return false;
        };
        if reply.status == replica::UNCHANGED && known.is_some() {
            continue;
        }
        if reply.status != OK {
            return false;
        }
        let Ok(page) = store::page(&reply.body) else {
            return false;
        };
        let news = desk.replace(kind, page.objects, page.revision);
        tell(desk, kind, &news).await;
    }
    true
}

// Where other instances serve their copies: those listed, nearest first, and
// those that the settings name.
fn others(desk: &Desk) -> Vec<SocketAddr> {
    let copies = desk.copies.borrow();
    let members = copies.of(Kind::Members).objects();
    let mut members: Vec<Member> = members.filter_map(|o| objects::member(o).ok()).collect();
    let me = &desk.me.entry;
    members.retain(|member| member.entry.id != me.id);
    members.sort_by_key(|member| {
        let near = member.entry.region == me.region;
        (!near, member.entry.domain != me.domain)
    });
    let mut others: Vec<SocketAddr> = members.iter().map(|member| member.replica).collect();
    for seed in desk.seeds.borrow().iter() {
        if *seed != desk.me.replica && !others.contains(seed) {
            others.push(*seed);
        }
    }
    others
}

async fn set_reach(desk: &Rc<Desk>, reach: Reach) {
    desk.reach.set(reach);
    event(desk, Event::Reach(reach)).await;
}

// Tells the decision duty what changed, in the product's own types.
async fn tell(desk: &Rc<Desk>, kind: Kind, news: &[Change]) {
    match kind {
        Kind::Configuration => {
            for plan in plans(desk, news) {
                event(desk, Event::Plan(plan.into())).await;
            }
        }
        Kind::Servers => event(desk, Event::Servers(servers(desk, news))).await,
        Kind::Orders => event(desk, Event::Orders(decode(desk, kind, objects::order))).await,
        Kind::Evacuations => {
            let domains = decode(desk, kind, objects::evacuated);
            event(desk, Event::Evacuated(domains)).await;
        }
        Kind::Members => {
            let members = decode(desk, kind, objects::member);
            event(desk, Event::Members(members)).await;
            let me = desk.me.entry.id.as_str();
            let gone = |change: &Change| matches!(change, Change::Removed(name) if **name == *me);
            if news.iter().any(gone) {
                task::spawn_local(enlist(Rc::clone(desk)));
            }
        }
    }
    let latest = desk.copies.borrow().latest();
    event(desk, Event::Revision(latest)).await;
}

fn plans(desk: &Desk, news: &[Change]) -> Vec<Plan> {
    let mut plans = Vec::new();
    for change in news {
        let Change::Put(object) = change else {
            continue;
        };
        match objects::plan(object) {
            Ok(plan) => plans.push(plan),
            Err(error) => refused(desk, Kind::Configuration, object, &error),
        }
    }
    plans
}

fn servers(desk: &Desk, news: &[Change]) -> Vec<ServerChange> {
    let mut changes = Vec::new();
    for change in news {
        match change {
            Change::Put(object) => match objects::listed(object, &desk.regions) {
                Ok(listed) => changes.push(ServerChange::Put(listed)),
                Err(error) => refused(desk, Kind::Servers, object, &error),
            },
            // An entry under another kind of name was never taken.
            Change::Removed(name) => {
                let id = ServerId::try_from(&**name).ok();
                changes.extend(id.map(ServerChange::Removed));
            }
        }
    }
    changes
}

fn decode<T>(desk: &Desk, kind: Kind, read: impl Fn(&Object) -> Result<T, ObjectError>) -> Vec<T> {
    let copies = desk.copies.borrow();
    let mut decoded = Vec::new();
    for object in copies.of(kind).objects() {
        match read(object) {
            Ok(value) => decoded.push(value),
            Err(error) => refused(desk, kind, object, &error),
        }
    }
    decoded
}

// An entry that another writer left, or one that a fault spoilt.
fn refused(desk: &Desk, kind: Kind, object: &Object, error: &ObjectError) {
    let why = format!("{}: {error}", object.name);
    note(desk, "object-refused", kind, &why);
}

// Writes this instance's entry, until the store has it.
async fn enlist(desk: Rc<Desk>) {
    let (name, spec) = (desk.me.entry.id.as_str(), objects::member_spec(&desk.me));
    let mut pause = PAUSE;
    loop {
        let create = Call::create(Kind::Members, name, &spec);
        let reply = send(&desk.client, &create, ANSWER).await;
        let done = match reply {
            Some(reply) if matches!(reply.status, OK | CREATED) => true,
            Some(reply) if reply.status == CONFLICT => overwrite(&desk, &spec, &reply).await,
            Some(_) | None => false,
        };
        if done {
            note(&desk, "enlisted", Kind::Members, "");
            return;
        }
        task::sleep(pause.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
        pause = (pause * 2).min(PAUSE_MOST);
    }
}

// Replaces the entry of an earlier run of this instance; also settles a
// creation whose answer was lost.
async fn overwrite(desk: &Desk, spec: &str, conflict: &Reply) -> bool {
    let Ok(object) = store::written(&conflict.body) else {
        return false;
    };
    if objects::member(&object).is_ok_and(|member| member == desk.me) {
        return true;
    }
    let name = desk.me.entry.id.as_str();
    let call = Call::replace(Kind::Members, name, object.revision, spec);
    let reply = send(&desk.client, &call, ANSWER).await;
    reply.is_some_and(|reply| reply.status == OK)
}

async fn report(desk: &Desk, order: &Order, progress: Progress) {
    let status = objects::progress_status(order, progress);
    let name = order.service.as_str();
    let call = Call::report(Kind::Orders, name, order.revision, &status);
    let reply = send(&desk.client, &call, ANSWER).await;
    let result = reply.map_or("no answer".to_owned(), |r| format!("status {}", r.status));
    let line = Line::new("move-reported")
        .with("service", name)
        .with("progress", format!("{progress:?}"))
        .with("revision", order.revision)
        .with("result", result);
    desk.log.put(Level::Info, line);
}

async fn forget(desk: &Desk, member: &Member) {
    let name = member.entry.id.as_str();
    let known = desk.copies.borrow().of(Kind::Members).object(name).cloned();
    let Some(object) = known else {
        return;
    };
    let call = Call::remove(Kind::Members, name, object.revision);
    let reply = send(&desk.client, &call, ANSWER).await;
    let gone = reply.is_some_and(|reply| matches!(reply.status, OK | NOT_FOUND));
    let line = Line::new("instance-forgotten").with("instance", name);
    desk.log.put(Level::Info, line.with("done", gone));
}

async fn event(desk: &Desk, event: Event) {
    // The decision duty ends last; when it is gone, so is the process.
    drop(desk.decisions.send(Input::Event(event)).await);
}

fn note(desk: &Desk, event: &str, kind: Kind, why: &str) {
    let line = Line::new(event)
        .with("kind", kind.as_str())
        .with("why", why);
    desk.log.put(Level::Info, line);
}
