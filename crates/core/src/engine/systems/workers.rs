//! Workers: comparison of the platform's list with the log, and probes after failed connections.

use std::collections::{HashMap, HashSet};

use super::super::command::Command;
use super::super::event::List;
use super::super::{Engine, Millis};
use super::duty::Duty;
use crate::fleet::{Worker, WorkerState};
use crate::ids::{Offset, WorkerId};
use crate::record::{Record, WorkerSeen};

/// Differences between the platform's list and the log. Computing them takes time proportional to the number of
/// workers, so a tick reuses them unless the list or the log has changed.
#[derive(Debug, Default)]
pub(in crate::engine) struct ListDiff {
    /// `Engine::list_reads` and the last applied offset of the log at the comparison.
    inputs: Option<(u64, Option<Offset>)>,
    /// Listed workers of known pools that the log lacks, has as lost, or has with another nonce, address, number of
    /// slots or leaving state.
    changed: Vec<WorkerSeen>,
    /// Workers of the log that the list does not show.
    absent: Vec<WorkerId>,
}

impl Engine {
    /// Replaces the last list. Ignores a list that is older than the last one.
    pub(in crate::engine) fn accept_list(&mut self, now: Millis, list: List) {
        let older = self.list.as_ref().is_some_and(|(_, last)| last.version > list.version);
        if older {
            return;
        }
        let names = self.worker_names();
        let known =
            list.workers.iter().filter_map(|seen| Some((*names.get(seen.name.as_str())?, seen.leaving)));
        for (id, leaving) in known.collect::<Vec<_>>() {
            self.upstreams.row(id).leaving = leaving;
        }
        self.list = Some((now, list));
        self.list_reads += 1;
    }

    pub(in crate::engine) fn run_workers(&mut self, now: Millis) {
        if self.member().is_none() || self.list.is_none() {
            return;
        }
        self.update_list_diff();
        let changed = self.list_diff.changed.clone();
        if changed.is_empty() {
            self.clear_duty(Duty::WorkerList);
        } else if self.is_turn(now, Duty::WorkerList) {
            for seen in changed {
                self.append_once(now, Record::WorkerSeen(seen));
            }
        }
        self.lose_absent_workers(now);
    }

    fn update_list_diff(&mut self) {
        let inputs = Some((self.list_reads, self.fleet.applied));
        if self.list_diff.inputs != inputs {
            let (changed, absent) = (self.changed_workers(), self.absent_workers());
            self.list_diff = ListDiff { inputs, changed, absent };
        }
    }

    fn worker_names(&self) -> HashMap<&str, WorkerId> {
        self.fleet.workers.iter().map(|(id, worker)| (worker.name.as_str(), *id)).collect()
    }

    fn changed_workers(&self) -> Vec<WorkerSeen> {
        let listed = self.list.iter().flat_map(|(_, list)| &list.workers);
        let names = self.worker_names();
        let changed = |seen: &&WorkerSeen| {
            let known = names.get(seen.name.as_str()).map(|id| &self.fleet.workers[id]);
            self.fleet.pool(&seen.pool).is_some() && known.is_none_or(|worker| differs(worker, seen))
        };
        listed.filter(changed).cloned().collect()
    }

    /// Declares workers lost that have been missing from the list for longer than its maximum lag.
    fn lose_absent_workers(&mut self, now: Millis) {
        let absent = self.list_diff.absent.clone();
        self.absent_since.retain(|id, _| absent.contains(id));
        for worker in absent {
            let since = *self.absent_since.entry(worker).or_insert(now);
            let due = now.since(since) >= self.options.list_lag_ms;
            if due && self.is_turn(now, Duty::LoseWorker(worker)) {
                self.append_once(now, Record::WorkerLost { worker });
            }
        }
    }

    fn absent_workers(&self) -> Vec<WorkerId> {
        let listed = self.list.iter().flat_map(|(_, list)| &list.workers);
        let names: HashSet<&str> = listed.map(|seen| seen.name.as_str()).collect();
        let known = self.fleet.workers.iter().filter(|(_, w)| w.state != WorkerState::Lost);
        known.filter(|(_, w)| !names.contains(w.name.as_str())).map(|(id, _)| *id).collect()
    }

    /// Requests a probe of a worker, unless one is in progress.
    pub(super) fn probe(&mut self, worker: WorkerId) {
        let Some(address) = self.fleet.workers.get(&worker).map(|w| w.address.clone()) else {
            return;
        };
        let row = self.upstreams.row(worker);
        if !row.probing {
            row.probing = true;
            self.emit(Command::Probe { worker, address });
        }
    }

    pub(in crate::engine) fn end_probe(&mut self, now: Millis, worker: WorkerId, alive: bool) {
        let row = self.upstreams.row(worker);
        row.probing = false;
        if alive {
            row.reset_backoff();
        } else {
            row.back_off(now);
        }
    }
}

fn differs(worker: &Worker, seen: &WorkerSeen) -> bool {
    let leaving_or_lost = matches!(worker.state, WorkerState::Leaving | WorkerState::Lost);
    let leaving_changed = seen.leaving != (worker.state == WorkerState::Leaving);
    // The log keeps a worker in maintenance even if the list shows it as leaving, so a record would change nothing.
    let state_changed =
        leaving_changed && (leaving_or_lost || seen.leaving) && worker.state != WorkerState::Maintenance;
    state_changed
        || worker.state == WorkerState::Lost
        || worker.nonce != seen.nonce
        || worker.address != seen.address
        || worker.slots != seen.slots
}
