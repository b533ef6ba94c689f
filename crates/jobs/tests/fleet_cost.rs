//! Cost of planning for a large fleet, counted in machines and workers that are examined.

mod support;

use support::World;
use support::large::waiting_fleet;

/// Time of ten planning passes, in milliseconds.
const PASSES_MS: u64 = 1_000;

/// Machines and workers examined by some planning passes.
fn examined(world: &mut World) -> u64 {
    let before = world.dispatcher.counters.searched;
    world.run_for(PASSES_MS);
    world.dispatcher.counters.searched - before
}

/// Guards against a search over all machines for each worker, for each machine that waits with an order.
#[test]
fn the_search_for_runs_grows_in_proportion_to_the_fleet() {
    let [small, large] = [349, 1_100].map(|machines| examined(&mut waiting_fleet(machines)));
    assert!(small > 0, "no machine waits");
    assert!(large <= 4 * small, "{small} examined of 349, {large} of 1,100");
}
