//! Rebalancing: moves of workers between pools.

#![expect(clippy::cast_precision_loss, clippy::cast_possible_truncation, reason = "figures of a simulation")]
#![expect(clippy::cast_sign_loss, reason = "figures of a simulation are positive")]

#[expect(unreachable_pub, reason = "shared with the example")]
#[path = "../examples/policies/surge.rs"]
mod simulation;

use rattanfall_core::engine::Millis;
use rattanfall_core::ids::PoolId;
use rattanfall_core::policy::rebalance::{Move, Planner, PoolLoad, WorkerLoad, choose_worker};
use rstest::rstest;
use simulation::{Figures, Pattern, Policy, demand, simulate};

fn mean(policy: Policy, pattern: Pattern) -> Figures {
    let mut all = Figures::default();
    for seed in 1..6 {
        all.add(&simulate(policy, &demand(pattern, seed)), 5.0);
    }
    all
}

/// Surges must not starve because workers are not moved, and moves must not cost more than they gain.
#[rstest]
#[case::short(Pattern::Short)]
#[case::long(Pattern::Long)]
#[case::shift(Pattern::Shift)]
fn surges_reach_95_percent_of_the_offline_plan_with_half_the_moves(#[case] pattern: Pattern) {
    let [offline, naive, planner] =
        [Policy::Offline, Policy::Naive, Policy::Planner].map(|policy| mean(policy, pattern));
    assert!(planner.done >= 0.95 * offline.done, "{planner:?} {offline:?}");
    assert!(planner.moves <= 0.5 * naive.moves, "{planner:?} {naive:?}");
    assert!(planner.done >= 0.95 * mean(Policy::Never, pattern).done);
}

fn load(pool: u32, serving: u32, offered: f64) -> PoolLoad {
    PoolLoad {
        pool: PoolId(pool),
        serving,
        min_serving: 4,
        slots: 8,
        waiting: if offered > f64::from(serving * 8) { 10_000 } else { 0 },
        offered,
        run_ms: 200.0,
        max_wait_ms: 10_000.0,
        ..PoolLoad::default()
    }
}

/// First planned move within a number of seconds of constant loads.
fn first_move(loads: &[PoolLoad], seconds: u64) -> Option<Move> {
    let mut planner = Planner::default();
    (0..seconds * 20).find_map(|tick| planner.plan(Millis(tick * 50), loads))
}

/// A surge of a few seconds must not cause a move, but a lasting one must.
#[test]
fn short_surges_cause_no_move() {
    let loads = [load(0, 10, 120.0), load(1, 10, 5.0)];
    assert_eq!(first_move(&loads, 6), None);
    assert_eq!(first_move(&loads, 20), Some(Move { from: PoolId(1), to: PoolId(0) }));
}

/// Workers must not be moved from a busy pool while a spare pool has some.
#[test]
fn spare_pools_are_used_first() {
    let spare = PoolLoad { spare: true, min_serving: 0, ..load(2, 1, 0.0) };
    let moved = first_move(&[load(0, 10, 120.0), load(1, 10, 5.0), spare], 20);
    assert_eq!(moved.map(|m| m.from), Some(PoolId(2)));
}

/// Moves must not violate a pool's minimum, take workers that are needed, or be made for work that does not wait.
#[rstest]
#[case::budget(load(0, 10, 120.0), load(1, 4, 0.0))]
#[case::source_is_busy(load(0, 10, 120.0), load(1, 10, 79.0))]
#[case::nothing_waits(PoolLoad { waiting: 0, ..load(0, 10, 120.0) }, load(1, 10, 5.0))]
#[case::enough_workers_arrive(PoolLoad { arriving: 5, ..load(0, 10, 120.0) }, load(1, 10, 5.0))]
fn no_move_is_planned(#[case] target: PoolLoad, #[case] source: PoolLoad) {
    assert_eq!(first_move(&[target, source], 120), None);
}

/// The statistics must include all unused capacity.
#[test]
fn planner_counts_moves_and_idle_capacity() {
    let mut planner = Planner::default();
    for now in [0, 1_000] {
        assert_eq!(planner.plan(Millis(now), &[load(0, 10, 0.0)]), None);
    }
    assert_eq!(planner.stats().moves, 0);
    assert!((planner.stats().idle_capacity - 80.0).abs() < 1e-9, "{:?}", planner.stats());
}

/// The source must not lose its last worker of a zone, and the drain should be short.
#[test]
fn worker_is_chosen_by_zone_balance_and_running_work() {
    let worker = |running, source_in_zone| WorkerLoad { running, source_in_zone, target_in_zone: 3 };
    assert_eq!(choose_worker(&[worker(0, 1), worker(5, 4), worker(2, 4)]), Some(2));
    assert_eq!(choose_worker(&[]), None);
}
