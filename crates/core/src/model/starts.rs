//! Starts, lease takeovers and reboots.

use super::Model;
use super::entry::Act;
use super::process::host_index;
use super::state::{Broken, Start, Step, Work, World};
use crate::fleet::{Fleet, TaskState, WorkerState};
use crate::ids::MemberId;

impl Model {
    /// True if the worker accepts the start by its lease or, for a request, by its deadline.
    pub(super) fn is_leased(&self, world: &World, start: &Start) -> bool {
        let ran = world.hosts[usize::from(start.host)].ran;
        let known = ran.is_some_and(|(attempt, _)| start.work == Work::Task(attempt));
        let open = start.epoch == world.processes[usize::from(start.process)].epoch;
        !known && (open || self.setup.faults.no_lease)
    }

    pub(super) fn check_starts(
        &self,
        world: &World,
        index: usize,
        fleet: &Fleet,
        id: MemberId,
        steps: &mut Vec<(Step, World)>,
    ) {
        let process = &world.processes[index];
        let mut push = |start: Start| {
            let mut next = world.clone();
            next.processes[index].checked = Some(start);
            next.left.requests -= u8::from(start.work == Work::Request);
            steps.push((Step::Check(index, start), next));
        };
        let process_index = u8::try_from(index).unwrap_or(u8::MAX);
        for (worker, row) in fleet.workers.iter().filter(|(_, w)| fleet.takes_work(w)) {
            let host = u8::try_from(host_index(*worker)).unwrap_or(u8::MAX);
            let start =
                |work| Start { process: process_index, epoch: process.epoch, host, pool: row.pool, work };
            if self.setup.requests && world.left.requests > 0 && self.free_slots(process, fleet, id) > 0 {
                push(start(Work::Request));
            }
            for task in fleet.tasks.values().filter(|t| t.owner == id) {
                let early = self.setup.faults.late_start_record && task.state == TaskState::Waiting;
                let recorded = process.recorded;
                if early && recorded == 0 && process.pending.is_none() {
                    push(start(Work::Task(task.attempts + 1)));
                }
                let ending =
                    matches!(process.pending.map(|e| e.act), Some(Act::Requeued(..) | Act::Ended(..)));
                if recorded > 0
                    && !ending
                    && matches!(task.state, TaskState::Started { attempt, worker: on, .. } if attempt == recorded && on == *worker)
                {
                    push(start(Work::Task(recorded)));
                }
            }
        }
    }

    /// A new owner renews the lease of the attempt that runs.
    pub(super) fn take_over(
        &self,
        world: &World,
        index: usize,
        fleet: &Fleet,
        id: MemberId,
        steps: &mut Vec<(Step, World)>,
    ) {
        for (task, row) in fleet.tasks.iter().filter(|(_, t)| t.owner == id) {
            let TaskState::Started { attempt, worker, .. } = row.state else {
                continue;
            };
            let mut next = world.clone();
            let epoch = world.processes[index].epoch;
            let works = &mut next.hosts[host_index(worker)].works;
            let foreign = |s: &&mut Start| s.work == Work::Task(attempt) && usize::from(s.process) != index;
            if let Some(work) = works.iter_mut().find(foreign) {
                work.process = u8::try_from(index).unwrap_or(u8::MAX);
                work.epoch = epoch;
                works.sort_unstable();
                steps.push((Step::TakeOver(index, *task), next));
            }
        }
    }

    /// The start leaves the process. A request's deadline counts from here; a task's lease was obtained before.
    pub(super) fn write(&self, world: &World, index: usize, mut start: Start) -> (Step, World) {
        let mut next = world.clone();
        let process = &mut next.processes[index];
        process.checked = None;
        match start.work {
            Work::Request => {
                start.epoch = process.epoch;
                process.requests[usize::from(start.host)] += 1;
            }
            // With a late record, the mark keeps the process from a second dispatch of its own.
            Work::Task(_) => {
                process.recorded = if self.setup.faults.late_start_record { u32::MAX } else { 0 }
            }
        }
        next.send(start);
        (Step::Write(index, start), next)
    }

    /// Reboots that the process asks the platform for.
    pub(super) fn reboots(&self, world: &World, index: usize, fleet: &Fleet, steps: &mut Vec<(Step, World)>) {
        for (worker, row) in &fleet.workers {
            let host = host_index(*worker);
            let nonce = u64::from(world.hosts[host].nonce);
            let pool = match row.state {
                WorkerState::Maintenance if row.reboot == Some(nonce) => row.pool,
                WorkerState::Draining(_) if self.setup.faults.no_barrier => row.pool,
                WorkerState::Moving { to, .. } if self.setup.faults.no_barrier => to,
                _ => continue,
            };
            let mut next = world.clone();
            let rebooted = &mut next.hosts[host];
            if !rebooted.works.is_empty() {
                next.broken = Some(Broken::Interrupted);
            } else if !self.setup.faults.no_barrier || nonce == 1 {
                rebooted.nonce += 1;
                rebooted.pool = pool;
                rebooted.ran = None;
            }
            if next != *world {
                steps.push((Step::Reboot(index, *worker), next));
            }
        }
    }
}
