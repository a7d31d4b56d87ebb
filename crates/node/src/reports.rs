//! Health and load reports: each backend server is asked by two instances,
//! which tell the others.

use corianderway_model::Backend;
use corianderway_model::ServerId;
use corianderway_model::Time;
use corianderway_routing::Report as ServerReport;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::event::Action;
use crate::event::Report;
use crate::message::Message;
use crate::node::Node;

/// Instances that ask one backend server.
const ASKERS: usize = 2;

/// A report as one instance tells it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedReport(ServerId, Health, Option<u32>);

/// What the health endpoint said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Health {
    Silent,
    Well,
    Failing,
    Draining,
}

impl From<&Report> for SharedReport {
    fn from(report: &Report) -> Self {
        let health = match report.healthy {
            _ if report.draining => Health::Draining,
            Some(true) => Health::Well,
            Some(false) => Health::Failing,
            None => Health::Silent,
        };
        Self(report.server.clone(), health, report.load)
    }
}

impl Node {
    /// The backend servers that this instance asks for their health and load.
    pub fn asked(&self) -> &[Backend] {
        &self.asked
    }

    /// Takes what a backend server told this instance, or that it was silent.
    pub(crate) fn take_report(&mut self, now: Time, report: &Report, out: &mut Vec<Action>) {
        if !report.reached {
            self.note_lost(now, report, out);
        }
        if let Some(handle) = self.fleet.find(&report.server) {
            self.fleet.record_probe(handle, report.reached, now);
        }
        let shared = SharedReport::from(report);
        self.heed(now, &shared);
        self.untold.push(shared);
    }

    /// Takes what another instance was told. That it could not reach a server
    /// says nothing of the way from here.
    pub(crate) fn take_shared(&mut self, now: Time, reports: &[SharedReport]) {
        for report in reports {
            self.heed(now, report);
        }
    }

    /// Tells the other instances what the backend servers said.
    pub(crate) fn share_reports(&mut self, out: &mut Vec<Action>) {
        let reports = std::mem::take(&mut self.untold);
        if !reports.is_empty() {
            self.tell_all(&Message::Reports(reports), out);
        }
    }

    /// Chooses the backend servers to ask, after the fleet has changed.
    pub(crate) fn choose_asked(&mut self) {
        let live: Vec<u64> = self
            .live_entries()
            .map(|e| xxh3_64(e.id.as_str().as_bytes()))
            .collect();
        let me = xxh3_64(self.me.id.as_str().as_bytes());
        let asks = |backend: &&Backend| {
            let weight = |entry: u64| xxh3_64_with_seed(backend.id.as_str().as_bytes(), entry);
            let own = weight(me);
            let above = live.iter().filter(|e| **e != me && weight(**e) > own);
            above.take(ASKERS).count() < ASKERS
        };
        self.asked = self.backends.iter().filter(asks).cloned().collect();
    }

    fn heed(&mut self, now: Time, report: &SharedReport) {
        let SharedReport(id, health, load) = report;
        if let Some(load) = load {
            self.fleet.record_report(id, ServerReport::Load(*load), now);
        }
        match health {
            Health::Silent => (),
            Health::Well => self.fleet.record_report(id, ServerReport::Healthy, now),
            Health::Failing => self.fleet.record_report(id, ServerReport::Failing, now),
            Health::Draining => self.fleet.record_report(id, ServerReport::Leaving, now),
        }
    }
}
