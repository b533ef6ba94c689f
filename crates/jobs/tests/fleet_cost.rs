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

/// Guards against a count of all machines for each machine of a wave that its pool can't spare.
#[test]
fn the_search_for_machines_to_spare_grows_in_proportion_to_the_fleet() {
    let [small, large] = [349, 1_100].map(|machines| {
        let mut world = waiting_fleet(machines);
        let names: Vec<String> = world.machines.keys().cloned().collect();
        let most = u32::try_from(names.len()).expect("a small number");
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        world.write_wave(2, &names, most, 600_000);
        examined(&mut world)
    });
    assert!(small > 0, "no machine waits");
    assert!(large <= 4 * small, "{small} examined of 349, {large} of 1,100");
}
