//! Views of nodes whose reads lag behind the store: short pages, slow and cut links, and loads that take seconds.

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

/// Link of 10 Mbit/s, in bytes per second.
const SLOW: u32 = 1_250_000;
/// Nodes of a cluster. The first one ranks lowest, so it only answers callers.
const NODES: usize = 8;
/// New jobs of one second of usual traffic.
const TRAFFIC: u64 = 75;
/// Calls of one second about the newest job.
const CALLS: u64 = 20;
/// Processor of a task that finds room at once, in thousandths.
const SMALL: u64 = 25;
/// Time between the ends of a job's tasks.
const STAGGER: Duration = Duration::from_millis(40);
/// Processor of a task that fills a worker, in thousandths.
const WORKER: u64 = 16_000;
/// Processor of a task that no worker has room for, in thousandths.
const HUGE: u64 = 99_000;
/// Longest time between the answer to a cancellation and the last start of the job's tasks.
const CANCEL: Duration = Duration::from_secs(4);

/// Job of 16 tasks and about 1 KB.
fn usual(id: u64) -> Submission {
    submission(id, 16, SMALL, 900)
}

/// Job that waits for ever.
fn waiting(id: u64) -> Submission {
    submission(id, 1, HUGE, 0)
}

/// Call for the number of waiting jobs.
fn count() -> Call {
    Call { path: "/quotes/".into(), ..read(0) }
}

/// Jobs that are accepted at an even rate, from an id on.
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

    /// Id of the job that was accepted last.
    fn newest(&self) -> u64 {
        self.next.get() - 1
    }
}

/// Waits until a node is ready, and returns how long that took.
async fn wait_ready(cluster: &Cluster, node: usize, limit: Duration) -> Duration {
    let begun = Instant::now();
    while !cluster.ready(node) && begun.elapsed() < limit {
        cluster.settle(10).await;
    }
    begun.elapsed()
}

async fn age(cluster: &Cluster, node: usize) -> Option<Duration> {
    match cluster.view(node, Query::Work).await {
        Some(View::Work(work)) => work.age_ms.map(Duration::from_millis),
        _ => None,
    }
}

/// A page that ended before the intake did counted as all of it.
#[tokio::test(start_paused = true)]
async fn a_job_beyond_the_end_of_a_page_is_not_denied() {
    Cluster::run(2, |cluster| async move {
        let follower = 1 - cluster.owner();
        cluster.bound_pages(4_000);
        cluster.accept((1..=500).map(usual));
        for _ in 0..10 {
            cluster.settle(200).await;
            for id in [100, 300, 500] {
                let answer = cluster.call(follower, read(id)).await;
                assert!(matches!(answer, Answer::State(_) | Answer::Refused(..)), "job {id}: {answer:?}");
            }
        }
    })
    .await;
}

/// As above, for a caller who was told that there was nothing to cancel.
#[tokio::test(start_paused = true)]
async fn a_cancellation_beyond_the_end_of_a_page_is_not_denied() {
    Cluster::run(2, |cluster| async move {
        let follower = 1 - cluster.owner();
        cluster.bound_pages(4_000);
        cluster.accept((1..=500).map(usual));
        cluster.settle(1_000).await;
        let answer = cluster.call(follower, call(500, Verb::Cancel)).await;
        assert!(!matches!(answer, Answer::NoJob), "{answer:?}");
    })
    .await;
}

/// The age counted from the arrival of an answer, so the time on the way was left out.
#[tokio::test(start_paused = true)]
async fn a_view_is_no_younger_than_its_answer_was_on_the_way() {
    Cluster::run(NODES, |cluster| async move {
        let delay = Duration::from_millis(600);
        cluster.link(0).set_delay(delay);
        let _traffic = Traffic::start(&cluster, 1, TRAFFIC, usual);
        cluster.settle(2_000).await;
        let mut youngest = Duration::MAX;
        for _ in 0..300 {
            cluster.settle(10).await;
            youngest = youngest.min(age(&cluster, 0).await.unwrap_or(Duration::MAX));
        }
        assert!(youngest >= delay, "an age of {youngest:?} was shown");
    })
    .await;
}

/// A node whose answers took longer than a view may age served callers.
#[tokio::test(start_paused = true)]
async fn a_node_whose_answers_are_older_than_a_view_may_be_is_not_ready() {
    Cluster::run(NODES, |cluster| async move {
        let delay = Duration::from_millis(1_400);
        assert!(delay > Options::new(String::new()).stale);
        cluster.link(0).set_delay(delay);
        let _traffic = Traffic::start(&cluster, 1, TRAFFIC, usual);
        cluster.settle(4_000).await;
        for _ in 0..500 {
            cluster.settle(10).await;
            assert!(!cluster.ready(0), "ready with an age of {:?}", age(&cluster, 0).await);
        }
    })
    .await;
}

