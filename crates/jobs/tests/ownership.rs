//! Owners that cannot do their work any more, and holders that are lost together.

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

/// Instances that hold the work.
const HOLDERS: usize = 6;

/// Submission of a job of steps that follow each other.
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

/// An owner that could no longer read the intake kept the work, and accepted jobs never started.
#[tokio::test(start_paused = true)]
async fn an_owner_that_cannot_read_the_intake_gives_the_work_up() {
    Cluster::run(3, |cluster| async move {
        let owner = cluster.owner();
        let other = (owner + 1) % 3;
        cluster.blind(owner, &[Topic::Intake]);
        cluster.settle(2_000).await;
        assert_eq!(cluster.call(other, submit(1, 2)).await, Answer::Accepted(JobId(1)));
        cluster.settle(20_000).await;
        assert_eq!(cluster.call(other, read(1)).await, Answer::State(JobState::Completed));
    })
    .await;
}

/// An owner that could no longer read the intake went on starting the tasks of a cancelled job.
#[tokio::test(start_paused = true)]
async fn nothing_of_a_cancelled_job_starts_at_an_owner_that_cannot_read_the_intake() {
    Cluster::run(3, |cluster| async move {
        let owner = cluster.owner();
        let other = (owner + 1) % 3;
        assert_eq!(cluster.call(other, chain(1, 24)).await, Answer::Accepted(JobId(1)));
        cluster.settle(700).await;
        cluster.blind(owner, &[Topic::Intake]);
        cluster.settle(1_000).await;
        assert_eq!(cluster.call(other, call(1, Verb::Cancel)).await, Answer::Canceled);
        cluster.settle(4_000).await;
        let starts = cluster.starts();
        cluster.settle(4_000).await;
        assert_eq!(cluster.starts(), starts);
    })
    .await;
}

/// Guards against holders whose loss together leaves the work without an owner until somebody acts.
#[rstest]
#[tokio::test(start_paused = true)]
async fn the_loss_of_all_holders_is_followed_by_a_claim_within_4_s(#[values(8, 12)] nodes: usize) {
    Cluster::run(nodes, move |cluster| async move {
        cluster.settle(3_000).await;
        let mut ranked: Vec<usize> = (0..nodes).collect();
        ranked.sort_by_key(|node| format!("node{node}"));
        let holders = ranked.split_off(nodes - HOLDERS);
        let before = cluster.claims().len();
        holders.iter().for_each(|node| cluster.kill(*node));
        let begun = Instant::now();
        while cluster.claims().len() == before && begun.elapsed() < Duration::from_secs(30) {
            cluster.settle(50).await;
        }
        assert!(begun.elapsed() < Duration::from_secs(4), "claimed after {:?}", begun.elapsed());
        assert_eq!(cluster.call(ranked[0], submit(1, 2)).await, Answer::Accepted(JobId(1)));
        cluster.settle(3_000).await;
        assert_eq!(cluster.call(ranked[0], read(1)).await, Answer::State(JobState::Completed));
    })
    .await;
}

/// A restart of all waited until the group had forgotten the former processes, because a new one is not listed before.
#[tokio::test(start_paused = true)]
async fn a_restart_of_all_is_followed_by_a_claim_within_1_s() {
    const NODES: usize = 8;
    Cluster::run(NODES, |cluster| async move {
        cluster.settle(2_000).await;
        cluster.bound_members(NODES);
        let before = cluster.claims().len();
        cluster.restart_all();
        let begun = Instant::now();
        while cluster.claims().len() == before && begun.elapsed() < Duration::from_secs(30) {
            cluster.settle(10).await;
        }
        assert!(begun.elapsed() < Duration::from_secs(1), "claimed after {:?}", begun.elapsed());
    })
    .await;
}

/// A process that had loaded all it needs waited for a new record before it took calls.
#[tokio::test(start_paused = true)]
async fn a_node_is_ready_within_300_ms_of_its_start() {
    Cluster::run(3, |cluster| async move {
        cluster.restart_all();
        cluster.settle(300).await;
        assert!((0..3).all(|node| cluster.ready(node)));
    })
    .await;
}

/// Jobs that no owner had read yet were not counted as waiting.
#[tokio::test(start_paused = true)]
async fn jobs_accepted_while_no_owner_reads_the_intake_count_as_pending() {
    Cluster::run(3, |cluster| async move {
        let owner = cluster.owner();
        let (taker, asked) = ((owner + 1) % 3, (owner + 2) % 3);
        for node in 0..3 {
            cluster.blind(node, &[Topic::Progress]);
        }
        cluster.kill(owner);
        cluster.settle(2_000).await;
        for id in 1..=10 {
            assert_eq!(cluster.call(taker, submit(id, 2)).await, Answer::Accepted(JobId(id)));
        }
        cluster.settle(6_000).await;
        let count = Call { path: "/quotes/".into(), ..read(0) };
        assert_eq!(cluster.call(asked, count).await, Answer::Pending(10));
    })
    .await;
}

/// A state that an owner had shown was not shown any more after it stopped.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_state_that_was_shown_does_not_go_back_when_the_owner_stops(
    #[values(0, 4, 8, 12, 16, 20, 24, 28, 32, 36, 60, 80)] later: u64,
    #[values(0, 60)] delay_ms: u64,
) {
    Cluster::run(2, move |cluster| async move {
        let owner = cluster.owner();
        cluster.link(owner).set_delay(Duration::from_millis(delay_ms));
        assert_eq!(cluster.call(owner, submit(1, 1)).await, Answer::Accepted(JobId(1)));
        while cluster.call(owner, read(1)).await != Answer::State(JobState::Completed) {
            cluster.settle(1).await;
        }
        cluster.settle(later).await;
        cluster.stop(owner);
        cluster.settle(2).await;
        assert_eq!(cluster.call(owner, read(1)).await, Answer::State(JobState::Completed));
    })
    .await;
}
