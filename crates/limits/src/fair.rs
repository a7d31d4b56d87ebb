//! A bounded queue that shares a service's slots fairly between client accounts.

use std::time::Duration;

use corianderway_model::Account;
use corianderway_model::Priority;
use corianderway_model::Time;

/// Requests by which an urgent head may run ahead of its account's share, and
/// by which a deferrable one stays behind it.
const LEAD: f64 = 4.0;
/// The weight of a new measurement in the mean time that a slot is held.
const GAIN: f64 = 0.125;
/// The slot time that is assumed before the first measurement.
const FIRST_HOLD: f64 = 0.010;

/// Requests that wait for a slot of one service.
///
/// Accounts take turns by start-time fair queueing: slot time divided by the
/// account's weight. Within an account the more urgent goes first, then the
/// earlier deadline. Priority moves an account's turn by a bounded number of
/// its own requests, so no account can starve another by it.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    bound: usize,
    len: usize,
    // Sorted by account.
    lanes: Vec<Lane<T>>,
    // The turn of the request that ran last.
    turn: f64,
    arrivals: u64,
}

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub struct Waiting<T> {
    /// The client account.
    pub account: Account,
    /// The rate of its contract.
    pub weight: f64,
    /// What waits first within the account.
    pub priority: Priority,
    /// The time from which it must not run any more.
    pub deadline: Time,
    /// The request.
    pub item: T,
}

#[derive(Clone, Debug)]
struct Lane<T> {
    account: Account,
    weight: f64,
    turn: f64,
    // The mean time in seconds that a request holds its slot.
    hold: f64,
    // Sorted, the next last.
    heads: Vec<Head<T>>,
}

#[derive(Clone, Debug)]
struct Head<T> {
    priority: Priority,
    deadline: Time,
    arrival: u64,
    item: T,
}

impl<T> FairQueue<T> {
    /// Makes an empty queue of at most `bound` requests.
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            len: 0,
            lanes: vec![],
            turn: 0.0,
            arrivals: 0,
        }
    }

    /// The number of requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request; gives back one that was not run if the queue is full.
    ///
    /// That one comes from the account with the longest queue for its weight,
    /// so it may be the new request itself.
    pub fn push(&mut self, waiting: Waiting<T>) -> Option<T> {
        self.arrivals += 1;
        let at = self.lane(&waiting.account, waiting.weight);
        let head = Head {
            priority: waiting.priority,
            deadline: waiting.deadline,
            arrival: self.arrivals,
            item: waiting.item,
        };
        self.lanes[at].insert(head);
        self.len += 1;
        if self.len <= self.bound {
            return None;
        }
        self.len -= 1;
        let longest = self
            .lanes
            .iter_mut()
            .max_by(|a, b| a.load().total_cmp(&b.load()));
        longest.map(|lane| lane.heads.remove(0).item)
    }

    /// Takes the next request whose deadline has not passed.
    pub fn pop(&mut self, now: Time) -> Option<T> {
        let busy = self.lanes.iter_mut().filter_map(|lane| {
            let due = lane.due(now)?;
            Some((due, lane))
        });
        let (_, lane) = busy.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let at = lane.next(now)?;
        self.turn = self.turn.max(lane.turn);
        lane.turn += lane.hold / lane.weight;
        self.len -= 1;
        Some(lane.heads.remove(at).item)
    }

    /// Takes out all requests whose deadline has passed; none of them ran.
    pub fn expire(&mut self, now: Time, out: &mut Vec<T>) {
        let turn = self.turn;
        for lane in &mut self.lanes {
            let late = lane.heads.extract_if(.., |h| h.deadline <= now);
            out.extend(late.map(|h| h.item));
        }
        self.lanes.retain(|l| !l.heads.is_empty() || l.turn > turn);
        self.len = self.lanes.iter().map(|l| l.heads.len()).sum();
    }

    /// Notes how long a request of an account held its slot.
    pub fn finish(&mut self, account: &Account, held: Duration) {
        if let Ok(at) = self.lanes.binary_search_by(|l| l.account.cmp(account)) {
            let lane = &mut self.lanes[at];
            lane.hold += (held.as_secs_f64() - lane.hold) * GAIN;
        }
    }

    fn lane(&mut self, account: &Account, weight: f64) -> usize {
        let found = self.lanes.binary_search_by(|l| l.account.cmp(account));
        let at = found.unwrap_or_else(|at| {
            let lane = Lane {
                account: account.clone(),
                weight,
                turn: self.turn,
                hold: FIRST_HOLD,
                heads: vec![],
            };
            self.lanes.insert(at, lane);
            at
        });
        let lane = &mut self.lanes[at];
        lane.weight = weight;
        if lane.heads.is_empty() {
            lane.turn = lane.turn.max(self.turn);
        }
        at
    }
}

impl<T> Lane<T> {
    fn insert(&mut self, head: Head<T>) {
        let key = |h: &Head<T>| std::cmp::Reverse((h.priority, h.deadline, h.arrival));
        let at = self.heads.partition_point(|h| key(h) < key(&head));
        self.heads.insert(at, head);
    }

    fn load(&self) -> f64 {
        self.heads.len() as f64 * self.hold / self.weight
    }

    fn next(&self, now: Time) -> Option<usize> {
        self.heads.iter().rposition(|h| now < h.deadline)
    }

    // The turn of the next request; the least goes first.
    fn due(&self, now: Time) -> Option<f64> {
        let ahead = match self.heads[self.next(now)?].priority {
            Priority::Urgent => LEAD,
            Priority::Normal => 0.0,
            Priority::Deferrable => -LEAD,
        };
        Some(self.turn - ahead * self.hold / self.weight)
    }
}
