//! Steps of running processes.

use std::rc::Rc;

use super::entry::Entry;
use super::state::{Phase, Process, State, Step};
use super::{Model, arena::FleetId};
use crate::fleet::{Fleet, Member, MemberState};
use crate::ids::{MemberId, Offset, TeamId, WorkerId};
use crate::record::Origin;

/// Id of the only team.
pub(super) const TEAM: TeamId = TeamId(1);
/// Epoch of an ended process whose leases have expired.
pub(super) const EXPIRED_EPOCH: u8 = u8::MAX;

impl Model {
    pub(super) fn process_steps(&self, state: &State, steps: &mut Vec<(Step, State)>) {
        for (index, process) in state.processes.iter().enumerate() {
            if process.phase != Phase::Running {
                continue;
            }
            if let Some(start) = process.checked_start {
                steps.push(self.send_start(state, index, start));
                continue;
            }
            let fleet = self.fleet(process.replica);
            self.replica_steps(state, index, steps);
            self.retry_append(state, index, steps);
            match member(&fleet, index) {
                Some((_, member)) if member.state != MemberState::Live => steps.push(exit(state, index)),
                Some((id, _)) => self.member_steps(state, index, &fleet, id, steps),
                None => {}
            }
        }
    }

    fn member_steps(
        &self,
        state: &State,
        index: usize,
        fleet: &Fleet,
        id: MemberId,
        steps: &mut Vec<(Step, State)>,
    ) {
        let process = &state.processes[index];
        self.check_starts(state, index, fleet, id, steps);
        self.take_over(state, index, fleet, id, steps);
        self.reboot_steps(state, index, fleet, steps);
        if process.pending.is_none() {
            for action in self.proposals(state, index, fleet, id) {
                let origin = Origin::Member(id);
                let entry = Entry { origin, sequence: process.sequence + 1, action };
                if !self.arena.borrow_mut().apply(process.replica, entry).effective {
                    continue;
                }
                self.propose(state, index, entry, steps);
            }
        }
    }

    pub(super) fn fleet(&self, id: FleetId) -> Rc<Fleet> {
        self.arena.borrow().get(id)
    }
}

fn exit(state: &State, index: usize) -> (Step, State) {
    let mut next = state.clone();
    next.processes[index].end();
    (Step::Exit(index), next)
}

pub(super) fn member(fleet: &Fleet, index: usize) -> Option<(MemberId, &Member)> {
    let found = fleet.members.iter().find(|(_, row)| index_by_nonce(row) == index);
    found.map(|(id, row)| (*id, row))
}

pub(super) fn live_member_named(fleet: &Fleet, name: u8) -> Option<MemberId> {
    let name = format!("entry-{name}");
    let mut live = fleet.members.iter().filter(|(_, m)| m.state == MemberState::Live);
    live.find(|(_, m)| m.name == name).map(|(id, _)| *id)
}

pub(super) fn index_by_nonce(row: &Member) -> usize {
    usize::try_from(row.nonce).map_or(usize::MAX, |nonce| nonce - 1)
}

pub(super) const fn host_index(worker: WorkerId) -> usize {
    worker.0 as usize - 1
}

impl Process {
    /// Ends the process. Its messages stay on the network.
    pub(super) fn end(&mut self) {
        self.phase = Phase::Ended;
        self.pending = None;
        self.checked_start = None;
        self.recorded_attempt = 0;
        self.requests = [0; 2];
        self.connected = true;
        // The remaining fields of an ended process are reset, so that states with equal futures compare equal.
        self.replica = FleetId::default();
        self.applied = Offset(0);
        self.sequence = 0;
    }

    /// Whether all leases and deadlines of its work have expired.
    pub(super) fn is_expired(&self) -> bool {
        match self.phase {
            Phase::Running => false,
            Phase::Frozen => self.epoch > 0,
            Phase::Ended => self.epoch == EXPIRED_EPOCH,
        }
    }
}
