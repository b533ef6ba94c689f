//! Views of nodes whose reads lag behind the store: short pages, slow or partitioned links, and loads that take seconds.

mod platform;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use platform::{Cluster, call, read, submission, submit};
use rattanfall_jobs::node::calls::{Answer, Call, Verb};
use rattanfall_jobs::node::options::Options;
use rattanfall_jobs::node::view::{Query, View};
use rattanfall_jobs::ports::Topic;
use rattanfall_jobs::spec::Submission;
use rattanfall_jobs::table::JobState;
use rstest::rstest;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Rate of a slow link: 10 Mbit/s, in bytes per second.
const SLOW_LINK: u32 = 1_250_000;
/// Number of nodes in a cluster. The first one ranks lowest, so it is never a holder.
const NODES: usize = 8;
/// Jobs per second of typical traffic.
const JOBS_PER_S: u64 = 75;
/// Calls per second about the newest job.
const CALLS_PER_S: u64 = 20;
/// CPU of a task that fits at once, in thousandths of a core.
const SMALL_CPU: u64 = 25;
/// Interval between the ends of a job's tasks.
const END_INTERVAL: Duration = Duration::from_millis(40);
/// CPU of a task that occupies a whole worker, in thousandths of a core.
const WORKER_CPU: u64 = 16_000;
/// CPU of a task that fits on no worker, in thousandths of a core.
const UNPLACEABLE_CPU: u64 = 99_000;
/// Maximum time between the answer to a cancellation and the last start of one of the job's tasks.
const CANCEL_LIMIT: Duration = Duration::from_secs(4);

/// Job of 16 tasks and about 1 KB.
fn typical(id: u64) -> Submission {
    submission(id, 16, SMALL_CPU, 900)
}

/// Job that never starts.
fn waiting(id: u64) -> Submission {
    submission(id, 1, UNPLACEABLE_CPU, 0)
}

/// Call for the number of pending jobs.
fn count() -> Call {
    Call { path: "/quotes/".into(), ..read(0) }
}

/// Generator of jobs that are accepted at a constant rate, with consecutive ids.
struct Traffic {
    next: Rc<Cell<u64>>,
}

impl Traffic {
    fn start(cluster: &Rc<Cluster>, first: u64, rate: u64, job: fn(u64) -> Submission) -> Self {
        let next = Rc::new(Cell::new(first));
        let (cluster, id) = (Rc::clone(cluster), Rc::clone(&next));
        spawn_local(async move {
            let begun = Instant::now();
            loop {
                let due = first + u64::try_from(begun.elapsed().as_millis()).unwrap_or(0) * rate / 1_000;
                cluster.accept((id.get()..due).map(job));
                id.set(due);
                sleep(Duration::from_millis(10)).await;
            }
        });
        Self { next }
    }

    /// Id of the job accepted last.
    fn newest(&self) -> u64 {
        self.next.get() - 1
    }
}

/// Waits until a node is ready, at most until `limit`, and returns the time taken.
async fn wait_ready(cluster: &Cluster, node: usize, limit: Duration) -> Duration {
    let begun = Instant::now();
    while !cluster.ready(node) && begun.elapsed() < limit {
        cluster.run_for(10).await;
    }
    begun.elapsed()
}

async fn age(cluster: &Cluster, node: usize) -> Option<Duration> {
    match cluster.view(node, Query::Work).await {
        Some(View::Work(work)) => work.age_ms.map(Duration::from_millis),
        _ => None,
    }
}

/// A page that ended before the end of the intake was treated as complete.
#[tokio::test(start_paused = true)]
async fn a_job_beyond_the_first_page_is_not_reported_missing() {
    Cluster::run(2, |cluster| async move {
        let follower = 1 - cluster.owner();
        cluster.limit_pages(4_000);
        cluster.accept((1..=500).map(typical));
        for _ in 0..10 {
            cluster.run_for(200).await;
            for id in [100, 300, 500] {
                let answer = cluster.call(follower, read(id)).await;
                assert!(matches!(answer, Answer::State(_) | Answer::Refused(..)), "job {id}: {answer:?}");
            }
        }
    })
    .await;
}

