//! The store duty: follows the platform's store, and other instances' copies of
//! it while the store turns this one away.

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
use corianderway_model::Sorted;
use corianderway_platform::objects;
use corianderway_platform::settings::Settings;
use corianderway_platform::store;
use corianderway_platform::store::Call;
use corianderway_platform::store::Change;
use corianderway_platform::store::Kind;
use corianderway_platform::store::Object;
use corianderway_platform::store::KINDS;
use corianderway_steer::Event;
use corianderway_steer::Member;
use corianderway_steer::Reach;
use corianderway_wire::line::Line;
use log::Level;

use crate::client::Client;
use crate::client::Reply;
use crate::edge::copy::Copies;
use crate::edge::entries;
use crate::edge::news::tell;
use crate::edge::replica;
use crate::edge::rings::Input;
use crate::edge::rings::StoreOrder;
use crate::logs::Log;

/// The longest wait for an answer of the store.
pub(super) const ANSWER: Duration = Duration::from_millis(1_500);

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
pub(super) const PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after a call that failed.
pub(super) const PAUSE_MOST: Duration = Duration::from_millis(800);

/// The time between two looks at whether the store is back.
const LOOK: Duration = Duration::from_millis(100);

/// The time between two reads of another instance's copy.
const REPLICA: Duration = Duration::from_millis(700);

/// The longest wait for another instance's copy.
const REPLICA_ANSWER: Duration = Duration::from_millis(600);

/// Statuses of the store's answers.
pub(super) const OK: u16 = 200;
pub(super) const CREATED: u16 = 201;
pub(super) const NOT_FOUND: u16 = 404;
pub(super) const CONFLICT: u16 = 409;
const HISTORY_GONE: u16 = 410;

/// What the tasks of the duty share.
#[derive(Debug)]
pub struct Desk {
    pub(super) client: Client,
    pub(super) decisions: Sender<Input>,
    pub(super) log: Log,
    pub(super) me: Member,
    pub(super) regions: Sorted<FailureDomain, Region>,
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
        task::spawn_local(entries::enlist(Rc::clone(&desk)));
        while let Ok(order) = orders.recv().await {
            let desk = Rc::clone(&desk);
            match order {
                StoreOrder::Report(order, progress) => {
                    task::spawn_local(
                        async move { entries::report(&desk, &order, progress).await },
                    );
                }
                StoreOrder::Forget(member) => {
                    task::spawn_local(async move { entries::forget(&desk, &member).await });
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

pub(super) async fn send(client: &Client, call: &Call, limit: Duration) -> Option<Reply> {
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

pub(super) async fn event(desk: &Desk, event: Event) {
    // The decision duty ends last; when it is gone, so is the process.
    drop(desk.decisions.send(Input::Event(event)).await);
}

pub(super) fn note(desk: &Desk, event: &str, kind: Kind, why: &str) {
    let line = Line::new(event)
        .with("kind", kind.as_str())
        .with("why", why);
    desk.log.put(Level::Info, line);
}
