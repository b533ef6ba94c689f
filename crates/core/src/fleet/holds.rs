//! Escrow of team limits over the members.
//!
//! The upper limit of a team is divided into holds. A member starts work only within its hold, so the limit is
//! kept without coordination. Only the holder gives slots away, after it has stopped using them; the holds of a
//! gone member return with a reclaim record.

use std::collections::BTreeMap;

use super::{Effect, Fleet, MemberState, TaskState, VoidReason};
use crate::ids::{MemberId, TeamId};

impl Fleet {
    /// Sum of all holds of a team, in slots. Exceeds the limit only after the limit was lowered, until the holders
    /// have released the difference.
    #[must_use]
    pub fn held(&self, team: TeamId) -> u32 {
        let first = (team, MemberId(0));
        let last = (team, MemberId(u64::MAX));
        self.holds.range(first..=last).map(|(_, slots)| slots).sum()
    }

    /// Slots of the team's limit that no member holds.
    #[must_use]
    pub fn unclaimed(&self, team: TeamId) -> u32 {
        let limit = self.teams.get(&team).map_or(0, |t| t.limit);
        limit.saturating_sub(self.held(team))
    }

    pub(super) fn claim(&mut self, author: MemberId, team: &str, slots: u32) -> Result<Effect, VoidReason> {
        let team = self.team(team).ok_or(VoidReason::Unknown("team"))?;
        let granted = slots.min(self.unclaimed(team));
        if granted > 0 {
            *self.holds.entry((team, author)).or_default() += granted;
        }
        Ok(Effect::Granted(team, granted))
    }

    pub(super) fn give(
        &mut self,
        author: MemberId,
        team: &str,
        to: MemberId,
        slots: u32,
    ) -> Result<Effect, VoidReason> {
        let team = self.team(team).ok_or(VoidReason::Unknown("team"))?;
        if self.members.get(&to).is_none_or(|m| m.state != MemberState::Live) {
            return Err(VoidReason::Unknown("member"));
        }
        self.take_hold(author, team, slots)?;
        if slots > 0 {
            *self.holds.entry((team, to)).or_default() += slots;
        }
        Ok(Effect::Done)
    }

    pub(super) fn release(&mut self, author: MemberId, team: &str, slots: u32) -> Result<Effect, VoidReason> {
        let team = self.team(team).ok_or(VoidReason::Unknown("team"))?;
        self.take_hold(author, team, slots)?;
        Ok(Effect::Done)
    }

    fn take_hold(&mut self, author: MemberId, team: TeamId, slots: u32) -> Result<(), VoidReason> {
        let held = self.hold(team, author);
        if held < slots {
            return Err(VoidReason::HoldTooSmall { held });
        }
        if held == slots {
            self.holds.remove(&(team, author));
        } else {
            self.holds.insert((team, author), held - slots);
        }
        Ok(())
    }

    /// Frees the holds of a gone member. The author has waited until no work of that member can still be running.
    pub(super) fn reclaim(&mut self, id: MemberId) -> Result<Effect, VoidReason> {
        let member = self.members.get(&id).ok_or(VoidReason::Unknown("member"))?;
        if !matches!(member.state, MemberState::Gone(_)) {
            return Err(VoidReason::State);
        }
        self.drop_holds(id);
        Ok(Effect::Done)
    }

    fn drop_holds(&mut self, id: MemberId) {
        self.holds.retain(|(_, holder), _| *holder != id);
    }

    /// Drops the holds of a member except one slot for each started task that it still owns, which happens only if
    /// there was no live member to take the task over.
    pub(super) fn drop_idle_holds(&mut self, id: MemberId) {
        let tasks = &self.tasks;
        self.holds.retain(|(team, holder), slots| {
            if *holder != id {
                return true;
            }
            let started = tasks.values().filter(|t| t.team == *team && t.owner == id);
            let started = started.filter(|t| matches!(t.state, TaskState::Started { .. })).count();
            *slots = (*slots).min(u32::try_from(started).unwrap_or(u32::MAX));
            *slots > 0
        });
    }
}

/// Moves one slot from one member's hold to another's, if the first has any.
pub(super) fn move_slot(
    holds: &mut BTreeMap<(TeamId, MemberId), u32>,
    team: TeamId,
    from: MemberId,
    to: MemberId,
) {
    let Some(slots) = holds.get_mut(&(team, from)) else {
        return;
    };
    *slots -= 1;
    if *slots == 0 {
        holds.remove(&(team, from));
    }
    *holds.entry((team, to)).or_default() += 1;
}