/// As above, for a cancellation that was answered with "no such job".
#[tokio::test(start_paused = true)]
async fn a_cancellation_of_a_job_beyond_the_first_page_is_not_rejected() {
    Cluster::run(2, |cluster| async move {
        let follower = 1 - cluster.owner();
        cluster.limit_pages(4_000);
        cluster.accept((1..=500).map(typical));
        cluster.run_for(1_000).await;
        let answer = cluster.call(follower, call(500, Verb::Cancel)).await;
        assert!(!matches!(answer, Answer::NoJob), "{answer:?}");
    })
    .await;
}

/// The age of a view was counted from the arrival of an answer, which left out the network delay.
#[tokio::test(start_paused = true)]
async fn the_age_of_a_view_includes_the_delay_of_the_answer() {
    Cluster::run(NODES, |cluster| async move {
        let delay = Duration::from_millis(600);
        cluster.link(0).set_delay(delay);
        let _traffic = Traffic::start(&cluster, 1, JOBS_PER_S, typical);
        cluster.run_for(2_000).await;
        let mut youngest = Duration::MAX;
        for _ in 0..300 {
            cluster.run_for(10).await;
            youngest = youngest.min(age(&cluster, 0).await.unwrap_or(Duration::MAX));
        }
        assert!(youngest >= delay, "an age of {youngest:?} was shown");
    })
    .await;
}

/// A node whose reads took longer than the maximum age of a view served callers.
#[tokio::test(start_paused = true)]
async fn a_node_whose_view_exceeds_the_maximum_age_is_not_ready() {
    Cluster::run(NODES, |cluster| async move {
        let delay = Duration::from_millis(1_400);
        assert!(delay > Options::new(String::new()).max_view_age);
        cluster.link(0).set_delay(delay);
        let _traffic = Traffic::start(&cluster, 1, JOBS_PER_S, typical);
        cluster.run_for(4_000).await;
        for _ in 0..500 {
            cluster.run_for(10).await;
            assert!(!cluster.ready(0), "ready with an age of {:?}", age(&cluster, 0).await);
        }
    })
    .await;
}

/// A load that took seconds counted as fresh once it completed.
#[tokio::test(start_paused = true)]
async fn a_slow_load_does_not_make_the_view_fresh() {
    Cluster::run(NODES, |cluster| async move {
        let (loaded, rate) = (3_000, 100);
        cluster.accept((1..=loaded).map(waiting));
        cluster.run_for(3_000).await;
        cluster.link(0).set_rate(Some(SLOW_LINK / 10));
        cluster.kill(0);
        cluster.restart(0);
        let traffic = Traffic::start(&cluster, loaded + 1, rate, waiting);
        let begun = Instant::now();
        loop {
            cluster.run_for(10).await;
            let newest = traffic.newest();
            match cluster.call(0, count()).await {
                // The view may be 1.3 s old, and the owner publishes what it has read with a short delay.
                Answer::Pending(pending) => {
                    assert!(pending + 2 * rate >= newest, "{pending} of {newest} jobs are waiting");
                    break;
                }
                answer => assert!(begun.elapsed() < Duration::from_secs(60), "{answer:?}"),
            }
        }
        for _ in 0..20 {
            let newest = traffic.newest();
            assert_ne!(cluster.call(0, read(newest)).await, Answer::NoJob, "job {newest}");
            cluster.run_for(50).await;
        }
    })
    .await;
}

/// Reads of a backlog that exceeded their time limit were retried endlessly.
#[rstest]
#[case::typical_traffic(JOBS_PER_S)]
#[case::surge(3 * JOBS_PER_S)]
#[tokio::test(start_paused = true)]
async fn a_partitioned_node_serves_within_2_s_of_the_end_of_the_partition(#[case] rate: u64) {
    Cluster::run(NODES, move |cluster| async move {
        cluster.link(0).set_rate(Some(SLOW_LINK));
        cluster.stagger_ends(END_INTERVAL);
        let traffic = Traffic::start(&cluster, 1, rate, typical);
        cluster.run_for(3_000).await;
        assert!(cluster.ready(0));
        cluster.link(0).set_cut(true);
        cluster.run_for(6_000).await;
        assert!(!cluster.ready(0));
        cluster.link(0).set_cut(false);
        let newest = traffic.newest();
        let took = wait_ready(&cluster, 0, Duration::from_secs(10)).await;
        assert!(took <= Duration::from_secs(2), "not ready for {took:?}");
        assert_answers(&cluster, &traffic, &[1, newest / 2, newest]).await;
    })
    .await;
}

