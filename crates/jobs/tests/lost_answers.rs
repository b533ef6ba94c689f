//! Workers whose answers get lost: the orders are carried out seconds later, and the owner learns by its time limits.

mod support;

use rattanfall_jobs::dispatch::Exclusions;
use rattanfall_jobs::dispatch::command::Start;
use rattanfall_jobs::table::JobState;
use rstest::rstest;
use support::{Lossy, ROUND_MS, World, cores, job, step};

/// Workers of the pool.
const WORKERS: usize = 24;
/// Longest time after its last answer in which a worker gets tasks, in milliseconds: that of an excuse and of a poll.
const OPEN_MS: u64 = 2_100;

fn open(world: &World) -> usize {
    world.dispatcher.workers().filter(|worker| worker.accepts_tasks(world.now)).count()
}

/// Runs the simulation and checks that no task runs on two workers at once, and that none has more than its memory.
fn run_checked(world: &mut World, ms: u64, mut look: impl FnMut(&World)) {
    for _ in 0..ms / ROUND_MS {
        world.round();
        look(world);
        assert_eq!(world.running_twice(), [], "at {} ms", world.now);
    }
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Pool with work for a minute on three quarters of its workers.
fn busy_world() -> World {
    let mut world = World::new(WORKERS);
    for id in 0..60 {
        world.submit(job(id, vec![step(24, cores(4), 1_500), step(24, cores(4), 1_500)]));
    }
    run_checked(&mut world, 3_000, |_| ());
    world
}

#[rstest]
#[case::three_tenths(30, 22)]
#[case::six_tenths(60, 20)]
fn workers_stay_open_while_answers_are_lost(#[case] percent: u64, #[case] least: usize) {
    let mut world = busy_world();
    world.lossy = Some(Lossy::new(percent, 2_000, 12_000));
    run_checked(&mut world, 2_000, |_| ());
    let (mut sum, mut looks) = (0, 0);
    run_checked(&mut world, 5_000, |world| {
        sum += open(world);
        looks += 1;
    });
    assert!(sum >= least * looks, "{} of {WORKERS} workers are open", sum / looks);
}

#[test]
fn jobs_end_while_answers_are_lost() {
    let mut world = busy_world();
    let ended = |world: &World| (0..60).filter(|id| world.state(*id) == Some(JobState::Completed)).count();
    let calm = ended(&world);
    run_checked(&mut world, 6_000, |_| ());
    let calm = ended(&world) - calm;
    world.lossy = Some(Lossy::new(60, 2_000, 12_000));
    run_checked(&mut world, 2_000, |_| ());
    let before = ended(&world);
    run_checked(&mut world, 6_000, |_| ());
    let lossy = ended(&world) - before;
    assert!(lossy * 2 >= calm, "{lossy} jobs ended, without losses {calm}");
}

#[test]
fn another_poll_is_sent_beside_a_held_one() {
    let mut world = busy_world();
    world.lossy = Some(Lossy::new(60, 2_000, 12_000));
    run_checked(&mut world, 1_000, |_| ());
    // The time limit of a held poll is over after 1,500 ms.
    let mut polled: Vec<&str> = world.polls_lost.iter().map(|poll| poll.target.worker.as_str()).collect();
    polled.sort_unstable();
    let twice = polled.chunk_by(|one, other| one == other).filter(|polls| polls.len() > 1).count();
    assert!(twice >= WORKERS / 4, "{twice} workers were polled again");
}

#[test]
fn a_silent_worker_is_closed_in_time_although_others_lose_answers() {
    let mut world = busy_world();
    world.lossy = Some(Lossy::new(60, 2_000, 12_000));
    run_checked(&mut world, 3_000, |_| ());
    let id = world.worker_on("red-03");
    world.workers.get_mut(&id).expect("it is up").partitioned = true;
    run_checked(&mut world, OPEN_MS, |_| ());
    let closed = world.now;
    run_checked(&mut world, 8_000, |world| {
        let worker = world.dispatcher.workers().find(|worker| worker.record.worker == id);
        assert!(worker.is_none_or(|worker| !worker.accepts_tasks(world.now)), "open at {}", world.now);
    });
    let late = |order: &&(u64, Start)| order.0 > closed && order.1.target.worker == id;
    assert_eq!(world.start_orders.iter().filter(late).count(), 0);
}

#[test]
fn a_silent_worker_is_counted_by_its_reason() {
    let mut world = busy_world();
    assert_eq!(world.dispatcher.exclusions(world.now).get("red"), None);
    let id = world.worker_on("red-03");
    world.workers.get_mut(&id).expect("it is up").partitioned = true;
    run_checked(&mut world, 2_000, |_| ());
    let expected = Exclusions { silent: 1, ..Exclusions::default() };
    assert_eq!(world.dispatcher.exclusions(world.now).get("red"), Some(&expected));
}

/// Workers that are cut off or restart under their ids, and takeovers, while answers are lost. `outlast` is true if orders
/// to a former process may be carried out by the next one.
fn run_with_restarts(seed: u64, percent: u64, outlast: bool) {
    let mut world = busy_world();
    world.orders_outlast = true;
    world.lossy = Some(Lossy::new(percent, 500, 9_000).seeded(seed));
    for turn in 0..6 {
        let machine = format!("red-{:02}", (seed * 7 + turn * 5) % WORKERS as u64);
        let id = world.worker_on(&machine);
        match turn % 3 {
            0 => world.workers.get_mut(&id).expect("it is up").partitioned = true,
            1 => {
                world.orders_outlast = outlast;
                let record = world.kill_worker(&id);
                world.orders_outlast = true;
                run_checked(&mut world, 700, |_| ());
                world.restart_worker(record);
            }
            _ => world.take_over(),
        }
        run_checked(&mut world, 2_500, |_| ());
        world.workers.values_mut().for_each(|worker| worker.partitioned = false);
    }
    world.lossy = None;
    run_checked(&mut world, 70_000, |_| ());
    for id in 0..60 {
        assert_eq!(world.state(id), Some(JobState::Completed), "job {id}");
    }
}

#[rstest]
fn no_task_runs_twice_while_answers_are_lost(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(30, 60, 85)] percent: u64,
) {
    run_with_restarts(seed, percent, false);
}

/// Guards against a late start that a restarted worker carries out before it has seen a new token.
#[test]
fn no_task_runs_twice_although_orders_outlast_their_process() {
    for seed in 1..=6 {
        for percent in [30, 60, 85] {
            run_with_restarts(seed, percent, true);
        }
    }
}
