//! Weighted max-min allocation in whole slots.

use std::cmp::{Ordering, Reverse};

/// Weight and demand of one team in one pool, over the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Weight of the team. A team of weight 0 gets only what the others leave.
    pub share: u32,
    /// Slots needed by running and waiting work.
    pub demand: u32,
    /// Upper limit of the team, in slots.
    pub limit: u32,
}

impl Demand {
    /// Slots that the team can use: its demand, at most its limit.
    #[must_use]
    pub fn usable(&self) -> u32 {
        self.demand.min(self.limit)
    }
}

/// Weight and cap of one team; `index` is its position in the input.
#[derive(Clone, Copy)]
struct Claim {
    index: usize,
    weight: u64,
    cap: u64,
}

/// Claims that cannot be satisfied in full, their total weight, and the capacity left for them.
struct Rest {
    claims: Vec<Claim>,
    capacity: u64,
    weight: u64,
}

/// Weighted max-min fair allocation of a capacity, in whole slots and in the order of the input.
///
/// The sum is the capacity or all usable slots, whichever is less. Slots are rounded by the largest remainder method.
/// Ties go to the earlier team, so that members agree if they list the teams in the same order.
#[must_use]
pub fn allocate(capacity: u32, demands: &[Demand]) -> Vec<u32> {
    let mut slots = vec![0; demands.len()];
    let mut left = u64::from(capacity);
    for claims in weight_tiers(demands) {
        let rest = fill_claims(left, claims, |claim| slots[claim.index] = to_u32(claim.cap));
        let used: u64 = share_out(&rest, &mut slots);
        left = rest.capacity - used;
    }
    slots
}

/// Weighted max-min fair allocation without rounding: the slots that each team is owed.
///
/// What a team is owed accrues at this rate, so that what [`allocate`] rounds away is compensated over time.
#[must_use]
pub fn entitlement(capacity: u32, demands: &[Demand]) -> Vec<f64> {
    let mut slots = vec![0.0; demands.len()];
    let mut left = u64::from(capacity);
    for claims in weight_tiers(demands) {
        let rest = fill_claims(left, claims, |claim| slots[claim.index] = float(claim.cap));
        for claim in &rest.claims {
            slots[claim.index] = float(rest.capacity) * float(claim.weight) / float(rest.weight);
        }
        left = if rest.claims.is_empty() { rest.capacity } else { 0 };
    }
    slots
}

/// Splits a team's allocation over the members in proportion to their demand in `own`. The sum is the allocation or the
/// whole demand, whichever is less.
#[must_use]
pub fn split_quota(allocation: u32, own: &[u32]) -> Vec<u32> {
    let demands: Vec<Demand> =
        own.iter().map(|&demand| Demand { share: demand, demand, limit: u32::MAX }).collect();
    allocate(allocation, &demands)
}

/// Share of one member in a team's allocation, as in [`split_quota`]; 0 if the index is out of range. All members must
/// list the demands in the same order, so that their quotas add up to the allocation.
#[must_use]
pub fn member_quota(allocation: u32, own: &[u32], index: usize) -> u32 {
    split_quota(allocation, own).get(index).copied().unwrap_or(0)
}

/// Claims with a weight, then those of weight 0, which count equally.
fn weight_tiers(demands: &[Demand]) -> [Vec<Claim>; 2] {
    let mut weight_tiers = [Vec::new(), Vec::new()];
    for (index, demand) in demands.iter().enumerate() {
        let cap = u64::from(demand.usable());
        let weight = u64::from(demand.share.max(1));
        weight_tiers[usize::from(demand.share == 0)].push(Claim { index, weight, cap });
    }
    weight_tiers
}

/// Progressive filling: satisfies claims in the order of cap per weight, as long as the capacity left per weight
/// reaches their cap.
fn fill_claims(capacity: u64, mut claims: Vec<Claim>, mut satisfy: impl FnMut(&Claim)) -> Rest {
    claims.sort_by(by_cap_per_weight);
    let mut left = capacity;
    let mut weight: u64 = claims.iter().map(|claim| claim.weight).sum();
    let mut satisfied = 0;
    for claim in &claims {
        if product(claim.cap, weight) > product(left, claim.weight) {
            break;
        }
        satisfy(claim);
        left -= claim.cap;
        weight -= claim.weight;
        satisfied += 1;
    }
    Rest { claims: claims.split_off(satisfied), capacity: left, weight }
}

/// Distributes the remaining capacity by weight and largest remainder, and returns the number of slots. No claim
/// exceeds its cap, because its fractional share of the remaining capacity is below the cap.
fn share_out(rest: &Rest, slots: &mut [u32]) -> u64 {
    if rest.claims.is_empty() {
        return 0;
    }
    let weight = u128::from(rest.weight);
    let mut given = 0;
    let mut remainders = Vec::with_capacity(rest.claims.len());
    for claim in &rest.claims {
        let scaled = product(rest.capacity, claim.weight);
        let whole = u32::try_from(scaled / weight).unwrap_or(u32::MAX);
        slots[claim.index] = whole;
        given += u64::from(whole);
        remainders.push((Reverse(scaled % weight), claim.index));
    }
    remainders.sort_unstable();
    let missing = usize::try_from(rest.capacity - given).unwrap_or(usize::MAX);
    for (_, index) in remainders.iter().take(missing) {
        slots[*index] += 1;
    }
    rest.capacity
}

fn by_cap_per_weight(a: &Claim, b: &Claim) -> Ordering {
    product(a.cap, b.weight).cmp(&product(b.cap, a.weight)).then(a.index.cmp(&b.index))
}

fn product(a: u64, b: u64) -> u128 {
    u128::from(a) * u128::from(b)
}

fn to_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

/// Exact, because each value is a sum of a few `u32`.
#[expect(clippy::cast_precision_loss, reason = "sums of 32-bit numbers are far below 2^52")]
fn float(value: u64) -> f64 {
    value as f64
}
