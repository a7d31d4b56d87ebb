//! The servers duty: sends requests to backend servers, each in a task.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_std::net::TcpStream;
use async_std::task;

use crate::clock::Clock;
use crate::exchange;
use crate::exchange::Job;
use crate::pool::Pool;

/// The interval at which connections that were idle for too long are closed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Runs until every sender of jobs is closed.
pub fn run(jobs: Receiver<Job>, clock: Clock) {
    task::block_on(async move {
        let pool = Rc::new(RefCell::new(Pool::default()));
        task::spawn_local(expire(Rc::clone(&pool)));
        while let Ok(job) = jobs.recv().await {
            task::spawn_local(exchange::run(job, clock, Rc::clone(&pool)));
        }
    });
}

async fn expire(pool: Rc<RefCell<Pool<TcpStream>>>) {
    loop {
        task::sleep(EXPIRY_INTERVAL).await;
        pool.borrow_mut().expire();
    }
}
