//! Steps of the environment: network, workers, leases and failures.

use super::Model;
use super::entry::{Act, Entry};
use super::process::{LAST_EPOCH, live_of_name};
use super::state::{Broken, Phase, Process, Start, Step, Work, World};
use crate::fleet::WorkerState;
use crate::ids::{Offset, WorkerId};
use crate::record::Origin;

impl Model {
    pub(super) fn environment_steps(&self, world: &World, steps: &mut Vec<(Step, World)>) {
        self.deliver_appends(world, steps);
        self.deliver_starts(world, steps);
        finish(world, steps);
        for index in 0..world.processes.len() {
            self.lapse(world, index, steps);
            if world.processes[index].name < self.setup.victims {
                fail_process(world, index, steps);
            }
        }
        self.restart(world, steps);
        fail_platform(world, steps);
        self.crash(world, steps);
    }

    fn deliver_appends(&self, world: &World, steps: &mut Vec<(Step, World)>) {
        for position in (0..world.delayed.len()).filter(|_| world.platform) {
            let mut next = world.clone();
            let entry = next.delayed.remove(position);
            if self.append(&mut next, entry) {
                steps.push((Step::AppendArrives(entry), next));
            }
        }
    }

    fn deliver_starts(&self, world: &World, steps: &mut Vec<(Step, World)>) {
        for position in 0..world.messages.len() {
            let mut next = world.clone();
            let start = next.messages.remove(position);
            let host = &mut next.hosts[usize::from(start.host)];
            if self.is_leased(world, &start) && host.pool == start.pool {
                host.run(start);
                if let Work::Task(attempt) = start.work {
                    host.ran = Some((attempt, false));
                    next.runs += 1;
                }
                if self.under_maintenance(world, start.host) {
                    next.broken = Some(Broken::Maintenance);
                }
            } else {
                end_request(&mut next, &start);
            }
            steps.push((Step::StartArrives(start), next));
        }
    }

    fn under_maintenance(&self, world: &World, host: u8) -> bool {
        let worker = WorkerId(u32::from(host) + 1);
        self.arena.borrow().get(world.head()).workers[&worker].state == WorkerState::Maintenance
    }

    /// The leases and deadlines of a process that cannot renew them end: workers stop its work.
    fn lapse(&self, world: &World, index: usize, steps: &mut Vec<(Step, World)>) {
        let process = &world.processes[index];
        if process.phase == Phase::Running || process.is_lapsed() {
            return;
        }
        let mut next = world.clone();
        next.processes[index].epoch = if process.phase == Phase::Ended { LAST_EPOCH } else { 1 };
        if !self.setup.faults.no_lease {
            for host in &mut next.hosts {
                host.works.retain(|s| usize::from(s.process) != index);
            }
            next.processes[index].requests = [0; 2];
        }
        steps.push((Step::Lapse(index), next));
    }

    /// The platform starts a replacement under the name of an ended process. It reads the log to its end and joins.
    fn restart(&self, world: &World, steps: &mut Vec<(Step, World)>) {
        if world.left.restarts == 0 || !world.platform {
            return;
        }
        for name in 0..2 {
            let Some(last) = world.processes.iter().rfind(|p| p.name == name) else {
                continue;
            };
            if last.phase != Phase::Ended {
                continue;
            }
            let mut next = world.clone();
            next.left.restarts -= 1;
            let nonce = u8::try_from(world.processes.len() + 1).unwrap_or(u8::MAX);
            let head = self.fleet(world.head());
            next.processes.push(replacement(world, name, head.applied.unwrap_or_default()));
            let act = Act::Join { name, nonce, ends: live_of_name(&head, name) };
            let entry = Entry { origin: Origin::Joining(u64::from(nonce)), sequence: 0, act };
            let mut joins = Vec::new();
            self.propose(&next, world.processes.len(), entry, &mut joins);
            steps.extend(joins);
        }
    }

    /// A worker crashes and starts again: its work ends and it forgets what it ran.
    fn crash(&self, world: &World, steps: &mut Vec<(Step, World)>) {
        for host in (0..world.hosts.len()).filter(|_| world.left.crashes > 0) {
            let mut next = world.clone();
            next.left.crashes -= 1;
            for start in std::mem::take(&mut next.hosts[host].works) {
                end_request(&mut next, &start);
            }
            // Leases end with the process that granted them.
            next.messages.retain(|s| usize::from(s.host) != host || s.work == Work::Request);
            for process in &mut next.processes {
                let leased = |s: &Start| usize::from(s.host) == host && s.work != Work::Request;
                process.checked = process.checked.filter(|s| !leased(s));
            }
            next.hosts[host].ran = None;
            next.hosts[host].nonce += 1;
            steps.push((Step::Crash(u8::try_from(host).unwrap_or(u8::MAX)), next));
        }
    }
}

fn replacement(world: &World, name: u8, applied: Offset) -> Process {
    Process {
        name,
        phase: Phase::Running,
        connected: true,
        replica: world.head(),
        applied,
        sequence: 0,
        pending: None,
        requests: [0; 2],
        checked: None,
        recorded: 0,
        epoch: 0,
    }
}

/// Work ends by itself and its owner learns of it.
fn finish(world: &World, steps: &mut Vec<(Step, World)>) {
    for (index, host) in world.hosts.iter().enumerate() {
        for position in 0..host.works.len() {
            let mut next = world.clone();
            let start = next.hosts[index].works.remove(position);
            if let Work::Task(attempt) = start.work {
                next.hosts[index].ran = Some((attempt, true));
            }
            end_request(&mut next, &start);
            steps.push((Step::Finish(start), next));
        }
    }
}

fn end_request(world: &mut World, start: &Start) {
    let process = &mut world.processes[usize::from(start.process)];
    // The requests of an earlier epoch were counted as ended when their deadlines passed.
    if start.work == Work::Request && start.epoch == process.epoch {
        let count = &mut process.requests[usize::from(start.host)];
        *count = count.saturating_sub(1);
    }
}

fn fail_process(world: &World, index: usize, steps: &mut Vec<(Step, World)>) {
    let process = &world.processes[index];
    let mut push = |step, change: &dyn Fn(&mut World)| {
        let mut next = world.clone();
        change(&mut next);
        steps.push((step, next));
    };
    if process.phase != Phase::Ended && world.left.kills > 0 {
        push(Step::Kill(index), &|next| {
            next.left.kills -= 1;
            next.processes[index].end();
        });
    }
    if process.phase == Phase::Running && world.left.freezes > 0 {
        push(Step::Freeze(index), &|next| {
            next.left.freezes -= 1;
            next.processes[index].phase = Phase::Frozen;
        });
    }
    if process.phase == Phase::Frozen {
        push(Step::Resume(index), &|next| next.processes[index].phase = Phase::Running);
    }
    if process.phase != Phase::Ended && process.connected && world.left.cuts > 0 {
        push(Step::Cut(index), &|next| {
            next.left.cuts -= 1;
            next.processes[index].connected = false;
        });
    }
    if !process.connected {
        push(Step::Connect(index), &|next| next.processes[index].connected = true);
    }
}

fn fail_platform(world: &World, steps: &mut Vec<(Step, World)>) {
    let mut next = world.clone();
    if !world.platform {
        next.platform = true;
        steps.push((Step::OutageEnds, next));
    } else if world.left.outages > 0 {
        next.platform = false;
        next.left.outages -= 1;
        steps.push((Step::Outage, next));
    }
}
