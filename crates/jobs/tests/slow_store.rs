//! Submissions while the store is slow, refuses, or loses answers.

mod platform;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use platform::{Cluster, Fault, PeerFault, call, read, submit};
use rattanfall_jobs::ids::JobId;
use rattanfall_jobs::node::calls::{Answer, Refusal, Verb};
use rattanfall_jobs::table::JobState;
use rstest::rstest;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Jobs per second of all callers.
const RATE: u64 = 60;
/// Maximum size of an append in bytes.
const APPEND_BYTES: usize = 1 << 20;

/// Call of a caller, with its repeats.
#[allow(dead_code, reason = "printed if a test fails")]
#[derive(Clone, Copy, Debug)]
struct Served {
    job: u64,
    /// Time from the first submission to the last answer.
    took: Duration,
    answer: Answer,
    repeats: usize,
}

/// Callers that submit jobs at [`RATE`] to all nodes in turn.
#[derive(Default)]
struct Load {
    served: Rc<RefCell<Vec<Served>>>,
    next: u64,
    /// Node that gets no calls.
    skip: Option<usize>,
    /// Node that shows the states in the end.
    reader: usize,
}

impl Load {
    /// Submits jobs for a time. Callers repeat a call that was refused when they are told to, and one without
    /// an outcome a second later, `repeats` times.
    async fn run(&mut self, cluster: &Rc<Cluster>, nodes: usize, time: Duration, repeats: usize) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.next += 1;
            let skip = self.skip;
            let next =
                move |node: usize| (0..nodes).map(|step| (node + step) % nodes).find(|at| skip != Some(*at));
            let (cluster, served, job) = (Rc::clone(cluster), Rc::clone(&self.served), self.next);
            spawn_local(async move {
                let begun = Instant::now();
                let mut node = next(usize::try_from(job).expect("few jobs") * 7).expect("a node takes calls");
                let mut answer = cluster.call(node, submit(job, 1)).await;
                let mut made = 0;
                while made < repeats {
                    let retry_s = match answer {
                        Answer::Refused(_, retry_s) => retry_s,
                        Answer::Unknown => 1,
                        _ => break,
                    };
                    sleep(Duration::from_secs(retry_s)).await;
                    made += 1;
                    node = next(node + 1).expect("a node takes calls");
                    answer = cluster.call(node, submit(job, 1)).await;
                }
                served.borrow_mut().push(Served { job, took: begun.elapsed(), answer, repeats: made });
            });
            sleep(Duration::from_millis(1_000 / RATE)).await;
        }
    }

    fn served(&self) -> Vec<Served> {
        self.served.borrow().clone()
    }

    /// Share of the calls that were accepted.
    fn accepted(&self) -> f64 {
        let served = self.served.borrow();
        let accepted = served.iter().filter(|one| matches!(one.answer, Answer::Accepted(_))).count();
        accepted as f64 / self.next as f64
    }

    /// Time that a share of the accepted calls took at most.
    fn quantile(&self, share: f64) -> Duration {
        let served = self.served.borrow();
        let accepted = served.iter().filter(|one| matches!(one.answer, Answer::Accepted(_)));
        let mut times: Vec<Duration> = accepted.map(|one| one.took).collect();
        times.sort();
        let last = times.len().saturating_sub(1);
        times.get((last as f64 * share) as usize).copied().unwrap_or_default()
    }

    /// Checks that every accepted job runs and no refused one does.
    async fn check(&self, cluster: &Cluster) {
        for one in self.served() {
            let shown = cluster.call(self.reader, read(one.job)).await;
            match one.answer {
                Answer::Accepted(_) => assert_eq!(shown, Answer::State(JobState::Completed), "{one:?}"),
                Answer::Refused(..) => assert_eq!(shown, Answer::NoJob, "{one:?}"),
                _ => {}
            }
        }
    }
}

/// Figures of a stretch of a slow store.
#[allow(dead_code, reason = "printed")]
#[derive(Debug)]
struct Figures {
    nodes: usize,
    append_ms: u64,
    accepted: f64,
    median: Duration,
    last: Duration,
    appends_per_s: f64,
    forwards_per_s: f64,
}

/// Plays a store that is slow from the third second on, for some seconds.
async fn slow(nodes: usize, append_ms: u64, seconds: u64) -> Figures {
    let (sender, receiver) = std::sync::mpsc::channel();
    Cluster::run_limited(nodes, APPEND_BYTES, |cluster| async move {
        cluster.set_append_time(Duration::from_millis(2));
        Load::default().run(&cluster, nodes, Duration::from_secs(2), 0).await;
        let mut load = Load { next: 1_000_000, ..Load::default() };
        cluster.set_append_time(Duration::from_millis(append_ms));
        let before = cluster.attempts();
        load.run(&cluster, nodes, Duration::from_secs(seconds), 0).await;
        let after = cluster.attempts();
        cluster.set_append_time(Duration::from_millis(2));
        cluster.run_for(4_000).await;
        load.next -= 1_000_000;
        let per_s = |count: usize| count as f64 / seconds as f64;
        let figures = Figures {
            nodes,
            append_ms,
            accepted: load.accepted(),
            median: load.quantile(0.5),
            last: load.quantile(0.99),
            appends_per_s: per_s(after.0 - before.0),
            forwards_per_s: per_s(after.1 - before.1),
        };
        sender.send(figures).expect("the test waits");
    })
    .await;
    receiver.recv().expect("the scenario ends")
}

