//! The store duty: follows the platform's store, or another instance's copy of
//! it, as the decisions say, and writes what they order.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::task;
use corianderway_model::FailureDomain;
use corianderway_model::Region;
use corianderway_model::SortedMap;
use corianderway_platform::settings::Settings;
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
use corianderway_wire::log_line::LogLine;
use futures_lite::future::FutureExt as _;
use log::Level;

use crate::client::Client;
use crate::client::Reply;
use crate::edge::copy::Copies;
use crate::edge::entries;
use crate::edge::mirror;
use crate::edge::replica;
use crate::edge::replica::Bell;
use crate::edge::rings::Input;
use crate::edge::rings::StoreOrder;
use crate::edge::watch;
use crate::logs::Log;

/// The longest wait for an answer of the store.
pub(super) const ANSWER: Duration = Duration::from_millis(1_500);

/// The longest wait for an answer that only shows whether the store answers.
const PROBE: Duration = Duration::from_millis(700);

/// The first pause after a call that failed; doubles with each next one.
pub(super) const PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after a call that failed.
pub(super) const PAUSE_MOST: Duration = Duration::from_millis(800);

/// Statuses of the store's answers.
pub(super) const OK: u16 = 200;
pub(super) const CREATED: u16 = 201;
pub(super) const NOT_FOUND: u16 = 404;
pub(super) const CONFLICT: u16 = 409;
pub(super) const HISTORY_GONE: u16 = 410;

/// What the tasks of the duty share.
#[derive(Debug)]
pub struct Desk {
    pub(super) client: Client,
    pub(super) decisions: Sender<Input>,
    pub(super) log: Log,
    pub(super) me: Member,
    pub(super) regions: SortedMap<FailureDomain, Region>,
    /// The copies of the store.
    pub copies: RefCell<Copies>,
    /// Wakes those who follow the copies.
    pub bell: Bell,
    reach: Cell<Reach>,
    // What is followed, and the end whose drop stops following it.
    source: Cell<Source>,
    following: RefCell<Option<Sender<()>>>,
    // Kinds that were listed since the store is followed.
    listed: RefCell<Vec<Kind>>,
}

impl Desk {
    /// Whether the copies follow the store itself.
    pub fn is_current(&self) -> bool {
        self.reach.get() == Reach::Store
    }

    /// Whether the store itself is to be followed.
    pub fn follows_store(&self) -> bool {
        self.source.get() == Source::Store
    }

    /// Takes a whole list of a kind; gives back what changed.
    pub fn replace(&self, kind: Kind, objects: Vec<Object>, revision: u64) -> Vec<Change> {
        let mut copies = self.copies.borrow_mut();
        let news = copies.of_mut(kind).replace(objects, revision);
        self.bell.ring();
        news
    }

    /// Takes changes of a kind; gives back what was not known.
    pub fn change(&self, kind: Kind, heard: Vec<Change>, revision: u64) -> Vec<Change> {
        let mut copies = self.copies.borrow_mut();
        let news = copies.of_mut(kind).change(heard, revision);
        self.bell.ring();
        news
    }

    /// Notes that a kind was listed; once all are, the copies follow the store.
    pub async fn note_listed(&self, kind: Kind) {
        let whole = {
            let mut listed = self.listed.borrow_mut();
            if !listed.contains(&kind) {
                listed.push(kind);
            }
            listed.len() == KINDS.len()
        };
        if whole {
            self.set_reach(Reach::Store).await;
        }
    }

    /// Notes what the copies follow now, and tells the decisions if that is news.
    pub async fn set_reach(&self, reach: Reach) {
        if self.reach.replace(reach) != reach {
            self.bell.ring();
            event(self, Event::Reach(reach)).await;
        }
    }

