//! Upstream workers: states, availability budgets, the quiescence barrier and moves.

use rattanfall_core::fleet::{VoidReason, WorkerState};
use rattanfall_core::ids::{MemberId, Offset, WorkerId};
use rattanfall_core::record::{Record, StopProof, WorkerSeen};
use rstest::rstest;

use crate::support::{BASE, Log, Outcome, non_idempotent_task, worker_seen};

fn log_with_workers() -> (Log, MemberId, MemberId, [WorkerId; 3]) {
    let (mut log, first, second) = Log::with_members();
    let workers = ["w1", "w2", "w3"].map(|name| log.add_worker(first, name, "a", "sales"));
    (log, first, second, workers)
}

fn drain(worker: WorkerId) -> Record {
    Record::DrainStarted { worker }
}

fn move_left(worker: WorkerId) -> Record {
    Record::MoveLeft { worker, to: "sweeps".into() }
}

fn maintain(log: &mut Log, author: MemberId, worker: WorkerId) -> Outcome {
    log.write(author, Record::MaintenanceStarted { worker })
}

/// Guards against more concurrent drains than declared, also while a drained worker is under maintenance.
#[rstest]
fn drains_are_limited_per_pool() {
    let (mut log, first, second, [w1, w2, _]) = log_with_workers();
    assert!(log.write(first, drain(w1)).is_ok());
    let limit = VoidReason::Drains { pool: "sales".into(), allowed: 1 };
    assert_eq!(log.write(second, drain(w2)), Err(limit.clone()));
    assert!(log.confirm_stop(first).is_ok() && log.confirm_stop(second).is_ok());
    assert!(maintain(&mut log, first, w1).is_ok());
    assert_eq!(log.write(second, drain(w2)), Err(limit));
    assert!(log.write(first, Record::MaintenanceEnded { worker: w1 }).is_ok());
    assert!(log.write(second, drain(w2)).is_ok());
}

/// Guards against drains and moves that leave fewer serving workers than the budget when some are lost already.
#[rstest]
#[case::drain(drain)]
#[case::leave(move_left)]
fn planned_stops_keep_the_budget(#[case] stop: fn(WorkerId) -> Record) {
    let (mut log, first, _, [w1, w2, w3]) = log_with_workers();
    log.write(first, Record::WorkerLost { worker: w1 }).expect("the worker serves");
    log.write(first, move_left(w2)).expect("one worker is left");
    let budget = VoidReason::Budget { pool: "sales".into(), needed: 1, left: 0 };
    assert_eq!(log.write(first, stop(w3)), Err(budget));
    assert_eq!(log.worker_state(w3), WorkerState::Serving);
}

/// Guards against ignoring an exception to the budget.
#[rstest]
fn exception_changes_the_budget() {
    let (mut log, first, _, [w1, w2, w3]) = log_with_workers();
    let text = format!(
        "{BASE}
        [[exceptions]]
        pool = 'sales'
        field = 'min_serving'
        value = 3
        reason = 'harvest week'"
    );
    log.configure(first, 1, &text).expect("the change is valid");
    assert!(matches!(log.write(first, drain(w1)), Err(VoidReason::Budget { .. })));
    log.configure(first, 2, &text.replace("value = 3", "value = 0")).expect("the change is valid");
    for worker in [w1, w2, w3] {
        assert!(log.write(first, move_left(worker)).is_ok());
    }
}

/// Guards against a reboot while a slow, frozen or disconnected member may still have work on the worker.
#[rstest]
fn maintenance_waits_for_every_live_member() {
    let (mut log, first, second, [w1, ..]) = log_with_workers();
    log.write(first, drain(w1)).expect("the budget holds");
    assert!(log.confirm_stop(first).is_ok());
    assert_eq!(maintain(&mut log, first, w1), Err(VoidReason::NotQuiescent(second)));
    let early = Record::Progress { applied: Offset(log.next_offset() - 4) };
    assert!(log.write(second, early).is_ok());
    assert_eq!(maintain(&mut log, first, w1), Err(VoidReason::NotQuiescent(second)));
    assert!(log.confirm_stop(second).is_ok());
    assert!(maintain(&mut log, first, w1).is_ok());
    assert_eq!(log.worker_state(w1), WorkerState::Maintenance);
}

/// Guards against a confirmation of records that its author cannot have applied.
#[rstest]
fn confirmation_of_unapplied_offsets_is_void() {
    let (mut log, first, ..) = log_with_workers();
    let applied = Offset(log.next_offset());
    assert_eq!(log.write(first, Record::Progress { applied }), Err(VoidReason::State));
}

