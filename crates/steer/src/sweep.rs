//! Periodic work that depends on time alone, done ten times per second.

use std::time::Duration;

use corianderway_model::Time;

use crate::event::Action;
use crate::fleet::Neighbour;
use crate::listing::Member;
use crate::note::Note;
use crate::note::Severity;
use crate::outage::Signal as OutageSignal;
use crate::source::Signal as SourceSignal;
use crate::steer::Steer;
use crate::steer::SWEEP_INTERVAL;

/// The interval at which the quotas of this instance are recomputed.
const QUOTA_INTERVAL: Duration = Duration::from_millis(250);

/// The interval between attempts to record the progress of a version move.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between log lines on the status of a version move.
const MOVE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How long after its deadline the status of a version move is logged.
const MOVE_LOG_WINDOW: Duration = Duration::from_secs(10);

/// The interval between attempts to remove the entries of lost instances.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(5);

impl Steer {
    /// Does the periodic work if it is due, and retries the waiting requests in any case.
    pub(crate) fn sweep(&mut self, now: Time, out: &mut Vec<Action>) {
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            self.retry_all_waiting(now, out);
            return;
        }
        let step = self.shifts.max_share_in(now, now.since(self.last_sweep));
        self.pass_usage(out);
        self.record_pace(now, out);
        self.last_sweep = now;
        for (service, away, busy) in self.fleet.place_owners(&self.offered_loads, step) {
            let note = Note::new(Severity::Notable, "placement")
                .with("service", service)
                .with("away", format!("{away:.2}"))
                .with("busy", format!("{busy:.2}"));
            out.push(Action::Log(note));
        }
        self.advance_outage(now, OutageSignal::Tick);
        self.settle_lists(now, out);
        self.advance_source(now, SourceSignal::Tick, out);
        self.fleet.tick(now);
        let named = self.named(now).into_iter().map(neighbour).collect();
        self.fleet.set_neighbours(named);
        if now.since(self.quotas_updated) >= QUOTA_INTERVAL {
            self.quotas_updated = now;
            self.update_quotas(now);
        }
        self.sweep_moves(now, out);
        self.crashes.expire(now);
        let undecided = self.pending_failures.release_expired(now);
        self.count_observations(undecided);
        self.remove_lost(now, out);
        self.check_watch_lag(now, out);
        self.retry_all_waiting(now, out);
    }

    // Records how late this sweep is.
    fn record_pace(&mut self, now: Time, out: &mut Vec<Action>) {
        // There is no earlier sweep to compare the first one with.
        if self.last_sweep == Time::ZERO {
            return;
        }
        let due = self.last_sweep + SWEEP_INTERVAL;
        if let Some(mean_ms) = self.pace.record(now.since(due)) {
            let note = Note::new(Severity::Notable, "pace")
                .with("late", self.pace.is_late())
                .with("delay_ms", mean_ms.round());
            out.push(Action::Log(note));
            self.urgent = true;
        }
    }

    fn sweep_moves(&mut self, now: Time, out: &mut Vec<Action>) {
        let running: Vec<_> = self
            .moves
            .running()
            .map(|(service, target)| {
                (
                    service.clone(),
                    self.fleet.in_flight_outside(service, target),
                )
            })
            .collect();
        for (service, open) in running {
            self.moves.set_old_inflight(&service, open);
            let overdue = self.overdue(now, &service);
            self.moves.set_overdue(&service, &overdue);
        }
        let is_leader = self.members.is_leader(now, self.follows_store());
        // While no instance reaches the store, one of them still decides on
        // takeovers; the progress is recorded once the store is reachable again.
        let decides = is_leader || self.members.is_offline_leader(now);
        let transitions = self.moves.tick(now, decides);
        self.log_transitions(transitions, out);
        if is_leader {
            self.log_moves(now, out);
            for (order, progress) in self
                .moves
                .unreported(now, REPORT_INTERVAL, self.known.era())
            {
                let service = order.service.clone();
                out.push(Action::RecordProgress {
                    service,
                    order,
                    progress,
                });
            }
        }
    }

    // Logs the status of each version move once per second, also after its end,
    // since a fault may begin later.
    fn log_moves(&mut self, now: Time, out: &mut Vec<Action>) {
        if now.since(self.moves_logged) < MOVE_LOG_INTERVAL {
            return;
        }
        self.moves_logged = now;
        for (order, status, evidence) in self.moves.statuses(now, MOVE_LOG_WINDOW) {
            let note = Note::new(Severity::Notable, "move-standing")
                .with("service", &order.service)
                .with("target", &order.target)
                .with("phase", status.phase.as_str())
                .with("evidence", evidence);
            out.push(Action::Log(status.describe(note)));
        }
    }

    fn remove_lost(&mut self, now: Time, out: &mut Vec<Action>) {
        if now.since(self.entries_removed) < REMOVAL_INTERVAL
            || !self.members.is_leader(now, self.follows_store())
        {
            return;
        }
        self.entries_removed = now;
        for member in self.members.lost(now) {
            let note = Note::new(Severity::Notable, "instance-lost")
                .with("instance", &member.entry.id)
                .with("callers", member.entry.callers);
            out.push(Action::Log(note));
            out.push(Action::RemoveEntry(member.clone()));
        }
    }
}

fn neighbour(member: &Member) -> Neighbour {
    Neighbour {
        id: member.entry.id.clone(),
        region: member.entry.region.clone(),
        domain: member.entry.domain.clone(),
    }
}
