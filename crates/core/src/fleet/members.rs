//! Membership: joins, clean exits and ends reported by the platform.

use sha2::{Digest, Sha256};

use super::{Effect, Fleet, Member, MemberState, TaskState, VoidReason, holds::move_slot};
use crate::ids::{MemberId, Offset, TaskId};
use crate::record::{Join, Origin};

impl Fleet {
    /// Adds a member, or returns the existing one if the process has joined before.
    ///
    /// Only the predecessors that the process saw when it started are ended. Ending every live member of the same name
    /// would let the delayed join of a dead process end its successor. A join is valid only in a batch of its own
    /// process: the offset is the member's id, so a batch must create at most one member.
    pub(super) fn join(&mut self, offset: Offset, origin: Origin, join: &Join) -> Result<Effect, VoidReason> {
        if origin != Origin::Joining(join.nonce) {
            return Err(VoidReason::State);
        }
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

    /// Ends a member that exits cleanly. Its requests have ended, so its holds are freed at once, except for the slots
    /// of its started tasks.
    pub(super) fn leave(&mut self, author: MemberId) -> Result<Effect, VoidReason> {
        let member = self.members.get_mut(&author).ok_or(VoidReason::Unknown("member"))?;
        member.state = MemberState::Left;
        self.reassign_tasks();
        self.drop_idle_holds(author);
        Ok(Effect::Done)
    }

    /// Ends a member whose process the platform reports as ended. Its holds stay reserved until they are reclaimed.
    pub(super) fn mark_gone(&mut self, offset: Offset, id: MemberId) -> Result<Effect, VoidReason> {
        let member = self.members.get_mut(&id).ok_or(VoidReason::Unknown("member"))?;
        if member.state != MemberState::Live {
            return Err(VoidReason::State);
        }
        member.state = MemberState::Gone(offset);
        self.reassign_tasks();
        Ok(Effect::Done)
    }

    /// Records a member's confirmation. A confirmation of its own offset or a later one is void, since its author
    /// cannot have applied them yet.
    pub(super) fn progress(
        &mut self,
        offset: Offset,
        author: MemberId,
        applied: Offset,
    ) -> Result<Effect, VoidReason> {
        if applied >= offset {
            return Err(VoidReason::State);
        }
        let member = self.members.get_mut(&author).ok_or(VoidReason::Unknown("member"))?;
        member.progress = member.progress.max(applied);
        Ok(Effect::Done)
    }

    pub(super) fn is_gone(&self, id: MemberId) -> bool {
        self.members.get(&id).is_some_and(|m| matches!(m.state, MemberState::Gone(_)))
    }

    /// First live member that has not confirmed the stop at offset `since`.
    pub(super) fn first_unconfirmed(&self, since: Offset) -> Option<MemberId> {
        let live = self.members.iter().filter(|(_, m)| m.state == MemberState::Live);
        live.filter(|(_, m)| m.progress < since).map(|(id, _)| *id).next()
    }

    /// Reassigns the unended tasks of members that are not live, by rendezvous hashing. One slot of the old owner's
    /// hold moves with each started task: the new owner renews the task's lease, so it can run past the reclaim.
    fn reassign_tasks(&mut self) {
        let live: Vec<MemberId> = self.live_members().collect();
        for (id, task) in &mut self.tasks {
            let ended = matches!(task.state, TaskState::Ended { .. });
            if ended || live.binary_search(&task.owner).is_ok() {
                continue;
            }
            let Some(owner) = live.iter().max_by_key(|member| rendezvous_weight(*id, **member)) else {
                return;
            };
            if matches!(task.state, TaskState::Started { .. }) {
                move_slot(&mut self.holds, task.team, task.owner, *owner);
            }
            task.owner = *owner;
        }
    }
}

/// Weight of a member for a task. Uses SHA-256, because replicas of different releases must agree and the standard
/// library's hasher may change between toolchains.
fn rendezvous_weight(task: TaskId, member: MemberId) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(task.member.0.to_le_bytes());
    hasher.update(task.number.to_le_bytes());
    hasher.update(member.0.to_le_bytes());
    hasher.finalize().into()
}
