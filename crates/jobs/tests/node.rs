//! Nodes over an in-memory platform: acceptance, takeover between nodes, and a store that refuses, loses answers or
//! is away.

mod platform;

use std::time::Duration;

use platform::{Cluster, Fault, call, read, submit};
use rattanfall_jobs::ids::JobId;
use rattanfall_jobs::node::calls::{Answer, Verb};
use rattanfall_jobs::node::view::{Query, View};
use rattanfall_jobs::table::JobState;
use rstest::rstest;

#[tokio::test(start_paused = true)]
async fn an_accepted_job_completes_and_every_node_shows_it() {
    Cluster::run(2, |cluster| async move {
        assert!(matches!(cluster.call(0, submit(1, 2)).await, Answer::Accepted(_)));
        cluster.settle(3_000).await;
        assert_eq!(cluster.call(0, read(1)).await, Answer::State(JobState::Completed));
        assert_eq!(cluster.call(1, read(1)).await, Answer::State(JobState::Completed));
    })
    .await;
}

/// A node that answered from its own view alone said that a job accepted elsewhere did not exist.
#[tokio::test(start_paused = true)]
async fn a_job_accepted_elsewhere_a_moment_ago_is_known() {
    Cluster::run(3, |cluster| async move {
        assert!(matches!(cluster.call(0, submit(1, 1)).await, Answer::Accepted(_)));
        for node in 1..3 {
            assert!(matches!(cluster.call(node, read(1)).await, Answer::State(_)));
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn the_same_job_again_is_one_job() {
    Cluster::run(2, |cluster| async move {
        for node in [0, 1, 0] {
            assert!(matches!(cluster.call(node, submit(1, 3)).await, Answer::Accepted(_)));
        }
        cluster.settle(4_000).await;
        assert_eq!(cluster.starts(), 3);
        assert!(matches!(cluster.call(1, submit(1, 3)).await, Answer::Accepted(_)));
        cluster.settle(2_000).await;
        assert_eq!(cluster.starts(), 3);
    })
    .await;
}

#[rstest]
#[case::no_queue("/nowhere/", Some("key-moss"), Answer::NoQueue)]
#[case::no_key("/quotes/", None, Answer::Unauthorized)]
#[case::unknown_key("/quotes/", Some("key-fern"), Answer::Unauthorized)]
#[tokio::test(start_paused = true)]
async fn calls_that_are_not_allowed_do_nothing(
    #[case] prefix: &'static str,
    #[case] key: Option<&'static str>,
    #[case] expected: Answer,
) {
    Cluster::run(1, move |cluster| async move {
        let mut wanted = submit(1, 1);
        wanted.path = format!("{prefix}{:016x}", 1);
        wanted.key = key.map(str::to_owned);
        assert_eq!(cluster.call(0, wanted).await, expected);
        cluster.settle(1_000).await;
        assert_eq!(cluster.starts(), 0);
    })
    .await;
}

/// A refusal says that the job was not run, so it may not be given once the store may have the record.
#[tokio::test(start_paused = true)]
async fn a_submission_whose_answer_is_lost_is_never_refused() {
    Cluster::run(1, |cluster| async move {
        cluster.fault(Fault::LoseAnswers);
        let answer = cluster.call(0, submit(1, 1)).await;
        assert_eq!(answer, Answer::Unknown);
        cluster.fault(Fault::None);
        cluster.settle(3_000).await;
        assert_eq!(cluster.call(0, read(1)).await, Answer::State(JobState::Completed));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_submission_that_the_store_refuses_is_refused_and_never_runs() {
    Cluster::run(1, |cluster| async move {
        cluster.fault(Fault::Refuse);
        assert!(matches!(cluster.call(0, submit(1, 1)).await, Answer::Refused(..)));
        cluster.fault(Fault::None);
        cluster.settle(3_000).await;
        assert_eq!(cluster.starts(), 0);
        assert_eq!(cluster.call(0, read(1)).await, Answer::NoJob);
    })
    .await;
}

/// A store that is away is noticed, and callers are sent elsewhere at once instead of at their deadline.
#[tokio::test(start_paused = true)]
async fn calls_are_refused_at_once_while_the_store_is_away() {
    Cluster::run(1, |cluster| async move {
        cluster.settle(2_000).await;
        cluster.fault(Fault::Silent);
        cluster.settle(3_000).await;
        assert!(!cluster.ready(0));
        let begun = tokio::time::Instant::now();
        assert!(matches!(cluster.call(0, submit(1, 1)).await, Answer::Refused(..)));
        assert!(begun.elapsed() < Duration::from_millis(50));
        cluster.fault(Fault::None);
        cluster.settle(3_000).await;
        assert!(cluster.ready(0));
    })
    .await;
}

/// Reads that wait at the store noticed its return only after their wait and their time limit.
#[rstest]
#[tokio::test(start_paused = true)]
async fn the_return_of_the_store_is_noticed_within_the_time_limit_of_a_read(
    #[values(0, 300, 600, 900, 1_200, 1_500)] phase: u64,
) {
    Cluster::run(1, move |cluster| async move {
        cluster.settle(2_000).await;
        cluster.fault(Fault::Silent);
        cluster.settle(5_000 + phase).await;
        cluster.fault(Fault::None);
        // Time limit of a read without a wait, the pause before the next one, and the check of readiness.
        cluster.settle(900 + 150 + 100 + 50).await;
        assert!(cluster.ready(0));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn another_node_goes_on_when_the_owner_is_killed() {
    Cluster::run(3, |cluster| async move {
        for id in 1..=6 {
            assert!(matches!(cluster.call(0, submit(id, 4)).await, Answer::Accepted(_)));
        }
        cluster.settle(300).await;
        let owner = cluster.owner();
        cluster.kill(owner);
        cluster.settle(9_000).await;
        assert_ne!(cluster.owner(), owner);
        let other = (owner + 1) % 3;
        for id in 1..=6 {
            assert_eq!(cluster.call(other, read(id)).await, Answer::State(JobState::Completed));
        }
        assert_eq!(cluster.doubled(), 0);
    })
    .await;
}

/// After a loss of all processes the work waited until the group had given up the former owner, which its own next
/// process had proved to be gone.
#[tokio::test(start_paused = true)]
async fn the_next_process_of_the_owners_instance_goes_on_before_the_group_gives_it_up() {
    Cluster::run(3, |cluster| async move {
        assert!(matches!(cluster.call(0, submit(1, 4)).await, Answer::Accepted(_)));
        let owner = cluster.owner();
        cluster.kill(owner);
        let next = cluster.restart(owner);
        cluster.settle(700).await;
        assert!(cluster.owned_by(&next));
        cluster.settle(4_000).await;
        assert_eq!(cluster.call((owner + 1) % 3, read(1)).await, Answer::State(JobState::Completed));
        assert_eq!(cluster.doubled(), 0);
    })
    .await;
}

/// On machines of two sizes a small one became the owner and was too slow to serve anybody.
#[tokio::test(start_paused = true)]
async fn the_work_passes_to_a_machine_with_a_multiple_of_the_processor() {
    Cluster::run(3, |cluster| async move {
        assert!(matches!(cluster.call(0, submit(1, 4)).await, Answer::Accepted(_)));
        let similar = cluster.add("similar-a0-2000");
        cluster.settle(3_000).await;
        assert!(!cluster.owned_by(&similar));
        let larger = cluster.add("larger-1f4-1000");
        cluster.settle(3_000).await;
        assert!(cluster.owned_by(&larger));
        cluster.settle(4_000).await;
        assert_eq!(cluster.call(0, read(1)).await, Answer::State(JobState::Completed));
        assert_eq!(cluster.doubled(), 0);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_stops_hands_the_work_over() {
    Cluster::run(2, |cluster| async move {
        cluster.settle(500).await;
        let owner = cluster.owner();
        cluster.stop(owner);
        cluster.settle(1_500).await;
        assert_ne!(cluster.owner(), owner);
        let other = 1 - owner;
        assert!(matches!(cluster.call(other, submit(1, 2)).await, Answer::Accepted(_)));
        cluster.settle(3_000).await;
        assert_eq!(cluster.call(other, read(1)).await, Answer::State(JobState::Completed));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_job_is_shown_as_cancelled_everywhere() {
    Cluster::run(2, |cluster| async move {
        assert!(matches!(cluster.call(0, submit(1, 1)).await, Answer::Accepted(_)));
        assert_eq!(cluster.call(1, call(1, Verb::Cancel)).await, Answer::Canceled);
        cluster.settle(1_500).await;
        for node in 0..2 {
            assert_eq!(cluster.call(node, read(1)).await, Answer::State(JobState::Canceled));
        }
        assert_eq!(cluster.call(0, call(2, Verb::Cancel)).await, Answer::NoJob);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn records_that_are_gone_from_the_history_are_loaded_again() {
    Cluster::run(2, |cluster| async move {
        assert!(matches!(cluster.call(0, submit(1, 2)).await, Answer::Accepted(_)));
        cluster.settle(2_000).await;
        cluster.compact();
        assert!(matches!(cluster.call(1, submit(2, 2)).await, Answer::Accepted(_)));
        cluster.settle(4_000).await;
        for node in 0..2 {
            for id in 1..=2 {
                assert_eq!(cluster.call(node, read(id)).await, Answer::State(JobState::Completed));
            }
        }
    })
    .await;
}

/// An owner that had lost its place in the history stepped down and waited for an instance that ranked higher, which took
/// it for a living owner: nobody owned the work any more.
#[tokio::test(start_paused = true)]
async fn an_owner_that_loads_the_jobs_anew_claims_the_work_again() {
    Cluster::run(1, |cluster| async move {
        let owner = cluster.owned_by("node0-78-1000");
        cluster.add("similar-a0-2000");
        cluster.settle(2_000).await;
        assert!(owner && cluster.owned_by("node0-78-1000"));
        cluster.compact();
        cluster.settle(3_000).await;
        assert!(matches!(cluster.call(0, submit(1, 2)).await, Answer::Accepted(_)));
        cluster.settle(4_000).await;
        assert_eq!(cluster.call(0, read(1)).await, Answer::State(JobState::Completed));
    })
    .await;
}

/// Two claims of one epoch look like one append to a store that answers repeats, unless their numbers differ.
#[tokio::test(start_paused = true)]
async fn only_one_node_owns_the_work() {
    Cluster::run(4, |cluster| async move {
        for _ in 0..20 {
            cluster.settle(300).await;
            assert!(cluster.owners() <= 1);
            cluster.forget_members();
        }
    })
    .await;
}

/// A write of many jobs was larger than the store takes, was refused for ever, and nothing started any more.
#[tokio::test(start_paused = true)]
async fn a_write_larger_than_an_append_is_stored_in_parts() {
    Cluster::run(2, |cluster| async move {
        let calls = (1..=60).map(|id| cluster.call(0, submit(id, 3)));
        let answers = futures::future::join_all(calls).await;
        assert!(answers.iter().all(|answer| matches!(answer, Answer::Accepted(_))), "{answers:?}");
        cluster.settle(30_000).await;
        for id in 1..=60 {
            assert_eq!(cluster.call(1, read(id)).await, Answer::State(JobState::Completed), "job {id}");
        }
        assert_eq!(cluster.doubled(), 0);
    })
    .await;
}

/// Guards against views that differ between the owner and the others in what both know.
#[tokio::test(start_paused = true)]
async fn every_node_shows_the_owner_and_the_jobs() {
    Cluster::run(2, |cluster| async move {
        assert!(matches!(cluster.call(0, submit(1, 2)).await, Answer::Accepted(_)));
        cluster.settle(3_000).await;
        let owner = cluster.owner();
        for node in 0..2 {
            let Some(View::Work(work)) = cluster.view(node, Query::Work).await else { panic!("no view") };
            assert!(cluster.owned_by(&work.owner));
            assert_eq!(work.pools.is_empty(), node != owner);
            let Some(View::Job(job)) = cluster.view(node, Query::Job(JobId(1))).await else {
                panic!("no job")
            };
            assert_eq!((job.state.as_str(), job.reasons.len()), ("completed", 1));
            assert_eq!(cluster.view(node, Query::Job(JobId(9))).await, Some(View::Missing));
        }
    })
    .await;
}

/// One job whose progress the store does not take as a record kept all later writes from being stored.
#[tokio::test(start_paused = true)]
async fn a_job_too_large_for_the_store_does_not_stop_the_others() {
    Cluster::run(2, |cluster| async move {
        // Its progress has more bytes than an append of the stand-in may have.
        let large = cluster.call(0, submit(1, 600)).await;
        assert!(matches!(cluster.call(0, submit(2, 1)).await, Answer::Accepted(_)));
        cluster.settle(8_000).await;
        let small = cluster.call(0, read(2)).await;
        assert_eq!(small, Answer::State(JobState::Completed), "the large job was answered with {large:?}");
    })
    .await;
}