/// Each call about a job that the node had not read yet read the whole backlog separately.
#[tokio::test(start_paused = true)]
async fn calls_about_new_jobs_do_not_delay_reading_the_backlog() {
    Cluster::run(NODES, |cluster| async move {
        cluster.link(0).set_rate(Some(SLOW_LINK));
        cluster.stagger_ends(END_INTERVAL);
        let traffic = Traffic::start(&cluster, 1, JOBS_PER_S, typical);
        cluster.run_for(3_000).await;
        cluster.link(0).set_cut(true);
        cluster.run_for(6_000).await;
        cluster.link(0).set_cut(false);
        let (caller, newest) = (Rc::clone(&cluster), Rc::clone(&traffic.next));
        spawn_local(async move {
            loop {
                let (cluster, id) = (Rc::clone(&caller), newest.get() - 1);
                spawn_local(async move { cluster.call(0, read(id)).await });
                caller.run_for(1_000 / CALLS_PER_S).await;
            }
        });
        let took = wait_ready(&cluster, 0, Duration::from_secs(10)).await;
        assert!(took <= Duration::from_secs(2), "not ready for {took:?}");
        assert_answers(&cluster, &traffic, &[1]).await;
    })
    .await;
}

/// Each node read every payload and the progress of each task before it served callers.
#[rstest]
#[case::one_slow_link(1)]
#[case::only_slow_links(NODES)]
#[tokio::test(start_paused = true)]
async fn a_node_on_a_slow_link_is_ready_within_3_s_of_the_kill_of_all(#[case] slow: usize) {
    Cluster::run(NODES, move |cluster| async move {
        let loaded = 3_500;
        cluster.stagger_ends(END_INTERVAL);
        cluster.accept((1..=loaded).map(typical));
        cluster.run_for(30_000).await;
        (0..slow).for_each(|node| cluster.link(node).set_rate(Some(SLOW_LINK)));
        cluster.restart_all();
        let traffic = Traffic::start(&cluster, loaded + 1, JOBS_PER_S, typical);
        let took = wait_ready(&cluster, 0, Duration::from_secs(60)).await;
        assert!(took <= Duration::from_secs(3), "not ready for {took:?}");
        assert_answers(&cluster, &traffic, &[1, loaded / 2, loaded]).await;
    })
    .await;
}

/// Checks for 5 s that the first node answers about old jobs and the newest one.
async fn assert_answers(cluster: &Cluster, traffic: &Traffic, known: &[u64]) {
    for _ in 0..50 {
        for &id in known.iter().chain([&traffic.newest()]) {
            let answer = cluster.call(0, read(id)).await;
            assert!(matches!(answer, Answer::State(_)), "job {id}: {answer:?}");
        }
        let answer = cluster.call(0, count()).await;
        assert!(matches!(answer, Answer::Pending(_)), "{answer:?}");
        cluster.run_for(100).await;
    }
}

/// An owner that lags behind on the intake must not start tasks of a job whose cancellation it has not read.
#[rstest]
#[case::owner(false)]
#[case::successor(true)]
#[tokio::test(start_paused = true)]
async fn an_owner_behind_on_the_intake_starts_nothing_4_s_after_a_cancellation(#[case] killed: bool) {
    Cluster::run(3, move |cluster| async move {
        let owner = cluster.owner();
        let follower = (owner + 1) % 3;
        // Three of its tasks run at a time, so it starts tasks for 16 s.
        cluster.accept([submission(1, 100, WORKER_CPU, 0)]);
        cluster.run_for(1_000).await;
        assert!(cluster.last_start(1).is_some());
        // The links carry a page in 0.2 s, and the backlog in about 10 s.
        (0..3)
            .filter(|node| *node != follower)
            .for_each(|node| cluster.link(node).set_rate(Some(SLOW_LINK / 4)));
        cluster.limit_pages(SLOW_LINK as usize / 20);
        cluster.accept((2..=3_200).map(|id| submission(id, 1, UNPLACEABLE_CPU, 900)));
        if killed {
            cluster.kill(owner);
        }
        let begun = Instant::now();
        while cluster.call(follower, call(1, Verb::Cancel)).await != Answer::Canceled {
            assert!(begun.elapsed() < Duration::from_secs(60), "the cancellation is not accepted");
            cluster.run_for(100).await;
        }
        let accepted = Instant::now();
        cluster.run_for(15_000).await;
        assert!(!killed || cluster.owner() != owner, "no successor");
        let last = cluster.last_start(1).expect("the job has started");
        let late = last.saturating_duration_since(accepted);
        assert!(late <= CANCEL_LIMIT, "a start {late:?} after the cancellation");
    })
    .await;
}

