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

/// How long to wait, and whom to ask.
#[derive(Clone, Debug)]
pub struct Force {
    limit: DurationArg,
    instances: Vec<SocketAddr>,
}

/// What an instance says of a change.
#[derive(Deserialize)]
struct Answer {
    in_force: bool,
    waiting: Vec<String>,
}

impl Force {
    /// Reads the arguments; there is nothing to wait for without a limit.
    ///
    /// # Errors
    ///
    /// Fails when there is a limit and no instance to ask.
    pub fn find(limit: Option<DurationArg>, given: &[SocketAddr]) -> Result<Option<Self>> {
        let Some(limit) = limit else {
            return Ok(None);
        };
        let instances = status::addresses(given)?;
        if instances.is_empty() {
            let message = "no instance to ask: give --instance ADDR";
            return UsageSnafu { message }.fail();
        }
        Ok(Some(Self { limit, instances }))
    }

    /// Waits until every entry instance holds a version of an object.
    ///
    /// # Errors
    ///
    /// Fails when no instance can tell or the limit passes first.
    pub fn wait(&self, out: Output, object: &str, version: u64) -> Result<()> {
        let what = format!("version {version} of {object}");
        wait::poll_until_end(out, &what, self.limit.0, || {
            let answer = self.ask(object, version)?;
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

    // One instance tells for all; the next is asked if it can't.
    fn ask(&self, object: &str, version: u64) -> Result<Answer> {
        let path = format!("/in-force?object={object}&version={version}");
        let mut failed = None;
        for addr in &self.instances {
            match status::ask(*addr, &path) {
                Ok(answer) => return serde_json::from_value(answer).context(ValueSnafu { object }),
                Err(error) => failed = Some(error),
            }
        }
        let message = "no instance to ask".to_owned();
        Err(failed.unwrap_or(Error::Usage { message }))
    }
}
