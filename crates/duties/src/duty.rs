//! The usage report as a duty: lease, counts and reports together.

use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::SortedMap;
use corianderway_model::Time;

use crate::book::Book;
use crate::book::Source;
use crate::event::Action;
use crate::event::Event;
use crate::event::Moment;
use crate::event::Terms;
use crate::lease::Effect;
use crate::lease::Lease;
use crate::lease::Signal;
use crate::lease::Surroundings;
use crate::message::Ask;
use crate::message::Message;
use crate::message::Peer;
use crate::message::Told;
use crate::note::Note;
use crate::record::Record;
use crate::reports::Progress;
use crate::reports::Reports;
use crate::reports::Signal as ReportSignal;
use crate::reports::MAX_WINDOWS;
use crate::ChartError;

/// The maximum time between two questions of the holder for counts. It asks after each
/// renewal, so that the others know the latest version of the object.
const ASK_INTERVAL: Duration = Duration::from_millis(1_100);

/// How long a holder whose questions are not answered keeps the duty.
const ISOLATION_TIME: Duration = Duration::from_secs(3);

/// The difference from the fleet's wall clock, in milliseconds, that is taken for messages on
/// their way.
const MAX_WALL_ERROR_MS: i64 = 300;

/// The maximum number of counts in one message, which must fit into a datagram.
const MAX_TOLD_ENTRIES: usize = 300;

/// The maximum number of counts in the object.
const MAX_STORED_ENTRIES: usize = 2_000;

/// Another instance, as it last answered.
#[derive(Debug)]
struct Neighbor {
    peer: Peer,
    // When it last told all of its counts.
    told: Option<Time>,
    // The latest window of which it knows that its report may be sent.
    maybe_sent: u64,
    // Its wall clock's difference from this instance's, in milliseconds, as it last told.
    ahead_ms: i64,
}

/// The state of the duty at one instance.
#[derive(Debug)]
pub struct Duty {
    me: Peer,
    source: Source,
    lease: Lease,
    reports: Reports,
    book: Book,
    peers: SortedMap<InstanceId, Neighbor>,
    listed: bool,
    rank: u32,
    began: Time,
    asked: Time,
    // The time of the latest event.
    latest: Option<Moment>,
    // The difference of the fleet's wall clock from this instance's, in milliseconds.
    ahead_ms: i64,
    // The window in which this run began.
    first_window: Option<u64>,
}

impl Duty {
    /// Makes the duty of an instance that has just started.
    ///
    /// # Errors
    ///
    /// Fails if a state chart is faulty.
    pub fn new(me: Peer, terms: Terms, now: Time) -> Result<Self, ChartError> {
        let source = (me.id.clone(), me.run);
        Ok(Self {
            lease: Lease::new(source.clone(), terms.lease, now)?,
            reports: Reports::new(terms)?,
            book: Book::default(),
            peers: SortedMap::default(),
            listed: false,
            rank: u32::MAX,
            began: now,
            asked: now,
            latest: None,
            ahead_ms: 0,
            first_window: None,
            source,
            me,
        })
    }

    /// Returns this instance's token, if it holds the duty.
    pub fn token(&self) -> Option<u64> {
        self.lease.token()
    }

