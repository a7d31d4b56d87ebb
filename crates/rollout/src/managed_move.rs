//! One version move on one instance, with the writes of its record and its stop.

use corianderway_model::InstanceId;

use crate::event::Action;
use crate::event::Decision;
use crate::event::Moment;
use crate::event::Stored;
use crate::move_chart::Trigger;
use crate::record::Move;
use crate::record_writer::Call;
use crate::record_writer::RecordWriter;
use crate::tracker::Tracker;

/// The state of a move, the writes of its record, and whether its stop was sent.
#[derive(Debug)]
pub(crate) struct ManagedMove {
    pub(crate) tracker: Tracker,
    pub(crate) writer: RecordWriter<Trigger, Move>,
    announced: bool,
}

impl ManagedMove {
    pub(crate) fn new(own: &InstanceId, stored: Stored<Move>, at: Moment) -> Self {
        Self {
            tracker: Tracker::new(own, stored, at),
            writer: RecordWriter::default(),
            announced: false,
        }
    }

    /// Sends the stop to the other instances, once.
    pub(crate) fn announce_stop(&mut self, out: &mut Vec<Action>) {
        if self.announced {
            return;
        }
        if let Some(stop) = &self.tracker.stop {
            out.push(Action::Stop(stop.clone()));
            self.announced = true;
        }
    }

    /// Adds the actions for a call to the platform.
    pub(crate) fn push_call(&self, call: Call<Trigger, Move>, out: &mut Vec<Action>) {
        let (trigger, record) = match call {
            Call::Write(trigger, record) => (trigger, record),
            Call::Read => {
                let service = self.tracker.record.service.clone();
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
            expect: self.tracker.version,
        });
    }
}