/// Every call is accepted, with no more appends than the store carries out, at any number of instances. Prints the table
/// of the capacity page.
#[rstest]
#[tokio::test(start_paused = true)]
async fn appends_follow_the_store(
    #[values(33, 147, 349)] nodes: usize,
    #[values(2, 40, 120, 420)] append_ms: u64,
) {
    let figures = slow(nodes, append_ms, 8).await;
    println!("{figures:?}");
    assert!(figures.accepted >= 1.0, "{figures:?}");
    // One more a second may be under way at the begin or at the end.
    assert!(figures.appends_per_s <= 1_000.0 / append_ms as f64 + 1.0, "{figures:?}");
}

/// The number of appends is not higher while the store is prompt than one for each record.
#[tokio::test(start_paused = true)]
async fn a_prompt_store_takes_at_most_one_append_for_each_record() {
    let figures = slow(33, 2, 8).await;
    assert!(figures.accepted > 0.999, "{figures:?}");
    assert!(figures.appends_per_s < 63.0, "{figures:?}");
    assert!(figures.last < Duration::from_millis(20), "{figures:?}");
}

/// Plays a fault for some seconds, and lets all work end. Callers repeat as told, `repeats` times.
async fn play(
    nodes: usize,
    seconds: f64,
    repeats: usize,
    begin: impl FnOnce(&Cluster),
    end: impl FnOnce(&Cluster),
) -> (Load, Rc<Cluster>) {
    let (mut load, mut kept) = (Load::default(), None);
    Cluster::run_limited(nodes, APPEND_BYTES, |cluster| async {
        cluster.set_append_time(Duration::from_millis(2));
        load.run(&cluster, nodes, Duration::from_secs(1), repeats).await;
        begin(&cluster);
        load.run(&cluster, nodes, Duration::from_secs_f64(seconds), repeats).await;
        end(&cluster);
        load.run(&cluster, nodes, Duration::from_secs(1), repeats).await;
        cluster.run_for(30_000).await;
        load.check(&cluster).await;
        assert_eq!(load.served().len() as u64, load.next, "calls without an answer");
        assert_eq!(cluster.duplicate_starts(), 0);
        kept = Some(cluster);
    })
    .await;
    (load, kept.expect("the scenario ends"))
}

/// Guards against an answer that is lost and costs the time limit of a call.
#[tokio::test(start_paused = true)]
async fn lost_answers_cost_a_read() {
    let begin = |cluster: &Cluster| cluster.set_fault(Fault::LoseShare(60));
    let (load, cluster) = play(33, 7.0, 0, begin, |cluster| cluster.set_fault(Fault::None)).await;
    assert!(load.accepted() > 0.999, "{}", load.accepted());
    assert!(load.quantile(0.99) < Duration::from_millis(400), "{:?}", load.quantile(0.99));
    assert!((cluster.attempts().0 as u64) < load.next * 11 / 10, "{:?}", cluster.attempts());
}

/// Callers that repeat as they are told outlast a store that refuses for some seconds.
#[rstest]
#[case::appends(Fault::Refuse)]
#[case::all_calls(Fault::RefuseAll)]
#[tokio::test(start_paused = true)]
async fn callers_outlast_a_store_that_refuses(#[case] fault: Fault) {
    let begin = move |cluster: &Cluster| cluster.set_fault(fault);
    let (load, _) = play(33, 5.5, 3, begin, |cluster| cluster.set_fault(Fault::None)).await;
    let served = load.served();
    let failed: Vec<&Served> =
        served.iter().filter(|one| !matches!(one.answer, Answer::Accepted(_))).collect();
    assert!(failed.is_empty(), "{failed:?}");
}

/// Nothing is refused that may run, and nothing accepted is lost.
#[rstest]
#[case::slow(420)]
#[case::prompt(2)]
#[tokio::test(start_paused = true)]
async fn lost_answers_of_an_instance_are_read(#[case] append_ms: u64) {
    let begin = |cluster: &Cluster| {
        cluster.set_append_time(Duration::from_millis(append_ms));
        cluster.set_peer_fault(PeerFault::LoseAnswers);
    };
    let end = |cluster: &Cluster| {
        cluster.set_append_time(Duration::from_millis(2));
        cluster.set_peer_fault(PeerFault::None);
    };
    let (load, _) = play(33, 5.0, 0, begin, end).await;
    assert!(load.accepted() > 0.95, "{}", load.accepted());
}

/// Instances that don't reach each other store records themselves.
#[tokio::test(start_paused = true)]
async fn instances_that_are_cut_off_from_the_owner_append() {
    let begin = |cluster: &Cluster| cluster.set_peer_fault(PeerFault::Cut);
    let (load, _) = play(33, 5.0, 0, begin, |cluster| cluster.set_peer_fault(PeerFault::None)).await;
    assert!(load.accepted() > 0.999, "{}", load.accepted());
    assert!(load.quantile(0.99) < Duration::from_millis(50), "{:?}", load.quantile(0.99));
}

