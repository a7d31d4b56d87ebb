//! Whether all instances have ended their requests at something that is withdrawn.

use corianderway_model::InstanceId;

/// The last word of each instance on its requests in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quiet {
    // Sorted by instance.
    words: Vec<Word>,
}

#[derive(Clone, Debug)]
struct Word {
    instance: InstanceId,
    seen: u64,
    busy: u64,
}

impl Quiet {
    /// Notes that an instance follows a version of the record.
    pub(crate) fn note(&mut self, instance: &InstanceId, seen: u64, busy: u64) {
        let word = Word {
            instance: instance.clone(),
            seen,
            busy,
        };
        match self.at(instance) {
            Ok(at) if self.words[at].seen <= seen => self.words[at] = word,
            Ok(_) => {}
            Err(at) => self.words.insert(at, word),
        }
    }

    /// Whether every instance in service follows `version` and has nothing in flight.
    pub(crate) fn is_reached(&self, live: &[InstanceId], version: u64) -> bool {
        let ended = |id| {
            let word = self.at(id).ok().map(|at| &self.words[at]);
            word.is_some_and(|w| w.seen >= version && w.busy == 0)
        };
        !live.is_empty() && live.iter().all(ended)
    }

    /// Requests in flight, by the last word of the instances in service.
    pub(crate) fn busy(&self, live: &[InstanceId]) -> u64 {
        let words = live.iter().filter_map(|id| self.at(id).ok());
        words.map(|at| self.words[at].busy).sum()
    }

    fn at(&self, instance: &InstanceId) -> Result<usize, usize> {
        self.words.binary_search_by(|w| w.instance.cmp(instance))
    }
}
