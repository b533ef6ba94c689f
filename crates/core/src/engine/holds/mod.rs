//! Local use of the team limits: how much of each hold is running, promised to others or lingering.
//!
//! A [`Permit`] stands for one running slot. It can neither be copied nor dropped silently: whoever ends the work
//! closes it, or lets it linger until the work can no longer run.

use std::collections::BTreeMap;

use super::Millis;
use crate::ids::TeamId;

/// Right to run one piece of work of a team.
#[derive(Debug)]
#[must_use = "a permit that is dropped counts as running for good"]
pub(super) struct Permit {
    team: Option<TeamId>,
}

impl Permit {
    /// Right to nothing, for rows whose work has ended.
    pub(super) const fn none() -> Self {
        Self { team: None }
    }

    /// Ends the use of the slot.
    pub(super) fn release(self, slot_usage: &mut SlotUsage) {
        if let Some(running) = self.team.and_then(|team| slot_usage.running.get_mut(&team)) {
            *running = running.saturating_sub(1);
        }
    }

    /// Keeps the slot in use until `until`, for work that may still run although its answer is lost.
    pub(super) fn release_at(self, slot_usage: &mut SlotUsage, until: Millis) {
        slot_usage.orphaned.push((until, self));
    }
}

/// Use of the holds of one member, in slots.
#[derive(Debug, Default)]
pub(super) struct SlotUsage {
    running: BTreeMap<TeamId, u32>,
    outgoing: BTreeMap<TeamId, u32>,
    reserved: BTreeMap<TeamId, u32>,
    orphaned: Vec<(Millis, Permit)>,
}

impl SlotUsage {
    /// Takes a slot if the hold covers it. `held` is the hold of this member in the replicated state.
    pub(super) fn try_acquire(&mut self, team: TeamId, held: u32) -> Option<Permit> {
        if self.spare(team, held) == 0 {
            return None;
        }
        Some(self.acquire_unchecked(team))
    }

    /// Takes a slot for work that runs already, covered by a hold that came with it.
    pub(super) fn acquire_unchecked(&mut self, team: TeamId) -> Permit {
        *self.running.entry(team).or_default() += 1;
        Permit { team: Some(team) }
    }

    /// Slots of a team that run or may run.
    pub(super) fn running(&self, team: TeamId) -> u32 {
        self.running.get(&team).copied().unwrap_or(0)
    }

    /// Slots of the hold that are neither running, nor promised to others, nor kept free for others.
    pub(super) fn spare(&self, team: TeamId, held: u32) -> u32 {
        self.idle(team, held).saturating_sub(self.reserved.get(&team).copied().unwrap_or(0))
    }

    /// Slots of the hold that are neither running nor promised to others.
    pub(super) fn idle(&self, team: TeamId, held: u32) -> u32 {
        held.saturating_sub(self.outgoing(team)).saturating_sub(self.running(team))
    }

    /// Keeps slots free for other members from now on, so that a busy member gets some together as work ends.
    pub(super) fn reserve(&mut self, team: TeamId, slots: u32) {
        self.reserved.insert(team, slots);
    }

    /// Slots in give and release records that are not applied yet.
    pub(super) fn outgoing(&self, team: TeamId) -> u32 {
        self.outgoing.get(&team).copied().unwrap_or(0)
    }

    /// Lowers the own use before a give or release record is written.
    pub(super) fn add_outgoing(&mut self, team: TeamId, slots: u32) {
        *self.outgoing.entry(team).or_default() += slots;
    }

    /// Ends a promise, because its record was applied or is void.
    pub(super) fn remove_outgoing(&mut self, team: TeamId, slots: u32) {
        if let Some(outgoing) = self.outgoing.get_mut(&team) {
            *outgoing = outgoing.saturating_sub(slots);
        }
    }

    /// Closes lingering permits whose time has come; true if there was one.
    pub(super) fn expire(&mut self, now: Millis) -> bool {
        let mut kept = Vec::new();
        let mut ended = false;
        for (until, permit) in std::mem::take(&mut self.orphaned) {
            if until <= now {
                permit.release(self);
                ended = true;
            } else {
                kept.push((until, permit));
            }
        }
        self.orphaned = kept;
        ended
    }

    /// True if work may still run although its answer is lost.
    pub(super) fn has_orphaned(&self) -> bool {
        !self.orphaned.is_empty()
    }
}
