//! Cancellations of jobs that are not stored yet: their submission is on the way to the store, or never arrives.

mod platform;
mod support;

use std::rc::Rc;

use platform::{Cluster, Fault, PeerFault, call, read, submission, submit};
use rattanfall_jobs::dispatch::options::Options;
use rattanfall_jobs::ids::JobId;
use rattanfall_jobs::node::calls::{Answer, Call, Verb};
use rattanfall_jobs::ports::Topic;
use rattanfall_jobs::record::{self, Change, Intake, read_intake};
use rattanfall_jobs::summary::{Summaries, SummaryChange};
use rattanfall_jobs::table::{JobState, Table};
use rstest::rstest;
use support::{World, cores, job, step};
use tokio::task::spawn_local;

/// Key of the cancellation of job 1 in the intake.
const CANCELLATION_KEY: &str = "c0000000000000001";

fn cancel(id: u64) -> Call {
    call(id, Verb::Cancel)
}

fn retention_ms() -> u64 {
    Options::default().retention_ms
}

/// Asserts that each node shows job 1 as cancelled and takes it for the same job if it is submitted again, and that none of
/// its tasks has started.
async fn assert_canceled(cluster: &Cluster, nodes: usize) {
    for node in 0..nodes {
        assert_eq!(cluster.call(node, read(1)).await, Answer::State(JobState::Canceled), "at node {node}");
        assert_eq!(cluster.call(node, submit(1, 3)).await, Answer::Accepted(JobId(1)), "at node {node}");
    }
    cluster.run_for(2_000).await;
    assert_eq!(cluster.starts(), 0);
}

/// Guards against a job that runs although its cancellation was acknowledged: an instance repeats the write of a caller that
/// has left and cancelled the job.
#[rstest]
#[case::at_another_instance(1)]
#[case::at_the_same_instance(0)]
#[tokio::test(start_paused = true)]
async fn a_job_that_is_cancelled_before_its_write_is_repeated_never_runs(#[case] distance: usize) {
    Cluster::run(2, move |cluster| async move {
        let entry = 1 - cluster.owner();
        cluster.link(entry).set_cut(true);
        cluster.set_peer_fault(PeerFault::Cut);
        let caller = Rc::clone(&cluster);
        let caller = spawn_local(async move { caller.call(entry, submit(1, 3)).await });
        cluster.run_for(300).await;
        caller.abort();
        cluster.link(entry).set_cut(false);
        cluster.set_peer_fault(PeerFault::None);
        assert_eq!(cluster.call((entry + distance) % 2, cancel(1)).await, Answer::NoJob);
        for node in 0..2 {
            assert_eq!(cluster.call(node, read(1)).await, Answer::NoJob);
        }
        cluster.run_for(3_000).await;
        assert_canceled(&cluster, 2).await;
    })
    .await;
}

/// As above, for a write that the store carries out late.
#[rstest]
#[case::same_owner(false)]
#[case::new_owner(true)]
#[tokio::test(start_paused = true)]
async fn a_job_that_is_cancelled_before_its_write_is_carried_out_never_runs(#[case] killed: bool) {
    Cluster::run(3, move |cluster| async move {
        let owner = cluster.owner();
        let (entry, other) = ((owner + 1) % 3, (owner + 2) % 3);
        cluster.set_fault(Fault::DelayIntake);
        assert_eq!(cluster.call(entry, Call { wait_ms: 800, ..submit(1, 3) }).await, Answer::Unknown);
        cluster.set_fault(Fault::None);
        assert_eq!(cluster.call(other, cancel(1)).await, Answer::NoJob);
        if killed {
            cluster.kill(owner);
            cluster.restart(owner);
        }
        cluster.run_for(6_000).await;
        assert_canceled(&cluster, 3).await;
    })
    .await;
}

/// A job that nobody has submitted must not be shown, nor counted.
#[tokio::test(start_paused = true)]
async fn a_cancelled_job_that_nobody_has_submitted_does_not_exist() {
    Cluster::run(2, |cluster| async move {
        for node in [0, 1, 0] {
            assert_eq!(cluster.call(node, cancel(1)).await, Answer::NoJob);
            cluster.run_for(500).await;
        }
        for node in 0..2 {
            assert_eq!(cluster.call(node, read(1)).await, Answer::NoJob);
            let count = Call { path: "/quotes/".into(), ..read(0) };
            assert_eq!(cluster.call(node, count).await, Answer::Pending(0));
        }
    })
    .await;
}