/// A load that took seconds counted as fresh when it ended.
#[tokio::test(start_paused = true)]
async fn a_load_that_took_seconds_makes_no_view_fresh() {
    Cluster::run(NODES, |cluster| async move {
        let (held, rate) = (3_000, 100);
        cluster.accept((1..=held).map(waiting));
        cluster.settle(3_000).await;
        cluster.link(0).set_rate(Some(SLOW / 10));
        cluster.kill(0);
        cluster.restart(0);
        let traffic = Traffic::start(&cluster, held + 1, rate, waiting);
        let begun = Instant::now();
        loop {
            cluster.settle(10).await;
            let newest = traffic.newest();
            match cluster.call(0, count()).await {
                // The view may be 1.3 s old, and the owner takes a moment to publish what it has read.
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
            cluster.settle(50).await;
        }
    })
    .await;
}

/// Reads of a backlog that took longer than their time limit were repeated for ever.
#[rstest]
#[case::usual_traffic(TRAFFIC)]
#[case::surge(3 * TRAFFIC)]
#[tokio::test(start_paused = true)]
async fn a_node_that_was_cut_off_serves_within_2_s_of_the_cuts_end(#[case] rate: u64) {
    Cluster::run(NODES, move |cluster| async move {
        cluster.link(0).set_rate(Some(SLOW));
        cluster.stagger(STAGGER);
        let traffic = Traffic::start(&cluster, 1, rate, usual);
        cluster.settle(3_000).await;
        assert!(cluster.ready(0));
        cluster.link(0).set_cut(true);
        cluster.settle(6_000).await;
        assert!(!cluster.ready(0));
        cluster.link(0).set_cut(false);
        let newest = traffic.newest();
        let took = wait_ready(&cluster, 0, Duration::from_secs(10)).await;
        assert!(took <= Duration::from_secs(2), "not ready for {took:?}");
        assert_answers(&cluster, &traffic, &[1, newest / 2, newest]).await;
    })
    .await;
}

/// Each call about a job that the node had not read yet read the whole backlog for itself.
#[tokio::test(start_paused = true)]
async fn calls_about_new_jobs_do_not_keep_a_node_from_its_backlog() {
    Cluster::run(NODES, |cluster| async move {
        cluster.link(0).set_rate(Some(SLOW));
        cluster.stagger(STAGGER);
        let traffic = Traffic::start(&cluster, 1, TRAFFIC, usual);
        cluster.settle(3_000).await;
        cluster.link(0).set_cut(true);
        cluster.settle(6_000).await;
        cluster.link(0).set_cut(false);
        let (caller, newest) = (Rc::clone(&cluster), Rc::clone(&traffic.next));
        spawn_local(async move {
            loop {
                let (cluster, id) = (Rc::clone(&caller), newest.get() - 1);
                spawn_local(async move { cluster.call(0, read(id)).await });
                caller.settle(1_000 / CALLS).await;
            }
        });
        let took = wait_ready(&cluster, 0, Duration::from_secs(10)).await;
        assert!(took <= Duration::from_secs(2), "not ready for {took:?}");
        assert_answers(&cluster, &traffic, &[1]).await;
    })
    .await;
}

/// Each node read every payload and the progress of each task before it served anybody.
#[rstest]
#[case::one_slow_link(1)]
#[case::only_slow_links(NODES)]
#[tokio::test(start_paused = true)]
async fn a_node_on_a_slow_link_is_ready_within_3_s_of_the_kill_of_all(#[case] slow: usize) {
    Cluster::run(NODES, move |cluster| async move {
        let held = 3_500;
        cluster.stagger(STAGGER);
        cluster.accept((1..=held).map(usual));
        cluster.settle(30_000).await;
        (0..slow).for_each(|node| cluster.link(node).set_rate(Some(SLOW)));
        cluster.restart_all();
        let traffic = Traffic::start(&cluster, held + 1, TRAFFIC, usual);
        let took = wait_ready(&cluster, 0, Duration::from_secs(60)).await;
        assert!(took <= Duration::from_secs(3), "not ready for {took:?}");
        assert_answers(&cluster, &traffic, &[1, held / 2, held]).await;
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
        cluster.settle(100).await;
    }
}

/// An owner that had not read a cancellation yet went on with the job.
#[rstest]
#[case::owner(false)]
#[case::successor(true)]
#[tokio::test(start_paused = true)]
async fn an_owner_behind_on_the_intake_starts_nothing_4_s_after_a_cancellation(#[case] killed: bool) {
    Cluster::run(3, move |cluster| async move {
        let owner = cluster.owner();
        let follower = (owner + 1) % 3;
        // Three of its tasks run at a time, so it starts tasks for 16 s.
        cluster.accept([submission(1, 100, WORKER, 0)]);
        cluster.settle(1_000).await;
        assert!(cluster.last_start(1).is_some());
        // The links carry a page in 0.2 s, and the backlog in about 10 s.
        (0..3).filter(|node| *node != follower).for_each(|node| cluster.link(node).set_rate(Some(SLOW / 4)));
        cluster.bound_pages(SLOW as usize / 20);
        cluster.accept((2..=3_200).map(|id| submission(id, 1, HUGE, 900)));
        if killed {
            cluster.kill(owner);
        }
        let begun = Instant::now();
        while cluster.call(follower, call(1, Verb::Cancel)).await != Answer::Canceled {
            assert!(begun.elapsed() < Duration::from_secs(60), "the cancellation is not accepted");
            cluster.settle(100).await;
        }
        let accepted = Instant::now();
        cluster.settle(15_000).await;
        assert!(!killed || cluster.owner() != owner, "no successor");
        let last = cluster.last_start(1).expect("the job has started");
        let late = last.saturating_duration_since(accepted);
        assert!(late <= CANCEL, "a start {late:?} after the cancellation");
    })
    .await;
}

/// A node that no longer read the configuration answered that a new queue and a new key did not exist.
#[tokio::test(start_paused = true)]
async fn a_node_with_an_old_configuration_denies_no_queue_and_no_key() {
    Cluster::run(2, |cluster| async move {
        cluster.blind(0, &[Topic::Operator]);
        cluster.settle(3_000).await;
        cluster.configure();
        cluster.settle(5_000).await;
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

/// An outage of the operators' records alone kept every instance from taking jobs, and none took a withdrawn key for ever.
#[tokio::test(start_paused = true)]
async fn jobs_are_taken_for_some_seconds_without_the_operators_records() {
    Cluster::run(2, |cluster| async move {
        for node in 0..2 {
            cluster.blind(node, &[Topic::Operator]);
        }
        cluster.settle(6_000).await;
        assert!(matches!(cluster.call(0, submit(1, 1)).await, Answer::Accepted(_)));
        cluster.settle(2_000).await;
        assert_eq!(cluster.call(1, read(1)).await, Answer::State(JobState::Completed));
        cluster.settle(2_000).await;
        assert!(matches!(cluster.call(0, submit(2, 1)).await, Answer::Refused(..)));
    })
    .await;
}

/// A load of the states forgot what the node had read of the intake, but not that it had read it.
#[tokio::test(start_paused = true)]
async fn a_job_that_was_known_is_known_after_the_states_are_loaded_again() {
    Cluster::run(3, |cluster| async move {
        let owner = cluster.owner();
        let (taker, asked) = ((owner + 1) % 3, (owner + 2) % 3);
        cluster.blind(owner, &[Topic::Intake]);
        cluster.settle(2_000).await;
        assert!(matches!(cluster.call(taker, submit(1, 2)).await, Answer::Accepted(_)));
        let before = cluster.call(asked, read(1)).await;
        cluster.compact_one(Topic::Summaries);
        cluster.settle(1_500).await;
        assert_eq!(cluster.call(asked, read(1)).await, before);
    })
    .await;
}

/// Reads of unknown jobs waited for each other, one call to the store for each.
#[rstest]
#[tokio::test(start_paused = true)]
async fn reads_of_unknown_jobs_at_once_are_answered_in_time(#[values(10, 40)] reads: u64) {
    Cluster::run(2, move |cluster| async move {
        let other = 1 - cluster.owner();
        cluster.link(other).set_delay(Duration::from_millis(236));
        cluster.settle(1_000).await;
        let begun = Instant::now();
        let calls = (0..reads).map(|id| cluster.call(other, read(1_000 + id)));
        let answers = futures::future::join_all(calls).await;
        assert!(answers.iter().all(|answer| *answer == Answer::NoJob), "{answers:?}");
        assert!(begun.elapsed() < Duration::from_secs(1), "answered after {:?}", begun.elapsed());
    })
    .await;
}

/// Guards against a successor that takes runs of jobs that it has not read yet for foreign ones.
#[tokio::test(start_paused = true)]
async fn a_successor_behind_on_the_intake_starts_no_task_again() {
    Cluster::run(3, |cluster| async move {
        let (held, tasks) = (300, 4);
        cluster.bound_pages(4_000);
        cluster.accept((1..=held).map(|id| submission(id, tasks, WORKER / 16, 900)));
        cluster.settle(3_000).await;
        let owner = cluster.owner();
        cluster.kill(owner);
        cluster.settle(30_000).await;
        let other = (owner + 1) % 3;
        for id in 1..=held {
            assert_eq!(cluster.call(other, read(id)).await, Answer::State(JobState::Completed), "job {id}");
        }
        assert_eq!((cluster.starts(), cluster.doubled()), (1_200, 0), "starts, and those of running tasks");
    })
    .await;
}
