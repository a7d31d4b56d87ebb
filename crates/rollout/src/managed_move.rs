//! One version move on one instance, with the writes of its record.

use corianderway_model::InstanceId;

use crate::event::Action;
use crate::event::Decision;
use crate::event::Moment;
use crate::event::Stored;
use crate::move_chart::Trigger;
use crate::record::Move;
use crate::record_writer::Ask;
use crate::record_writer::Turns;
use crate::tracker::Track;

/// A move, the writes of its record and what the others were told.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) track: Track,
    pub(crate) turns: Turns<Trigger, Move>,
    told: bool,
}

impl Entry {
    pub(crate) fn new(own: &InstanceId, stored: Stored<Move>, at: Moment) -> Self {
        Self {
            track: Track::new(own, stored, at),
            turns: Turns::default(),
            told: false,
        }
    }

    /// Tells the others once that this instance has stopped the version.
    pub(crate) fn tell(&mut self, out: &mut Vec<Action>) {
        if self.told {
            return;
        }
        if let Some(stop) = &self.track.stop {
            out.push(Action::Stop(stop.clone()));
            self.told = true;
        }
    }

    /// Turns a question to the platform into actions.
    pub(crate) fn ask(&self, ask: Ask<Trigger, Move>, out: &mut Vec<Action>) {
        let (trigger, record) = match ask {
            Ask::Write(trigger, record) => (trigger, record),
            Ask::Read => {
                let service = self.track.record.service.clone();
                out.push(Action::Read { service });
                return;
            }
        };
        out.push(Action::Log(Decision {
            key: record.key(),
            trigger,
            state: record.state,
            share: record.share,
            evidence: record.evidence.clone(),
        }));
        out.push(Action::Write {
            record,
            expect: self.track.version,
        });
    }
}
