//! Keys: their records, their states and the check of a presented key.

use corianderway_chart::Chart;
use corianderway_model::Account;
use corianderway_model::KeyId;
use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt;
use snafu::Snafu;

use crate::freshness::Standing;
use crate::key_record::KeyRecord;

/// The chart of a key, as its file spells it.
pub const KEY_CHART: &str = include_str!("../charts/key.yaml");

type KeyChart = Chart<KeyState, KeyEvent, NoGuard, KeyAction>;

/// The state of a key, in the order in which a key passes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyState {
    /// Accepted.
    Granted,
    /// Accepted, but soon to be withdrawn; callers are warned.
    Lapsing,
    /// Refused, for good.
    Withdrawn,
}

/// What a stored record asks of a key.
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

/// What changes for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyAction {
    /// Answers carry a warning.
    Warn,
    /// Requests are refused from now on, also on open connections.
    Refuse,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
enum NoGuard {}

/// Why a key is not accepted; the message names the remedy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum KeyRefusal {
    /// The text is not of the form `<key id>.<secret>`.
    #[snafu(display("the key is malformed; send it as <key id>.<secret>"))]
    Malformed,
    /// No such key is known.
    #[snafu(display("the key is not accepted; check it or ask an operator for a new one"))]
    Unknown,
    /// The secret is not that of the key.
    #[snafu(display("the key is not accepted; check it or ask an operator for a new one"))]
    Mismatch,
    /// The key was withdrawn.
    #[snafu(display("the key was withdrawn; ask an operator for a new one"))]
    Withdrawn,
    /// This instance can't know whether the key was withdrawn.
    #[snafu(display("this instance is cut off; ask another entry instance"))]
    Isolated,
}

/// An accepted key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted<'t> {
    /// The client account that the key speaks for.
    pub account: &'t Account,
    /// The public part of the key.
    pub id: &'t KeyId,
    /// Whether the key is soon to be withdrawn.
    pub lapsing: bool,
}

/// The keys that one instance knows.
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
    /// Makes an empty table.
    ///
    /// # Panics
    ///
    /// Panics if the built-in chart is wrong, which the tests rule out.
    pub fn new() -> Self {
        Self {
            chart: Chart::parse(KEY_CHART).expect("the chart of keys is checked by tests"),
            keys: Vec::new(),
            deleted: Vec::new(),
        }
    }

    /// Takes a stored record and says what changes for callers.
    ///
    /// A record can't bring back a withdrawn or deleted key, nor change the
    /// client account or the secret of a known one.
    pub fn apply(&mut self, record: KeyRecord) -> Option<KeyAction> {
        if self.deleted.binary_search(&record.id).is_ok() {
            return None;
        }
        match self.find(record.id.as_str()) {
            Ok(at) => self.advance(at, event(record.state)),
            Err(at) => {
                let event = event(record.state);
                let record = record.with_state(self.chart.initial());
                self.keys.insert(at, record);
                self.advance(at, event)
            }
        }
    }

    /// Takes the deletion of a record; the key is withdrawn.
    pub fn delete(&mut self, id: &KeyId) -> Option<KeyAction> {
        if let Err(at) = self.deleted.binary_search(id) {
            self.deleted.insert(at, id.clone());
        }
        let at = self.find(id.as_str()).ok()?;
        self.advance(at, KeyEvent::Withdraw)
    }

    /// Checks a presented key.
    ///
    /// The secret is hashed each time, and hashes are compared in constant
    /// time. Nothing about a presented key is kept, so a withdrawal takes
    /// effect with the next request.
    ///
    /// # Errors
    ///
    /// Fails when the key is not accepted, or when the instance has been cut
    /// off for so long that a withdrawal may have passed it by.
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

    /// How many keys are known, withdrawn ones included.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is known.
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

fn event(state: KeyState) -> KeyEvent {
    match state {
        KeyState::Granted => KeyEvent::Grant,
        KeyState::Lapsing => KeyEvent::Lapse,
        KeyState::Withdrawn => KeyEvent::Withdraw,
    }
}
