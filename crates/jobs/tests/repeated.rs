//! Repeated jobs whose occurrences overlap. Their progress is stored in parts, each within the largest record.

mod support;

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rattanfall_jobs::dispatch::options::Options;
use rattanfall_jobs::ids::{JobId, PartId};
use rattanfall_jobs::record::{self, Change, read_change};
use rattanfall_jobs::spec::{Resources, Schedule, Step, Submission};
use rattanfall_jobs::table::{JobState, PART_TASKS, Placement, Progress, Task, TaskState};
use rstest::rstest;
use support::{UNIX, World, catalog, cores, job, step};

/// Largest record that the store takes, in bytes.
const RECORD_BYTES: usize = 262_144;

/// Job of these steps that is due several times, first at once.
fn repeated(world: &World, id: u64, steps: Vec<Step>, interval_ms: u64, times: u32) -> Submission {
    let start_ms = UNIX + world.now;
    Submission { schedule: Some(Schedule { start_ms, interval_ms, times }), ..job(id, steps) }
}

fn order(id: u64) -> Submission {
    Submission { queue: "orders".into(), ..job(id, vec![step(4, cores(1), 300)]) }
}

/// Guards against a progress that exceeds the largest record, after which nothing of any job is stored.
#[test]
fn overlapping_occurrences_do_not_stop_the_work_of_others() {
    let mut world = World::with(catalog(), &[("red", 3), ("blue", 3)]);
    world.run_for(500);
    let sweep = repeated(&world, 1, (0..3).map(|_| step(900, cores(1), 10_000)).collect(), 2_000, 60);
    world.submit(sweep);
    world.run_for(56_000);
    for id in 100..105 {
        world.submit(order(id));
        world.run_for(500);
    }
    world.run_for(1_500);
    assert_eq!(world.violations, Vec::<String>::new());
    (100..105).for_each(|id| assert_eq!(world.state(id), Some(JobState::Completed), "job {id}"));
    world.take_over();
    world.run_for(5_000);
    world.submit(order(200));
    world.run_for(3_000);
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.running_twice(), []);
    assert_eq!(world.state(200), Some(JobState::Completed));
    assert!(
        world.running().len() >= 48,
        "{} run, the pool of the repeated job is not used",
        world.running().len()
    );
}

/// Guards against occurrences that wait although their tasks could run: those of the steps before have begun, but wait for
/// a worker that does not exist.
#[test]
fn a_step_that_can_never_run_does_not_hold_up_the_others() {
    let mut world = World::new(3);
    world.run_for(500);
    let never = Step { label: Some("none".into()), ..step(500, cores(1), 300) };
    let times = 40;
    world.submit(repeated(&world, 1, vec![never, step(2, cores(1), 300)], 100, times));
    world.run_for(10_000);
    assert_eq!(world.starts.len(), 2 * times as usize);
}

/// Tasks of all jobs in occurrences that have begun.
fn begun_tasks(world: &World) -> usize {
    let jobs = world.dispatcher.table.jobs();
    jobs.flat_map(|job| &job.progress.occurrences).map(|occurrence| occurrence.tasks.len()).sum()
}

/// Guards against repeated jobs that can't be done and use up the memory of all holders together, and against such jobs that keep others
/// from beginning.
#[rstest]
#[case::one_owner(false)]
#[case::owners_in_turn(true)]
fn jobs_that_cannot_be_done_share_the_memory(#[case] takeovers: bool) {
    let mut world = World::new(3);
    let budget = 10_000;
    world.set_options(Options { begun_tasks: budget, ..Options::default() });
    world.run_for(500);
    let tasks = 101;
    for id in 1..=40 {
        let never = Step { label: Some("none".into()), after: vec![0], ..step(100, cores(1), 300) };
        world.submit(repeated(&world, id, vec![step(1, cores(1), 20), never], 100, 200));
        world.run_for(500);
        if takeovers && id % 10 == 0 {
            world.take_over();
        }
    }
    // Each job has one occurrence, whatever the others have.
    let most = usize::try_from(budget).expect("it is small") + 40 * tasks;
    world.submit(repeated(&world, 100, vec![step(4, cores(1), 300)], 400, 20));
    world.submit(job(101, vec![step(4, cores(1), 300)]));
    world.run_for(20_000);
    assert!(begun_tasks(&world) <= most, "{} tasks", begun_tasks(&world));
    for id in 1..=40 {
        assert!(world.dispatcher.table.get(JobId(id)).is_some_and(|job| job.progress.begun > 0), "job {id}");
    }
    assert_eq!(world.state(100), Some(JobState::Completed));
    assert_eq!(world.state(101), Some(JobState::Completed));
    let before = begun_tasks(&world);
    (1..=39).for_each(|id| world.cancel(id));
    world.run_for(20_000);
    assert!(begun_tasks(&world) < before);
    let left = world.dispatcher.table.get(JobId(40)).map(|job| job.progress.occurrences.len());
    assert!(left.is_some_and(|count| count > 40), "{left:?} occurrences of the last job have begun");
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against occurrences that begin one after the other although the pool has room for several.
#[test]
fn occurrences_run_side_by_side_while_there_is_room() {
    let mut world = World::new(3);
    world.run_for(500);
    world.submit(repeated(&world, 1, vec![step(4, cores(1), 5_000)], 400, 10));
    world.run_for(5_000);
    assert_eq!(world.running().len(), 40);
    world.run_for(5_500);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.starts.len(), 40);
}

