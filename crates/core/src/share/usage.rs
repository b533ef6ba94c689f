//! Decayed use, and the choice of the next team by it.

use super::allocation::{Demand, allocate};

/// Time constant of the decay, in milliseconds: the window over which shares have to be met.
pub const TIME_CONSTANT_MS: f64 = 10_000.0;

/// Time over which a deficit is compensated, in milliseconds. From 1,000 on, teams of few slots have a steady error;
/// with 500, single windows are worse, because the figures of peers are up to one digest interval (250 ms) old.
const RECOVERY_MS: f64 = 700.0;

/// Maximum correction of a team's slots for a past deficit or surplus, as a fraction of its allocation. Bounds the
/// credit of a team that got less than its share and the debt of one that got more.
const MAX_CORRECTION: f64 = 0.25;

/// Weight of one slot when targets are converted to integer weights; its inverse is the resolution of a target.
const WEIGHT_SCALE: f64 = 1_024.0;

/// Exponentially decayed use, in slot-seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    value: f64,
    at_ms: u64,
}

impl Usage {
    /// Creates a usage of 0, counted from a time in milliseconds.
    #[must_use]
    pub const fn new(now_ms: u64) -> Self {
        Self { value: 0.0, at_ms: now_ms }
    }

    /// Accounts for the time since the last call, during which `running` slots were in use. Has no effect if `now_ms`
    /// is before the last call.
    pub fn advance(&mut self, now_ms: u64, running: f64) {
        let elapsed = now_ms.saturating_sub(self.at_ms);
        self.at_ms = self.at_ms.max(now_ms);
        let keep = (-float(elapsed) / TIME_CONSTANT_MS).exp();
        self.value = self.value * keep + running * (1.0 - keep) * TIME_CONSTANT_MS / 1_000.0;
    }

    /// Decayed use as of the last call of `advance`, in slot-seconds. Constant use of `n` slots converges to 10 `n`.
    #[must_use]
    pub const fn value(&self) -> f64 {
        self.value
    }
}

/// Team that competes for slots of a pool. All figures are for one pool and over the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Slots that the team is owed now, from [`entitlement`](super::entitlement).
    pub owed_now: f64,
    /// Slots that the team can use: its demand, at most its limit.
    pub usable: u32,
    /// Slots in use.
    pub running: u32,
    /// Decayed entitlement, in slot-seconds: a [`Usage`] advanced with `owed_now`.
    pub owed: f64,
    /// Decayed use, in slot-seconds.
    pub used: f64,
}

impl Candidate {
    /// Slots that the team should use now: what it is owed, plus a bounded correction for past deviations.
    #[must_use]
    pub fn target(&self) -> f64 {
        let bound = (self.owed_now * MAX_CORRECTION).max(1.0);
        let deficit = (self.owed - self.used) * 1_000.0 / RECOVERY_MS;
        (self.owed_now + deficit.clamp(-bound, bound)).max(0.0)
    }

    /// Slots in use, relative to the target.
    fn load_ratio(&self) -> f64 {
        // The offsets keep the ratio finite and positive: a team with a target of 0 comes last but stays comparable.
        (f64::from(self.running) + 0.5) / self.target().max(0.01)
    }
}

/// Index of the team that gets the next free slot: the one furthest below its target. Ties go to the earlier team.
/// `None` if there are no candidates.
#[must_use]
pub fn next_team(candidates: &[Candidate]) -> Option<usize> {
    let keys = candidates.iter().map(Candidate::load_ratio).enumerate();
    keys.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}

/// Slots that each team may use now over the fleet: the targets in whole slots. The sum is the capacity or all usable
/// slots, whichever is less; if the quotas added up to more, instances that use slots would keep them and the others
/// would never get theirs. [`member_quota`](super::member_quota) splits a quota over the members.
#[must_use]
pub fn quotas(capacity: u32, teams: &[Candidate]) -> Vec<u32> {
    let demand = |team: &Candidate| Demand { share: weight(team), demand: team.usable, limit: u32::MAX };
    let demands: Vec<Demand> = teams.iter().map(demand).collect();
    allocate(capacity, &demands)
}

/// Target as an integer weight.
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