    /// Applies one event and appends the resulting actions to `out`.
    pub fn step(&mut self, at: Moment, event: Event, out: &mut Vec<Action>) {
        let own_ms = at.wall_ms;
        self.note_step(at);
        let wall_ms = own_ms.saturating_add_signed(self.ahead_ms);
        let at = Moment { wall_ms, ..at };
        let window = self.reports.window(at.wall_ms);
        self.first_window.get_or_insert(window);
        match event {
            Event::Counted(attempts) => {
                for attempt in attempts {
                    let sent_ms = attempt.sent_ms.saturating_add_signed(self.ahead_ms);
                    let window = self.reports.window(sent_ms);
                    self.book
                        .count(&self.source, window, attempt.account, attempt.change);
                }
            }
            Event::Peers(peers) => self.set_peers(peers),
            Event::Message(Message::Ask(ask)) => self.answer(at, own_ms, ask, out),
            Event::Message(Message::Told(told)) => self.collect(at, own_ms, told),
            Event::Read(found) => {
                self.lease.find(at.now, found);
                self.advance(at, Signal::Read, out);
            }
            Event::ReadFailed => self.advance(at, Signal::Failed, out),
            Event::Written(version) => {
                if self.lease.acknowledge(at.now, version) {
                    self.reports.saved();
                    self.advance(at, Signal::Written, out);
                } else {
                    self.reports.unsaved();
                    self.advance(at, Signal::Conflict, out);
                }
            }
            Event::Conflict(found) => {
                self.reports.unsaved();
                self.lease.find(at.now, found);
                self.advance(at, Signal::Conflict, out);
                if self.lease.is_held() {
                    self.lease.adopt();
                }
            }
            Event::WriteFailed => {
                self.reports.unsaved();
                self.advance(at, Signal::Failed, out);
            }
            Event::Accepted(window) => {
                let tries = self.reports.answer(at.now, window, ReportSignal::Accepted);
                self.log_answer(at, window, tries, out);
            }
            Event::Rejected(window, status) => {
                self.reports.answer(at.now, window, ReportSignal::Rejected);
                let note = Note::new("report-refused").alert();
                let note = note.with("window", window).with("answer", status);
                out.push(Action::Log(note));
            }
            Event::Unanswered(window) => {
                let signal = ReportSignal::Unanswered;
                let tries = self.reports.answer(at.now, window, signal);
                let note = Note::new("report-unanswered").with("window", window);
                out.push(Action::Log(note.with("tries", tries)));
            }
            Event::Tick => {
                self.advance(at, Signal::Tick, out);
                self.forget(window);
            }
        }
        if self.lease.is_held() {
            self.ask_due(at, out);
            self.report(at, out);
        }
    }

    // Corrects a step of this instance's wall clock, before others learn of it.
    fn note_step(&mut self, at: Moment) {
        if let Some(latest) = self.latest.replace(at) {
            let passed = at.now.since(latest.now).as_millis() as u64;
            let expected = latest.wall_ms.wrapping_add(passed);
            self.ahead_ms -= significant(at.wall_ms.wrapping_sub(expected) as i64);
        }
    }

    fn set_peers(&mut self, peers: Vec<Peer>) {
        let mut rows = SortedMap::default();
        for peer in peers.into_iter().filter(|peer| peer.id != self.me.id) {
            let known = self.peers.remove(&peer.id);
            let known = known.filter(|known| known.peer.run == peer.run);
            let neighbor = Neighbor {
                peer: peer.clone(),
                told: known.as_ref().and_then(|known| known.told),
                maybe_sent: known.as_ref().map_or(0, |known| known.maybe_sent),
                ahead_ms: known.map_or(0, |known| known.ahead_ms),
            };
            rows.insert(peer.id, neighbor);
        }
        self.peers = rows;
        self.listed = true;
        let place = |peer: &Peer| (std::cmp::Reverse(peer.millicores), peer.id.clone());
        let mine = place(&self.me);
        let before = self.peers.iter().filter(|row| place(&row.1.peer) < mine);
        self.rank = before.count() as u32;
    }

    // Answers the question of the holder.
    fn answer(&mut self, at: Moment, own_ms: u64, ask: Ask, out: &mut Vec<Action>) {
        self.reports.learn(ask.settled, ask.maybe_sent);
        if self.lease.hear(at.now, ask.token, ask.version) {
            self.ahead_ms = significant(ask.wall_ms.wrapping_sub(own_ms) as i64);
            self.advance(at, Signal::Heard, out);
        }
        let after = if ask.run == self.me.run { ask.after } else { 0 };
        let (entries, through) = self.book.changes(&self.source, after, MAX_TOLD_ENTRIES);
        let told = Told {
            from: self.me.id.clone(),
            run: self.me.run,
            entries,
            through,
            more: through < self.book.through(&self.source),
            maybe_sent: self.reports.maybe_sent(),
            wall_ms: own_ms,
        };
        out.push(Action::Tell(ask.reply, Message::Told(told)));
    }

