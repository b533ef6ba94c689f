//! Invariants that are checked after each step, against a separate replica and the workers' own counts.

use std::collections::BTreeMap;

use rattanfall_core::fleet::{Fleet, WorkerState, ZoneState};
use rattanfall_core::ids::{Offset, TeamId, WorkerId, ZoneId};
use rattanfall_core::record::Batch;

use super::worker::FakeWorker;

/// Time after which a removed zone or a stopped worker must not start work any more, in milliseconds.
const STOP_DEADLINE_MS: u64 = 3_000;

/// Reference replica, and the observations so far.
#[derive(Default)]
pub struct Checks {
    pub fleet: Fleet,
    /// Highest running work per team.
    pub peak: BTreeMap<TeamId, u32>,
    running: BTreeMap<TeamId, u32>,
    removed: BTreeMap<ZoneId, u64>,
    stopped: BTreeMap<WorkerId, u64>,
    /// Violated invariants, with their time.
    pub violations: Vec<String>,
}

impl Checks {
    pub fn check(
        &mut self,
        now: u64,
        log: &[Batch],
        workers: &BTreeMap<String, FakeWorker>,
        connected: bool,
    ) {
        let next = self.fleet.applied.map_or(0, |last| usize::try_from(last.0).expect("small log"));
        for (index, batch) in log.iter().enumerate().skip(next) {
            self.fleet.apply(Offset(index as u64 + 1), batch);
        }
        self.check_limits(now, workers);
        self.record_stops(now);
        if connected {
            self.check_stops(now, workers);
        }
    }

    fn check_limits(&mut self, now: u64, workers: &BTreeMap<String, FakeWorker>) {
        let mut running: BTreeMap<TeamId, u32> = BTreeMap::new();
        for team in workers.values().flat_map(FakeWorker::teams) {
            *running.entry(team).or_default() += 1;
        }
        for (team, slots) in &running {
            let limit = self.fleet.teams.get(team).map_or(0, |t| t.limit);
            let before = self.running.get(team).copied().unwrap_or(0);
            // Work that ran when the limit was lowered may finish, but none may start above the limit.
            if *slots > limit && *slots > before {
                self.violations.push(format!("{now}: {team} runs {slots} of {limit}"));
            }
            let peak = self.peak.entry(*team).or_default();
            *peak = (*peak).max(*slots);
        }
        self.running = running;
    }

    fn record_stops(&mut self, now: u64) {
        for (id, zone) in &self.fleet.zones {
            if zone.state == ZoneState::Removed {
                self.removed.entry(*id).or_insert(now);
            } else {
                self.removed.remove(id);
            }
        }
        for (id, worker) in &self.fleet.workers {
            if worker.state == WorkerState::Serving {
                self.stopped.remove(id);
            } else {
                self.stopped.entry(*id).or_insert(now);
            }
        }
    }

    fn check_stops(&mut self, now: u64, workers: &BTreeMap<String, FakeWorker>) {
        for (id, row) in &self.fleet.workers {
            let since = self.removed.get(&row.zone).or(self.stopped.get(id));
            let last = workers.get(&row.name).map_or(0, |worker| worker.last_start);
            if since.is_some_and(|since| last > since + STOP_DEADLINE_MS) && last == now {
                self.violations.push(format!("{now}: work started on {}", row.name));
            }
        }
    }
}