/// Guards against tasks that are lost or run again when a new owner reads a progress that is stored in parts.
#[test]
fn a_new_owner_continues_a_progress_in_parts() {
    let mut world = World::new(4);
    world.set_options(Options { whole_bytes: 0, ..Options::default() });
    world.run_for(500);
    let second = Step { after: vec![0], ..step(30, cores(1), 300) };
    world.submit(repeated(&world, 1, vec![step(300, cores(1), 200), second], 1_000, 4));
    for stored in [0, 1, 2, 3, usize::MAX] {
        world.run_for(800);
        world.take_over_in_write(|records| stored.min(records));
    }
    world.run_for(60_000);
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.finished.len(), 4 * 330);
    world.run_for(200_000);
    assert_eq!(world.stored.keys().collect::<Vec<_>>(), Vec::<&String>::new(), "records of the job are left");
}

/// The same at random: owners end while parts of a write are stored, beside workers that restart.
#[test]
fn no_takeover_loses_or_doubles_tasks_of_parts() {
    for seed in 0..30 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = World::new(4);
        world.set_options(Options { whole_bytes: rng.random_range(0..4_000), ..Options::default() });
        world.run_for(500);
        let need = Resources { cpu: 500, memory: 10, accelerators: 0 };
        let mut tasks = 0;
        for id in 1..4 {
            let (first, second) = (rng.random_range(1..400), rng.random_range(1..200));
            let after = Step { after: vec![0], ..step(second, need, 200) };
            let times = rng.random_range(1..6);
            tasks += (first + second) * times;
            world.submit(repeated(&world, id, vec![step(first, need, 300), after], 400, times));
        }
        for _ in 0..12 {
            world.run_for(rng.random_range(10..600));
            if rng.random_ratio(1, 3) {
                let machine = format!("red-{:02}", rng.random_range(0..4));
                let record = world.kill_worker(&world.worker_on(&machine));
                world.restart_worker(record);
            }
            world.take_over_in_write(|records| rng.random_range(0..=records));
        }
        for _ in 0..12_000 {
            world.round();
            assert_eq!(world.running_twice(), [], "seed {seed} at {}", world.now);
        }
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        (1..4).for_each(|id| assert_eq!(world.state(id), Some(JobState::Completed), "seed {seed}, job {id}"));
        assert_eq!(world.finished.len(), tasks as usize, "seed {seed}");
    }
}

/// Guards against the records of parts that are left when a job ends early.
#[test]
fn the_parts_of_a_cancelled_job_are_deleted() {
    let mut world = World::new(1);
    world.set_options(Options { whole_bytes: 0, ..Options::default() });
    world.run_for(500);
    world.submit(repeated(&world, 1, vec![step(300, cores(1), 5_000)], 1_000, 4));
    world.run_for(3_000);
    assert!(world.stored.len() > 4, "{:?}", world.stored.keys());
    world.cancel(1);
    world.run_for(1_000);
    world.take_over();
    world.run_for(200_000);
    assert_eq!(world.stored.keys().collect::<Vec<_>>(), Vec::<&String>::new());
}

/// Guards against checkpoints that make a record too large.
#[rstest]
#[case::stored(1_700, true)]
#[case::too_large(20_000, false)]
fn large_checkpoints_leave_records_within_their_size(#[case] bytes: usize, #[case] kept: bool) {
    let mut world = World::new(30);
    world.run_for(500);
    world.checkpoint = "c".repeat(bytes);
    let checkpoints = Step { checkpoints: true, ..step(400, cores(1), 60_000) };
    world.submit(job(1, vec![checkpoints]));
    world.run_for(3_000);
    let workers: Vec<String> = world.workers.keys().cloned().collect();
    for worker in workers {
        // The tasks are given up with the checkpoint that was listed last.
        let record = world.kill_worker(&worker);
        world.restart_worker(record);
    }
    world.run_for(2_000);
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.starts.len(), 800);
    let job = world.dispatcher.table.get(JobId(1)).expect("it is known");
    let tasks = &job.progress.occurrences[0].tasks;
    assert!(tasks.iter().all(|task| task.checkpoint.is_empty() != kept), "{kept}");
}

