//! A simulation of instances with claims, one platform store, one service and
//! callers that repeat requests. It checks every forward, run and reply.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::sync::Arc;
use std::time::Duration;

use corianderway_control::BackendAnswer;
use corianderway_control::BodyHash;
use corianderway_control::ClaimAction;
use corianderway_control::ClaimEvent;
use corianderway_control::ClaimOutcome;
use corianderway_control::ClaimRecord;
use corianderway_control::ClaimState;
use corianderway_control::Claims;
use corianderway_control::Nonce;
use corianderway_control::OnceRequest;
use corianderway_control::Precondition;
use corianderway_control::Reply;
use corianderway_control::RequestId;
use corianderway_control::RequestKey;
use corianderway_control::StoreAnswer;
use corianderway_model::Account;
use corianderway_model::Time;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

pub const INSTANCES: usize = 3;
pub const START_WINDOW: Duration = Duration::from_secs(3);
pub const ANSWER_WINDOW: Duration = Duration::from_secs(6);
pub const TICK: Duration = Duration::from_millis(100);

/// What the service does with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Backend {
    #[default]
    Works,
    /// No byte is accepted.
    Refuses,
    /// The connection breaks before the request runs.
    BreaksBefore,
    /// The request runs, but the answer is lost.
    BreaksAfter,
    /// The connection breaks, and the request runs later.
    RunsLate,
    /// The request is unanswered until `release_unanswered`.
    Silent,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Platform {
    pub down: bool,
    pub answers_lost: bool,
    /// The maximum delay of a call, and of its answer.
    pub slow: Duration,
}

#[derive(Clone, Debug)]
struct Sent {
    id: RequestId,
    key: usize,
    other_body: bool,
    at: usize,
    open: bool,
}

#[derive(Clone, Debug)]
enum Scheduled {
    Put(usize, Arc<str>, u64, Precondition, ClaimRecord),
    Get(usize, Arc<str>, u64),
    Event(usize, u64, ClaimEvent),
    Run(Forwarded),
}

#[derive(Clone, Debug)]
struct Forwarded {
    at: usize,
    incarnation: u64,
    name: Arc<str>,
    attempt: u64,
    other_body: bool,
    backend: Backend,
}

pub struct World {
    pub now: Time,
    pub claims: Vec<Claims>,
    pub paused: [bool; INSTANCES],
    pub platform: Platform,
    pub backend: Backend,
    pub rng: SmallRng,
    pub runs: Vec<usize>,
    pub replies: Vec<(RequestId, Reply)>,
    pub violations: Vec<String>,
    pub writes: u64,
    pub reads: u64,
    chart: String,
    incarnations: [u64; INSTANCES],
    sent: Vec<Sent>,
    // By key: forwards that may still run.
    in_flight: Vec<usize>,
    // By key: whether a forward was refused.
    refused: Vec<bool>,
    unanswered: Vec<Forwarded>,
    store: Vec<(Arc<str>, u64, ClaimRecord)>,
    queue: Vec<(Time, Scheduled)>,
    deferred: Vec<Scheduled>,
    names: Vec<Arc<str>>,
}

impl World {
    pub fn new(seed: u64, keys: usize, chart: &str) -> Self {
        let name = |key| Arc::from(request_key(key).claim_name(&account()));
        Self {
            now: Time::from_millis(1000),
            claims: (0..INSTANCES).map(|_| start(chart)).collect(),
            paused: [false; INSTANCES],
            platform: Platform::default(),
            backend: Backend::Works,
            rng: SmallRng::seed_from_u64(seed),
            runs: vec![0; keys],
            replies: Vec::new(),
            violations: Vec::new(),
            writes: 0,
            reads: 0,
            chart: chart.to_owned(),
            incarnations: [0; INSTANCES],
            sent: Vec::new(),
            in_flight: vec![0; keys],
            refused: vec![false; keys],
            unanswered: Vec::new(),
            store: Vec::new(),
            queue: Vec::new(),
            deferred: Vec::new(),
            names: (0..keys).map(name).collect(),
        }
    }

    /// Sends a request with a request key to an instance.
    pub fn send(&mut self, at: usize, key: usize, other_body: bool) -> RequestId {
        let id = RequestId(self.sent.len() as u64);
        let body: &[u8] = if other_body { b"other" } else { b"transfer" };
        let request = OnceRequest {
            id,
            account: account(),
            key: request_key(key),
            body: BodyHash::new([body]),
            nonce: Nonce(self.rng.random(), self.rng.random()),
            start_by: self.now + START_WINDOW,
            answer_by: self.now + ANSWER_WINDOW,
        };
        self.sent.push(Sent {
            id,
            key,
            other_body,
            at,
            open: true,
        });
        let incarnation = self.incarnations[at];
        self.handle(Scheduled::Event(
            at,
            incarnation,
            ClaimEvent::Received(request),
        ));
        id
    }