    // Applies the answer to a question.
    fn collect(&mut self, at: Moment, own_ms: u64, told: Told) {
        self.reports.learn(0, told.maybe_sent);
        let source = (told.from.clone(), told.run);
        let settled = self.reports.settled();
        let entries = told.entries.into_iter();
        let entries = entries.filter(|entry| entry.window() > settled);
        self.book.merge(&source, entries, told.through);
        if let Some(row) = self.peers.get_mut(&told.from) {
            row.peer.run = told.run;
            row.maybe_sent = told.maybe_sent;
            row.ahead_ms = told.wall_ms.wrapping_sub(own_ms) as i64;
            if !told.more {
                row.told = Some(at.now);
            }
        }
        // Most clocks are right, whether or not this one is.
        let mut ahead: Vec<i64> = self.peers.iter().map(|row| row.1.ahead_ms).collect();
        ahead.push(0);
        ahead.sort_unstable();
        if self.lease.is_held() {
            self.ahead_ms = significant(ahead[ahead.len() / 2]);
        }
    }

    fn advance(&mut self, at: Moment, signal: Signal, out: &mut Vec<Action>) {
        let around = Surroundings {
            rank: self.rank,
            isolated: self.is_isolated(at.now),
            unsaved: self.reports.is_unsaved(),
        };
        let token = self.lease.token();
        for effect in self.lease.advance(at.now, signal, around) {
            match effect {
                Effect::Read => out.push(Action::Read),
                Effect::Take => self.take(at, out),
                Effect::Renew => {
                    if let Some((token, beat, revision)) = self.lease.renew(at.now) {
                        self.write(token, beat, revision, out);
                    }
                }
                Effect::Begin => {
                    self.began = at.now;
                    self.reports.begin(at.now);
                    self.ask(at, out);
                    let note = Note::new("duty-taken").with("token", self.token().unwrap_or(0));
                    out.push(Action::Log(note.with("settled", self.reports.settled())));
                }
                Effect::Lose => {
                    self.reports.lose();
                    let note = Note::new("duty-lost").with("token", token.unwrap_or(0));
                    let note = note.with("signal", format!("{signal:?}"));
                    out.push(Action::Log(note.with("isolated", around.isolated)));
                }
                Effect::Confirm => self.ask(at, out),
                Effect::BackOff => {}
            }
        }
    }

    fn take(&mut self, at: Moment, out: &mut Vec<Action>) {
        let before = self.first_window.unwrap_or(0).saturating_sub(1);
        let record = self.lease.record().cloned();
        self.reports.prepare(record.as_ref(), before);
        if let Some(record) = record.filter(|record| record.holder != self.me.id) {
            let source = (record.holder, record.run);
            self.book.merge(&source, record.entries, record.through);
        }
        let (token, beat, revision) = self.lease.take(at.now, at.wall_ms);
        self.write(token, beat, revision, out);
    }

    fn write(&mut self, token: u64, beat: u64, revision: u64, out: &mut Vec<Action>) {
        let frozen = self.reports.save();
        let settled = self.reports.settled();
        let last = frozen.last().map_or(settled, |report| report.window);
        let (mut entries, through) = self.book.changes(&self.source, 0, MAX_STORED_ENTRIES);
        entries.retain(|entry| entry.window() > last);
        let record = Record {
            holder: self.me.id.clone(),
            run: self.me.run,
            token,
            beat,
            settled,
            frozen,
            entries,
            through,
        };
        out.push(Action::Write(Box::new(record), revision));
    }

    fn ask_due(&mut self, at: Moment, out: &mut Vec<Action>) {
        if at.now.since(self.asked) >= ASK_INTERVAL {
            self.ask(at, out);
        }
    }

