//! Owners that lose access to a topic, and holders that fail together.

mod platform;

use std::time::Duration;

use platform::{Cluster, call, read, submit};
use rattanfall_jobs::ids::JobId;
use rattanfall_jobs::node::calls::{Answer, Call, JobRequest, Verb};
use rattanfall_jobs::ports::Topic;
use rattanfall_jobs::spec::{Resources, Step};
use rattanfall_jobs::table::JobState;
use rstest::rstest;
use tokio::time::Instant;

/// Number of instances that hold the job table.
const HOLDERS: usize = 6;

/// Submission of a job whose steps each depend on the one before.
fn chain(id: u64, steps: u16) -> Call {
    let need = Resources { cpu: 1_000, memory: 100, accelerators: 0 };
    let step = |n: u16| Step {
        count: 1,
        need,
        estimate_ms: 500,
        after: n.checked_sub(1).into_iter().collect(),
        ..Step::default()
    };
    let steps = (0..steps).map(step).collect();
    call(id, Verb::Submit(JobRequest { payload: String::new(), steps, schedule: None }))
}

/// An owner that could no longer read the intake kept the ownership, so accepted jobs never started.
#[tokio::test(start_paused = true)]
async fn an_owner_that_cannot_read_the_intake_steps_down() {
    Cluster::run(3, |cluster| async move {
        let owner = cluster.owner();
        let other = (owner + 1) % 3;
        cluster.block_reads(owner, &[Topic::Intake]);
        cluster.run_for(2_000).await;
        assert_eq!(cluster.call(other, submit(1, 2)).await, Answer::Accepted(JobId(1)));
        cluster.run_for(20_000).await;
        assert_eq!(cluster.call(other, read(1)).await, Answer::State(JobState::Completed));
    })
    .await;
}

/// An owner that could no longer read the intake continued to start tasks of a cancelled job.
#[tokio::test(start_paused = true)]
async fn nothing_of_a_cancelled_job_starts_at_an_owner_that_cannot_read_the_intake() {
    Cluster::run(3, |cluster| async move {
        let owner = cluster.owner();
        let other = (owner + 1) % 3;
        assert_eq!(cluster.call(other, chain(1, 24)).await, Answer::Accepted(JobId(1)));
        cluster.run_for(700).await;
        cluster.block_reads(owner, &[Topic::Intake]);
        cluster.run_for(1_000).await;
        assert_eq!(cluster.call(other, call(1, Verb::Cancel)).await, Answer::Canceled);
        cluster.run_for(4_000).await;
        let starts = cluster.starts();
        cluster.run_for(4_000).await;
        assert_eq!(cluster.starts(), starts);
    })
    .await;
}

/// If all holders fail together, the remaining instances must elect an owner without operator action.
#[rstest]
#[tokio::test(start_paused = true)]
async fn the_loss_of_all_holders_is_followed_by_a_claim_within_4_s(#[values(8, 12)] nodes: usize) {
    Cluster::run(nodes, move |cluster| async move {
        cluster.run_for(3_000).await;
        let mut ranked: Vec<usize> = (0..nodes).collect();
        ranked.sort_by_key(|node| format!("node{node}"));
        let holders = ranked.split_off(nodes - HOLDERS);
        let before = cluster.claims().len();
        holders.iter().for_each(|node| cluster.kill(*node));
        let begun = Instant::now();
        while cluster.claims().len() == before && begun.elapsed() < Duration::from_secs(30) {
            cluster.run_for(50).await;
        }
        assert!(begun.elapsed() < Duration::from_secs(4), "claimed after {:?}", begun.elapsed());
        assert_eq!(cluster.call(ranked[0], submit(1, 2)).await, Answer::Accepted(JobId(1)));
        cluster.run_for(3_000).await;
        assert_eq!(cluster.call(ranked[0], read(1)).await, Answer::State(JobState::Completed));
    })
    .await;
}

/// After a restart of all nodes, no owner was elected until the group dropped the former processes, because new ones are
/// not listed before.
#[tokio::test(start_paused = true)]
async fn a_restart_of_all_is_followed_by_a_claim_within_1_s() {
    const NODES: usize = 8;
    Cluster::run(NODES, |cluster| async move {
        cluster.run_for(2_000).await;
        cluster.limit_members(NODES);
        let before = cluster.claims().len();
        cluster.restart_all();
        let begun = Instant::now();
        while cluster.claims().len() == before && begun.elapsed() < Duration::from_secs(30) {
            cluster.run_for(10).await;
        }
        assert!(begun.elapsed() < Duration::from_secs(1), "claimed after {:?}", begun.elapsed());
    })
    .await;
}

/// A process that had loaded all topics waited for a new record before it became ready.
#[tokio::test(start_paused = true)]
async fn a_node_is_ready_within_300_ms_of_its_start() {
    Cluster::run(3, |cluster| async move {
        cluster.restart_all();
        cluster.run_for(300).await;
        assert!((0..3).all(|node| cluster.ready(node)));
    })
    .await;
}

/// Jobs that no owner had read yet were missing from the count of pending jobs.
#[tokio::test(start_paused = true)]
async fn jobs_accepted_while_no_owner_reads_the_intake_count_as_pending() {
    Cluster::run(3, |cluster| async move {
        let owner = cluster.owner();
        let (acceptor, reader) = ((owner + 1) % 3, (owner + 2) % 3);
        for node in 0..3 {
            cluster.block_reads(node, &[Topic::Progress]);
        }
        cluster.kill(owner);
        cluster.run_for(2_000).await;
        for id in 1..=10 {
            assert_eq!(cluster.call(acceptor, submit(id, 2)).await, Answer::Accepted(JobId(id)));
        }
        cluster.run_for(6_000).await;
        let count = Call { path: "/quotes/".into(), ..read(0) };
        assert_eq!(cluster.call(reader, count).await, Answer::Pending(10));
    })
    .await;
}

/// A state that the owner had returned to a caller was lost when the owner stopped before publishing it.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_reported_state_does_not_regress_when_the_owner_stops(
    #[values(0, 4, 8, 12, 16, 20, 24, 28, 32, 36, 60, 80)] later: u64,
    #[values(0, 60)] delay_ms: u64,
) {
    Cluster::run(2, move |cluster| async move {
        let owner = cluster.owner();
        cluster.link(owner).set_delay(Duration::from_millis(delay_ms));
        assert_eq!(cluster.call(owner, submit(1, 1)).await, Answer::Accepted(JobId(1)));
        while cluster.call(owner, read(1)).await != Answer::State(JobState::Completed) {
            cluster.run_for(1).await;
        }
        cluster.run_for(later).await;
        cluster.stop(owner);
        cluster.run_for(2).await;
        assert_eq!(cluster.call(owner, read(1)).await, Answer::State(JobState::Completed));
    })
    .await;
}