/// An owner that is killed while it holds records of others leaves no false answer, and the next one takes over.
#[rstest]
#[tokio::test(start_paused = true)]
async fn an_owner_is_killed_while_it_holds_forwarded_records(#[values(2, 120, 420)] append_ms: u64) {
    let begin = |cluster: &Cluster| cluster.set_append_time(Duration::from_millis(append_ms));
    Cluster::run_limited(33, APPEND_BYTES, |cluster| async move {
        begin(&cluster);
        let mut load = Load::default();
        load.run(&cluster, 33, Duration::from_millis(3_300), 3).await;
        let owner = cluster.owner();
        cluster.kill(owner);
        // A caller of the killed process gets no answer.
        let lost = load.next - load.served().len() as u64;
        load.skip = Some(owner);
        load.run(&cluster, 33, Duration::from_secs(5), 3).await;
        cluster.set_append_time(Duration::from_millis(2));
        cluster.run_for(30_000).await;
        assert_ne!(cluster.owner(), owner);
        load.reader = (owner + 1) % 33;
        load.check(&cluster).await;
        assert!(load.next - load.served().len() as u64 <= lost);
        assert!(load.accepted() > 0.9, "{}", load.accepted());
    })
    .await;
}

/// An instance that the store refuses has its records stored by another one, and others store those that the owner cannot.
#[rstest]
#[tokio::test(start_paused = true)]
async fn records_of_an_instance_that_the_store_refuses_are_stored(#[values(false, true)] of_owner: bool) {
    Cluster::run_limited(5, APPEND_BYTES, |cluster| async move {
        let owner = cluster.owner();
        let refused = if of_owner { owner } else { (owner + 1) % 5 };
        cluster.refuse_node(Some(refused));
        let mut load = Load { skip: of_owner.then_some(owner), ..Load::default() };
        load.run(&cluster, 5, Duration::from_secs(3), 0).await;
        cluster.refuse_node(None);
        cluster.run_for(30_000).await;
        load.check(&cluster).await;
        assert!(load.accepted() > 0.999, "{}", load.accepted());
        assert!(load.quantile(0.99) < Duration::from_millis(500), "{:?}", load.quantile(0.99));
    })
    .await;
}

/// A submission that is not expected to be stored in time is refused before it is sent.
#[tokio::test(start_paused = true)]
async fn a_submission_that_cannot_be_stored_in_time_is_refused_at_once() {
    Cluster::run_limited(5, APPEND_BYTES, |cluster| async move {
        cluster.set_append_time(Duration::from_millis(420));
        Load::default().run(&cluster, 5, Duration::from_secs(4), 0).await;
        let mut hurried = submit(1_000_000, 1);
        hurried.wait_ms = 300;
        let begun = Instant::now();
        let answer = cluster.call(0, hurried).await;
        assert!(matches!(answer, Answer::Refused(Refusal::Store, _)), "{answer:?}");
        assert!(begun.elapsed() < Duration::from_millis(20), "{:?}", begun.elapsed());
        cluster.run_for(10_000).await;
        assert_eq!(cluster.call(0, read(1_000_000)).await, Answer::NoJob);
    })
    .await;
}

/// Guards against an unknown outcome for a caller with little time left while the store is prompt.
#[tokio::test(start_paused = true)]
async fn a_caller_with_little_time_is_accepted() {
    Cluster::run_limited(5, APPEND_BYTES, |cluster| async move {
        for node in 0..5_usize {
            let mut hurried = submit(node as u64 + 1, 1);
            hurried.wait_ms = 60;
            let answer = cluster.call(node, hurried).await;
            assert_eq!(answer, Answer::Accepted(JobId(node as u64 + 1)));
        }
    })
    .await;
}

/// A cancellation is stored while answers are lost.
#[tokio::test(start_paused = true)]
async fn a_cancellation_whose_answer_is_lost_is_answered_by_a_read() {
    Cluster::run_limited(5, APPEND_BYTES, |cluster| async move {
        let other = (cluster.owner() + 1) % 5;
        for job in 1..=20 {
            assert_eq!(cluster.call(other, submit(job, 1)).await, Answer::Accepted(JobId(job)));
        }
        cluster.set_fault(Fault::LoseAnswers);
        for job in 1..=20 {
            let begun = Instant::now();
            assert_eq!(cluster.call(other, call(job, Verb::Cancel)).await, Answer::Canceled);
            assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
        }
    })
    .await;
}

/// Guards against appends by every instance, of which the store carries out a few each second.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_slow_store_takes_the_records_of_all_instances(#[values(33, 147)] nodes: usize) {
    let figures = slow(nodes, 120, 8).await;
    assert!(figures.accepted > 0.99, "{figures:?}");
    assert!(figures.appends_per_s < 12.0, "{figures:?}");
    assert!(figures.median < Duration::from_millis(400), "{figures:?}");
}
