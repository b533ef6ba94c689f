//! Steady clocks of workers, which may run slow. Leases end on the worker's clock, and the owner waits for them on its own.

mod support;

use rattanfall_jobs::table::JobState;
use rstest::rstest;
use support::{World, cores, job, step};

/// Speed of the slowest clock that the workers' interface allows, in thousandths.
const SLOW_PERMILLE: u64 = 980;

fn slow_world(workers: usize) -> World {
    let mut world = World::new(workers);
    world.workers.values_mut().for_each(|worker| worker.clock_permille = SLOW_PERMILLE);
    world
}

/// Runs the simulation until the first task runs, and cuts its worker off some time later.
fn cut_off_first_worker(world: &mut World, after_ms: u64) -> String {
    while world.starts.is_empty() {
        world.round();
    }
    world.run_for(after_ms);
    let worker = world.starts[0].3.clone();
    world.workers.get_mut(&worker).expect("it is known").partitioned = true;
    worker
}

/// Guards against a lease that is granted by a reading of the worker's clock from before it was idle. The worker's clock
/// has fallen behind the reading, so the lease outlasts the time after which the owner starts the task elsewhere.
#[rstest]
fn a_run_on_a_worker_that_was_idle_ends_before_the_next_one_starts(
    #[values(5_000, 75_000, 600_000)] idle_ms: u64,
    #[values(0, 50, 300, 2_000)] after_ms: u64,
) {
    let mut world = slow_world(2);
    world.run_for(idle_ms);
    world.submit(job(1, vec![step(1, cores(1), 30_000)]));
    cut_off_first_worker(&mut world, after_ms);
    for _ in 0..1_500 {
        world.round();
        assert_eq!(world.running_twice(), [], "at {} ms", world.now);
    }
    assert_eq!(world.starts.len(), 2, "the task does not run elsewhere");
}

/// The same after a takeover by an owner that has read the clock in the directory only.
#[test]
fn a_new_owner_grants_no_lease_by_an_old_reading() {
    let mut world = slow_world(2);
    world.run_for(1_000);
    world.take_over();
    world.run_for(75_000);
    world.submit(job(1, vec![step(1, cores(1), 30_000)]));
    cut_off_first_worker(&mut world, 300);
    for _ in 0..1_500 {
        world.round();
        assert_eq!(world.running_twice(), [], "at {} ms", world.now);
    }
    assert_eq!(world.starts.len(), 2);
}

/// Guards against leases that are too short to last until the next poll.
#[test]
fn work_on_slow_clocks_completes_without_a_second_run() {
    let mut world = slow_world(2);
    world.run_for(75_000);
    world.submit(job(1, vec![step(4, cores(1), 20_000)]));
    world.run_for(25_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 4);
}
