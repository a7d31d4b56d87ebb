//! The keys of client accounts: their states and the check of a presented key.

use corianderway_chart::Chart;
use corianderway_model::Account;
use corianderway_model::KeyId;
use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt;
use snafu::Snafu;

use crate::freshness::Standing;
use crate::key_record::KeyRecord;

/// The state chart of a key, as YAML.
pub const KEY_CHART: &str = include_str!("../charts/key.yaml");

type KeyChart = Chart<KeyState, KeyEvent, NoGuard, KeyAction>;

/// The state of a key; a key only moves to a later state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyState {
    /// Accepted.
    Granted,
    /// Accepted, but to be withdrawn soon; callers get a warning.
    Lapsing,
    /// Refused permanently.
    Withdrawn,
}

/// An event of the chart, which a stored record causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyEvent {
    /// The record grants the key.
    Grant,
    /// The record announces the withdrawal.
    Lapse,
    /// The record withdraws the key, or was deleted.
    Withdraw,
}

/// What a change of state means for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyAction {
    /// Responses carry a warning from now on.
    Warn,
    /// Requests are refused from now on, on open connections as well.
    Refuse,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
enum NoGuard {}

/// The reason why a key is refused; the message names the remedy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum KeyRefusal {
    /// The text is not of the form `<key id>.<secret>`.
    #[snafu(display("the key is malformed; send it as <key id>.<secret>"))]
    Malformed,
    /// The table has no such key.
    #[snafu(display("the key is not accepted; check it or ask an operator for a new one"))]
    Unknown,
    /// The secret does not match the key.
    #[snafu(display("the key is not accepted; check it or ask an operator for a new one"))]
    Mismatch,
    /// The key was withdrawn.
    #[snafu(display("the key was withdrawn; ask an operator for a new one"))]
    Withdrawn,
    /// This instance is isolated, so that it may have missed a withdrawal.
    #[snafu(display("this instance is isolated; send the request to another entry instance"))]
    Isolated,
}

/// An accepted key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted<'t> {
    /// The client account that the key belongs to.
    pub account: &'t Account,
    /// The public part of the key.
    pub id: &'t KeyId,
    /// Whether the key is to be withdrawn soon.
    pub lapsing: bool,
}

/// The key records that one instance holds.
///
/// No sequence of records moves a key back to an earlier state.
#[derive(Clone, Debug)]
pub struct KeyTable {
    chart: KeyChart,
    // Sorted by key id.
    keys: Vec<KeyRecord>,
    // Key ids deleted from the platform; sorted.
    deleted: Vec<KeyId>,
}

impl Default for KeyTable {
    fn default() -> Self {
        Self::new()
    }
}

impl KeyTable {
    /// Creates an empty table.
    ///
    /// # Panics
    ///
    /// Panics if the built-in chart is invalid, which the tests rule out.
    pub fn new() -> Self {
        Self {
            chart: Chart::parse(KEY_CHART).expect("the chart of keys is checked by tests"),
            keys: Vec::new(),
            deleted: Vec::new(),
        }
    }

    /// Applies a stored record and returns what changes for callers.
    ///
    /// A record can't restore a withdrawn or deleted key, nor change the client
    /// account or the secret of a key that is already in the table.
    pub fn apply(&mut self, record: KeyRecord) -> Option<KeyAction> {
        if self.deleted.binary_search(&record.id).is_ok() {
            return None;
        }
        match self.find(record.id.as_str()) {
            Ok(at) => self.advance(at, event_for(record.state)),
            Err(at) => {
                let event = event_for(record.state);
                let record = record.with_state(self.chart.initial());
                self.keys.insert(at, record);
                self.advance(at, event)
            }
        }
    }

    /// Applies the deletion of a record, which withdraws the key.
    pub fn delete(&mut self, id: &KeyId) -> Option<KeyAction> {
        if let Err(at) = self.deleted.binary_search(id) {
            self.deleted.insert(at, id.clone());
        }
        let at = self.find(id.as_str()).ok()?;
        self.advance(at, KeyEvent::Withdraw)
    }

    /// Checks a presented key.
    ///
    /// The secret is hashed at each check, and the hashes are compared in
    /// constant time. No result is cached, so that a withdrawal takes effect
    /// with the next request.
    ///
    /// # Errors
    ///
    /// Fails when the key is not accepted, or when the instance is isolated and
    /// may have missed a withdrawal.
    pub fn check(&self, presented: &str, standing: Standing) -> Result<Accepted<'_>, KeyRefusal> {
        if !standing.serves_keyed() {
            return IsolatedSnafu.fail();
        }
        let (id, secret) = presented.split_once('.').context(MalformedSnafu)?;
        let at = self.find(id).ok();
        let record = at.map(|at| &self.keys[at]).context(UnknownSnafu)?;
        if !record.matches(secret) {
            return MismatchSnafu.fail();
        }
        if record.state == KeyState::Withdrawn {
            return WithdrawnSnafu.fail();
        }
        Ok(Accepted {
            account: &record.account,
            id: &record.id,
            lapsing: record.state == KeyState::Lapsing,
        })
    }

    /// The state of a key.
    pub fn state(&self, id: &KeyId) -> Option<KeyState> {
        let at = self.find(id.as_str()).ok()?;
        Some(self.keys[at].state)
    }

    /// The number of keys, withdrawn ones included.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.keys.binary_search_by(|k| k.id.as_str().cmp(id))
    }

    fn advance(&mut self, at: usize, event: KeyEvent) -> Option<KeyAction> {
        let key = &mut self.keys[at];
        let step = self.chart.step(key.state, event, |guard| match guard {});
        key.state = step.to;
        step.actions.last().copied()
    }
}

fn event_for(state: KeyState) -> KeyEvent {
    match state {
        KeyState::Granted => KeyEvent::Grant,
        KeyState::Lapsing => KeyEvent::Lapse,
        KeyState::Withdrawn => KeyEvent::Withdraw,
    }
}
