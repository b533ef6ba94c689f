//! Accepted tasks: starts, requeues, outcomes, tokens and retention.

use rattanfall_core::fleet::{Effect, TaskState, VoidReason};
use rattanfall_core::ids::{MemberId, TaskId, WorkerId};
use rattanfall_core::record::{Record, StopProof, TaskAccepted, TaskOutcome, WorkerSeen};
use rstest::rstest;

use crate::support::{BASE, Log, idempotent_task, non_idempotent_task, worker_seen};

fn log_with_task(idempotent: bool) -> (Log, MemberId, WorkerId, TaskId) {
    let (mut log, first, _) = Log::with_members();
    let worker = log.add_worker(first, "w1", "a", "sales");
    let task = log.accept(first, TaskAccepted { idempotent, ..non_idempotent_task(1, "ash", "sales") });
    (log, first, worker, task)
}

fn requeued(task: TaskId, attempt: u32, proof: StopProof) -> Record {
    Record::TaskRequeued { task, attempt, proof }
}

fn ended(task: TaskId, attempt: u32, outcome: TaskOutcome) -> Record {
    Record::TaskEnded { task, attempt, outcome }
}

/// Guards against a second start of a task that may be running.
#[rstest]
fn started_task_does_not_start_again() {
    let (mut log, first, worker, task) = log_with_task(false);
    assert_eq!(log.start(first, task, 2, worker), Err(VoidReason::State));
    assert!(log.start(first, task, 1, worker).is_ok());
    assert_eq!(log.start(first, task, 1, worker), Err(VoidReason::State));
    assert_eq!(log.start(first, task, 2, worker), Err(VoidReason::State));
}

/// Guards against starting a task on a worker of another pool.
#[rstest]
fn task_starts_in_its_own_pool_only() {
    let (mut log, first, _, task) = log_with_task(false);
    let other = log.add_worker(first, "w2", "a", "sweeps");
    assert_eq!(log.start(first, task, 1, other), Err(VoidReason::State));
    assert_eq!(log.start(first, task, 1, WorkerId(9)), Err(VoidReason::Unknown("worker")));
}

/// Guards against changes of a task by a member that does not own it, such as an earlier owner.
#[rstest]
fn only_the_owner_changes_a_task() {
    let (mut log, first, worker, task) = log_with_task(true);
    let second = *log.fleet.members.keys().nth(1).expect("two members");
    assert_eq!(log.start(second, task, 1, worker), Err(VoidReason::State));
    assert!(log.start(first, task, 1, worker).is_ok());
    let requeue = requeued(task, 1, StopProof::Refused);
    assert_eq!(log.write(second, requeue), Err(VoidReason::State));
    let end = ended(task, 1, TaskOutcome::Done(vec![]));
    assert_eq!(log.write(second, end), Err(VoidReason::State));
}

/// Guards against running a non-idempotent task again without proof that the first attempt did not run.
#[rstest]
#[case(StopProof::Refused, true)]
#[case(StopProof::NeverStarted, true)]
#[case(StopProof::Stopped, false)]
#[case(StopProof::Failed, false)]
#[case(StopProof::WorkerLost, false)]
fn proof_decides_on_a_second_start(#[case] proof: StopProof, #[case] proves_not_run: bool) {
    for idempotent in [false, true] {
        let (mut log, first, worker, task) = log_with_task(idempotent);
        log.start(first, task, 1, worker).expect("the task waits");
        let stale = log.write(first, requeued(task, 2, proof));
        assert_eq!(stale, Err(VoidReason::State));
        let result = log.write(first, requeued(task, 1, proof));
        assert_eq!(result.is_ok(), idempotent || proves_not_run);
        assert_eq!(log.start(first, task, 2, worker).is_ok(), result.is_ok());
    }
}

/// Guards against trusting the report of a restarted worker, which has lost its record of the tasks that it ran.
#[rstest]
fn report_of_a_restarted_worker_is_no_proof() {
    let (mut log, first, worker, task) = log_with_task(false);
    log.start(first, task, 1, worker).expect("the task waits");
    let restarted = WorkerSeen { nonce: 2, ..worker_seen("w1", "a", "sales") };
    assert!(log.write(first, Record::WorkerSeen(restarted)).is_ok());
    let never = requeued(task, 1, StopProof::NeverStarted);
    assert_eq!(log.write(first, never), Err(VoidReason::State));
    let unknown = ended(task, 1, TaskOutcome::Unknown("worker restarted".into()));
    assert!(log.write(first, unknown).is_ok());
}

