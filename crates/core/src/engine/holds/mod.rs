//! Use of the team limits at this member: how many slots of each hold are running, being transferred or reserved.
//!
//! A [`Permit`] accounts for one running slot. It is neither `Copy` nor released on drop: the code that ends the work
//! releases it, immediately or at the time when the work can no longer run.

use std::collections::BTreeMap;

use super::Millis;
use crate::ids::TeamId;

/// One slot of a team's limit that is in use.
#[derive(Debug)]
#[must_use = "a dropped permit is never released"]
pub(super) struct Permit {
    team: Option<TeamId>,
}

impl Permit {
    /// A permit without a slot, for rows whose work has ended.
    pub(super) const fn none() -> Self {
        Self { team: None }
    }

    /// Returns the slot.
    pub(super) fn release(self, slot_usage: &mut SlotUsage) {
        if let Some(running) = self.team.and_then(|team| slot_usage.running.get_mut(&team)) {
            *running = running.saturating_sub(1);
        }
    }

    /// Returns the slot at `until`, for work whose answer was lost and that may run until then.
    pub(super) fn release_at(self, slot_usage: &mut SlotUsage, until: Millis) {
        slot_usage.orphaned.push((until, self));
    }
}

/// Use of this member's holds, in slots by team.
#[derive(Debug, Default)]
pub(super) struct SlotUsage {
    running: BTreeMap<TeamId, u32>,
    /// Slots in give and release records that are not applied yet.
    outgoing: BTreeMap<TeamId, u32>,
    /// Slots that are kept free for other members.
    reserved: BTreeMap<TeamId, u32>,
    /// Permits of work whose answer was lost, with the time of their release.
    orphaned: Vec<(Millis, Permit)>,
}

impl SlotUsage {
    /// Takes a slot if one is spare. `held` is this member's hold according to the log.
    pub(super) fn try_acquire(&mut self, team: TeamId, held: u32) -> Option<Permit> {
        if self.spare(team, held) == 0 {
            return None;
        }
        Some(self.acquire_unchecked(team))
    }

    /// Takes a slot for work that already runs; the hold that covers it was transferred along with the work.
    pub(super) fn acquire_unchecked(&mut self, team: TeamId) -> Permit {
        *self.running.entry(team).or_default() += 1;
        Permit { team: Some(team) }
    }

    /// Slots of a team in use, orphaned ones included.
    pub(super) fn running(&self, team: TeamId) -> u32 {
        self.running.get(&team).copied().unwrap_or(0)
    }

    /// Slots of the hold that are not in use, being transferred or reserved.
    pub(super) fn spare(&self, team: TeamId, held: u32) -> u32 {
        self.idle(team, held).saturating_sub(self.reserved.get(&team).copied().unwrap_or(0))
    }

    /// Slots of the hold that are not in use or being transferred.
    pub(super) fn idle(&self, team: TeamId, held: u32) -> u32 {
        held.saturating_sub(self.outgoing(team)).saturating_sub(self.running(team))
    }

    /// Sets the number of slots that are kept free for other members, so that a busy member accumulates them as work
    /// ends.
    pub(super) fn reserve(&mut self, team: TeamId, slots: u32) {
        self.reserved.insert(team, slots);
    }

    /// Slots in give and release records that are not applied yet.
    pub(super) fn outgoing(&self, team: TeamId) -> u32 {
        self.outgoing.get(&team).copied().unwrap_or(0)
    }

    /// Subtracts slots from the usable ones before their give or release record is appended.
    pub(super) fn add_outgoing(&mut self, team: TeamId, slots: u32) {
        *self.outgoing.entry(team).or_default() += slots;
    }

    /// Undoes [`add_outgoing`](Self::add_outgoing) once the record was applied or is void.
    pub(super) fn remove_outgoing(&mut self, team: TeamId, slots: u32) {
        if let Some(outgoing) = self.outgoing.get_mut(&team) {
            *outgoing = outgoing.saturating_sub(slots);
        }
    }

    /// Releases orphaned permits that are due; true if there was one.
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

    /// True if work whose answer was lost may still run.
    pub(super) fn has_orphaned(&self) -> bool {
        !self.orphaned.is_empty()
    }
}
