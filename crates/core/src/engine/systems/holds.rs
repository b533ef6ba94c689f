//! Distribution of the team limits: each member holds a part of a limit and starts work only within it.
//!
//! Each member keeps a floor, so that an availability zone that is cut off can continue. A member that lacks slots
//! claims unclaimed ones, and members with spare slots give it half of them. Surplus above the floor that stays idle
//! is released, so that other members can reach their floor. Holds change only through records in the log; while the
//! log is unreachable, every member keeps what it holds.

use std::collections::BTreeMap;

use super::super::{DELIVERY_TIMEOUT_MS, Engine, Millis};
use super::duty::Duty;
use crate::ids::{MemberId, TeamId};
use crate::record::Record;
use crate::share::member_quota;

/// Time without missing slots after which a member releases its surplus, in milliseconds.
const SURPLUS_IDLE_MS: u64 = 5_000;
/// All floors together take this fraction of the limit: one half.
const FLOOR_DIVISOR: u32 = 2;

impl Engine {
    pub(in crate::engine) fn run_holds(&mut self, now: Millis) {
        let Some(me) = self.member() else {
            return;
        };
        self.run_reclaims(now);
        if self.stopping {
            return;
        }
        let teams: Vec<TeamId> = self.fleet.teams.keys().copied().collect();
        let missing_slots: BTreeMap<TeamId, u32> = self.missing_slots(me).collect();
        for team in teams {
            self.adjust_hold(now, me, team, missing_slots.get(&team).copied().unwrap_or(0));
        }
    }

    fn adjust_hold(&mut self, now: Millis, me: MemberId, team: TeamId, needed: u32) {
        if needed > 0 {
            self.last_need.insert(team, now);
        }
        let excess = if self.appends.log_down { 0 } else { self.excess_slots(me, team) };
        self.slot_usage.reserve(team, excess);
        if self.has_pending_record(team) {
            return;
        }
        if self.release_excess(now, me, team) || needed > 0 && self.claim(now, team, needed) {
            return;
        }
        let spare = self.slot_usage.spare(team, self.fleet.hold(team, me)).div_ceil(2);
        let kept_free = excess.min(self.slot_usage.idle(team, self.fleet.hold(team, me)));
        let given = self.give(now, me, team, if needed == 0 { spare.max(kept_free) } else { kept_free });
        if needed == 0 && !given {
            self.adjust_floor(now, me, team);
        }
    }

