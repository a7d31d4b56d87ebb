//! The interpreter of charts, with names resolved to the caller's enums.

use std::fmt::Debug;
use std::sync::Arc;

use serde::de::value::StrDeserializer;
use serde::de::DeserializeOwned;
use serde::de::IntoDeserializer;

use crate::activity::Activity;
use crate::definition;
use crate::definition::Definition;
use crate::error::Error;
use crate::error::Result;
use crate::error::UnknownNameSnafu;

/// A checked chart with states `S`, events `E`, guards `G` and actions `A`.
///
/// It holds no current state: [`Chart::step`] maps a state and an event to the
/// next state, so that all subjects of a chart can share it.
#[derive(Clone, Debug)]
pub struct Chart<S, E, G, A> {
    name: Arc<str>,
    initial: S,
    // Sorted by state for the binary search in `row`.
    rows: Vec<Row<S, E, G, A>>,
}

/// The result of one event: the next state and the actions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step<'c, S, A> {
    /// The next state.
    pub to: S,
    /// The actions to perform, in order.
    pub actions: &'c [A],
}

#[derive(Clone, Debug)]
struct Row<S, E, G, A> {
    state: S,
    terminal: bool,
    // Sorted by event for the binary search in `cell`; an ignored event has no cell.
    cells: Vec<Cell<S, E, G, A>>,
}

#[derive(Clone, Debug)]
struct Cell<S, E, G, A> {
    event: E,
    branches: Vec<Branch<S, G, A>>,
}

#[derive(Clone, Debug)]
struct Branch<S, G, A> {
    guard: Option<G>,
    to: S,
    actions: Vec<A>,
}

impl<S, E, G, A> Chart<S, E, G, A>
where
    S: Copy + Ord + Debug + DeserializeOwned,
    E: Copy + Ord + Debug + DeserializeOwned,
    G: Copy + Debug + DeserializeOwned,
    A: Copy + Debug + DeserializeOwned,
{
    /// Parses the text of a chart file and resolves its names to variants.
    ///
    /// # Errors
    ///
    /// Fails as [`Outline::parse`] does, or if a name has no variant.
    pub fn parse(text: &str) -> std::result::Result<Self, Error> {
        let outline = Definition::parse_inner(text)?;
        Ok(Self::resolve(&outline)?)
    }

    fn resolve(outline: &Definition) -> Result<Self> {
        let chart = &outline.chart;
        for event in &outline.events {
            name::<E>(chart, "event", event)?;
        }
        for action in outline.activities.values().flat_map(Activity::actions) {
            name::<A>(chart, "action", action)?;
        }
        let mut rows = outline
            .states
            .iter()
            .map(|(state, node)| Row::resolve(chart, state, node))
            .collect::<Result<Vec<_>>>()?;
        rows.sort_by_key(|row| row.state);
        Ok(Self {
            name: chart.as_str().into(),
            initial: name(chart, "state", &outline.initial)?,
            rows,
        })
    }

    /// Returns the name of the chart.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns the state in which each subject starts.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns whether a state is final; a state that the chart lacks counts as final.
    pub fn is_final(&self, state: S) -> bool {
        self.row(state).is_none_or(|row| row.terminal)
    }

    /// Returns the next state and the actions for an event.
    ///
    /// An ignored event keeps the state and has no actions. `holds` evaluates the
    /// guards of this state and event in the order of the file, until one is true.
    pub fn step(&self, state: S, event: E, mut holds: impl FnMut(G) -> bool) -> Step<'_, S, A> {
        let branch = self
            .row(state)
            .and_then(|row| row.cell(event))
            .and_then(|cell| {
                let mut branches = cell.branches.iter();
                branches.find(|b| b.guard.is_none_or(&mut holds))
            });
        match branch {
            Some(branch) => Step {
                to: branch.to,
                actions: &branch.actions,
            },
            None => Step {
                to: state,
                actions: &[],
            },
        }
    }

    fn row(&self, state: S) -> Option<&Row<S, E, G, A>> {
        let at = self.rows.binary_search_by_key(&state, |r| r.state).ok()?;
        self.rows.get(at)
    }
}

impl<S, E, G, A> Row<S, E, G, A>
where
    S: DeserializeOwned,
    E: Copy + Ord + DeserializeOwned,
    G: DeserializeOwned,
    A: DeserializeOwned,
{
    fn resolve(chart: &str, state: &str, node: &definition::Node) -> Result<Self> {
        let mut cells = Vec::with_capacity(node.on.len());
        for (event, branches) in &node.on {
            let branches = branches.iter().map(|b| Branch::resolve(chart, b));
            cells.push(Cell {
                event: name(chart, "event", event)?,
                branches: branches.collect::<Result<_>>()?,
            });
        }
        cells.sort_by_key(|cell| cell.event);
        Ok(Self {
            state: name(chart, "state", state)?,
            terminal: node.terminal,
            cells,
        })
    }

    fn cell(&self, event: E) -> Option<&Cell<S, E, G, A>> {
        let at = self.cells.binary_search_by_key(&event, |c| c.event).ok()?;
        self.cells.get(at)
    }
}

impl<S, G, A> Branch<S, G, A>
where
    S: DeserializeOwned,
    G: DeserializeOwned,
    A: DeserializeOwned,
{
    fn resolve(chart: &str, raw: &definition::Branch) -> Result<Self> {
        let guard = raw.when.as_deref();
        let actions = raw.actions.iter().map(|a| name(chart, "action", a));
        Ok(Self {
            guard: guard.map(|g| name(chart, "guard", g)).transpose()?,
            to: name(chart, "state", &raw.to)?,
            actions: actions.collect::<Result<_>>()?,
        })
    }
}

fn name<T: DeserializeOwned>(chart: &str, kind: &'static str, name: &str) -> Result<T> {
    let raw: StrDeserializer<'_, serde::de::value::Error> = name.into_deserializer();
    T::deserialize(raw).map_err(|_unknown| UnknownNameSnafu { chart, kind, name }.build())
}
