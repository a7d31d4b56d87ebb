//! Health and load reports of backend servers.
//!
//! Each server is polled by [`POLLERS_PER_SERVER`] live instances, chosen by rendezvous
//! hashing, which send the reports to the others.

use corianderway_model::Backend;
use corianderway_model::ServerId;
use corianderway_model::Time;
use corianderway_routing::Report as ServerReport;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::event::Action;
use crate::event::PollResult;
use crate::message::Message;
use crate::node::Node;

/// The number of instances that poll each backend server.
const POLLERS_PER_SERVER: usize = 2;

/// A report as sent to the other instances: the server, its health and its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedReport(ServerId, Health, Option<u32>);

/// The answer of the health endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Health {
    Silent,
    Well,
    Failing,
    Draining,
}

impl From<&PollResult> for SharedReport {
    fn from(report: &PollResult) -> Self {
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
    /// The backend servers whose health and load endpoints this instance polls.
    pub fn polled_servers(&self) -> &[Backend] {
        &self.polled
    }

    /// Applies the result of a poll and queues it for the other instances.
    pub(crate) fn apply_report(&mut self, now: Time, report: &PollResult, out: &mut Vec<Action>) {
        if !report.reached {
            self.handle_lost_server(now, report, out);
        }
        if let Some(handle) = self.fleet.find(&report.server) {
            self.fleet.record_probe(handle, report.reached, now);
        }
        let shared = SharedReport::from(report);
        self.update_fleet(now, &shared);
        self.unsent_reports.push(shared);
        self.end_checks(now, report, out);
    }

    /// Applies the reports of another instance. They carry no reachability, since that
    /// instance may use another network path.
    pub(crate) fn apply_shared_reports(&mut self, now: Time, reports: &[SharedReport]) {
        for report in reports {
            self.update_fleet(now, report);
        }
    }

    /// Sends the queued reports to the other instances.
    pub(crate) fn publish_reports(&mut self, out: &mut Vec<Action>) {
        let reports = std::mem::take(&mut self.unsent_reports);
        if !reports.is_empty() {
            self.broadcast(&Message::Reports(reports), out);
        }
    }

    /// Selects the backend servers to poll, after a change of the fleet.
    pub(crate) fn choose_polled(&mut self) {
        let live: Vec<u64> = self
            .live_entries()
            .map(|e| xxh3_64(e.id.as_str().as_bytes()))
            .collect();
        let me = xxh3_64(self.me.id.as_str().as_bytes());
        let is_poller = |backend: &&Backend| {
            let weight = |entry: u64| xxh3_64_with_seed(backend.id.as_str().as_bytes(), entry);
            let own = weight(me);
            let ranked_above = live.iter().filter(|e| **e != me && weight(**e) > own);
            ranked_above.take(POLLERS_PER_SERVER).count() < POLLERS_PER_SERVER
        };
        self.polled = self.backends.iter().filter(is_poller).cloned().collect();
    }

    fn update_fleet(&mut self, now: Time, report: &SharedReport) {
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
