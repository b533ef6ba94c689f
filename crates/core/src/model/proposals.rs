//! Records that a process may write, given its replica.

use super::Model;
use super::entry::{Act, Kind};
use super::process::{TEAM, host_index, nonce_index};
use super::state::{Phase, Process, Start, Work, World};
use crate::fleet::{Fleet, MemberState, TaskState, WorkerState};
use crate::ids::{MemberId, TaskId, WorkerId};

impl Model {
    /// Records that the process may write now.
    pub(super) fn proposals(&self, world: &World, index: usize, fleet: &Fleet, id: MemberId) -> Vec<Act> {
        let mut acts = Vec::new();
        for kind in &self.setup.kinds {
            match kind {
                Kind::Claim => acts.extend((fleet.unclaimed(TEAM) > 0).then_some(Act::Claim(1))),
                Kind::Give | Kind::Release => acts.extend(self.lowering(world, index, fleet, id, *kind)),
                Kind::Leave => acts.extend(leaving(&world.processes[index], fleet, id)),
                Kind::Gone => acts.extend(self.ends_and_reclaims(world, fleet, id)),
                Kind::Task => acts.extend(self.task_acts(world, index, fleet, id)),
                Kind::Drain => acts.extend(self.drain_acts(world, index, fleet, id, Act::Drain)),
                Kind::Seen => acts.extend(restarted(world, fleet)),
                Kind::Move => acts.extend(self.drain_acts(world, index, fleet, id, Act::MoveLeft)),
            }
        }
        acts
    }

    /// Gives and releases. The process must not use the slot from the moment on that it writes the record.
    fn lowering(&self, world: &World, index: usize, fleet: &Fleet, id: MemberId, kind: Kind) -> Vec<Act> {
        let idle = self.free_slots(&world.processes[index], fleet, id) > 0;
        let held = fleet.hold(TEAM, id) > 0;
        let allowed = idle || held && self.setup.faults.late_lowering;
        if !allowed {
            return Vec::new();
        }
        if kind == Kind::Release {
            return vec![Act::Release];
        }
        fleet.live_members().filter(|to| *to != id).map(Act::Give).collect()
    }

    /// Slots that the process may still use.
    pub(super) fn free_slots(&self, process: &Process, fleet: &Fleet, id: MemberId) -> u32 {
        let started = fleet.tasks.values().filter(|t| t.owner == id);
        let started = started.filter(|t| matches!(t.state, TaskState::Started { .. })).count();
        let requests: u32 = process.requests.iter().map(|count| u32::from(*count)).sum();
        let pending = match process.pending.map(|entry| entry.act) {
            Some(Act::Give(_) | Act::Release) => u32::from(!self.setup.faults.late_lowering),
            Some(Act::Started(..)) => 1,
            Some(Act::Leave) => u32::MAX,
            _ => 0,
        };
        let used = requests.saturating_add(u32::try_from(started).unwrap_or(u32::MAX));
        fleet.hold(TEAM, id).saturating_sub(used).saturating_sub(pending)
    }

    fn ends_and_reclaims(&self, world: &World, fleet: &Fleet, id: MemberId) -> Vec<Act> {
        let mut acts = Vec::new();
        for (other, row) in fleet.members.iter().filter(|(other, _)| **other != id) {
            let process = &world.processes[nonce_index(row)];
            let silent = process.phase == Phase::Frozen || !process.connected;
            let evidence = process.phase == Phase::Ended || (silent && self.setup.faults.silence_is_death);
            match row.state {
                MemberState::Live if evidence => acts.push(Act::Gone(*other)),
                MemberState::Gone(_) if fleet.hold(TEAM, *other) > 0 => {
                    let waited = process.phase == Phase::Running || process.is_lapsed();
                    acts.extend((waited || self.setup.faults.no_wait).then_some(Act::Reclaim(*other)));
                }
                _ => {}
            }
        }
        acts
    }

    fn task_acts(&self, world: &World, index: usize, fleet: &Fleet, id: MemberId) -> Vec<Act> {
        let process = &world.processes[index];
        let Some((task, row)) = fleet.tasks.iter().next() else {
            return (index == 0).then_some(Act::Accept).into_iter().collect();
        };
        if row.owner != id {
            return Vec::new();
        }
        match row.state {
            TaskState::Waiting => {
                let free = self.free_slots(process, fleet, id) > 0 || self.setup.faults.late_start_record;
                let hosts = fleet.workers.iter().filter(|(_, w)| free && fleet.takes_work(w));
                let dispatched =
                    |w: &WorkerId| !self.setup.faults.late_start_record || self.on_host(world, index, *w);
                let attempt = row.attempts + 1;
                let process = |w: &WorkerId| world.hosts[host_index(*w)].nonce;
                hosts
                    .filter(|(w, _)| dispatched(w))
                    .map(|(w, _)| Act::Started(*task, attempt, *w, process(w)))
                    .collect()
            }
            TaskState::Started { attempt, worker, nonce }
                if process.recorded != attempt || !fleet.takes_work(&fleet.workers[&worker]) =>
            {
                self.query(world, *task, attempt, worker, nonce).into_iter().collect()
            }
            TaskState::Started { .. } | TaskState::Ended { .. } => Vec::new(),
        }
    }

