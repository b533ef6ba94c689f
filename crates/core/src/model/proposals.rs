//! Records that a process may write, given its replica and its knowledge of the workers.

use super::Model;
use super::entry::{Action, RecordKind};
use super::process::{TEAM, host_index, index_by_nonce};
use super::state::{Phase, Process, Start, State, Work};
use crate::fleet::{Fleet, MemberState, TaskState, WorkerState};
use crate::ids::{MemberId, TaskId, WorkerId};

impl Model {
    /// Records that the setup and the rules allow the process to write now.
    pub(super) fn proposals(&self, state: &State, index: usize, fleet: &Fleet, id: MemberId) -> Vec<Action> {
        let mut actions = Vec::new();
        for kind in &self.setup.kinds {
            match kind {
                RecordKind::Claim => actions.extend((fleet.unclaimed(TEAM) > 0).then_some(Action::Claim(1))),
                RecordKind::Give | RecordKind::Release => {
                    actions.extend(self.hold_reductions(state, index, fleet, id, *kind))
                }
                RecordKind::Leave => actions.extend(leave_action(&state.processes[index], fleet, id)),
                RecordKind::Gone => actions.extend(self.end_actions(state, fleet, id)),
                RecordKind::Task => actions.extend(self.task_actions(state, index, fleet, id)),
                RecordKind::Drain => {
                    actions.extend(self.drain_actions(state, index, fleet, id, Action::Drain))
                }
                RecordKind::Seen => actions.extend(restarted_workers(state, fleet)),
                RecordKind::Move => {
                    actions.extend(self.drain_actions(state, index, fleet, id, Action::MoveLeft))
                }
            }
        }
        actions
    }

    /// Gives and releases. From writing the record on, the process must not use the slot.
    fn hold_reductions(
        &self,
        state: &State,
        index: usize,
        fleet: &Fleet,
        id: MemberId,
        kind: RecordKind,
    ) -> Vec<Action> {
        let idle = self.free_slots(&state.processes[index], fleet, id) > 0;
        let held = fleet.hold(TEAM, id) > 0;
        let allowed = idle || held && self.setup.faults.use_given_slots;
        if !allowed {
            return Vec::new();
        }
        if kind == RecordKind::Release {
            return vec![Action::Release];
        }
        fleet.live_members().filter(|to| *to != id).map(Action::Give).collect()
    }

    /// Slots of its hold that the process may still use.
    pub(super) fn free_slots(&self, process: &Process, fleet: &Fleet, id: MemberId) -> u32 {
        let started = fleet.tasks.values().filter(|t| t.owner == id);
        let started = started.filter(|t| matches!(t.state, TaskState::Started { .. })).count();
        let requests: u32 = process.requests.iter().map(|count| u32::from(*count)).sum();
        let pending = match process.pending.map(|entry| entry.action) {
            Some(Action::Give(_) | Action::Release) => u32::from(!self.setup.faults.use_given_slots),
            Some(Action::Started(..)) => 1,
            Some(Action::Leave) => u32::MAX,
            _ => 0,
        };
        let used = requests.saturating_add(u32::try_from(started).unwrap_or(u32::MAX));
        fleet.hold(TEAM, id).saturating_sub(used).saturating_sub(pending)
    }

    fn end_actions(&self, state: &State, fleet: &Fleet, id: MemberId) -> Vec<Action> {
        let mut actions = Vec::new();
        for (other, row) in fleet.members.iter().filter(|(other, _)| **other != id) {
            let process = &state.processes[index_by_nonce(row)];
            let silent = process.phase == Phase::Frozen || !process.connected;
            let evidence = process.phase == Phase::Ended || (silent && self.setup.faults.silence_means_ended);
            match row.state {
                MemberState::Live if evidence => actions.push(Action::Gone(*other)),
                MemberState::Gone(_) if fleet.hold(TEAM, *other) > 0 => {
                    let waited = process.phase == Phase::Running || process.is_expired();
                    actions.extend(
                        (waited || self.setup.faults.no_reclaim_wait).then_some(Action::Reclaim(*other)),
                    );
                }
                _ => {}
            }
        }
        actions
    }

    fn task_actions(&self, state: &State, index: usize, fleet: &Fleet, id: MemberId) -> Vec<Action> {
        let process = &state.processes[index];
        let Some((task, row)) = fleet.tasks.iter().next() else {
            return (index == 0).then_some(Action::Accept).into_iter().collect();
        };
        if row.owner != id {
            return Vec::new();
        }
        match row.state {
            TaskState::Waiting => {
                let free = self.free_slots(process, fleet, id) > 0 || self.setup.faults.late_start_record;
                let hosts = fleet.workers.iter().filter(|(_, w)| free && fleet.takes_work(w));
                let dispatched = |w: &WorkerId| {
                    !self.setup.faults.late_start_record || self.is_dispatched(state, index, *w)
                };
                let attempt = row.attempts + 1;
                let process = |w: &WorkerId| state.hosts[host_index(*w)].nonce;
                hosts
                    .filter(|(w, _)| dispatched(w))
                    .map(|(w, _)| Action::Started(*task, attempt, *w, process(w)))
                    .collect()
            }
            TaskState::Started { attempt, worker, nonce }
                if process.recorded_attempt != attempt || !fleet.takes_work(&fleet.workers[&worker]) =>
            {
                self.query_worker(state, *task, attempt, worker, nonce).into_iter().collect()
            }
            TaskState::Started { .. } | TaskState::Ended { .. } => Vec::new(),
        }
    }

