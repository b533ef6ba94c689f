//! Outlier detection: ejects workers that fail much more than their peers, and readmits them after probes.

use super::super::{Engine, Millis};
use crate::ids::{PoolId, WorkerId};
use crate::policy::outlier::{Eligibility, Outcome, OutlierDetector};

impl Engine {
    pub(super) fn record_outcome(&mut self, now: Millis, pool: PoolId, worker: WorkerId, outcome: Outcome) {
        let percent = self.options.eject_percent;
        let detector = self.detectors.entry(pool).or_insert_with(|| OutlierDetector::new(percent));
        detector.record(now, worker, outcome);
    }

    /// Ejects workers that fail much more than the others of their pool.
    pub(in crate::engine) fn run_outliers(&mut self, now: Millis) {
        for (pool, detector) in &mut self.detectors {
            let workers = self.upstreams.of_pool(*pool).iter().copied();
            let serving: Vec<WorkerId> =
                workers.filter(|id| self.fleet.takes_work(&self.fleet.workers[id])).collect();
            let ejected = detector.eject_outliers(now, &serving);
            self.counters.ejections += ejected.len() as u64;
        }
    }

    /// Whether outlier detection allows work on a worker.
    pub(super) fn eligibility(&self, now: Millis, pool: PoolId, worker: WorkerId) -> Eligibility {
        self.detectors.get(&pool).map_or(Eligibility::Eligible, |detector| detector.eligibility(now, worker))
    }

    /// Records that work was sent to an ejected worker as a probe.
    pub(super) fn start_probe(&mut self, now: Millis, pool: PoolId, worker: WorkerId) {
        if self.eligibility(now, pool, worker) != Eligibility::Eligible
            && let Some(detector) = self.detectors.get_mut(&pool)
        {
            detector.start_probe(now, worker);
        }
    }

    /// Workers that this member has ejected.
    pub(super) fn ejected(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.detectors.values().flat_map(OutlierDetector::ejected)
    }
}