    fn on_host(&self, world: &World, index: usize, worker: WorkerId) -> bool {
        let sent = |s: &Start| usize::from(s.process) == index && matches!(s.work, Work::Task(_));
        let host = host_index(worker);
        let ran = world.hosts[host].ran.is_some();
        ran || world.hosts[host].works.iter().any(sent) || world.messages.iter().any(sent)
    }

    /// What the owner writes after the worker's answer about the attempt. The word "never" is final once no lease for
    /// the attempt is open, and only from the process that the start was recorded for.
    fn query(
        &self,
        world: &World,
        task: TaskId,
        attempt: u32,
        worker: WorkerId,
        recorded: u64,
    ) -> Option<Act> {
        let host = &world.hosts[host_index(worker)];
        if host.works.iter().any(|s| s.work == Work::Task(attempt)) {
            return None;
        }
        if let Some((ran, done)) = host.ran
            && ran == attempt
        {
            return Some(Act::Ended(task, attempt, done));
        }
        if u64::from(host.nonce) != recorded && !self.setup.faults.trust_restarted {
            return Some(Act::Ended(task, attempt, false));
        }
        let checked = world.processes.iter().filter_map(|p| p.checked);
        let mut starts = world.messages.iter().copied().chain(checked);
        let running = |s: &Start| world.processes[usize::from(s.process)].phase == Phase::Running;
        // Without leases, a worker cannot know of the starts of ended processes.
        let known =
            |s: &Start| if self.setup.faults.no_lease { running(s) } else { self.is_leased(world, s) };
        let open = starts.any(|s| s.work == Work::Task(attempt) && known(&s));
        (!open).then_some(Act::Requeued(task, attempt))
    }

    /// Drains or moves, confirmations, and the records behind the barrier.
    fn drain_acts(
        &self,
        world: &World,
        index: usize,
        fleet: &Fleet,
        id: MemberId,
        stop: impl Fn(WorkerId) -> Act,
    ) -> Vec<Act> {
        let mut acts = Vec::new();
        let process = &world.processes[index];
        for (worker, row) in &fleet.workers {
            let host = &world.hosts[host_index(*worker)];
            match row.state {
                WorkerState::Serving if host.nonce == 1 => acts.push(stop(*worker)),
                WorkerState::Draining(_) => acts.push(Act::Maintain(*worker)),
                WorkerState::Moving { .. } => acts.push(Act::MoveJoined(*worker)),
                WorkerState::Maintenance if row.reboot != Some(u64::from(host.nonce)) => {
                    acts.push(Act::Maintained(*worker));
                }
                _ => {}
            }
            if let WorkerState::Draining(since) | WorkerState::Moving { since, .. } = row.state {
                let quiet = self.setup.faults.early_confirmation || is_quiet(process, fleet, id, *worker);
                let confirm = quiet && fleet.members[&id].progress < since;
                acts.extend(confirm.then_some(Act::Progress(process.applied)));
            }
        }
        acts
    }
}

/// Workers that the platform shows with another process.
fn restarted(world: &World, fleet: &Fleet) -> Vec<Act> {
    let hosts = (0..).zip(&world.hosts);
    let nonce = |host: u8| fleet.workers[&WorkerId(u32::from(host) + 1)].nonce;
    let changed = hosts.filter(|(index, host)| nonce(*index) != u64::from(host.nonce));
    changed.map(|(index, host)| Act::Seen { host: index, nonce: host.nonce }).collect()
}

fn leaving(process: &Process, fleet: &Fleet, id: MemberId) -> Option<Act> {
    let alone = fleet.live_members().all(|other| other == id);
    (process.requests == [0; 2] && process.recorded == 0 && !alone).then_some(Act::Leave)
}

/// True if the process has no work on the worker.
fn is_quiet(process: &Process, fleet: &Fleet, id: MemberId, worker: WorkerId) -> bool {
    let on_worker = |state: &TaskState| matches!(state, TaskState::Started { worker: w, .. } if *w == worker);
    let task = fleet.tasks.values().any(|t| t.owner == id && on_worker(&t.state));
    process.requests[host_index(worker)] == 0 && !task
}
