//! Allocation arithmetic of fair sharing.

use proptest::prelude::*;
use rattanfall_core::share::{
    Candidate, Demand, Usage, allocate, entitlement, jain, max_deviation, member_quota, next_team, quotas,
    split_quota,
};
use rstest::rstest;

fn demand() -> impl Strategy<Value = Demand> {
    let share = prop_oneof![Just(0), 1..100_u32, any::<u32>()];
    let slots = prop_oneof![0..200_u32, any::<u32>()];
    (share, slots.clone(), slots).prop_map(|(share, demand, limit)| Demand { share, demand, limit })
}

fn sum(values: &[u32]) -> u64 {
    values.iter().map(|&value| u64::from(value)).sum()
}

proptest! {
    /// No capacity may be left unused or allocated twice.
    #[test]
    fn allocation_uses_all_that_can_be_used(capacity in any::<u32>(), demands in prop::collection::vec(demand(), 0..12)) {
        let slots = allocate(capacity, &demands);
        let usable: u64 = demands.iter().map(|d| u64::from(d.usable())).sum();
        prop_assert_eq!(sum(&slots), usable.min(u64::from(capacity)));
        prop_assert!(slots.iter().zip(&demands).all(|(slots, d)| *slots <= d.usable()));
    }

    /// A team must not get fewer slots after its weight was raised.
    #[test]
    fn allocation_is_monotone_in_share(capacity in 0..500_u32, demands in prop::collection::vec(demand(), 1..8), raise in 1..50_u32) {
        let mut raised = demands.clone();
        raised[0].share = raised[0].share.saturating_add(raise);
        prop_assert!(allocate(capacity, &raised)[0] >= allocate(capacity, &demands)[0]);
    }

    /// The allocation must be max-min fair: each team gets its fractional entitlement within one slot.
    #[test]
    fn whole_slots_are_within_one_of_the_entitlement(capacity in 0..5_000_u32, demands in prop::collection::vec(demand(), 1..8)) {
        let slots = allocate(capacity, &demands);
        for (slots, owed) in slots.iter().zip(entitlement(capacity, &demands)) {
            let tied = demands.iter().all(|d| d.share > 0);
            prop_assert!(!tied || (f64::from(*slots) - owed).abs() < 1.0 + 1e-6, "{} {}", slots, owed);
        }
    }

    /// The quotas of all members must add up to the allocation.
    #[test]
    fn member_quotas_sum_to_the_allocation(allocation in 0..1_000_u32, own in prop::collection::vec(0..300_u32, 1..8)) {
        let all = split_quota(allocation, &own);
        prop_assert_eq!(sum(&all), sum(&own).min(u64::from(allocation)));
        prop_assert!(all.iter().zip(&own).all(|(part, own)| part <= own));
        prop_assert!((0..own.len()).all(|index| member_quota(allocation, &own, index) == all[index]));
    }

    /// The quotas must not exceed the capacity: instances that use slots would keep them and the others would get none.
    #[test]
    fn quotas_sum_to_the_capacity(capacity in 0..500_u32, teams in prop::collection::vec((0.1..200.0_f64, 0..400_u32, 0.0..2_000.0_f64, 0.0..2_000.0_f64), 1..8)) {
        let teams: Vec<Candidate> = teams.into_iter().map(|(owed_now, usable, owed, used)| Candidate { owed_now, usable, running: 0, owed, used }).collect();
        let usable: u64 = teams.iter().map(|team| u64::from(team.usable)).sum();
        prop_assert_eq!(sum(&quotas(capacity, &teams)), usable.min(u64::from(capacity)));
    }
}

/// A member that is not listed must not get a quota.
#[test]
fn member_out_of_range_has_no_quota() {
    assert_eq!(member_quota(8, &[4, 4], 2), 0);
}

/// All members must resolve ties in the same way.
#[test]
fn ties_go_to_the_earlier_team() {
    let demand = Demand { share: 1, demand: 10, limit: 10 };
    assert_eq!(allocate(5, &[demand; 3]), [2, 2, 1]);
}

/// The decay must have the right time constant, and a clock that stands still or goes back must not change the value.
#[test]
fn usage_converges_to_ten_seconds_of_the_rate() {
    let mut usage = Usage::new(0);
    for now in 0..=100_000 {
        usage.advance(now, 8.0);
    }
    assert!((usage.value() - 80.0).abs() < 0.01, "{}", usage.value());
    let before = usage;
    usage.advance(50_000, 1_000.0);
    assert_eq!(usage, before);
    usage.advance(110_000, 0.0);
    assert!((usage.value() - 80.0 / std::f64::consts::E).abs() < 0.01);
}

/// The correction is bounded: a team that was idle for long may use at most a quarter more than its allocation.
#[rstest]
#[case::credit(500.0, 0.0, 25.0)]
#[case::debt(0.0, 500.0, 15.0)]
#[case::even(100.0, 100.0, 20.0)]
fn correction_is_bounded(#[case] owed: f64, #[case] used: f64, #[case] target: f64) {
    let team = Candidate { owed_now: 20.0, usable: 100, running: 20, owed, used };
    assert!((team.target() - target).abs() < 1e-9);
}

/// A free slot must not go to a team above its share while one below its share waits.
#[test]
fn next_team_is_the_one_furthest_below_its_share() {
    let team = |owed_now, running| Candidate { owed_now, usable: 100, running, owed: 0.0, used: 0.0 };
    assert_eq!(next_team(&[team(40.0, 39), team(20.0, 10), team(10.0, 9)]), Some(1));
    assert_eq!(next_team(&[team(0.0, 0), team(20.0, 30)]), Some(1));
    assert_eq!(next_team(&[]), None);
}

/// Known values of the fairness metrics.
#[test]
fn fairness_metrics() {
    assert!((jain(&[1.0, 1.0, 1.0]) - 1.0).abs() < 1e-12);
    assert!((jain(&[1.0, 0.0, 0.0, 0.0]) - 0.25).abs() < 1e-12);
    assert!((jain(&[]) - 1.0).abs() < 1e-12);
    assert!((max_deviation(&[9.0, 11.0, 5.0], &[10.0, 10.0, 0.0]) - 0.1).abs() < 1e-12);
}