/// Parts of a progress as a new owner reads them.
fn stored_parts(submission: &Submission, progress: &Progress) -> BTreeMap<PartId, Vec<Task>> {
    let entries = progress.parts(submission).map(|(part, tasks)| record::part(part, tasks));
    let parts = entries.map(|entry| match read_change(&entry) {
        Ok(Change::Part(part, tasks)) => (part, tasks),
        other => panic!("{other:?}"),
    });
    parts.collect()
}

/// Progress of two occurrences of 300 tasks, in which some tasks were placed.
fn two_occurrences() -> (Submission, Progress) {
    let schedule = Some(Schedule { start_ms: UNIX, interval_ms: 1_000, times: 9 });
    let submission = Submission { schedule, ..job(1, vec![step(300, cores(1), 300)]) };
    let mut progress = Progress::new(&submission);
    for number in 3..5 {
        progress.occurrences.push(rattanfall_jobs::table::Occurrence::new(number, &submission));
    }
    progress.begun = 5;
    for task in progress.occurrences.iter_mut().flat_map(|occurrence| occurrence.tasks.iter_mut().step_by(7))
    {
        task.state = TaskState::Placed(Placement { worker: "w".into(), started_ms: 4 });
        task.run = 2;
    }
    (submission, progress)
}

#[test]
fn a_progress_is_complete_with_its_parts() {
    let (submission, progress) = two_occurrences();
    let parts = stored_parts(&submission, &progress);
    assert_eq!(parts.len(), 2 * 300_usize.div_ceil(PART_TASKS));
    let mut read = progress.head();
    read.add_parts(&submission, parts);
    assert_eq!(read, progress);
}

/// Deleting the parts of an occurrence was interrupted: the missing ones are done.
#[test]
fn missing_parts_of_an_occurrence_that_has_begun_are_done() {
    let (submission, progress) = two_occurrences();
    let mut parts = stored_parts(&submission, &progress);
    parts.pop_first();
    let mut read = progress.head();
    read.add_parts(&submission, parts);
    let states = |tasks: &[Task]| tasks.iter().all(|task| task.state == TaskState::Done);
    assert!(states(&read.occurrences[0].tasks[..PART_TASKS]));
    assert_eq!(read.occurrences[0].tasks[PART_TASKS..], progress.occurrences[0].tasks[PART_TASKS..]);
    assert_eq!(read.occurrences[1], progress.occurrences[1]);
}

/// Storing the parts of a new occurrence was interrupted: the missing ones wait.
#[test]
fn missing_parts_of_an_occurrence_that_has_not_begun_wait() {
    let (submission, progress) = two_occurrences();
    let mut parts = stored_parts(&submission, &progress);
    parts.pop_last();
    let mut read = Progress { begun: 4, ..progress.head() };
    read.add_parts(&submission, parts);
    assert_eq!(read.begun, 5);
    let last = &read.occurrences[1].tasks;
    assert!(last[2 * PART_TASKS..].iter().all(|task| task.state == TaskState::Waiting && task.run == 0));
    assert_eq!(last[..2 * PART_TASKS], progress.occurrences[1].tasks[..2 * PART_TASKS]);
}

/// A progress that was stored whole counts until all parts that replace it are stored.
#[test]
fn parts_beside_a_whole_progress_do_not_count() {
    let (submission, progress) = two_occurrences();
    let mut later = progress.clone();
    later.occurrences.iter_mut().flat_map(|o| &mut o.tasks).for_each(|task| task.run += 1);
    let mut read = progress.clone();
    read.add_parts(&submission, stored_parts(&submission, &later));
    assert_eq!(read, progress);
}

/// The largest part is within the largest record, with ids and checkpoints of the greatest length.
#[test]
fn the_largest_part_fits_into_a_record() {
    let options = Options::default().with_record_bytes(RECORD_BYTES);
    let steps = vec![step(1_000, cores(1), 300); 64];
    let submission = job(u64::MAX, steps);
    let mut progress = Progress::new(&submission);
    for task in &mut progress.occurrences[0].tasks {
        let place = Placement { worker: "w".repeat(255), started_ms: u64::MAX };
        task.state = TaskState::Placed(place);
        task.run = u32::MAX;
        (0..64).for_each(|run| assert!(task.record_failure(u32::MAX - 64 + run)));
        task.checkpoint = "c".repeat(options.checkpoint_bytes);
    }
    let largest = progress.parts(&submission).map(|(part, tasks)| record::part(part, tasks).size()).max();
    assert!(largest.is_some_and(|bytes| bytes < RECORD_BYTES), "{largest:?}");
    assert!(options.checkpoint_bytes > 1_000);
}
