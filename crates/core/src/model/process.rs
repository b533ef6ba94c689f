//! Processes: which steps a running process has.

use std::rc::Rc;

use super::entry::Entry;
use super::state::{Phase, Process, Step, World};
use super::{Model, arena::FleetId};
use crate::fleet::{Fleet, Member, MemberState};
use crate::ids::{MemberId, Offset, TeamId, WorkerId};
use crate::record::Origin;

/// The one team.
pub(super) const TEAM: TeamId = TeamId(1);
/// Epoch of a process that has ended and whose leases have lapsed.
pub(super) const LAST_EPOCH: u8 = u8::MAX;

impl Model {
    pub(super) fn process_steps(&self, world: &World, steps: &mut Vec<(Step, World)>) {
        for (index, process) in world.processes.iter().enumerate() {
            if process.phase != Phase::Running {
                continue;
            }
            if let Some(start) = process.checked {
                steps.push(self.write(world, index, start));
                continue;
            }
            let fleet = self.fleet(process.replica);
            self.replica_steps(world, index, steps);
            self.repeat(world, index, steps);
            match member(&fleet, index) {
                Some((_, member)) if member.state != MemberState::Live => steps.push(exit(world, index)),
                Some((id, _)) => self.member_steps(world, index, &fleet, id, steps),
                None => {}
            }
        }
    }

    fn member_steps(
        &self,
        world: &World,
        index: usize,
        fleet: &Fleet,
        id: MemberId,
        steps: &mut Vec<(Step, World)>,
    ) {
        let process = &world.processes[index];
        self.check_starts(world, index, fleet, id, steps);
        self.take_over(world, index, fleet, id, steps);
        self.reboots(world, index, fleet, steps);
        if process.pending.is_none() {
            for act in self.proposals(world, index, fleet, id) {
                let origin = Origin::Member(id);
                let entry = Entry { origin, sequence: process.sequence + 1, act };
                if !self.arena.borrow_mut().apply(process.replica, entry).effective {
                    continue;
                }
                self.propose(world, index, entry, steps);
            }
        }
    }

    pub(super) fn fleet(&self, id: FleetId) -> Rc<Fleet> {
        self.arena.borrow().get(id)
    }
}

fn exit(world: &World, index: usize) -> (Step, World) {
    let mut next = world.clone();
    next.processes[index].end();
    (Step::Exit(index), next)
}

pub(super) fn member(fleet: &Fleet, index: usize) -> Option<(MemberId, &Member)> {
    let found = fleet.members.iter().find(|(_, row)| nonce_index(row) == index);
    found.map(|(id, row)| (*id, row))
}

pub(super) fn live_of_name(fleet: &Fleet, name: u8) -> Option<MemberId> {
    let name = format!("entry-{name}");
    let mut live = fleet.members.iter().filter(|(_, m)| m.state == MemberState::Live);
    live.find(|(_, m)| m.name == name).map(|(id, _)| *id)
}

pub(super) fn nonce_index(row: &Member) -> usize {
    usize::try_from(row.nonce).map_or(usize::MAX, |nonce| nonce - 1)
}

pub(super) const fn host_index(worker: WorkerId) -> usize {
    worker.0 as usize - 1
}

impl Process {
    /// Ends the process. What it has written stays on the network.
    pub(super) fn end(&mut self) {
        self.phase = Phase::Ended;
        self.pending = None;
        self.checked = None;
        self.recorded = 0;
        self.requests = [0; 2];
        self.connected = true;
        // An ended process has no state; equal values keep worlds equal.
        self.replica = FleetId::default();
        self.applied = Offset(0);
        self.sequence = 0;
    }

    /// True if no lease and no deadline of its work is open any more.
    pub(super) fn is_lapsed(&self) -> bool {
        match self.phase {
            Phase::Running => false,
            Phase::Frozen => self.epoch > 0,
            Phase::Ended => self.epoch == LAST_EPOCH,
        }
    }
}
