//! A bounded queue that shares a service's slots fairly between client
//! accounts.

use std::time::Duration;

use corianderway_model::Account;
use corianderway_model::Priority;
use corianderway_model::Time;

/// Requests by which an urgent request may run ahead of its account's share,
/// and a deferrable one behind it.
const PRIORITY_LEAD_REQUESTS: f64 = 4.0;
/// The weight of a new sample in the moving average of hold times.
const HOLD_TIME_GAIN: f64 = 0.125;
/// The hold time assumed before the first sample.
const INITIAL_HOLD_SECONDS: f64 = 0.010;

/// Requests that wait for a slot of one service.
///
/// Slots are shared by start-time fair queueing over slot time: each account's
/// share is proportional to its weight. Within an account, requests are ordered
/// by priority, then by deadline. Priority moves an account's position by a
/// bounded number of its own requests, so it can't starve another account.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    capacity: usize,
    len: usize,
    // Sorted by account.
    queues: Vec<AccountQueue<T>>,
    // The highest start tag of a request that has left the queue to run.
    virtual_time: f64,
    arrivals: u64,
}

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct QueuedRequest<T> {
    /// The client account.
    pub account: Account,
    /// The account's weight: the rate in its contract.
    pub weight: f64,
    /// Orders requests within the account.
    pub priority: Priority,
    /// The request must not start at or after this time.
    pub deadline: Time,
    /// The request itself, opaque to the queue.
    pub item: T,
}

/// The waiting requests of one client account.
#[derive(Clone, Debug)]
struct AccountQueue<T> {
    account: Account,
    weight: f64,
    // The position of the next request in virtual time.
    start_tag: f64,
    // The moving average of the time that a request holds its slot.
    hold_seconds: f64,
    // Sorted in reverse: the next request is the last element.
    requests: Vec<Queued<T>>,
}

#[derive(Clone, Debug)]
struct Queued<T> {
    priority: Priority,
    deadline: Time,
    arrival: u64,
    item: T,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue that holds at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            len: 0,
            queues: vec![],
            virtual_time: 0.0,
            arrivals: 0,
        }
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request. If the queue is full, removes and returns one request,
    /// which has not run.
    ///
    /// It is the last request of the account with the longest backlog in slot
    /// time relative to its weight, and may be the new request itself.
    pub fn push(&mut self, request: QueuedRequest<T>) -> Option<T> {
        self.arrivals += 1;
        let index = self.queue_index(&request.account, request.weight);
        let queued = Queued {
            priority: request.priority,
            deadline: request.deadline,
            arrival: self.arrivals,
            item: request.item,
        };
        self.queues[index].insert(queued);
        self.len += 1;
        if self.len <= self.capacity {
            return None;
        }
        self.len -= 1;
        let longest = self
            .queues
            .iter_mut()
            .max_by(|a, b| a.backlog().total_cmp(&b.backlog()));
        longest.map(|queue| queue.requests.remove(0).item)
    }

    /// Removes and returns the next request whose deadline has not passed.
    pub fn pop(&mut self, now: Time) -> Option<T> {
        let busy = self.queues.iter_mut().filter_map(|queue| {
            let due = queue.order_tag(now)?;
            Some((due, queue))
        });
        let (_, queue) = busy.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let index = queue.next(now)?;
        self.virtual_time = self.virtual_time.max(queue.start_tag);
        queue.start_tag += queue.hold_seconds / queue.weight;
        self.len -= 1;
        Some(queue.requests.remove(index).item)
    }

    /// Moves all requests whose deadline has passed to `out`. None of them ran.
    pub fn expire(&mut self, now: Time, out: &mut Vec<T>) {
        let virtual_time = self.virtual_time;
        for queue in &mut self.queues {
            let late = queue.requests.extract_if(.., |r| r.deadline <= now);
            out.extend(late.map(|r| r.item));
        }
        self.queues
            .retain(|q| !q.requests.is_empty() || q.start_tag > virtual_time);
        self.len = self.queues.iter().map(|q| q.requests.len()).sum();
    }

    /// Records how long a request of an account held its slot.
    pub fn record_hold_time(&mut self, account: &Account, held: Duration) {
        if let Ok(index) = self.queues.binary_search_by(|q| q.account.cmp(account)) {
            let queue = &mut self.queues[index];
            queue.hold_seconds += (held.as_secs_f64() - queue.hold_seconds) * HOLD_TIME_GAIN;
        }
    }

    fn queue_index(&mut self, account: &Account, weight: f64) -> usize {
        let found = self.queues.binary_search_by(|q| q.account.cmp(account));
        let index = found.unwrap_or_else(|index| {
            let queue = AccountQueue {
                account: account.clone(),
                weight,
                start_tag: self.virtual_time,
                hold_seconds: INITIAL_HOLD_SECONDS,
                requests: vec![],
            };
            self.queues.insert(index, queue);
            index
        });
        let queue = &mut self.queues[index];
        queue.weight = weight;
        if queue.requests.is_empty() {
            queue.start_tag = queue.start_tag.max(self.virtual_time);
        }
        index
    }
}

impl<T> AccountQueue<T> {
    fn insert(&mut self, queued: Queued<T>) {
        let key = |q: &Queued<T>| std::cmp::Reverse((q.priority, q.deadline, q.arrival));
        let index = self.requests.partition_point(|q| key(q) < key(&queued));
        self.requests.insert(index, queued);
    }

    fn backlog(&self) -> f64 {
        self.requests.len() as f64 * self.hold_seconds / self.weight
    }

    fn next(&self, now: Time) -> Option<usize> {
        self.requests.iter().rposition(|r| now < r.deadline)
    }

    // The start tag of the next request, adjusted by its priority. The lowest
    // runs first.
    fn order_tag(&self, now: Time) -> Option<f64> {
        let ahead = match self.requests[self.next(now)?].priority {
            Priority::Urgent => PRIORITY_LEAD_REQUESTS,
            Priority::Normal => 0.0,
            Priority::Deferrable => -PRIORITY_LEAD_REQUESTS,
        };
        Some(self.start_tag - ahead * self.hold_seconds / self.weight)
    }
}
