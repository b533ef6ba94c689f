//! Steps of the environment: network, workers, leases and failures.

use super::Model;
use super::entry::{Action, Entry};
use super::process::{EXPIRED_EPOCH, live_member_named};
use super::state::{Phase, Process, Start, State, Step, Violation, Work};
use crate::fleet::WorkerState;
use crate::ids::{Offset, WorkerId};
use crate::record::Origin;

impl Model {
    pub(super) fn environment_steps(&self, state: &State, steps: &mut Vec<(Step, State)>) {
        self.deliver_appends(state, steps);
        self.deliver_starts(state, steps);
        finish_work(state, steps);
        for index in 0..state.processes.len() {
            self.expire_leases(state, index, steps);
            if state.processes[index].name < self.setup.failing_names {
                fail_process(state, index, steps);
            }
        }
        self.restart_process(state, steps);
        fail_platform(state, steps);
        self.crash_worker(state, steps);
    }

    fn deliver_appends(&self, state: &State, steps: &mut Vec<(Step, State)>) {
        for position in (0..state.delayed.len()).filter(|_| state.platform_up) {
            let mut next = state.clone();
            let entry = next.delayed.remove(position);
            if self.append(&mut next, entry) {
                steps.push((Step::AppendArrives(entry), next));
            }
        }
    }

    fn deliver_starts(&self, state: &State, steps: &mut Vec<(Step, State)>) {
        for position in 0..state.messages.len() {
            let mut next = state.clone();
            let start = next.messages.remove(position);
            let host = &mut next.hosts[usize::from(start.host)];
            if self.is_leased(state, &start) && host.pool == start.pool {
                host.run(start);
                if let Work::Task(attempt) = start.work {
                    host.ran = Some((attempt, false));
                    next.executions += 1;
                }
                if self.under_maintenance(state, start.host) {
                    next.violation = Some(Violation::StartInMaintenance);
                }
            } else {
                end_request(&mut next, &start);
            }
            steps.push((Step::StartArrives(start), next));
        }
    }

    fn under_maintenance(&self, state: &State, host: u8) -> bool {
        let worker = WorkerId(u32::from(host) + 1);
        self.arena.borrow().get(state.head()).workers[&worker].state == WorkerState::Maintenance
    }

    /// Expires the leases and deadlines of a frozen or ended process: workers stop its work.
    fn expire_leases(&self, state: &State, index: usize, steps: &mut Vec<(Step, State)>) {
        let process = &state.processes[index];
        if process.phase == Phase::Running || process.is_expired() {
            return;
        }
        let mut next = state.clone();
        next.processes[index].epoch = if process.phase == Phase::Ended { EXPIRED_EPOCH } else { 1 };
        if !self.setup.faults.no_lease_expiry {
            for host in &mut next.hosts {
                host.running.retain(|s| usize::from(s.process) != index);
            }
            next.processes[index].requests = [0; 2];
        }
        steps.push((Step::ExpireLeases(index), next));
    }

    /// The platform starts a replacement for an ended process. It reads the log to its end and joins.
    fn restart_process(&self, state: &State, steps: &mut Vec<(Step, State)>) {
        if state.remaining.restarts == 0 || !state.platform_up {
            return;
        }
        for name in 0..2 {
            let Some(last) = state.processes.iter().rfind(|p| p.name == name) else {
                continue;
            };
            if last.phase != Phase::Ended {
                continue;
            }
            let mut next = state.clone();
            next.remaining.restarts -= 1;
            let nonce = u8::try_from(state.processes.len() + 1).unwrap_or(u8::MAX);
            let head = self.fleet(state.head());
            next.processes.push(replacement(state, name, head.applied.unwrap_or_default()));
            let action = Action::Join { name, nonce, ends: live_member_named(&head, name) };
            let entry = Entry { origin: Origin::Joining(u64::from(nonce)), sequence: 0, action };
            let mut joins = Vec::new();
            self.propose(&next, state.processes.len(), entry, &mut joins);
            steps.extend(joins);
        }
    }