/// "No such job" promises that the job will not run, so it must not be sent unless the cancellation is stored.
#[rstest]
#[case::refused(Fault::Refuse)]
#[case::unanswered(Fault::LoseAnswers)]
#[tokio::test(start_paused = true)]
async fn a_cancellation_that_may_not_be_stored_is_not_acknowledged(#[case] fault: Fault) {
    Cluster::run(1, move |cluster| async move {
        cluster.set_fault(fault);
        let answer = cluster.call(0, cancel(1)).await;
        let expected = match fault {
            Fault::Refuse => matches!(answer, Answer::Refused(..)),
            _ => answer == Answer::Unknown,
        };
        assert!(expected, "{answer:?}");
        cluster.set_fault(Fault::None);
        cluster.run_for(3_000).await;
        if fault == Fault::Refuse {
            assert_eq!(cluster.call(0, submit(1, 1)).await, Answer::Accepted(JobId(1)));
            cluster.run_for(3_000).await;
            assert_eq!(cluster.call(0, read(1)).await, Answer::State(JobState::Completed));
        }
    })
    .await;
}

/// The state is read from the intake while the owner publishes nothing.
#[tokio::test(start_paused = true)]
async fn a_node_that_has_read_the_cancellation_shows_a_later_submission_as_cancelled() {
    Cluster::run(3, |cluster| async move {
        let owner = cluster.owner();
        let (acceptor, reader) = ((owner + 1) % 3, (owner + 2) % 3);
        cluster.block_reads(owner, &[Topic::Intake]);
        cluster.run_for(2_000).await;
        assert_eq!(cluster.call(reader, cancel(1)).await, Answer::NoJob);
        assert_eq!(cluster.call(acceptor, submit(1, 2)).await, Answer::Accepted(JobId(1)));
        assert_eq!(cluster.call(reader, read(1)).await, Answer::State(JobState::Canceled));
    })
    .await;
}

/// Guards against cancellations without a job that stay in the intake for good.
#[rstest]
#[case::same_owner(false)]
#[case::new_owner(true)]
#[tokio::test(start_paused = true)]
async fn a_cancellation_without_a_job_is_deleted_after_the_retention(#[case] killed: bool) {
    Cluster::run(2, move |cluster| async move {
        assert_eq!(cluster.call(0, cancel(1)).await, Answer::NoJob);
        cluster.run_for(retention_ms() - 5_000).await;
        assert_eq!(cluster.intake_keys(), [CANCELLATION_KEY]);
        if killed {
            cluster.kill(cluster.owner());
            cluster.run_for(retention_ms()).await;
        }
        cluster.run_for(10_000).await;
        assert_eq!(cluster.intake_keys(), [""; 0]);
        // Nothing of it is left at an instance that takes over from the read records either.
        cluster.kill(cluster.owner());
        if killed {
            (0..2).for_each(|node| drop(cluster.restart(node)));
        }
        cluster.run_for(5_000).await;
        assert_eq!(cluster.call(cluster.owner(), submit(1, 1)).await, Answer::Accepted(JobId(1)));
        cluster.run_for(3_000).await;
        assert_eq!(cluster.starts(), 1);
    })
    .await;
}

#[rstest]
#[case::cancellation_first([0, 1])]
#[case::submission_first([1, 0])]
fn a_table_that_is_loaded_in_any_order_has_a_cancelled_job(#[case] order: [usize; 2]) {
    let entries = [record::canceled(JobId(1)), record::submitted(&submission(1, 3, 1_000, 0))];
    let mut table = Table::default();
    for index in order {
        table.apply_intake(read_intake(&entries[index]).expect("own records decode"));
    }
    assert_eq!(table.get(JobId(1)).map(|job| job.state()), Some(JobState::Canceled));
}

/// Guards against a holder that keeps cancellations which the owner has deleted.
#[test]
fn a_table_forgets_a_cancellation_that_was_deleted() {
    let mut table = Table::default();
    for entry in [record::canceled(JobId(1)), record::dropped_cancellation(JobId(1))] {
        table.apply_intake(read_intake(&entry).expect("own records decode"));
    }
    table.apply_intake(Intake::Submitted(submission(1, 3, 1_000, 0)));
    assert_eq!(table.get(JobId(1)).map(|job| job.state()), Some(JobState::Queued));
}

