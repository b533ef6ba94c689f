//! Random faults in a simulated fleet. No task may run twice at once or again after it is done, no worker may
//! exceed its capacity, and every job must end.

mod support;

use std::ops::Range;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rattanfall_jobs::dispatch::event::WorkerRecord;
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

/// Kills a worker now and then and starts it again under its id, at once or some seconds later, at times as another kind.
fn restart_workers(
    world: &mut World,
    rng: &mut SmallRng,
    down: &mut Vec<(u64, WorkerRecord)>,
    restarts: &mut u32,
) {
    if rng.random_ratio(1, 150) {
        let name = machine(rng);
        if let Some(id) = world.machines[&name].0.worker.clone() {
            let down_ms = if rng.random_ratio(1, 3) { 0 } else { rng.random_range(200..8_000) };
            let mut record = world.kill_worker(&id);
            if rng.random_ratio(1, 2) {
                record.labels[0] = if rng.random_ratio(1, 2) { "a" } else { "b" }.into();
            }
            down.push((world.now + down_ms, record));
        }
    }
    for (_, record) in down.extract_if(.., |(at, _)| *at <= world.now).collect::<Vec<_>>() {
        *restarts += 1;
        let id = record.worker.clone();
        world.restart_worker(record);
        let clock_permille = rng.random_range(980..=1_000);
        world.workers.get_mut(&id).expect("it was started").clock_permille = clock_permille;
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

/// Plays days of one seed each, with `inject` before each round with faults. All jobs must end afterwards.
fn play(seeds: Range<u64>, mut inject: impl FnMut(&mut World, &mut SmallRng, bool)) {
    for seed in seeds {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = World::new(6);
        world.stop_ms = 300;
        let mut jobs = 0;
        for _ in 0..FAULT_ROUNDS {
            if rng.random_ratio(1, 40) && jobs < 40 {
                jobs += 1;
                submit(&mut world, &mut rng, jobs);
            }
            inject(&mut world, &mut rng, true);
            world.round();
            check(&world, seed);
        }
        clear_faults(&mut world);
        for _ in 0..RECOVERY_ROUNDS {
            inject(&mut world, &mut rng, false);
            world.round();
            check(&world, seed);
        }
        let open: Vec<u64> = (1..=jobs)
            .filter(|id| matches!(world.state(*id), None | Some(JobState::Queued | JobState::Running)))
            .collect();
        assert!(open.is_empty(), "seed {seed}: jobs {open:?} have not ended");
    }
}

#[test]
fn no_fault_doubles_or_loses_work() {
    let mut counts = FaultCounts::default();
    play(0..60, |world, rng, faults| {
        if faults {
            inject_fault(world, rng, &mut counts);
        }
    });
    assert!(
        counts.takeovers > 50 && counts.crashes > 50 && counts.partitions > 50 && counts.delayed > 50,
        "{counts:?}"
    );
}

/// The same faults beside workers that restart under their id.
#[test]
fn no_restart_doubles_or_loses_work() {
    let mut counts = FaultCounts::default();
    let mut down = Vec::new();
    let mut restarts = 0;
    play(100..160, |world, rng, faults| {
        if faults {
            if world.now < support::ROUND_MS {
                down.clear();
            }
            inject_fault(world, rng, &mut counts);
            restart_workers(world, rng, &mut down, &mut restarts);
        } else {
            for (_, record) in down.drain(..) {
                world.restart_worker(record);
            }
        }
    });
    assert!(restarts > 200 && counts.takeovers > 50, "{restarts} restarts, {counts:?}");
}
