//! Throttling of best-effort tasks when orders are lost, and under a new owner.

mod support;

use rattanfall_jobs::spec::Step;
use support::{World, cores, job, step, task};

/// World in which a best-effort task shares a worker with a serving task that is over its target.
fn disturbed() -> World {
    let mut world = World::new(1);
    let serving = Step { long_running: true, target_ms: Some(200), ..step(1, cores(1), 700) };
    let best_effort = Step { long_running: true, best_effort: true, ..step(1, cores(1), 700) };
    world.submit(job(1, vec![serving, best_effort]));
    world.run_for(1_500);
    assert_eq!(world.running(), [task(1, 0, 0), task(1, 1, 0)]);
    world.metrics.insert(task(1, 0, 0), 260);
    world
}

/// Speed of the best-effort task on its worker, in percent.
fn speed(world: &World) -> u8 {
    let mut runs = world.workers.values().filter_map(|worker| worker.runs.get(&task(1, 1, 0)));
    runs.next().expect("it runs").speed
}

/// Guards against a task that stays slowed down, because a new owner takes it to run at full speed.
#[test]
fn a_new_owner_speeds_up_what_its_predecessor_slowed_down() {
    let mut world = disturbed();
    world.run_for(3_000);
    assert!(speed(&world) <= 10);
    world.take_over();
    world.metrics.insert(task(1, 0, 0), 50);
    world.run_for(9_000);
    assert_eq!(speed(&world), 100);
}

/// Guards against a task that keeps its speed, because the orders to slow down were lost and are not repeated.
#[test]
fn a_lost_order_to_slow_down_is_repeated() {
    let mut world = disturbed();
    world.loses_throttles = true;
    world.run_for(5_000);
    assert_eq!(speed(&world), 100);
    world.loses_throttles = false;
    world.run_for(1_500);
    assert!(speed(&world) <= 10, "{}", speed(&world));
}

/// The same for the order to run at full speed.
#[test]
fn a_lost_order_to_speed_up_is_repeated() {
    let mut world = disturbed();
    world.run_for(3_000);
    world.loses_throttles = true;
    world.metrics.insert(task(1, 0, 0), 50);
    world.run_for(9_000);
    assert!(speed(&world) <= 10);
    world.loses_throttles = false;
    world.run_for(1_500);
    assert_eq!(speed(&world), 100);
}