/// Guards against a holder that loses a cancellation which was stored after the records of the job had been deleted.
#[test]
fn a_table_keeps_a_cancellation_that_is_newer_than_the_deletion_of_its_job() {
    let mut table = Table::default();
    let records = [
        record::submitted(&submission(1, 3, 1_000, 0)),
        record::dropped_submission(JobId(1)),
        record::dropped_cancellation(JobId(1)),
        record::canceled(JobId(1)),
    ];
    for entry in &records {
        table.apply_intake(read_intake(entry).expect("own records decode"));
    }
    table.apply_progress(Change::Dropped(JobId(1)));
    assert_eq!(table.early_cancellations().collect::<Vec<_>>(), [JobId(1)]);
}

/// Guards against an accepted job that is unknown, because its earlier cancellation was read after it and the published
/// states cover only the cancellation.
#[test]
fn a_job_whose_earlier_cancellation_is_read_after_it_stays_known() {
    let mut summaries = Summaries::default();
    summaries.apply_intake(6, &Intake::Submitted(submission(1, 3, 1_000, 0)));
    summaries.apply_intake(5, &Intake::Canceled(JobId(1)));
    summaries.apply(SummaryChange::IntakeOffset(6));
    assert_eq!(summaries.get(JobId(1)), Some(JobState::Canceled));
    summaries.apply(SummaryChange::IntakeOffset(7));
    assert_eq!(summaries.get(JobId(1)), None);
}

#[rstest]
#[case::same_owner(false)]
#[case::new_owner(true)]
fn a_job_that_is_read_after_its_cancellation_starts_nothing(#[case] taken_over: bool) {
    let mut world = World::new(2);
    world.cancel(1);
    world.run_for(1_000);
    if taken_over {
        world.take_over();
    }
    world.submit(job(1, vec![step(3, cores(1), 500)]));
    assert_eq!(world.state(1), Some(JobState::Canceled));
    world.run_for(3_000);
    assert_eq!((world.starts.len(), world.state(1)), (0, Some(JobState::Canceled)));
    world.run_for(retention_ms() + 2_000);
    assert_eq!((world.state(1), world.submissions.len(), world.canceled.len()), (None, 0, 0));
    assert!(world.stored.is_empty(), "{:?}", world.stored);
}

/// Guards against runs that go on, and records that stay, if the owner reads the cancellation of a placed job before its
/// submission.
#[test]
fn the_runs_of_a_job_that_is_read_after_its_cancellation_are_stopped() {
    let mut world = World::new(2);
    // All progress is stored in parts.
    world.set_options(Options { whole_bytes: 0, ..Options::default() });
    world.submit(job(1, vec![step(2, cores(1), 60_000)]));
    world.run_for(1_000);
    let submissions = std::mem::take(&mut world.submissions);
    world.take_over();
    world.intake_paused = true;
    world.cancel(1);
    world.run_for(300);
    for submission in submissions {
        world.submit(submission);
    }
    world.intake_paused = false;
    world.run_for(2_000);
    assert_eq!(world.running(), []);
    assert_eq!((world.starts.len(), world.state(1)), (2, Some(JobState::Canceled)));
    world.run_for(retention_ms() + 2_000);
    assert!(world.stored.is_empty(), "{:?}", world.stored);
}

/// The deletion is repeated until the store takes it, and counts from the last cancellation.
#[test]
fn a_cancellation_without_a_job_is_deleted_once_the_store_takes_it() {
    let mut world = World::new(1);
    world.cancel(1);
    world.run_for(retention_ms() / 2);
    world.cancel(1);
    world.run_for(retention_ms() - 2_000);
    assert_eq!(world.canceled, [JobId(1), JobId(1)]);
    world.keeps_intake = true;
    world.run_for(10_000);
    assert_eq!(world.canceled, [JobId(1), JobId(1)]);
    world.keeps_intake = false;
    world.run_for(2_000);
    assert_eq!(world.canceled, []);
    world.submit(job(1, vec![step(1, cores(1), 300)]));
    world.run_for(2_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
}

/// Guards against a submission that arrives seconds after its cancellation while ended jobs are kept for less.
#[test]
fn a_cancellation_without_a_job_outlasts_a_short_retention_of_jobs() {
    let mut world = World::new(1);
    world.set_options(Options { retention_ms: 5_000, ..Options::default() });
    world.cancel(1);
    world.run_for(20_000);
    world.submit(job(1, vec![step(1, cores(1), 300)]));
    world.run_for(2_000);
    assert_eq!((world.starts.len(), world.state(1)), (0, Some(JobState::Canceled)));
    world.run_for(40_000);
    assert_eq!(world.canceled, []);
}
