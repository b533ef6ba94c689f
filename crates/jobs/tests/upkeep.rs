//! Waves of upkeep, and the long-running tasks on the machines in them.

mod support;

use rattanfall_jobs::spec::Step;
use support::{World, cores, job, step, task};

fn long_running(count: u32, max_unavailable: u32) -> Step {
    Step {
        long_running: true,
        spread: Some(1),
        max_unavailable: Some(max_unavailable),
        ..step(count, cores(1), 700)
    }
}

const ALL: [&str; 6] = ["red-00", "red-01", "red-02", "red-03", "red-04", "red-05"];

#[test]
fn a_wave_is_done_in_time_and_reported_as_complete() {
    let mut world = World::new(6);
    world.run_for(1_000);
    world.plan_wave(&ALL, 2, 25_000);
    world.run_for(25_000);
    assert_eq!(world.upkeeps.len(), 6);
    assert_eq!(world.published.get(&1), Some(&true));
}

#[test]
fn no_more_machines_than_the_wave_allows_are_in_upkeep() {
    let mut world = World::new(6);
    world.run_for(1_000);
    world.plan_wave(&ALL, 2, 25_000);
    for _ in 0..2_500 {
        world.round();
        assert!(world.in_upkeep() <= 2);
    }
}

/// A new owner counted only its own orders and took a machine down in addition to those that its predecessor
/// had ordered.
#[test]
fn a_new_owner_counts_the_machines_that_its_predecessor_maintains() {
    let mut world = World::new(6);
    world.run_for(1_000);
    world.plan_wave(&ALL, 2, 12_000);
    while world.in_upkeep() < 2 {
        world.round();
    }
    world.take_over();
    world.pass_waves();
    for _ in 0..2_000 {
        world.round();
        assert!(world.in_upkeep() <= 2);
    }
    let mut maintained: Vec<&str> = world.upkeeps.iter().map(|(_, name)| name.as_str()).collect();
    maintained.sort_unstable();
    assert_eq!(maintained, ALL);
}

#[test]
fn a_lasting_task_is_interrupted_only_while_the_others_of_its_step_are_at_work() {
    let mut world = World::new(6);
    world.submit(job(1, vec![long_running(4, 1)]));
    world.run_for(2_000);
    assert_eq!(world.running().len(), 4);
    world.plan_wave(&ALL, 6, 20_000);
    for _ in 0..2_000 {
        world.round();
        assert!(world.running().len() >= 3, "two tasks of the step are unavailable at {}", world.now);
    }
    assert_eq!(world.upkeeps.len(), 6);
    assert_eq!(world.running().len(), 4);
}

/// Tasks on a worker that had just crashed still counted as available, and another task of the step was
/// stopped.
#[test]
fn a_task_on_a_silent_worker_counts_as_away() {
    let mut world = World::new(6);
    world.submit(job(1, vec![long_running(4, 1)]));
    world.run_for(2_000);
    let (_, _, _, worker) = world.starts[0].clone();
    world.workers.get_mut(&worker).expect("it is known").partitioned = true;
    world.run_for(1_000);
    world.plan_wave(&ALL, 6, 8_000);
    world.run_for(3_000);
    assert!(world.stops.iter().all(|(_, _, on)| *on == worker), "{:?}", world.stops);
}

/// A run that a former owner was stopping was still listed as available, and the new owner stopped another
/// task of the step.
#[test]
fn a_new_owner_counts_a_task_as_away_that_its_predecessor_is_stopping() {
    let mut world = World::new(6);
    world.stop_ms = 900;
    world.submit(job(1, vec![long_running(4, 1)]));
    world.run_for(2_000);
    world.plan_wave(&ALL, 6, 12_000);
    while world.stops.is_empty() {
        world.round();
    }
    let stopped = world.workers[&world.stops[0].2].machine.clone();
    world.take_over();
    let others: Vec<&str> = ALL.into_iter().filter(|name| **name != stopped).collect();
    world.remove_wave(1);
    world.write_wave(2, &others, 6, 4_000);
    for _ in 0..1_500 {
        world.round();
        assert!(world.at_work(1) >= 3, "two tasks of the step are unavailable at {}", world.now);
    }
    assert_eq!(world.upkeeps.len(), 5);
}

#[test]
fn batch_tasks_finish_before_their_machine_goes_down() {
    let mut world = World::new(1);
    world.submit(job(1, vec![step(4, cores(1), 1_500)]));
    world.run_for(500);
    world.plan_wave(&["red-00"], 1, 3_000);
    world.run_for(6_000);
    assert_eq!(world.upkeeps.len(), 1);
    assert!(world.stops.is_empty());
    assert_eq!(world.starts.iter().filter(|(_, id, _, _)| *id == task(1, 0, 0)).count(), 1);
}
