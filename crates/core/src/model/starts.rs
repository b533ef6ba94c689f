//! Steps that start work, take over task leases, and reboot workers.

use super::Model;
use super::entry::Action;
use super::process::host_index;
use super::state::{Start, State, Step, Violation, Work};
use crate::fleet::{Fleet, TaskState, WorkerState};
use crate::ids::MemberId;

impl Model {
    /// Whether the worker accepts the start: it has not run the attempt, and the lease or deadline has not expired.
    pub(super) fn is_leased(&self, state: &State, start: &Start) -> bool {
        let ran = state.hosts[usize::from(start.host)].ran;
        let known = ran.is_some_and(|(attempt, _)| start.work == Work::Task(attempt));
        let open = start.epoch == state.processes[usize::from(start.process)].epoch;
        !known && (open || self.setup.faults.no_lease_expiry)
    }

    pub(super) fn check_starts(
        &self,
        state: &State,
        index: usize,
        fleet: &Fleet,
        id: MemberId,
        steps: &mut Vec<(Step, State)>,
    ) {
        let process = &state.processes[index];
        let mut push = |start: Start| {
            let mut next = state.clone();
            next.processes[index].checked_start = Some(start);
            next.remaining.requests -= u8::from(start.work == Work::Request);
            steps.push((Step::Check(index, start), next));
        };
        let process_index = u8::try_from(index).unwrap_or(u8::MAX);
        for (worker, row) in fleet.workers.iter().filter(|(_, w)| fleet.takes_work(w)) {
            let host = u8::try_from(host_index(*worker)).unwrap_or(u8::MAX);
            let start =
                |work| Start { process: process_index, epoch: process.epoch, host, pool: row.pool, work };
            if self.setup.requests && state.remaining.requests > 0 && self.free_slots(process, fleet, id) > 0
            {
                push(start(Work::Request));
            }
            for task in fleet.tasks.values().filter(|t| t.owner == id) {
                let early = self.setup.faults.late_start_record && task.state == TaskState::Waiting;
                let recorded = process.recorded_attempt;
                if early && recorded == 0 && process.pending.is_none() {
                    push(start(Work::Task(task.attempts + 1)));
                }
                let ending = matches!(
                    process.pending.map(|e| e.action),
                    Some(Action::Requeued(..) | Action::Ended(..))
                );
                if recorded > 0
                    && !ending
                    && matches!(task.state, TaskState::Started { attempt, worker: on, .. } if attempt == recorded && on == *worker)
                {
                    push(start(Work::Task(recorded)));
                }
            }
        }
    }

    /// A new owner takes over a running attempt by renewing its lease.
    pub(super) fn take_over(
        &self,
        state: &State,
        index: usize,
        fleet: &Fleet,
        id: MemberId,
        steps: &mut Vec<(Step, State)>,
    ) {
        for (task, row) in fleet.tasks.iter().filter(|(_, t)| t.owner == id) {
            let TaskState::Started { attempt, worker, .. } = row.state else {
                continue;
            };
            let mut next = state.clone();
            let epoch = state.processes[index].epoch;
            let running = &mut next.hosts[host_index(worker)].running;
            let foreign = |s: &&mut Start| s.work == Work::Task(attempt) && usize::from(s.process) != index;
            if let Some(work) = running.iter_mut().find(foreign) {
                work.process = u8::try_from(index).unwrap_or(u8::MAX);
                work.epoch = epoch;
                running.sort_unstable();
                steps.push((Step::TakeOver(index, *task), next));
            }
        }
    }

    /// Sends the checked start. A request's deadline counts from here; a task's lease was obtained before.
    pub(super) fn send_start(&self, state: &State, index: usize, mut start: Start) -> (Step, State) {
        let mut next = state.clone();
        let process = &mut next.processes[index];
        process.checked_start = None;
        match start.work {
            Work::Request => {
                start.epoch = process.epoch;
                process.requests[usize::from(start.host)] += 1;
            }
            // With the fault `late_start_record`, the mark keeps the process from dispatching a second time.
            Work::Task(_) => {
                process.recorded_attempt = if self.setup.faults.late_start_record { u32::MAX } else { 0 }
            }
        }
        next.send(start);
        (Step::Send(index, start), next)
    }

    /// Reboots that the process requests from the platform.
    pub(super) fn reboot_steps(
        &self,
        state: &State,
        index: usize,
        fleet: &Fleet,
        steps: &mut Vec<(Step, State)>,
    ) {
        for (worker, row) in &fleet.workers {
            let host = host_index(*worker);
            let nonce = u64::from(state.hosts[host].nonce);
            let pool = match row.state {
                WorkerState::Maintenance if row.reboot == Some(nonce) => row.pool,
                WorkerState::Draining(_) if self.setup.faults.no_barrier => row.pool,
                WorkerState::Moving { to, .. } if self.setup.faults.no_barrier => to,
                _ => continue,
            };
            let mut next = state.clone();
            let rebooted = &mut next.hosts[host];
            if !rebooted.running.is_empty() {
                next.violation = Some(Violation::WorkInterrupted);
            } else if !self.setup.faults.no_barrier || nonce == 1 {
                rebooted.nonce += 1;
                rebooted.pool = pool;
                rebooted.ran = None;
            }
            if next != *state {
                steps.push((Step::Reboot(index, *worker), next));
            }
        }
    }
}
