//! The servers duty: sends requests to backend servers.
//!
//! Each job is one attempt, which runs as a task of its own. Idle connections are
//! kept in a pool that all attempts share.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::task;

use crate::clock::Clock;
use crate::edge::body_memory::BodyMemory;
use crate::edge::exchange;
use crate::edge::rings::Input;
use crate::edge::rings::Job;
use crate::pool::Pool;

/// The interval at which expired idle connections are closed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Runs until every sender of jobs has been dropped.
pub fn run(jobs: Receiver<Job>, clock: Clock, body_memory: BodyMemory, decisions: Sender<Input>) {
    task::block_on(async move {
        let pool = Rc::new(RefCell::new(Pool::default()));
        task::spawn_local(expire(Rc::clone(&pool)));
        while let Ok(job) = jobs.recv().await {
            let (pool, decisions) = (Rc::clone(&pool), decisions.clone());
            let reservation = body_memory.reservation();
            task::spawn_local(exchange::run(job, clock, pool, reservation, decisions));
        }
    });
}

async fn expire(pool: Rc<RefCell<Pool>>) {
    loop {
        task::sleep(EXPIRY_INTERVAL).await;
        pool.borrow_mut().expire();
    }
}