/// Guards against passing the barrier with a confirmation of an earlier drain that was cancelled.
#[rstest]
fn second_drain_needs_new_confirmations() {
    let (mut log, first, second, [w1, ..]) = log_with_workers();
    log.write(first, drain(w1)).expect("the budget holds");
    assert!(log.confirm_stop(first).is_ok() && log.confirm_stop(second).is_ok());
    log.write(second, Record::DrainCancelled { worker: w1 }).expect("the worker drains");
    assert_eq!(maintain(&mut log, first, w1), Err(VoidReason::State));
    log.write(first, drain(w1)).expect("the budget holds");
    assert_eq!(maintain(&mut log, first, w1), Err(VoidReason::NotQuiescent(first)));
}

/// Guards against waiting for the confirmation of members that have ended.
#[rstest]
fn ended_members_do_not_block_the_barrier() {
    let (mut log, first, second, [w1, ..]) = log_with_workers();
    log.write(first, drain(w1)).expect("the budget holds");
    assert!(log.confirm_stop(first).is_ok());
    log.write(first, Record::Gone { member: second }).expect("the member is live");
    assert!(maintain(&mut log, first, w1).is_ok());
}

/// Guards against a reboot that interrupts requests of a gone member, which can run until its holds are reclaimed.
#[rstest]
fn unreclaimed_holds_block_the_barrier() {
    let (mut log, first, second, [w1, ..]) = log_with_workers();
    log.claim(second, "ash", 1);
    log.write(first, drain(w1)).expect("the budget holds");
    assert!(log.confirm_stop(first).is_ok());
    log.write(first, Record::Gone { member: second }).expect("the member is live");
    assert_eq!(maintain(&mut log, first, w1), Err(VoidReason::NotQuiescent(second)));
    log.write(first, Record::HoldReclaim { member: second }).expect("the member is gone");
    assert!(maintain(&mut log, first, w1).is_ok());
}

/// Guards against a reboot that interrupts a task which a member took over after it had confirmed.
#[rstest]
fn taken_over_task_blocks_the_barrier() {
    let (mut log, first, second, [w1, ..]) = log_with_workers();
    let task = log.accept(second, non_idempotent_task(1, "ash", "sales"));
    log.start(second, task, 1, w1).expect("the task waits");
    log.write(first, drain(w1)).expect("the budget holds");
    assert!(log.confirm_stop(first).is_ok());
    log.write(first, Record::Gone { member: second }).expect("the member is live");
    assert_eq!(maintain(&mut log, first, w1), Err(VoidReason::NotQuiescent(first)));
    let requeued = Record::TaskRequeued { task, attempt: 1, proof: StopProof::NeverStarted };
    log.write(first, requeued).expect("the worker never started it");
    assert!(maintain(&mut log, first, w1).is_ok());
}

/// Guards against a worker that changes its pool before it is quiescent, or serves the new pool before its reboot.
#[rstest]
fn move_changes_the_pool_behind_the_barrier() {
    let (mut log, first, second, [w1, ..]) = log_with_workers();
    let sales = log.fleet.pool("sales").expect("the pool is declared");
    let sweeps = log.fleet.pool("sweeps").expect("the pool is declared");
    let same = Record::MoveLeft { worker: w1, to: "sales".into() };
    assert_eq!(log.write(first, same), Err(VoidReason::State));
    log.write(first, move_left(w1)).expect("the budget holds");
    let joined = Record::MoveJoined { worker: w1 };
    assert_eq!(log.write(first, joined.clone()), Err(VoidReason::NotQuiescent(first)));
    assert!(log.confirm_stop(first).is_ok() && log.confirm_stop(second).is_ok());
    assert_eq!(log.fleet.workers[&w1].pool, sales);
    assert!(log.write(first, joined).is_ok());
    let worker = &log.fleet.workers[&w1];
    assert_eq!((worker.pool, worker.state), (sweeps, WorkerState::Maintenance));
    let list = Record::WorkerSeen(worker_seen("w1", "a", "sales"));
    assert!(log.write(second, list).is_ok());
    assert_eq!(log.fleet.workers[&w1].pool, sweeps);
    assert!(log.write(first, Record::MaintenanceEnded { worker: w1 }).is_ok());
    assert!(log.fleet.takes_work(&log.fleet.workers[&w1]));
}

/// Guards against a worker that takes work before its outstanding reboot: the list lags, and a process that the
/// platform restarted by itself may be in the old pool.
#[rstest]
#[case::same_process(1)]
#[case::new_process(2)]
fn worker_lost_under_maintenance_returns_to_maintenance(#[case] nonce: u64) {
    let (mut log, first, second, [w1, ..]) = log_with_workers();
    log.write(first, drain(w1)).expect("the budget holds");
    assert!(log.confirm_stop(first).is_ok() && log.confirm_stop(second).is_ok());
    maintain(&mut log, first, w1).expect("every member has confirmed");
    log.write(second, Record::WorkerLost { worker: w1 }).expect("the worker is not lost yet");
    let listed = WorkerSeen { nonce, ..worker_seen("w1", "a", "sales") };
    assert!(log.write(second, Record::WorkerSeen(leaving())).is_ok());
    assert!(log.write(second, Record::WorkerLost { worker: w1 }).is_ok());
    assert!(log.write(second, Record::WorkerSeen(listed)).is_ok());
    assert_eq!(log.worker_state(w1), WorkerState::Maintenance);
    log.write(first, Record::MaintenanceEnded { worker: w1 }).expect("the worker is maintained");
    assert_eq!(log.worker_state(w1), WorkerState::Serving);
}