    fn is_dispatched(&self, state: &State, index: usize, worker: WorkerId) -> bool {
        let sent = |s: &Start| usize::from(s.process) == index && matches!(s.work, Work::Task(_));
        let host = host_index(worker);
        let ran = state.hosts[host].ran.is_some();
        ran || state.hosts[host].running.iter().any(sent) || state.messages.iter().any(sent)
    }

    /// Record that the owner writes after asking the worker about the attempt. The report that it never started is
    /// final only once no lease for the attempt is open, and only from the worker process in the start record.
    fn query_worker(
        &self,
        state: &State,
        task: TaskId,
        attempt: u32,
        worker: WorkerId,
        start_nonce: u64,
    ) -> Option<Action> {
        let host = &state.hosts[host_index(worker)];
        if host.running.iter().any(|s| s.work == Work::Task(attempt)) {
            return None;
        }
        if let Some((ran, done)) = host.ran
            && ran == attempt
        {
            return Some(Action::Ended(task, attempt, done));
        }
        if u64::from(host.nonce) != start_nonce && !self.setup.faults.trust_restarted_worker {
            return Some(Action::Ended(task, attempt, false));
        }
        let checked = state.processes.iter().filter_map(|p| p.checked_start);
        let mut starts = state.messages.iter().copied().chain(checked);
        let running = |s: &Start| state.processes[usize::from(s.process)].phase == Phase::Running;
        // Without lease expiry, a worker cannot know of starts by ended processes.
        let known =
            |s: &Start| if self.setup.faults.no_lease_expiry { running(s) } else { self.is_leased(state, s) };
        let open = starts.any(|s| s.work == Work::Task(attempt) && known(&s));
        (!open).then_some(Action::Requeued(task, attempt))
    }

    /// Drains or moves, confirmations, and the records that require quiescence.
    fn drain_actions(
        &self,
        state: &State,
        index: usize,
        fleet: &Fleet,
        id: MemberId,
        stop: impl Fn(WorkerId) -> Action,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let process = &state.processes[index];
        for (worker, row) in &fleet.workers {
            let host = &state.hosts[host_index(*worker)];
            match row.state {
                WorkerState::Serving if host.nonce == 1 => actions.push(stop(*worker)),
                WorkerState::Draining(_) => actions.push(Action::Maintain(*worker)),
                WorkerState::Moving { .. } => actions.push(Action::MoveJoined(*worker)),
                WorkerState::Maintenance if row.reboot != Some(u64::from(host.nonce)) => {
                    actions.push(Action::Maintained(*worker));
                }
                _ => {}
            }
            if let WorkerState::Draining(since) | WorkerState::Moving { since, .. } = row.state {
                let quiet = self.setup.faults.early_confirmation || is_quiet(process, fleet, id, *worker);
                let confirm = quiet && fleet.members[&id].progress < since;
                actions.extend(confirm.then_some(Action::Progress(process.applied)));
            }
        }
        actions
    }
}

/// Updates about workers whose process is not the one in the replica.
fn restarted_workers(state: &State, fleet: &Fleet) -> Vec<Action> {
    let hosts = (0..).zip(&state.hosts);
    let nonce = |host: u8| fleet.workers[&WorkerId(u32::from(host) + 1)].nonce;
    let changed = hosts.filter(|(index, host)| nonce(*index) != u64::from(host.nonce));
    changed.map(|(index, host)| Action::Seen { host: index, nonce: host.nonce }).collect()
}

fn leave_action(process: &Process, fleet: &Fleet, id: MemberId) -> Option<Action> {
    let alone = fleet.live_members().all(|other| other == id);
    (process.requests == [0; 2] && process.recorded_attempt == 0 && !alone).then_some(Action::Leave)
}

/// Whether the process has no work on the worker.
fn is_quiet(process: &Process, fleet: &Fleet, id: MemberId, worker: WorkerId) -> bool {
    let on_worker = |state: &TaskState| matches!(state, TaskState::Started { worker: w, .. } if *w == worker);
    let task = fleet.tasks.values().any(|t| t.owner == id && on_worker(&t.state));
    process.requests[host_index(worker)] == 0 && !task
}
