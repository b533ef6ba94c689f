//! Replicas and appends: what a process learns from the log, and how its batches reach it.

use super::Model;
use super::arena::FleetId;
use super::entry::{Act, Entry};
use super::process::{live_of_name, member};
use super::state::{Broken, Phase, Process, Step, World};
use crate::fleet::{Member, TaskState};
use crate::record::Origin;

impl Model {
    pub(super) fn replica_steps(&self, world: &World, index: usize, steps: &mut Vec<(Step, World)>) {
        let process = &world.processes[index];
        let position = world.log.iter().position(|id| *id == process.replica).unwrap_or(0);
        if let Some(next) = world.log.get(position + 1)
            && process.connected
            && world.platform
        {
            steps.push((Step::Apply(index), self.adopt(world, index, *next)));
        }
        // A process that reads the log has no need of its peers.
        let cut = !process.connected || !world.platform;
        let running = |p: &Process| cut && p.phase == Phase::Running;
        for (peer, other) in world.processes.iter().enumerate().filter(|(_, p)| running(p)) {
            if self.arena.borrow_mut().advances(process.replica, other.replica) {
                let next = self.adopt(world, index, other.replica);
                steps.push((Step::Restore { process: index, peer }, next));
            }
        }
    }

    /// Takes over a newer state and notes what became of the process's own batch.
    fn adopt(&self, world: &World, index: usize, id: FleetId) -> World {
        let mut next = world.clone();
        let fleet = self.fleet(id);
        let process = &mut next.processes[index];
        let applied = fleet.applied.unwrap_or_default();
        if applied <= process.applied {
            next.broken = Some(Broken::WentBack);
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
            if let Act::Started(task, attempt, worker, nonce) = entry.act
                && fleet.tasks.get(&task).is_some_and(|t| {
                    t.owner == member
                        && t.state == TaskState::Started { attempt, worker, nonce: nonce.into() }
                })
                && !self.setup.faults.late_start_record
            {
                process.recorded = attempt;
            }
            next.accepted |= entry.act == Act::Accept && !fleet.tasks.is_empty();
        }
        next
    }

    /// Writes a new batch: the append arrives at once, or the network delays it.
    pub(super) fn propose(&self, world: &World, index: usize, entry: Entry, steps: &mut Vec<(Step, World)>) {
        let mut next = world.clone();
        let process = &mut next.processes[index];
        process.pending = Some(entry);
        process.sequence = entry.sequence;
        let reachable = process.connected && world.platform;
        if world.left.delays > 0 {
            let mut delayed = next.clone();
            delayed.left.delays -= 1;
            delayed.delayed.push(entry);
            delayed.delayed.sort_unstable();
            steps.push((Step::Delay(index, entry.act), delayed));
        }
        if reachable && self.append(&mut next, entry) {
            steps.push((Step::Append(index, entry.act), next));
        }
    }

    pub(super) fn repeat(&self, world: &World, index: usize, steps: &mut Vec<(Step, World)>) {
        let process = &world.processes[index];
        let Some(entry) = process.pending.filter(|_| process.connected && world.platform) else {
            return;
        };
        if world.left.repeats == 0 {
            return;
        }
        let mut next = world.clone();
        next.left.repeats -= 1;
        if self.append(&mut next, entry) {
            steps.push((Step::Repeat(index, entry.act), next));
        }
    }

    /// Appends an entry; false if the bound on the log is reached.
    pub(super) fn append(&self, world: &mut World, entry: Entry) -> bool {
        if world.left.entries == 0 {
            return false;
        }
        world.left.entries -= 1;
        let entry = self.seed_faults(world, entry);
        let transition = self.arena.borrow_mut().apply(world.head(), entry);
        world.log.push(transition.after);
        if !transition.stable {
            world.broken = Some(Broken::WentBack);
        }
        true
    }

    fn seed_faults(&self, world: &World, mut entry: Entry) -> Entry {
        let head = self.fleet(world.head());
        if let Origin::Member(id) = entry.origin
            && self.setup.faults.no_dedup
        {
            entry.sequence = head.members[&id].sequence + 1;
        }
        if let Act::Join { name, ends, .. } = &mut entry.act
            && self.setup.faults.join_ends_all
        {
            *ends = live_of_name(&head, *name);
        }
        entry
    }
}

/// True if the batch is in the log that the member's row was taken from.
fn is_settled(entry: &Entry, row: &Member) -> bool {
    matches!(entry.act, Act::Join { .. }) || row.sequence >= entry.sequence
}