/// Guards against wrong state changes when the platform's list shows a known worker.
#[rstest]
#[case::returns_after_a_loss(Record::WorkerLost { worker: WorkerId(1) }, 1, false, WorkerState::Serving)]
#[case::leaves(Record::WorkerSeen(worker_seen("w1", "a", "sales")), 1, true, WorkerState::Leaving)]
#[case::restarts_leaving(Record::WorkerSeen(leaving()), 2, false, WorkerState::Serving)]
#[case::old_list_after_leaving(Record::WorkerSeen(leaving()), 1, false, WorkerState::Leaving)]
#[case::drains_on(drain(WorkerId(1)), 2, false, WorkerState::Draining(Offset(6)))]
fn list_changes_the_state(
    #[case] before: Record,
    #[case] nonce: u64,
    #[case] leaving: bool,
    #[case] expected: WorkerState,
) {
    let (mut log, first, second, [w1, ..]) = log_with_workers();
    assert!(log.write(first, before).is_ok());
    let listed = WorkerSeen { nonce, leaving, ..worker_seen("w1", "a", "sales") };
    assert!(log.write(second, Record::WorkerSeen(listed)).is_ok());
    assert_eq!(log.worker_state(w1), expected);
}

fn leaving() -> WorkerSeen {
    WorkerSeen { leaving: true, ..worker_seen("w1", "a", "sales") }
}

/// Guards against ignoring the list entry of a known worker because it names a pool that is not declared.
#[rstest]
fn listed_pool_of_a_known_worker_is_ignored() {
    let (mut log, first, _, [w1, ..]) = log_with_workers();
    let listed = WorkerSeen { pool: "unknown".into(), ..leaving() };
    assert!(log.write(first, Record::WorkerSeen(listed)).is_ok());
    assert_eq!(log.worker_state(w1), WorkerState::Leaving);
}

/// Guards against keeping the old zone of a worker that the platform restarted in another, possibly removed one.
#[rstest]
fn replaced_worker_takes_the_zone_of_its_new_process() {
    let (mut log, first, _, [w1, ..]) = log_with_workers();
    let zone = |log: &Log| log.fleet.zones[&log.fleet.workers[&w1].zone].name.clone();
    let same_process = worker_seen("w1", "b", "sales");
    assert!(log.write(first, Record::WorkerSeen(same_process.clone())).is_ok());
    assert_eq!(zone(&log), "a");
    assert!(log.write(first, Record::WorkerSeen(WorkerSeen { nonce: 2, ..same_process })).is_ok());
    assert_eq!(zone(&log), "b");
}

/// Guards against a maintenance wave that skips a worker or never ends.
#[rstest]
fn wave_marks_the_pool_until_each_worker_was_maintained() {
    let (mut log, first, second, workers) = log_with_workers();
    let other = log.add_worker(first, "w4", "a", "sweeps");
    assert!(log.write(first, Record::WaveStarted { pool: "sales".into() }).is_ok());
    assert!(!log.fleet.workers[&other].due);
    for worker in workers {
        assert!(log.fleet.workers[&worker].due);
        log.write(first, drain(worker)).expect("one drain at a time");
        assert!(log.confirm_stop(first).is_ok() && log.confirm_stop(second).is_ok());
        maintain(&mut log, first, worker).expect("every member has confirmed");
        log.write(first, Record::MaintenanceEnded { worker }).expect("the worker is maintained");
        assert!(!log.fleet.workers[&worker].due);
    }
}

/// Guards against a worker that returns to a pool which was removed while the worker was lost.
#[rstest]
fn lost_worker_of_a_removed_pool_returns_like_a_new_one() {
    let (mut log, first, ..) = log_with_workers();
    let w4 = log.add_worker(first, "w4", "a", "sweeps");
    log.write(first, Record::WorkerLost { worker: w4 }).expect("the worker serves");
    let sales_only = BASE.replace("[pools.sweeps]\n    min_serving = 0", "");
    log.configure(first, 1, &sales_only).expect("the removed pool has a lost worker only");
    let old = log.write(first, Record::WorkerSeen(worker_seen("w4", "a", "sweeps")));
    assert_eq!(old, Err(VoidReason::Unknown("pool")));
    assert_eq!(log.worker_state(w4), WorkerState::Lost);
    log.add_worker(first, "w4", "a", "sales");
    assert_eq!(Some(log.fleet.workers[&w4].pool), log.fleet.pool("sales"));
    assert_eq!(log.worker_state(w4), WorkerState::Serving);
}
