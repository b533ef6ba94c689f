//! Jobs with amounts and times near the largest integer.

mod support;

use rattanfall_jobs::spec::{BadJob, MAX_AMOUNT, Resources, Schedule, Step, Submission};
use rattanfall_jobs::table::JobState;
use rstest::rstest;
use support::{UNIX, World, cores, job, step};

const MAX: u64 = u64::MAX;
/// Largest record that the store takes, in bytes.
const RECORD_BYTES: usize = 262_144;

fn need(cpu: u64, memory: u64, accelerators: u64) -> Step {
    step(2, Resources { cpu, memory, accelerators }, 300)
}

fn scheduled(start_ms: u64, interval_ms: u64) -> Submission {
    Submission {
        schedule: Some(Schedule { start_ms, interval_ms, times: 5 }),
        ..job(1, vec![step(1, cores(1), 300)])
    }
}

fn of_steps(steps: Vec<Step>) -> Submission {
    job(1, steps)
}

/// Guards against sums that overflow: they end the owner's work, or let a task that is far too large pass for one that
/// fits. An older release may have accepted such a job.
#[rstest]
#[case::processor(of_steps(vec![need(MAX, 10, 0)]))]
#[case::memory(of_steps(vec![need(1_000, MAX, 0)]))]
#[case::accelerators(of_steps(vec![need(1_000, 10, MAX)]))]
#[case::wraps_to_a_little(of_steps(vec![need(MAX - 3_999, MAX - 3_999, 0)]))]
#[case::duration(of_steps(vec![step(2, cores(1), MAX)]))]
#[case::chain(of_steps(vec![step(1, cores(1), MAX), Step { after: vec![0], ..step(1, cores(1), MAX) }]))]
#[case::work(of_steps(vec![step(900, cores(1), MAX / 2)]))]
#[case::gang(of_steps(vec![Step { gang: true, ..need(MAX / 2 + 1, 10, 0) }]))]
#[case::serving(of_steps(vec![Step { long_running: true, target_ms: Some(MAX), ..need(MAX / 3, 10, 0) }]))]
#[case::best_effort(of_steps(vec![Step { best_effort: true, ..need(MAX, MAX, 0) }]))]
#[case::arrival(Submission { arrived_ms: MAX, ..of_steps(vec![step(1, cores(1), 300)]) })]
#[case::start(scheduled(MAX, 1))]
#[case::interval(scheduled(UNIX, MAX))]
fn an_immense_amount_harms_no_other_job(#[case] submission: Submission) {
    let mut world = World::new(2);
    world.run_for(500);
    world.submit(job(2, vec![step(4, cores(1), 2_000)]));
    world.run_for(100);
    world.submit(submission);
    world.run_for(1_000);
    world.take_over();
    world.submit(job(3, vec![step(4, cores(1), 300)]));
    world.run_for(5_000);
    assert_eq!(world.state(2), Some(JobState::Completed));
    assert_eq!(world.state(3), Some(JobState::Completed));
    assert!(world.peak_cpu <= 16_000, "{} thousandths of a core in use", world.peak_cpu);
    assert_eq!(world.violations, Vec::<String>::new());
}

#[rstest]
#[case::processor(of_steps(vec![need(MAX, 10, 0)]))]
#[case::memory(of_steps(vec![need(1, MAX_AMOUNT + 1, 0)]))]
#[case::accelerators(of_steps(vec![step(1, cores(1), 300), need(1, 10, MAX)]))]
#[case::duration(of_steps(vec![step(1, cores(1), MAX)]))]
#[case::target(of_steps(vec![Step { target_ms: Some(MAX), ..step(1, cores(1), 300) }]))]
#[case::start(scheduled(MAX, 1))]
#[case::interval(scheduled(UNIX, MAX))]
fn a_job_with_an_immense_amount_is_refused(#[case] submission: Submission) {
    assert_eq!(submission.check(RECORD_BYTES), Err(BadJob::Amount));
}

#[test]
fn the_largest_amounts_are_accepted() {
    let largest = Step {
        target_ms: Some(MAX_AMOUNT),
        ..step(2, Resources { cpu: MAX_AMOUNT, memory: MAX_AMOUNT, accelerators: MAX_AMOUNT }, MAX_AMOUNT)
    };
    assert_eq!(of_steps(vec![largest]).check(RECORD_BYTES), Ok(()));
    assert_eq!(scheduled(UNIX, MAX_AMOUNT).check(RECORD_BYTES), Ok(()));
}
