//! Random faults in a simulated fleet. No task may run twice at once or again after it is done, no worker may
//! exceed its capacity, and every job must end.

mod support;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rattanfall_jobs::ids::JobId;
use rattanfall_jobs::spec::Step;
use rattanfall_jobs::table::JobState;
use support::{World, cores, job, step};

/// Rounds with faults, of 10 ms each.
const FAULT_ROUNDS: u64 = 1_500;
/// Rounds without faults in which all jobs must end.
const RECOVERY_ROUNDS: u64 = 4_000;

/// Number of injected faults; a test without faults would prove nothing.
#[derive(Default, Debug)]
struct FaultCounts {
    takeovers: u32,
    crashes: u32,
    partitions: u32,
    delayed: u32,
}

fn machine(rng: &mut SmallRng) -> String {
    format!("red-{:02}", rng.random_range(0..6))
}

fn submit(world: &mut World, rng: &mut SmallRng, id: u64) {
    let speculative = rng.random_ratio(1, 3);
    let first = Step { speculative, ..step(rng.random_range(1..6), cores(rng.random_range(1..7)), 400) };
    let second = Step { after: vec![0], ..step(rng.random_range(1..4), cores(2), 300) };
    let mut submission = job(id, vec![first, second]);
    submission.arrived_ms = support::UNIX + world.now;
    if rng.random_ratio(1, 20) {
        world.failing_jobs.insert(JobId(id));
    }
    world.submit(submission);
}

fn inject_fault(world: &mut World, rng: &mut SmallRng, counts: &mut FaultCounts) {
    match rng.random_range(0..600) {
        0..3 => {
            counts.takeovers += 1;
            world.take_over();
        }
        3..5 => {
            let name = machine(rng);
            if world.machines[&name].0.worker.is_some() {
                counts.crashes += 1;
                world.crash(&name);
            }
        }
        5..8 => {
            counts.partitions += 1;
            let name = machine(rng);
            if let Some(id) = world.machines[&name].0.worker.clone() {
                let worker = world.workers.get_mut(&id).expect("it is known");
                worker.partitioned = !worker.partitioned;
            }
        }
        8..12 => {
            counts.delayed += 1;
            world.delay = Some(rng.random_range(2_000..12_000));
        }
        12..30 => world.delay = None,
        30..33 => world.down = true,
        33..60 => world.down = false,
        60..62 => {
            let id = rng.random_range(1..40);
            if world.dispatcher.table.get(JobId(id)).is_some() {
                world.cancel(id);
            }
        }
        62..64 => {
            let name = machine(rng);
            if let Some(id) = world.machines[&name].0.worker.clone() {
                let worker = world.workers.get_mut(&id).expect("it is known");
                worker.stuck = !worker.stuck;
            }
        }
        _ => {}
    }
}

fn clear_faults(world: &mut World) {
    world.delay = None;
    world.down = false;
    for worker in world.workers.values_mut() {
        worker.partitioned = false;
        worker.stuck = false;
    }
}

fn check(world: &World, seed: u64) {
    assert_eq!(world.running_twice(), [], "seed {seed} at {}", world.now);
    assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    assert!(world.peak_cpu <= 16_000, "seed {seed} at {}: {} of 16000", world.now, world.peak_cpu);
}

#[test]
fn no_fault_doubles_or_loses_work() {
    let mut counts = FaultCounts::default();
    for seed in 0..60 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = World::new(6);
        world.stop_ms = 300;
        let mut jobs = 0;
        for _ in 0..FAULT_ROUNDS {
            if rng.random_ratio(1, 40) && jobs < 40 {
                jobs += 1;
                submit(&mut world, &mut rng, jobs);
            }
            inject_fault(&mut world, &mut rng, &mut counts);
            world.round();
            check(&world, seed);
        }
        clear_faults(&mut world);
        for _ in 0..RECOVERY_ROUNDS {
            world.round();
            check(&world, seed);
        }
        let open: Vec<u64> = (1..=jobs)
            .filter(|id| matches!(world.state(*id), None | Some(JobState::Queued | JobState::Running)))
            .collect();
        assert!(open.is_empty(), "seed {seed}: jobs {open:?} have not ended");
    }
    assert!(
        counts.takeovers > 50 && counts.crashes > 50 && counts.partitions > 50 && counts.delayed > 50,
        "{counts:?}"
    );
}