    fn ask(&mut self, at: Moment, out: &mut Vec<Action>) {
        let Some(token) = self.lease.token() else {
            return;
        };
        self.asked = at.now;
        for (id, Neighbor { peer, .. }) in self.peers.iter() {
            let ask = Ask {
                from: self.me.id.clone(),
                reply: self.me.addr,
                token,
                version: self.lease.version(),
                settled: self.reports.settled(),
                maybe_sent: self.reports.maybe_sent(),
                wall_ms: at.wall_ms,
                run: peer.run,
                after: self.book.through(&(id.clone(), peer.run)),
            };
            out.push(Action::Tell(peer.addr, Message::Ask(ask)));
        }
    }

    fn report(&mut self, at: Moment, out: &mut Vec<Action>) {
        let until = self.lease.may_act(at.now);
        let told_since = self.told_since(at.now);
        let progress = Progress {
            told_since,
            most_told_since: self.most_told(at.now),
            most_know: self.most_know(),
            may_act: until.is_some(),
        };
        let book = &self.book;
        let (report, skipped) = self.reports.tick(at, progress, |window| book.total(window));
        for window in skipped {
            let note = Note::new("report-skipped").alert().with("window", window);
            out.push(Action::Log(note));
        }
        if let (Some(report), Some(until), Some(token)) = (report, until, self.lease.token()) {
            let sum: u64 = report.counts.iter().map(|row| row.1).sum();
            let note = Note::new("report-sent").with("window", report.window);
            let note = note.with("accounts", report.counts.len()).with("sum", sum);
            out.push(Action::Log(note.with("token", token)));
            out.push(Action::Send {
                report,
                token,
                until,
            });
        }
    }

    // Returns since when all instances have told their counts, once they are known.
    fn told_since(&self, now: Time) -> Option<Time> {
        let mut told = self.peers.iter().map(|row| row.1.told);
        let earliest = told.try_fold(now, |earliest, told| Some(earliest.min(told?)));
        earliest.filter(|_| self.listed)
    }

    // Returns since when at least half of the instances have told their counts.
    fn most_told(&self, now: Time) -> Option<Time> {
        let told = self.peers.iter().map(|row| row.1.told);
        lowest_of_most(told, Some(now))
    }

    // Returns the latest window of which at least half of the instances know that its report
    // may be sent: a successor hears of it even if the store forgets it.
    fn most_know(&self) -> u64 {
        let known = self.peers.iter().map(|row| row.1.maybe_sent);
        lowest_of_most(known, u64::MAX)
    }

    fn log_answer(&self, at: Moment, window: u64, tries: u32, out: &mut Vec<Action>) {
        let (after_ms, late) = self.reports.lateness(window, at.wall_ms);
        let event = if late {
            "report-late"
        } else {
            "report-accepted"
        };
        let note = Note::new(event).with("window", window);
        let note = note.with("after_ms", after_ms).with("tries", tries);
        out.push(Action::Log(note));
    }

    // Returns whether fewer than half of the instances have answered lately.
    fn is_isolated(&self, now: Time) -> bool {
        if !self.lease.is_held() || now.since(self.began) < ISOLATION_TIME {
            return false;
        }
        let told = self.peers.iter().filter_map(|row| row.1.told);
        let recent = told.filter(|told| now.since(*told) < ISOLATION_TIME);
        recent.count() * 2 < self.peers.len()
    }

    fn forget(&mut self, current: u64) {
        let settled = self.reports.settled();
        let settled = settled.max(current.saturating_sub(MAX_WINDOWS + 1));
        let (me, peers) = (&self.source, &self.peers);
        self.book.forget(settled, |source| {
            let listed = peers.get(&source.0);
            source == me || listed.is_some_and(|row| row.peer.run == source.1)
        });
    }
}

// Returns the value that at least half of the instances have reached, or `alone` if there
// are none.
fn lowest_of_most<T: Copy + Ord>(values: impl Iterator<Item = T>, alone: T) -> T {
    let mut values: Vec<T> = values.collect();
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or(alone)
}

// Returns a clock's difference unless it is no more than messages take.
fn significant(ahead_ms: i64) -> i64 {
    if ahead_ms.saturating_abs() > MAX_WALL_ERROR_MS {
        ahead_ms
    } else {
        0
    }
}
