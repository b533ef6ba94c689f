//! Membership: joins, clean exits and ends that the platform confirmed.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::{Effect, Fleet, Member, MemberState, TaskState, VoidReason};
use crate::ids::{MemberId, Offset, TaskId};
use crate::record::Join;

impl Fleet {
    /// Adds a member, or finds the one that the same process became before.
    ///
    /// Only the predecessors that the process saw at its start end here. Ending every live member of the same name
    /// would let the delayed join of a dead process end its successor.
    pub(super) fn join(&mut self, offset: Offset, join: &Join) -> Result<Effect, VoidReason> {
        if let Some((id, member)) = self.members.iter().find(|(_, m)| m.nonce == join.nonce) {
            let live = member.state == MemberState::Live;
            return if live { Ok(Effect::Joined(*id)) } else { Err(VoidReason::AuthorEnded) };
        }
        for predecessor in &join.ends {
            self.end_predecessor(offset, *predecessor, &join.name);
        }
        let id = MemberId(offset.0);
        let zone = self.zone_or_new(&join.zone);
        let member = Member {
            name: join.name.clone(),
            nonce: join.nonce,
            zone,
            address: join.address.clone(),
            sequence: 0,
            progress: offset,
            state: MemberState::Live,
        };
        self.members.insert(id, member);
        self.reassign_tasks();
        Ok(Effect::Joined(id))
    }

    fn end_predecessor(&mut self, offset: Offset, id: MemberId, name: &str) {
        if let Some(member) = self.members.get_mut(&id)
            && member.name == name
            && member.state == MemberState::Live
        {
            member.state = MemberState::Gone(offset);
        }
    }

    /// Ends a member that has no work in flight; its holds are free at once.
    pub(super) fn leave(&mut self, author: MemberId) -> Result<Effect, VoidReason> {
        let member = self.members.get_mut(&author).ok_or(VoidReason::Unknown("member"))?;
        member.state = MemberState::Left;
        self.reassign_tasks();
        self.drop_holds(author);
        Ok(Effect::Done)
    }

    /// Ends a member whose process the platform reports as ended; its holds wait for the reclaim.
    pub(super) fn gone(&mut self, offset: Offset, id: MemberId) -> Result<Effect, VoidReason> {
        let member = self.members.get_mut(&id).ok_or(VoidReason::Unknown("member"))?;
        if member.state != MemberState::Live {
            return Err(VoidReason::State);
        }
        member.state = MemberState::Gone(offset);
        self.reassign_tasks();
        Ok(Effect::Done)
    }

    pub(super) fn progress(&mut self, author: MemberId, applied: Offset) -> Result<Effect, VoidReason> {
        let member = self.members.get_mut(&author).ok_or(VoidReason::Unknown("member"))?;
        member.progress = member.progress.max(applied);
        Ok(Effect::Done)
    }

    /// First live member that has not confirmed its stop at `since`.
    pub(super) fn unconfirmed(&self, since: Offset) -> Option<MemberId> {
        let live = self.members.iter().filter(|(_, m)| m.state == MemberState::Live);
        live.filter(|(_, m)| m.progress < since).map(|(id, _)| *id).next()
    }

    /// Gives every unended task of a member that is not live to a live one, by rendezvous hashing.
    ///
    /// A started task takes one slot of its old owner's hold along: the new owner may renew its lease, so it may
    /// still run when the rest of the hold is reclaimed.
    fn reassign_tasks(&mut self) {
        let live: Vec<MemberId> = self.live_members().collect();
        let mut moved = Vec::new();
        for (id, task) in &mut self.tasks {
            let ended = matches!(task.state, TaskState::Ended { .. });
            if ended || live.binary_search(&task.owner).is_ok() {
                continue;
            }
            let Some(owner) = live.iter().max_by_key(|member| rendezvous_weight(*id, **member)) else {
                continue;
            };
            if matches!(task.state, TaskState::Started { .. }) {
                moved.push((task.team, task.owner, *owner));
            }
            task.owner = *owner;
        }
        for (team, from, to) in moved {
            self.move_slot(team, from, to);
        }
    }
}

/// Weight of a member for a task. `DefaultHasher::new` uses fixed keys, so all replicas agree.
fn rendezvous_weight(task: TaskId, member: MemberId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (task, member).hash(&mut hasher);
    hasher.finish()
}
