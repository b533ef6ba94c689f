//! Starts without an answer on workers that take no new tasks any more: they drain, or their availability zone is
//! evacuated.

mod support;

use rattanfall_jobs::dispatch::event::Outcome;
use rattanfall_jobs::spec::Step;
use rattanfall_jobs::table::JobState;
use rstest::rstest;
use support::{ROUND_MS, World, cores, job, step};

/// Time after which idle workers are polled before a start is sent to them, in milliseconds.
const IDLE_MS: u64 = 1_500;

/// Reason for which a worker takes no new tasks.
#[derive(Clone, Copy, Debug)]
enum Closing {
    Drain,
    Evacuation,
}

/// What happens to the first start.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// It never reaches the worker, nor do later orders for this time in milliseconds.
    Cut(u64),
    /// It and all orders of this time in milliseconds are carried out so much later.
    Late(u64),
    /// It is carried out, and its answer is lost.
    Answer,
}

/// Runs the simulation and checks that no task runs on two workers at once.
fn run_checked(world: &mut World, ms: u64) {
    for _ in 0..ms / ROUND_MS {
        world.round();
        assert_eq!(world.running_twice(), [], "at {} ms", world.now);
    }
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Submits a job of one task, up to the round in which its start is about to be sent. Returns its worker.
fn submit(world: &mut World, step: Step) -> String {
    world.submit(job(1, vec![step]));
    loop {
        world.round();
        let started = world.dispatcher.workers().find(|worker| worker.runs.values().any(|run| run.sent));
        if let Some(worker) = started {
            assert!(world.start_orders.is_empty());
            return worker.record.worker.clone();
        }
    }
}

fn set_partitioned(world: &mut World, worker: &str, partitioned: bool) {
    world.workers.get_mut(worker).expect("it is up").partitioned = partitioned;
}

/// Has the owner know that a worker takes no new tasks.
fn close(world: &mut World, worker: &str, closing: Closing) {
    let record = &mut world.workers.get_mut(worker).expect("it is up").record;
    match closing {
        Closing::Drain => {
            record.draining = true;
            world.publish_directory();
        }
        Closing::Evacuation => world.dispatcher.set_evacuated([record.zone.clone()].into()),
    }
}

/// Guards against a start that is sent again under what was known when the task was placed.
#[rstest]
fn a_start_without_an_answer_is_not_repeated_on_a_closed_worker(
    #[values(Closing::Drain, Closing::Evacuation)] closing: Closing,
    #[values(Loss::Cut(400), Loss::Cut(3_000), Loss::Late(300), Loss::Late(3_000), Loss::Answer)] loss: Loss,
    #[values(50, 300)] closed_after: u64,
) {
    let mut world = World::new(6);
    world.run_for(IDLE_MS);
    let worker = submit(&mut world, step(1, cores(1), 1_500));
    let length = match loss {
        Loss::Cut(ms) => {
            set_partitioned(&mut world, &worker, true);
            ms
        }
        Loss::Late(ms) => {
            world.delay = Some(ms);
            100
        }
        Loss::Answer => {
            world.workers.get_mut(&worker).expect("it is up").drops_answers = true;
            0
        }
    };
    run_checked(&mut world, closed_after.min(length));
    if closed_after > length {
        world.delay = None;
    }
    run_checked(&mut world, closed_after.saturating_sub(length));
    close(&mut world, &worker, closing);
    let closed = world.now;
    run_checked(&mut world, length.saturating_sub(closed_after));
    world.delay = None;
    set_partitioned(&mut world, &worker, false);
    run_checked(&mut world, 20_000);
    let sent = world.start_orders.iter().filter(|(at, start)| *at > closed && start.target.worker == worker);
    assert_eq!(sent.count(), 0, "closed at {closed}: {:?}", world.start_orders);
    assert_eq!(world.state(1), Some(JobState::Completed));
    let last = &world.starts.last().expect("it has run").3;
    assert!(matches!(loss, Loss::Answer) || *last != worker, "{:?}", world.starts);
}

/// Guards against the stop of a run that is at work, because an answer to its start is missing.
#[rstest]
fn a_listed_run_goes_on_when_its_worker_closes(
    #[values(Closing::Drain, Closing::Evacuation)] closing: Closing,
) {
    let mut world = World::new(6);
    world.run_for(IDLE_MS);
    let worker = submit(&mut world, Step { long_running: true, ..step(1, cores(1), 700) });
    run_checked(&mut world, 1_000);
    set_partitioned(&mut world, &worker, true);
    let start = world.start_orders[0].1.clone();
    world.dispatcher.started(world.now, &start, Outcome::Unknown);
    close(&mut world, &worker, closing);
    run_checked(&mut world, 1_000);
    set_partitioned(&mut world, &worker, false);
    run_checked(&mut world, 3_000);
    assert_eq!(world.stops, []);
    assert_eq!(world.start_orders.len(), 1, "{:?}", world.start_orders);
    assert_eq!(world.at_work(1), 1);
}
