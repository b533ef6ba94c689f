//! Judgement of workers by their outcomes: ejection, probes, readmission.

use super::super::{Engine, Millis};
use crate::ids::{PoolId, WorkerId};
use crate::policy::outlier::{Eligibility, Outcome, OutlierDetector};

impl Engine {
    pub(super) fn judge(&mut self, now: Millis, pool: PoolId, worker: WorkerId, outcome: Outcome) {
        let percent = self.options.eject_percent;
        let judgement = self.judgements.entry(pool).or_insert_with(|| OutlierDetector::new(percent));
        judgement.record(now, worker, outcome);
    }

    /// Ejects workers that fail much more than their peers.
    pub(in crate::engine) fn run_judgements(&mut self, now: Millis) {
        for (pool, judgement) in &mut self.judgements {
            let workers = self.upstreams.of_pool(*pool).iter().copied();
            let serving: Vec<WorkerId> =
                workers.filter(|id| self.fleet.takes_work(&self.fleet.workers[id])).collect();
            let ejected = judgement.eject_outliers(now, &serving);
            self.counters.ejections += ejected.len() as u64;
        }
    }

    /// Whether a worker may be given work, by its outcomes.
    pub(super) fn eligibility(&self, now: Millis, pool: PoolId, worker: WorkerId) -> Eligibility {
        self.judgements
            .get(&pool)
            .map_or(Eligibility::Eligible, |judgement| judgement.eligibility(now, worker))
    }

    /// Notes that work was sent to an ejected worker.
    pub(super) fn note_probe(&mut self, now: Millis, pool: PoolId, worker: WorkerId) {
        if self.eligibility(now, pool, worker) != Eligibility::Eligible
            && let Some(judgement) = self.judgements.get_mut(&pool)
        {
            judgement.start_probe(now, worker);
        }
    }

    /// Workers that this member has ejected.
    pub(super) fn ejected(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.judgements.values().flat_map(OutlierDetector::ejected)
    }
}
