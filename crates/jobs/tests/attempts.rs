//! Failed runs of a task: each counts once, whatever its number, and no task runs after its last attempt.

mod support;

use rattanfall_jobs::ids::{JobId, PartId};
use rattanfall_jobs::record::{self, Change, Entry, read_change};
use rattanfall_jobs::table::{JobState, PART_TASKS, Phase, Progress, Task};
use rstest::rstest;
use serde::Serialize;
use support::{World, cores, job, step, task};

/// Largest record that the store takes, in bytes.
const RECORD_BYTES: usize = 262_144;

/// Runs until a start with at least this number is ordered.
fn run_to_start(world: &mut World, number: u32) {
    let end = world.now + 200_000;
    while world.start_orders.last().is_none_or(|(_, start)| start.run < number) {
        world.round();
        assert!(world.now < end, "no start {number} within 200 s");
    }
}

/// Guards against a start after the last attempt of a task, since failed runs whose numbers differ by 64 counted once. Refused starts
/// take numbers and are no attempts.
#[rstest]
#[case::same_owner(false)]
#[case::owners_in_turn(true)]
fn runs_whose_numbers_differ_by_64_are_two_attempts(#[case] takeovers: bool) {
    let mut world = World::new(1);
    let worker = world.worker_on("red-00");
    world.failing_jobs.insert(JobId(1));
    world.run_for(500);
    world.submit(job(1, vec![step(1, cores(1), 200)]));
    for attempt in 0..3 {
        run_to_start(&mut world, 1 + attempt * 64);
        world.run_for(150);
        world.workers.get_mut(&worker).expect("it is up").refuses = true;
        world.run_for(1_000);
        if takeovers {
            world.take_over();
        }
        if attempt < 2 {
            assert_eq!(world.state(1), Some(JobState::Running));
            run_to_start(&mut world, (attempt + 1) * 64);
            world.workers.get_mut(&worker).expect("it is up").refuses = false;
        }
    }
    world.workers.get_mut(&worker).expect("it is up").refuses = false;
    world.run_for(5_000);
    assert_eq!(world.violations, Vec::<String>::new());
    let numbers: Vec<u32> = world.starts.iter().map(|(_, _, run, _)| *run).collect();
    assert_eq!(numbers.len(), 3, "{numbers:?}");
    assert_eq!(world.state(1), Some(JobState::Failed));
}

fn new_task() -> Task {
    Progress::new(&job(1, vec![step(1, cores(1), 200)])).occurrences[0].tasks[0].clone()
}

/// Guards against ends that count twice when they are listed again, or not at all when they are listed in another order.
#[test]
fn each_failed_run_counts_once_in_any_order() {
    let mut task = new_task();
    let numbers = [70, 6, 134, 7, u32::MAX, 1];
    assert!(numbers.iter().all(|number| task.record_failure(*number)));
    assert!(!numbers.iter().any(|number| task.record_failure(*number)));
    assert_eq!(task.failures(), 6);
}

/// Guards against records that grow with the number of failed runs, and against a count that is lost with the numbers.
#[test]
fn many_failed_runs_of_a_task_are_counted_in_a_bounded_record() {
    let mut task = new_task();
    (1..=2_000).for_each(|run| assert!(task.record_failure(run * 3)));
    (1..=2_000).for_each(|run| assert!(!task.record_failure(run * 3)));
    assert_eq!(task.failures(), 2_000);
    let tasks = vec![task; PART_TASKS];
    let entry = record::part(PartId { job: JobId(1), occurrence: 0, first: 0 }, &tasks);
    assert!(entry.size() < RECORD_BYTES / 4, "{} bytes", entry.size());
    let Ok(Change::Part(_, read)) = read_change(&entry) else { panic!("a part is expected") };
    assert_eq!(read, tasks);
}

/// Guards against failed runs that are forgotten or counted again when another instance reads the record of a job.
#[test]
fn failed_runs_are_stored_with_the_progress() {
    let submission = job(1, vec![step(5, cores(1), 200)]);
    let mut progress = Progress::new(&submission);
    for (index, numbers) in [(1, [3, 67]), (4, [64, 128])] {
        let row = progress.task_mut(&submission, task(1, 0, index)).expect("the task exists");
        numbers.iter().for_each(|number| assert!(row.record_failure(*number)));
    }
    let read = read_change(&record::progress(JobId(1), &progress)).expect("it can be decoded");
    assert_eq!(read, Change::Job(JobId(1), progress));
}

/// Task as stored by releases that had a bit for each failed run.
#[derive(Clone, Serialize)]
struct FormerTask {
    state: u8,
    run: u32,
    failed: u64,
    checkpoint: String,
}

/// Guards against a record of an earlier release that can't be read, or whose failed runs are lost.
#[test]
fn a_record_with_a_bit_for_each_failed_run_is_read() {
    let former = |run, numbers: &[u32]| FormerTask {
        state: 0,
        run,
        failed: numbers.iter().map(|number| 1 << (number % 64)).sum(),
        checkpoint: "c".into(),
    };
    let tasks = vec![former(5, &[1, 2, 5]), former(3, &[]), former(80, &[70, 80])];
    let value = postcard::to_extend(&(Phase::Active, true, 1_u32, vec![(0_u32, tasks)]), vec![1]);
    let entry = Entry { key: JobId(1).to_string(), value: value.expect("it can be encoded") };
    let Ok(Change::Job(_, progress)) = read_change(&entry) else { panic!("a job is expected") };
    let mut tasks = progress.occurrences[0].tasks.clone();
    assert_eq!(tasks.iter().map(Task::failures).collect::<Vec<_>>(), [3, 0, 2]);
    assert!(!tasks[0].record_failure(2), "an end that is listed again counts twice");
    assert!(!tasks[2].record_failure(70));
    assert!(tasks[2].record_failure(79));
}