    /// Slots that waiting work lacks at this member, by team; teams that lack none are left out.
    pub(super) fn missing_slots(&self, me: MemberId) -> impl Iterator<Item = (TeamId, u32)> + '_ {
        let missing = move |(team, waiting): (TeamId, u32)| {
            let spare = self.slot_usage.spare(team, self.fleet.hold(team, me));
            (team, waiting.saturating_sub(spare))
        };
        let waiting = self.requests.waiting_by_team().into_iter();
        waiting.map(missing).filter(|(_, slots)| *slots > 0)
    }

    fn has_pending_record(&self, team: TeamId) -> bool {
        let name = &self.fleet.teams[&team].name;
        let about = |record: &Record| match record {
            Record::HoldClaim { team, .. }
            | Record::HoldGive { team, .. }
            | Record::HoldRelease { team, .. } => team == name,
            _ => false,
        };
        self.appends.contains(about)
    }

    /// Releases this member's share of the slots that are held above a lowered limit.
    fn release_excess(&mut self, now: Millis, me: MemberId, team: TeamId) -> bool {
        let held = self.fleet.held(team);
        let excess = held.saturating_sub(self.fleet.teams[&team].limit);
        if excess == 0 {
            return false;
        }
        let own = self.fleet.hold(team, me);
        let share = (u64::from(excess) * u64::from(own)).div_ceil(u64::from(held.max(1)));
        let share = u32::try_from(share).unwrap_or(u32::MAX).min(self.slot_usage.spare(team, own));
        self.release(now, team, share);
        true
    }

    fn claim(&mut self, now: Millis, team: TeamId, slots: u32) -> bool {
        let slots = slots.min(self.fleet.unclaimed(team));
        if slots > 0 {
            let team = self.fleet.teams[&team].name.clone();
            self.append_record(now, Record::HoldClaim { team, slots });
        }
        slots > 0
    }

    /// Slots that this member holds above its quota of the limit while another member lacks some. The limit is split by
    /// demand, so that a busy member that never has a spare slot still gives some to a member whose work came later.
    fn excess_slots(&self, me: MemberId, team: TeamId) -> u32 {
        let wanting = self.peers.wanted(team).any(|(id, _)| id != me);
        if !wanting {
            return 0;
        }
        let mut demands: BTreeMap<MemberId, u32> = BTreeMap::from([(me, 0)]);
        for (member, load) in self.peers.loads().filter(|(id, load)| *id != me && load.team == team) {
            *demands.entry(member).or_default() += load.running + load.waiting;
        }
        for load in self.own_loads().iter().filter(|load| load.team == team) {
            *demands.entry(me).or_default() += load.running + load.waiting;
        }
        let own: Vec<u32> = demands.values().copied().collect();
        let index = demands.keys().position(|id| *id == me).unwrap_or(0);
        let kept = self.fleet.hold(team, me).saturating_sub(self.slot_usage.outgoing(team));
        kept.saturating_sub(member_quota(self.fleet.teams[&team].limit, &own, index))
    }

    /// Gives up to `most` slots to the live member that lacks most.
    fn give(&mut self, now: Millis, me: MemberId, team: TeamId, most: u32) -> bool {
        let live: Vec<MemberId> = self.fleet.live_members().collect();
        let wants = self.peers.wanted(team).filter(|(id, _)| *id != me && live.contains(id));
        let Some((to, wanted)) = wants.max_by_key(|(id, wanted)| (*wanted, *id)) else {
            return false;
        };
        let slots = most.min(wanted);
        if slots == 0 {
            return false;
        }
        self.slot_usage.add_outgoing(team, slots);
        let excess = self.excess_slots(me, team);
        self.slot_usage.reserve(team, excess);
        let team = self.fleet.teams[&team].name.clone();
        self.append_record(now, Record::HoldGive { team, to, slots });
        true
    }

    /// Releases idle surplus above the floor, or claims slots up to the floor.
    fn adjust_floor(&mut self, now: Millis, me: MemberId, team: TeamId) {
        let own = self.fleet.hold(team, me);
        let floor = self.floor(team);
        let idle = self.last_need.get(&team).is_none_or(|need| now.since(*need) >= SURPLUS_IDLE_MS);
        let surplus = own.saturating_sub(floor.max(self.slot_usage.running(team)));
        let short = self.fleet.live_members().any(|id| self.fleet.hold(team, id) < floor);
        let wanted = self.peers.wanted(team).next().is_some();
        if own < floor && !wanted {
            self.claim(now, team, floor - own);
        } else if idle && short && self.fleet.unclaimed(team) == 0 {
            self.release(now, team, surplus.min(self.slot_usage.spare(team, own)).div_ceil(2));
        }
    }

    /// Slots of the limit that each member keeps.
    fn floor(&self, team: TeamId) -> u32 {
        let members = u32::try_from(self.fleet.live_members().count()).unwrap_or(u32::MAX).max(1);
        let limit = self.fleet.teams[&team].limit;
        let floor = limit / members / FLOOR_DIVISOR;
        if floor == 0 && limit >= members { 1 } else { floor }
    }

    fn release(&mut self, now: Millis, team: TeamId, slots: u32) {
        if slots == 0 {
            return;
        }
        self.slot_usage.add_outgoing(team, slots);
        let team = self.fleet.teams[&team].name.clone();
        self.append_record(now, Record::HoldRelease { team, slots });
    }

    /// Time after which no work that a gone member started can still run, in milliseconds.
    pub(super) fn reclaim_ms(&self) -> u64 {
        self.with_drift(DELIVERY_TIMEOUT_MS + self.options.lease_cap_ms + self.fleet.deadline_cap_ms)
    }

    /// Reclaims the holds of gone members whose work can no longer run.
    fn run_reclaims(&mut self, now: Millis) {
        let wait = self.reclaim_ms();
        let due = self.gone_since.iter().filter(|(_, seen)| now.since(**seen) >= wait);
        for member in due.map(|(id, _)| *id).collect::<Vec<_>>() {
            let holds = self.fleet.holds.keys().any(|(_, holder)| *holder == member);
            if !holds {
                self.clear_duty(Duty::Reclaim(member));
            } else if self.is_turn(now, Duty::Reclaim(member)) {
                self.append_once(now, Record::HoldReclaim { member });
            }
        }
    }

    /// Removes the outgoing slots of a give or release record that was applied or is void.
    pub(super) fn settle_outgoing(&mut self, record: &Record) {
        if let Record::HoldGive { team, slots, .. } | Record::HoldRelease { team, slots } = record
            && let Some(team) = self.fleet.team(team)
        {
            self.slot_usage.remove_outgoing(team, *slots);
        }
    }
}
