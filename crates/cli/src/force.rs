//! Waiting until a change is in force at every entry instance.

use std::net::SocketAddr;

use serde::Deserialize;
use snafu::ResultExt;

use crate::error::Error;
use crate::error::Result;
use crate::error::UsageSnafu;
use crate::error::ValueSnafu;
use crate::output::Output;
use crate::status;
use crate::wait;
use crate::wait::DurationArg;
use crate::wait::Poll;

/// A wait until a change is in force: the timeout and the instances to query.
#[derive(Clone, Debug)]
pub struct InForceWait {
    limit: DurationArg,
    instances: Vec<SocketAddr>,
}

/// An instance's response on a change: whether every instance has it, and
/// which ones it is waiting for.
#[derive(Deserialize)]
struct Answer {
    in_force: bool,
    waiting: Vec<String>,
}

impl InForceWait {
    /// Creates a wait from the arguments; `None` if no timeout is given.
    ///
    /// # Errors
    ///
    /// Fails when a timeout and no instance is given.
    pub fn find(limit: Option<DurationArg>, given: &[SocketAddr]) -> Result<Option<Self>> {
        let Some(limit) = limit else {
            return Ok(None);
        };
        let instances = status::addresses(given)?;
        if instances.is_empty() {
            let message = "missing instance address: give --instance ADDR";
            return UsageSnafu { message }.fail();
        }
        Ok(Some(Self { limit, instances }))
    }

    /// Waits until a version of an object is in force at every entry instance.
    ///
    /// # Errors
    ///
    /// Fails when no instance responds or the wait times out.
    pub fn wait(&self, out: Output, object: &str, version: u64) -> Result<()> {
        let what = format!("version {version} of {object}");
        wait::poll_until_end(out, &what, self.limit.0, || {
            let answer = self.query(object, version)?;
            let waiting = answer.waiting.join(", ");
            let text = if answer.in_force {
                format!("{what} is in force everywhere")
            } else {
                format!("{what} is not yet in force at {waiting}")
            };
            Ok(Poll {
                state: waiting,
                text,
                end: answer.in_force.then_some(()),
            })
        })
    }

    // Any instance can report for all of them; the next one is queried only if a
    // query fails.
    fn query(&self, object: &str, version: u64) -> Result<Answer> {
        let path = format!("/in-force?object={object}&version={version}");
        let mut last_error = None;
        for addr in &self.instances {
            match status::query(*addr, &path) {
                Ok(answer) => return serde_json::from_value(answer).context(ValueSnafu { object }),
                Err(error) => last_error = Some(error),
            }
        }
        let message = "missing instance address".to_owned();
        Err(last_error.unwrap_or(Error::Usage { message }))
    }
}
