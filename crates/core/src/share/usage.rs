//! Decayed use and the choice of the next team.

use super::allocation::{Demand, allocate};

/// Time constant of the decay, in milliseconds: the window over which closeness to share is measured.
pub const TIME_CONSTANT_MS: f64 = 10_000.0;

/// Time over which a deficit is paid back, in milliseconds. With 1,000 and more, teams of few slots keep a steady error;
/// with 500, single windows are worse, because sums are up to one digest interval (250 ms) old.
const RECOVERY_MS: f64 = 700.0;

/// Part of its allocation that a team may run above or below it to settle a deficit. Bounds both the credit that an
/// unlucky team saves up and the debt of a team that ran more than its share.
const MAX_CORRECTION: f64 = 0.25;

/// Parts of a slot in the weights of targets; finer than any target that matters.
const WEIGHT_SCALE: f64 = 1_024.0;

/// Exponentially decayed use, in slot-seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    value: f64,
    at_ms: u64,
}

impl Usage {
    /// No use, counted from a time in milliseconds.
    #[must_use]
    pub const fn new(now_ms: u64) -> Self {
        Self { value: 0.0, at_ms: now_ms }
    }

    /// Accounts for the time since the last call, during which `running` slots were in use. A time before the last
    /// call has no effect.
    pub fn advance(&mut self, now_ms: u64, running: f64) {
        let elapsed = now_ms.saturating_sub(self.at_ms);
        self.at_ms = self.at_ms.max(now_ms);
        let keep = (-float(elapsed) / TIME_CONSTANT_MS).exp();
        self.value = self.value * keep + running * (1.0 - keep) * TIME_CONSTANT_MS / 1_000.0;
    }

    /// Decayed use at the last call of `advance`, in slot-seconds. Constant use of `n` slots tends to 10 `n`.
    #[must_use]
    pub const fn value(&self) -> f64 {
        self.value
    }
}

/// Team that has work waiting for a free slot. All figures are of one pool, over the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Slots that the team is owed now, from [`entitlement`](super::entitlement).
    pub owed_now: f64,
    /// Slots that the team can use: running and waiting work, at most its upper limit.
    pub usable: u32,
    /// Slots in use now.
    pub running: u32,
    /// Decayed entitlement, in slot-seconds: a [`Usage`] advanced with `owed_now`.
    pub owed: f64,
    /// Decayed use, in slot-seconds.
    pub used: f64,
}

impl Candidate {
    /// Slots that the team should run now: what it is owed, and a bounded correction for past deviation.
    #[must_use]
    pub fn target(&self) -> f64 {
        let bound = (self.owed_now * MAX_CORRECTION).max(1.0);
        let deficit = (self.owed - self.used) * 1_000.0 / RECOVERY_MS;
        (self.owed_now + deficit.clamp(-bound, bound)).max(0.0)
    }

    /// Slots in use for each slot of the target.
    fn load_ratio(&self) -> f64 {
        // Half a slot stands for a target of none, so that such a team comes last but is still comparable.
        (f64::from(self.running) + 0.5) / self.target().max(0.01)
    }
}

/// Index of the team that gets the next free slot: the one furthest below its share. Ties go to the earlier team;
/// `None` if there is no candidate.
#[must_use]
pub fn next_team(candidates: &[Candidate]) -> Option<usize> {
    let keys = candidates.iter().map(Candidate::load_ratio).enumerate();
    keys.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}

/// Slots that each team may run now over the fleet: the targets in whole slots. The sum is the capacity or all that can
/// be used, whichever is less: if quotas added up to more, instances that hold slots would keep them and the others
/// would never get theirs. Split a quota over the members with [`member_quota`](super::member_quota).
#[must_use]
pub fn quotas(capacity: u32, teams: &[Candidate]) -> Vec<u32> {
    let demand = |team: &Candidate| Demand { share: weight(team), demand: team.usable, limit: u32::MAX };
    let demands: Vec<Demand> = teams.iter().map(demand).collect();
    allocate(capacity, &demands)
}

/// Target as a weight in parts of a slot.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of u32"
)]
fn weight(team: &Candidate) -> u32 {
    (team.target() * WEIGHT_SCALE).clamp(0.0, f64::from(u32::MAX)) as u32
}

#[expect(clippy::cast_precision_loss, reason = "elapsed milliseconds are far below 2^52")]
fn float(value: u64) -> f64 {
    value as f64
}
