//! Replicas and appends: how processes follow the log and write to it.

use super::Model;
use super::arena::FleetId;
use super::entry::{Action, Entry};
use super::process::{live_member_named, member};
use super::state::{Phase, Process, State, Step, Violation};
use crate::fleet::{Member, TaskState};
use crate::record::Origin;

impl Model {
    pub(super) fn replica_steps(&self, state: &State, index: usize, steps: &mut Vec<(Step, State)>) {
        let process = &state.processes[index];
        let position = state.log.iter().position(|id| *id == process.replica).unwrap_or(0);
        if let Some(next) = state.log.get(position + 1)
            && process.connected
            && state.platform_up
        {
            steps.push((Step::Apply(index), self.install_state(state, index, *next)));
        }
        // Only a process that cannot read the log restores from peers.
        let cut = !process.connected || !state.platform_up;
        let running = |p: &Process| cut && p.phase == Phase::Running;
        for (peer, other) in state.processes.iter().enumerate().filter(|(_, p)| running(p)) {
            if self.arena.borrow_mut().is_newer(process.replica, other.replica) {
                let next = self.install_state(state, index, other.replica);
                steps.push((Step::Restore { process: index, peer }, next));
            }
        }
    }

    /// Installs a newer replicated state, and settles the process's own batch if that state contains it.
    fn install_state(&self, state: &State, index: usize, id: FleetId) -> State {
        let mut next = state.clone();
        let fleet = self.fleet(id);
        let process = &mut next.processes[index];
        let applied = fleet.applied.unwrap_or_default();
        if applied <= process.applied {
            next.violation = Some(Violation::StateRegressed);
            return next;
        }
        process.replica = id;
        process.applied = applied;
        let Some((member, row)) = member(&fleet, index) else {
            return next;
        };
        let pending = process.pending.filter(|entry| is_settled(entry, row));
        if let Some(entry) = pending {
            process.pending = None;
            if let Action::Started(task, attempt, worker, nonce) = entry.action
                && fleet.tasks.get(&task).is_some_and(|t| {
                    t.owner == member
                        && t.state == TaskState::Started { attempt, worker, nonce: nonce.into() }
                })
                && !self.setup.faults.late_start_record
            {
                process.recorded_attempt = attempt;
            }
            next.accepted |= entry.action == Action::Accept && !fleet.tasks.is_empty();
        }
        next
    }

    /// Appends a new batch: it arrives at once, or the network delays it.
    pub(super) fn propose(&self, state: &State, index: usize, entry: Entry, steps: &mut Vec<(Step, State)>) {
        let mut next = state.clone();
        let process = &mut next.processes[index];
        process.pending = Some(entry);
        process.sequence = entry.sequence;
        let reachable = process.connected && state.platform_up;
        if state.remaining.delays > 0 {
            let mut delayed = next.clone();
            delayed.remaining.delays -= 1;
            delayed.delayed.push(entry);
            delayed.delayed.sort_unstable();
            steps.push((Step::Delay(index, entry.action), delayed));
        }
        if reachable && self.append(&mut next, entry) {
            steps.push((Step::Append(index, entry.action), next));
        }
    }

    pub(super) fn retry_append(&self, state: &State, index: usize, steps: &mut Vec<(Step, State)>) {
        let process = &state.processes[index];
        let Some(entry) = process.pending.filter(|_| process.connected && state.platform_up) else {
            return;
        };
        if state.remaining.repeats == 0 {
            return;
        }
        let mut next = state.clone();
        next.remaining.repeats -= 1;
        if self.append(&mut next, entry) {
            steps.push((Step::Repeat(index, entry.action), next));
        }
    }

    /// Adds an entry to the log. Returns false if the bound on entries is reached.
    pub(super) fn append(&self, state: &mut State, entry: Entry) -> bool {
        if state.remaining.entries == 0 {
            return false;
        }
        state.remaining.entries -= 1;
        let entry = self.inject_faults(state, entry);
        let transition = self.arena.borrow_mut().apply(state.head(), entry);
        state.log.push(transition.after);
        if !transition.idempotent {
            state.violation = Some(Violation::StateRegressed);
        }
        true
    }

    fn inject_faults(&self, state: &State, mut entry: Entry) -> Entry {
        let head = self.fleet(state.head());
        if let Origin::Member(id) = entry.origin
            && self.setup.faults.no_dedup
        {
            entry.sequence = head.members[&id].sequence + 1;
        }
        if let Action::Join { name, ends, .. } = &mut entry.action
            && self.setup.faults.join_ends_all
        {
            *ends = live_member_named(&head, *name);
        }
        entry
    }
}

/// Whether the replicated state that contains the member's row has applied the batch.
fn is_settled(entry: &Entry, row: &Member) -> bool {
    matches!(entry.action, Action::Join { .. }) || row.sequence >= entry.sequence
}