    /// A worker crashes and restarts: its work ends, and its record of what it ran is lost.
    fn crash_worker(&self, state: &State, steps: &mut Vec<(Step, State)>) {
        for host in (0..state.hosts.len()).filter(|_| state.remaining.crashes > 0) {
            let mut next = state.clone();
            next.remaining.crashes -= 1;
            for start in std::mem::take(&mut next.hosts[host].running) {
                end_request(&mut next, &start);
            }
            // Task leases are invalid once the worker process that granted them has ended.
            next.messages.retain(|s| usize::from(s.host) != host || s.work == Work::Request);
            for process in &mut next.processes {
                let leased = |s: &Start| usize::from(s.host) == host && s.work != Work::Request;
                process.checked_start = process.checked_start.filter(|s| !leased(s));
            }
            next.hosts[host].ran = None;
            next.hosts[host].nonce += 1;
            steps.push((Step::Crash(u8::try_from(host).unwrap_or(u8::MAX)), next));
        }
    }
}

fn replacement(state: &State, name: u8, applied: Offset) -> Process {
    Process {
        name,
        phase: Phase::Running,
        connected: true,
        replica: state.head(),
        applied,
        sequence: 0,
        pending: None,
        requests: [0; 2],
        checked_start: None,
        recorded_attempt: 0,
        epoch: 0,
    }
}

/// Work completes, and its owner is told.
fn finish_work(state: &State, steps: &mut Vec<(Step, State)>) {
    for (index, host) in state.hosts.iter().enumerate() {
        for position in 0..host.running.len() {
            let mut next = state.clone();
            let start = next.hosts[index].running.remove(position);
            if let Work::Task(attempt) = start.work {
                next.hosts[index].ran = Some((attempt, true));
            }
            end_request(&mut next, &start);
            steps.push((Step::Finish(start), next));
        }
    }
}

fn end_request(state: &mut State, start: &Start) {
    let process = &mut state.processes[usize::from(start.process)];
    // Requests of an earlier epoch were already counted as ended when their deadlines passed.
    if start.work == Work::Request && start.epoch == process.epoch {
        let count = &mut process.requests[usize::from(start.host)];
        *count = count.saturating_sub(1);
    }
}

fn fail_process(state: &State, index: usize, steps: &mut Vec<(Step, State)>) {
    let process = &state.processes[index];
    let mut push = |step, change: &dyn Fn(&mut State)| {
        let mut next = state.clone();
        change(&mut next);
        steps.push((step, next));
    };
    if process.phase != Phase::Ended && state.remaining.kills > 0 {
        push(Step::Kill(index), &|next| {
            next.remaining.kills -= 1;
            next.processes[index].end();
        });
    }
    if process.phase == Phase::Running && state.remaining.freezes > 0 {
        push(Step::Freeze(index), &|next| {
            next.remaining.freezes -= 1;
            next.processes[index].phase = Phase::Frozen;
        });
    }
    if process.phase == Phase::Frozen {
        push(Step::Resume(index), &|next| next.processes[index].phase = Phase::Running);
    }
    if process.phase != Phase::Ended && process.connected && state.remaining.disconnects > 0 {
        push(Step::Disconnect(index), &|next| {
            next.remaining.disconnects -= 1;
            next.processes[index].connected = false;
        });
    }
    if !process.connected {
        push(Step::Reconnect(index), &|next| next.processes[index].connected = true);
    }
}

fn fail_platform(state: &State, steps: &mut Vec<(Step, State)>) {
    let mut next = state.clone();
    if !state.platform_up {
        next.platform_up = true;
        steps.push((Step::OutageEnds, next));
    } else if state.remaining.outages > 0 {
        next.platform_up = false;
        next.remaining.outages -= 1;
        steps.push((Step::Outage, next));
    }
}
