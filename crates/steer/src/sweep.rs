//! What time alone changes, looked at ten times a second.

use std::time::Duration;

use corianderway_model::Time;

use crate::event::Action;
use crate::fleet::Neighbour;
use crate::listing::Member;
use crate::note::Note;
use crate::note::Weight;
use crate::source::Signal as SourceSignal;
use crate::steer::Steer;
use crate::steer::SWEEP;

/// The time between two divisions of the rates.
const SHARE: Duration = Duration::from_millis(250);

/// The time between two tries to record the progress of a move.
const REPORT: Duration = Duration::from_secs(1);

/// The time between two lines about how a move stands.
const DESCRIBE: Duration = Duration::from_secs(1);

/// How long after its deadline a move is described.
const DESCRIBE_AFTER: Duration = Duration::from_secs(10);

/// The time between two tries to remove the entries of lost instances.
const FORGET: Duration = Duration::from_secs(5);

impl Steer {
    /// Looks at everything that time alone changes, if it is due.
    pub(crate) fn sweep(&mut self, now: Time, out: &mut Vec<Action>) {
        if now.since(self.swept) < SWEEP {
            self.serve_waiting(now, out);
            return;
        }
        let step = self.shifts.most_in(now, now.since(self.swept));
        self.swept = now;
        for (service, away, busy) in self.fleet.place_owners(&self.offers, step) {
            let note = Note::new(Weight::Notable, "placement")
                .with("service", service)
                .with("away", format!("{away:.2}"))
                .with("busy", format!("{busy:.2}"));
            out.push(Action::Log(note));
        }
        self.choose_source(now, SourceSignal::Tick, out);
        self.fleet.tick(now);
        let serving = self.members.serving(now).map(neighbour).collect();
        self.fleet.set_neighbours(serving);
        if now.since(self.shared) >= SHARE {
            self.shared = now;
            self.share_quotas(now);
        }
        self.sweep_moves(now, out);
        self.crashes.expire(now);
        let undecided = self.verdicts.take_undecided(now);
        self.count_all(undecided);
        self.forget_lost(now, out);
        self.check_watches(now, out);
        self.serve_waiting(now, out);
    }

    fn sweep_moves(&mut self, now: Time, out: &mut Vec<Action>) {
        let running: Vec<_> = self
            .moves
            .running()
            .map(|(service, target)| (service.clone(), self.fleet.open_outside(service, target)))
            .collect();
        for (service, open) in running {
            self.moves.note_open(&service, open);
        }
        let leads = self.members.leads(now, self.is_stored());
        // A target may take over while the store is away, so that the store
        // can be told as soon as it is back.
        let decides = leads || self.members.leads_unstored(now);
        let turns = self.moves.tick(now, decides);
        self.note_turns(turns, out);
        if leads {
            self.describe_moves(now, out);
            for (order, progress) in self.moves.unreported(now, REPORT) {
                let service = order.service.clone();
                out.push(Action::Report {
                    service,
                    order,
                    progress,
                });
            }
        }
    }

    // Says once a second how each move stands, also after its end, since a fault
    // may begin later than that.
    fn describe_moves(&mut self, now: Time, out: &mut Vec<Action>) {
        if now.since(self.described) < DESCRIBE {
            return;
        }
        self.described = now;
        for (order, standing, evidence) in self.moves.standings(now, DESCRIBE_AFTER) {
            let note = Note::new(Weight::Notable, "move-standing")
                .with("service", &order.service)
                .with("target", &order.target)
                .with("phase", standing.phase.as_str())
                .with("evidence", evidence);
            out.push(Action::Log(standing.describe(note)));
        }
    }

    fn forget_lost(&mut self, now: Time, out: &mut Vec<Action>) {
        if now.since(self.forgot) < FORGET || !self.members.leads(now, self.is_stored()) {
            return;
        }
        self.forgot = now;
        for member in self.members.lost(now) {
            let note = Note::new(Weight::Notable, "instance-lost")
                .with("instance", &member.entry.id)
                .with("callers", member.entry.callers);
            out.push(Action::Log(note));
            out.push(Action::Forget(member.clone()));
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