    pub fn reply(&self, id: RequestId) -> Option<&Reply> {
        let found = self.replies.iter().find(|(request, _)| *request == id);
        found.map(|(_, reply)| reply)
    }

    /// Whether a request with this key was forwarded.
    pub fn forwarded(&self, key: usize) -> bool {
        self.runs[key] + self.in_flight[key] > 0 || self.refused[key]
    }

    /// The state of a key's claim on an instance.
    pub fn state(&self, at: usize, key: usize) -> Option<ClaimState> {
        self.claims[at].state(&self.names[key])
    }

    /// Replaces an instance by a new one without claims.
    pub fn crash(&mut self, at: usize) {
        self.claims[at] = start(&self.chart);
        self.incarnations[at] += 1;
        self.paused[at] = false;
        for sent in self.sent.iter_mut().filter(|s| s.at == at) {
            sent.open = false;
        }
    }

    pub fn resume(&mut self, at: usize) {
        self.paused[at] = false;
        for due in std::mem::take(&mut self.deferred) {
            self.handle(due);
        }
    }

    pub fn disconnect(&mut self, id: RequestId) {
        let at = self.sent[id.0 as usize].at;
        let incarnation = self.incarnations[at];
        self.handle(Scheduled::Event(
            at,
            incarnation,
            ClaimEvent::CallerGone(id),
        ));
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            while let Some(at) = self.next_due() {
                let (_, due) = self.queue.remove(at);
                self.handle(due);
            }
            for at in 0..INSTANCES {
                let incarnation = self.incarnations[at];
                if !self.paused[at] {
                    self.handle(Scheduled::Event(at, incarnation, ClaimEvent::Tick));
                }
            }
        }
    }

    fn next_due(&self) -> Option<usize> {
        let due = self.queue.iter().enumerate();
        let due = due.filter(|(_, (time, _))| *time <= self.now);
        due.min_by_key(|(_, (time, _))| *time).map(|(at, _)| at)
    }

    fn handle(&mut self, due: Scheduled) {
        match due {
            Scheduled::Event(at, incarnation, _) if incarnation != self.incarnations[at] => {}
            Scheduled::Event(at, ..) if self.paused[at] => self.deferred.push(due),
            Scheduled::Event(at, _, event) => self.step(at, event),
            Scheduled::Put(at, name, call, expect, record) => {
                let answer = self.put(&name, expect, record);
                self.stored(at, name, call, answer);
            }
            Scheduled::Get(at, name, call) => {
                let answer = match self.find(&name) {
                    Some(found) => StoreAnswer::Found {
                        version: self.store[found].1,
                        record: self.store[found].2.clone(),
                    },
                    None => StoreAnswer::Absent,
                };
                self.stored(at, name, call, answer);
            }
            Scheduled::Run(forwarded) => self.run(forwarded),
        }
    }

    fn step(&mut self, at: usize, event: ClaimEvent) {
        let mut out = Vec::new();
        self.claims[at].step(self.now, event, &mut out);
        for action in out {
            self.perform(at, action);
        }
    }

    fn perform(&mut self, at: usize, action: ClaimAction) {
        match action {
            ClaimAction::Put {
                name,
                call,
                expect,
                record,
            } => {
                self.writes += 1;
                self.call(Scheduled::Put(at, name, call, expect, record));
            }
            ClaimAction::Get { name, call } => {
                self.reads += 1;
                self.call(Scheduled::Get(at, name, call));
            }
            ClaimAction::Forward {
                name,
                attempt,
                not_after,
            } => self.forward(at, name, attempt, not_after),
            ClaimAction::Reply { request, reply } => self.check_reply(request, reply),
        }
    }

    fn call(&mut self, due: Scheduled) {
        if !self.platform.down {
            let at = self.now + self.jitter(self.platform.slow);
            self.queue.push((at, due));
        }
    }

    fn put(&mut self, name: &Arc<str>, expect: Precondition, record: ClaimRecord) -> StoreAnswer {
        match (self.find(name), expect) {
            (Some(at), Precondition::Version(version)) if self.store[at].1 == version => {
                self.store[at].1 += 1;
                self.store[at].2 = record;
                StoreAnswer::Written(version + 1)
            }
            (Some(at), _) => StoreAnswer::Found {
                version: self.store[at].1,
                record: self.store[at].2.clone(),
            },
            (None, Precondition::Absent) => {
                self.store.push((name.clone(), 1, record));
                StoreAnswer::Written(1)
            }
            (None, Precondition::Version(_)) => StoreAnswer::Absent,
        }
    }

    fn stored(&mut self, at: usize, name: Arc<str>, call: u64, answer: StoreAnswer) {
        if self.platform.answers_lost {
            return;
        }
        let event = ClaimEvent::StoreAnswered { name, call, answer };
        let after = self.jitter(self.platform.slow);
        self.schedule(after, Scheduled::Event(at, self.incarnations[at], event));
    }

    fn forward(&mut self, at: usize, name: Arc<str>, attempt: u64, not_after: Time) {
        let key = self.key(&name);
        let open = |s: &&Sent| s.at == at && s.key == key && s.open;
        let other_body = self.sent.iter().find(open).map(|s| s.other_body);
        if other_body.is_none() {
            self.violation(key, "forwarded after every caller was answered");
        }
        if self.now > not_after {
            self.violation(key, "forwarded after the deadline");
        }
        if self.backend == Backend::Refuses {
            self.refused[key] = true;
        } else {
            self.in_flight[key] += 1;
        }
        let forwarded = Forwarded {
            at,
            incarnation: self.incarnations[at],
            name,
            attempt,
            other_body: other_body.unwrap_or_default(),
            backend: self.backend,
        };
        let after = self.jitter(Duration::from_millis(400));
        self.schedule(after, Scheduled::Run(forwarded));
    }

    fn run(&mut self, forwarded: Forwarded) {
        let key = self.key(&forwarded.name);
        let answer = match forwarded.backend {
            Backend::Works => BackendAnswer::Answered(outcome(key, forwarded.other_body)),
            Backend::Refuses => BackendAnswer::NotAccepted,
            _ => BackendAnswer::Broken,
        };
        match forwarded.backend {
            Backend::Works | Backend::BreaksAfter => self.ran(key),
            Backend::BreaksBefore => self.in_flight[key] -= 1,
            Backend::RunsLate => self.run_late(&forwarded),
            Backend::Refuses => {}
            Backend::Silent => self.unanswered.push(forwarded.clone()),
        }
        if forwarded.backend != Backend::Silent {
            let event = ClaimEvent::BackendAnswered {
                name: forwarded.name,
                attempt: forwarded.attempt,
                answer,
            };
            self.schedule(
                TICK,
                Scheduled::Event(forwarded.at, forwarded.incarnation, event),
            );
        }
    }

    /// Lets the service handle the requests that it has left unanswered.
    pub fn release_unanswered(&mut self, backend: Backend) {
        for mut forwarded in std::mem::take(&mut self.unanswered) {
            if backend == Backend::Refuses {
                let key = self.key(&forwarded.name);
                self.in_flight[key] -= 1;
            }
            forwarded.backend = backend;
            self.run(forwarded);
        }
    }

    fn run_late(&mut self, forwarded: &Forwarded) {
        let late = Forwarded {
            backend: Backend::BreaksAfter,
            incarnation: u64::MAX,
            ..forwarded.clone()
        };
        self.schedule(Duration::from_secs(8), Scheduled::Run(late));
    }

    fn ran(&mut self, key: usize) {
        self.runs[key] += 1;
        self.in_flight[key] -= 1;
        if self.runs[key] > 1 {
            self.violation(key, "ran twice");
        }
    }

    fn check_reply(&mut self, request: RequestId, reply: Reply) {
        let sent = &mut self.sent[request.0 as usize];
        let (key, other) = (sent.key, sent.other_body);
        let answered_before = !std::mem::take(&mut sent.open);
        let may_have_run = self.runs[key] + self.in_flight[key] > 0;
        if answered_before {
            self.violation(key, "answered twice");
        }
        match &reply {
            Reply::NotRun if may_have_run => self.violation(key, "not run, but it may have run"),
            Reply::Ran(_) if self.runs[key] == 0 => self.violation(key, "ran, but it did not"),
            Reply::Ran(answer) if *answer != outcome(key, other) => {
                self.violation(key, "replied with the answer of another request");
            }
            _ => {}
        }
        self.replies.push((request, reply));
    }

    fn violation(&mut self, key: usize, what: &str) {
        self.violations.push(format!("key {key}: {what}"));
    }

    fn schedule(&mut self, after: Duration, due: Scheduled) {
        self.queue.push((self.now + after, due));
    }

    fn jitter(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.rng.random_range(0.0..=1.0))
    }

    fn key(&self, name: &str) -> usize {
        let at = self.names.iter().position(|n| **n == *name);
        at.expect("a known key")
    }

    fn find(&self, name: &str) -> Option<usize> {
        self.store.iter().position(|(stored, ..)| **stored == *name)
    }
}

fn start(chart: &str) -> Claims {
    Claims::with_chart(chart).expect("a chart of claims")
}

fn outcome(key: usize, other_body: bool) -> Arc<ClaimOutcome> {
    let body = [key as u8, u8::from(other_body)];
    Arc::new(ClaimOutcome::new(201, Vec::new(), &body))
}

pub fn account() -> Account {
    Account::try_from("trazo").expect("a name")
}

pub fn request_key(key: usize) -> RequestKey {
    let text = format!("019aaaaa-0000-7000-8000-{key:012x}");
    RequestKey::try_from(text.as_str()).expect("a UUID of version 7")
}