    // Stops following what is followed; the end of the ring that is given back
    // closes when this is called again.
    fn follow_anew(&self, source: Source) -> Receiver<()> {
        let (running, stopped) = async_channel::bounded(1);
        self.source.set(source);
        self.listed.borrow_mut().clear();
        *self.following.borrow_mut() = Some(running);
        self.bell.ring();
        stopped
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
            me: settings.member,
            regions: settings.regions,
            copies: RefCell::default(),
            bell: Bell::default(),
            reach: Cell::new(Reach::Nothing),
            source: Cell::new(Source::Nothing),
            following: RefCell::default(),
            listed: RefCell::default(),
        });
        event(&desk, Event::Seeds(settings.seeds)).await;
        task::spawn_local(replica::serve(listener, Rc::clone(&desk)));
        task::spawn_local(entries::enlist(Rc::clone(&desk)));
        while let Ok(order) = orders.recv().await {
            carry_out(&desk, order).await;
        }
    });
}

async fn carry_out(desk: &Rc<Desk>, order: StoreOrder) {
    match order {
        StoreOrder::Follow(source) => follow(desk, source).await,
        StoreOrder::Reread if desk.follows_store() => {
            follow(desk, Source::Store).await;
        }
        StoreOrder::Reread => (),
        StoreOrder::Probe => {
            let desk = Rc::clone(desk);
            task::spawn_local(async move { probe(&desk).await });
        }
        StoreOrder::Report(order, progress) => {
            let desk = Rc::clone(desk);
            task::spawn_local(async move { entries::report(&desk, &order, progress).await });
        }
        StoreOrder::Forget(member) => {
            let desk = Rc::clone(desk);
            task::spawn_local(async move { entries::forget(&desk, &member).await });
        }
    }
}

async fn follow(desk: &Rc<Desk>, source: Source) {
    let stopped = desk.follow_anew(source);
    match source {
        Source::Nothing => desk.set_reach(Reach::Nothing).await,
        Source::Store => {
            for kind in KINDS {
                let (desk, stopped) = (Rc::clone(desk), stopped.clone());
                task::spawn_local(async move {
                    let watched = async { Some(watch::follow(&desk, kind).await) };
                    if let Some(why) = watched.or(is_over(&stopped)).await {
                        note(&desk, "store-lost", kind, &why);
                        lose(&desk).await;
                    }
                });
            }
        }
        Source::Copy(from) => {
            let desk = Rc::clone(desk);
            task::spawn_local(async move {
                let mirrored = async { Some(mirror::follow(&desk, from).await) };
                if let Some(why) = mirrored.or(is_over(&stopped)).await {
                    let line = LogLine::new("copy-lost").with("why", why);
                    desk.log.put(Level::Info, line);
                    lose(&desk).await;
                }
            });
        }
    }
}

// Ends when something else is followed.
async fn is_over<T>(stopped: &Receiver<()>) -> Option<T> {
    let _ = stopped.recv().await;
    None
}

// What was followed failed; told also where nothing was known by it yet.
async fn lose(desk: &Desk) {
    drop(desk.follow_anew(Source::Nothing));
    desk.reach.set(Reach::Nothing);
    desk.bell.ring();
    event(desk, Event::Reach(Reach::Nothing)).await;
}

// Tells whether the store answers.
async fn probe(desk: &Desk) {
    let call = Call::list(Kind::Evacuations, None, Consistency::Cached);
    let reply = send(&desk.client, &call, PROBE).await;
    match reply {
        Some(reply) if reply.status == OK => event(desk, Event::ProbeAnswered).await,
        Some(reply) => {
            let why = format!("status {}", reply.status);
            note(desk, "store-away", Kind::Evacuations, &why);
        }
        None => note(desk, "store-away", Kind::Evacuations, "no answer"),
    }
}

pub(super) async fn send(client: &Client, call: &Call, limit: Duration) -> Option<Reply> {
    let body = call.body.clone();
    let reply = client.call(call.method, &call.path, &[], body, limit);
    reply.await.ok()
}

pub(super) async fn event(desk: &Desk, event: Event) {
    // The decision duty ends last; when it is gone, so is the process.
    drop(desk.decisions.send(Input::Event(event)).await);
}

pub(super) fn note(desk: &Desk, event: &str, kind: Kind, why: &str) {
    let line = LogLine::new(event)
        .with("kind", kind.as_str())
        .with("why", why);
    desk.log.put(Level::Info, line);
}