/// Guards against accepting the result of an earlier attempt, or a second outcome.
#[rstest]
fn task_ends_once() {
    let (mut log, first, worker, task) = log_with_task(true);
    log.start(first, task, 1, worker).expect("the task waits");
    log.write(first, requeued(task, 1, StopProof::Failed)).expect("the task is idempotent");
    log.start(first, task, 2, worker).expect("the task waits");
    let early = ended(task, 1, TaskOutcome::Done(vec![1]));
    assert_eq!(log.write(first, early), Err(VoidReason::State));
    assert!(log.write(first, ended(task, 2, TaskOutcome::Done(vec![2]))).is_ok());
    let second = ended(task, 2, TaskOutcome::Failed("late".into()));
    assert_eq!(log.write(first, second), Err(VoidReason::State));
    assert_eq!(log.write(first, Record::TaskCancelled { task }), Err(VoidReason::State));
    let state = log.task_state(task);
    assert!(matches!(state, TaskState::Ended { outcome: TaskOutcome::Done(r), .. } if r == &[2]));
    assert!(log.fleet.tasks[&task].payload.is_empty());
    assert_eq!(log.fleet.tasks[&task].failed, [worker]);
}

/// Guards against starting a cancelled task, and against reporting it as cancelled while it may be running.
#[rstest]
fn cancelled_task_ends_when_it_cannot_run() {
    let (mut log, first, worker, task) = log_with_task(false);
    log.start(first, task, 1, worker).expect("the task waits");
    assert!(log.write(first, Record::TaskCancelled { task }).is_ok());
    assert!(matches!(log.task_state(task), TaskState::Started { .. }));
    log.write(first, requeued(task, 1, StopProof::Refused)).expect("the refusal is a proof");
    assert!(matches!(log.task_state(task), TaskState::Ended { outcome: TaskOutcome::Cancelled, .. }));
    let waiting = log.accept(first, non_idempotent_task(2, "ash", "sales"));
    assert!(log.write(first, Record::TaskCancelled { task: waiting }).is_ok());
    assert_eq!(log.start(first, waiting, 1, worker), Err(VoidReason::State));
}

/// Guards against a second task when the caller retries a submission at another instance.
#[rstest]
fn repeated_submission_returns_the_first_task() {
    let (mut log, first, second) = Log::with_members();
    let with_token = |number, team: &str| TaskAccepted {
        token: Some("order-17".into()),
        ..non_idempotent_task(number, team, "sales")
    };
    let task = log.accept(first, with_token(1, "ash"));
    assert_eq!(log.accept(second, with_token(1, "ash")), task);
    assert_ne!(log.accept(second, with_token(2, "birch")), task);
    log.write(first, Record::TaskCancelled { task }).expect("the task waits");
    assert_eq!(log.accept(second, with_token(3, "ash")), task);
    let reused = log.write(first, Record::TaskAccepted(non_idempotent_task(1, "ash", "sales")));
    assert_eq!(reused, Err(VoidReason::State));
}

/// Guards against unbounded growth of ended tasks, and against dropping tasks that have not ended.
#[rstest]
fn oldest_ended_tasks_are_dropped_with_their_tokens() {
    let (mut log, first, _) = Log::with_members();
    let kept = format!("[defaults]\nended_tasks = 2\n{BASE}");
    log.configure(first, 1, &kept).expect("the change is valid");
    let waiting = log.accept(first, idempotent_task(1, "ash", "sales"));
    let mut tasks = Vec::new();
    for number in 2..=4 {
        let token = Some(format!("order-{number}"));
        let task = log.accept(first, TaskAccepted { token, ..non_idempotent_task(number, "ash", "sales") });
        log.write(first, Record::TaskCancelled { task }).expect("the task waits");
        tasks.push(task);
    }
    assert!(log.fleet.tasks.contains_key(&waiting));
    assert!(!log.fleet.tasks.contains_key(&tasks[0]));
    assert_eq!(log.fleet.ended, &tasks[1..]);
    let token = Some("order-2".into());
    let again = TaskAccepted { token, ..non_idempotent_task(5, "ash", "sales") };
    let result = log.write(first, Record::TaskAccepted(again));
    assert_eq!(result, Ok(Effect::Task(TaskId { member: first, number: 5 })));
}