/// A node that could no longer read the configuration rejected calls to a new queue and with a new key as unknown.
#[tokio::test(start_paused = true)]
async fn a_node_with_a_stale_configuration_rejects_no_queue_or_key() {
    Cluster::run(2, |cluster| async move {
        cluster.block_reads(0, &[Topic::Operator]);
        cluster.run_for(3_000).await;
        cluster.configure();
        cluster.run_for(5_000).await;
        assert!(!cluster.ready(0));
        let queue = Call { path: format!("/added/{:016x}", 1), ..submit(1, 1) };
        let key = Call { key: Some("key-new".into()), ..submit(2, 1) };
        for call in [queue, key] {
            assert!(matches!(cluster.call(0, call.clone()).await, Answer::Refused(..)));
            assert!(matches!(cluster.call(1, call).await, Answer::Accepted(_)));
        }
    })
    .await;
}

/// An outage of the operator topic alone must not stop submissions at once, but a withdrawn key must not stay valid.
#[tokio::test(start_paused = true)]
async fn jobs_are_accepted_for_several_seconds_without_the_operator_topic() {
    Cluster::run(2, |cluster| async move {
        for node in 0..2 {
            cluster.block_reads(node, &[Topic::Operator]);
        }
        cluster.run_for(6_000).await;
        assert!(matches!(cluster.call(0, submit(1, 1)).await, Answer::Accepted(_)));
        cluster.run_for(2_000).await;
        assert_eq!(cluster.call(1, read(1)).await, Answer::State(JobState::Completed));
        cluster.run_for(2_000).await;
        assert!(matches!(cluster.call(0, submit(2, 1)).await, Answer::Refused(..)));
    })
    .await;
}

/// A reload of the summaries dropped the states read from the intake but kept the read position, so jobs were missing.
#[tokio::test(start_paused = true)]
async fn a_known_job_is_known_after_a_reload_of_the_summaries() {
    Cluster::run(3, |cluster| async move {
        let owner = cluster.owner();
        let (acceptor, reader) = ((owner + 1) % 3, (owner + 2) % 3);
        cluster.block_reads(owner, &[Topic::Intake]);
        cluster.run_for(2_000).await;
        assert!(matches!(cluster.call(acceptor, submit(1, 2)).await, Answer::Accepted(_)));
        let before = cluster.call(reader, read(1)).await;
        cluster.compact_topic(Topic::Summaries);
        cluster.run_for(1_500).await;
        assert_eq!(cluster.call(reader, read(1)).await, before);
    })
    .await;
}

/// Reads of unknown jobs were serialised, with one call to the store for each.
#[rstest]
#[tokio::test(start_paused = true)]
async fn reads_of_unknown_jobs_at_once_are_answered_in_time(#[values(10, 40)] reads: u64) {
    Cluster::run(2, move |cluster| async move {
        let other = 1 - cluster.owner();
        cluster.link(other).set_delay(Duration::from_millis(236));
        cluster.run_for(1_000).await;
        let begun = Instant::now();
        let calls = (0..reads).map(|id| cluster.call(other, read(1_000 + id)));
        let answers = futures::future::join_all(calls).await;
        assert!(answers.iter().all(|answer| *answer == Answer::NoJob), "{answers:?}");
        assert!(begun.elapsed() < Duration::from_secs(1), "answered after {:?}", begun.elapsed());
    })
    .await;
}

/// A successor must not treat runs of jobs that it has not read yet as unknown.
#[tokio::test(start_paused = true)]
async fn a_successor_lagging_on_the_intake_restarts_no_task() {
    Cluster::run(3, |cluster| async move {
        let (loaded, tasks) = (300, 4);
        cluster.limit_pages(4_000);
        cluster.accept((1..=loaded).map(|id| submission(id, tasks, WORKER_CPU / 16, 900)));
        cluster.run_for(3_000).await;
        let owner = cluster.owner();
        cluster.kill(owner);
        cluster.run_for(30_000).await;
        let other = (owner + 1) % 3;
        for id in 1..=loaded {
            assert_eq!(cluster.call(other, read(id)).await, Answer::State(JobState::Completed), "job {id}");
        }
        assert_eq!(
            (cluster.starts(), cluster.duplicate_starts()),
            (1_200, 0),
            "starts, and those of running tasks"
        );
    })
    .await;
}
