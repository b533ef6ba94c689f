//! Declarations, access keys and availability zones.

use rattanfall_core::fleet::{Effect, TaskState, VoidReason, ZoneState};
use rattanfall_core::ids::{KeyId, MemberId};
use rattanfall_core::record::{Record, StopProof, TaskOutcome};
use rstest::rstest;

use crate::support::{BASE, Log, non_idempotent_task, worker_seen};

const WITHOUT_SWEEPS: &str = "
    [pools.sales]
    min_serving = 1
    [teams.ash]
    share = 2
    limit = 4
";

fn remove(zone: &str, base: u64) -> Record {
    Record::ZoneRemoved { zone: zone.into(), base }
}

fn restore(zone: &str, base: u64) -> Record {
    Record::ZoneRestored { zone: zone.into(), base }
}

/// Guards against overwriting another operator's concurrent change.
#[rstest]
fn only_one_of_two_conflicting_changes_applies() {
    let (mut log, first, second) = Log::with_members();
    assert_eq!(log.configure(first, 1, WITHOUT_SWEEPS), Ok(Effect::Configured(2)));
    let conflict = VoidReason::Conflict { base: 1, current: 2 };
    assert_eq!(log.configure(second, 1, BASE), Err(conflict));
    assert!(!log.fleet.declaration.pools.contains_key("sweeps"));
    let ahead = VoidReason::Conflict { base: 3, current: 2 };
    assert_eq!(log.configure(second, 3, BASE), Err(ahead));
}

/// Guards against applying an invalid declaration that was not validated before it was written to the log.
#[rstest]
fn invalid_declarations_are_void() {
    let (mut log, first, _) = Log::with_members();
    let invalid = log.configure(first, 1, &BASE.replace("share = 1", "share = 0"));
    assert!(matches!(invalid, Err(VoidReason::Invalid(_))), "{invalid:?}");
    assert_eq!(log.fleet.version, 1);
}

/// Guards against removing a pool that still has workers.
#[rstest]
fn pools_with_workers_stay_declared() {
    let (mut log, first, _) = Log::with_members();
    log.add_worker(first, "w1", "a", "sweeps");
    let removed = log.configure(first, 1, WITHOUT_SWEEPS);
    assert!(matches!(removed, Err(VoidReason::Invalid(_))), "{removed:?}");
}

/// Guards against removing a pool that a worker is moving to.
#[rstest]
fn target_of_a_move_stays_declared() {
    let (mut log, first, _) = Log::with_members();
    log.add_worker(first, "w1", "a", "sales");
    let moved = log.add_worker(first, "w2", "a", "sales");
    log.write(first, Record::MoveLeft { worker: moved, to: "sweeps".into() }).expect("the budget holds");
    let removed = log.configure(first, 1, WITHOUT_SWEEPS);
    assert!(matches!(removed, Err(VoidReason::Invalid(_))), "{removed:?}");
}

/// Guards against new references to a removed team or pool, whose row remains.
#[rstest]
fn removed_teams_and_pools_take_nothing_new() {
    let (mut log, first, _) = Log::with_members();
    let worker = log.add_worker(first, "w1", "a", "sales");
    log.configure(first, 1, WITHOUT_SWEEPS).expect("no worker is in the removed pool");
    let unknown_team = Err(VoidReason::Unknown("team"));
    let unknown_pool = Err(VoidReason::Unknown("pool"));
    let key = Record::KeyGranted { team: "birch".into(), hash: [1; 32] };
    assert_eq!(log.write(first, key), unknown_team);
    let task = |team: &str, pool: &str| Record::TaskAccepted(non_idempotent_task(1, team, pool));
    assert_eq!(log.write(first, task("birch", "sales")), unknown_team);
    assert_eq!(log.write(first, task("ash", "sweeps")), unknown_pool);
    assert_eq!(log.write(first, Record::WorkerSeen(worker_seen("w2", "a", "sweeps"))), unknown_pool);
    assert_eq!(log.write(first, Record::MoveLeft { worker, to: "sweeps".into() }), unknown_pool);
    assert_eq!(log.write(first, Record::WaveStarted { pool: "sweeps".into() }), unknown_pool);
    assert_eq!(log.claim(first, "birch", 1), 0);
}

fn failed_by_removal(state: &TaskState) -> bool {
    let TaskState::Ended { outcome: TaskOutcome::Failed(reason), .. } = state else {
        return false;
    };
    reason.contains("removed")
}

/// Guards against accepted tasks that wait forever because their team or pool was removed.
#[rstest]
fn tasks_of_removed_teams_and_pools_end_with_a_reason() {
    let (mut log, first, _) = Log::with_members();
    let worker = log.add_worker(first, "w1", "a", "sales");
    let of_team = log.accept(first, non_idempotent_task(1, "birch", "sales"));
    let of_pool = log.accept(first, non_idempotent_task(2, "ash", "sweeps"));
    let kept = log.accept(first, non_idempotent_task(3, "ash", "sales"));
    let started = log.accept(first, non_idempotent_task(4, "birch", "sales"));
    log.start(first, started, 1, worker).expect("the task waits");
    log.configure(first, 1, WITHOUT_SWEEPS).expect("no worker is in the removed pool");
    assert!(failed_by_removal(log.task_state(of_team)) && failed_by_removal(log.task_state(of_pool)));
    assert_eq!(log.task_state(kept), &TaskState::Waiting);
    let requeued = Record::TaskRequeued { task: started, attempt: 1, proof: StopProof::Refused };
    log.write(first, requeued).expect("a refused start proves that the attempt does not run");
    assert!(failed_by_removal(log.task_state(started)));
}

/// Guards against a withdrawn key that becomes valid again by a second grant or a repeated withdrawal.
#[rstest]
fn withdrawn_keys_stay_withdrawn() {
    let (mut log, first, second) = Log::with_members();
    let grant = |team: &str| Record::KeyGranted { team: team.into(), hash: [1; 32] };
    assert_eq!(log.write(first, grant("ash")), Ok(Effect::Key(KeyId(1))));
    assert_eq!(log.write(second, grant("birch")), Err(VoidReason::KeyExists));
    let withdraw = Record::KeyWithdrawn { key: KeyId(1) };
    assert!(log.write(first, withdraw.clone()).is_ok());
    assert!(log.write(second, withdraw).is_ok());
    assert_eq!(log.write(first, grant("ash")), Err(VoidReason::KeyExists));
    assert!(log.fleet.keys[&KeyId(1)].withdrawn);
    assert_eq!(log.fleet.keys[&KeyId(1)].team, log.team("ash"));
    let unknown = log.write(first, Record::KeyWithdrawn { key: KeyId(9) });
    assert_eq!(unknown, Err(VoidReason::Unknown("key")));
}

fn zone_state(log: &Log, zone: &str) -> ZoneState {
    log.fleet.zones[&log.fleet.zone(zone).expect("the zone exists")].state
}

/// Guards against a delayed restore that undoes a later removal of the zone.
#[rstest]
fn zone_changes_against_an_old_version_are_void() {
    let (mut log, first, second) = Log::with_members();
    assert_eq!(log.write(first, remove("a", 0)), Ok(Effect::Zone(1)));
    assert_eq!(log.write(second, restore("a", 1)), Ok(Effect::Zone(2)));
    assert_eq!(log.write(first, remove("a", 2)), Ok(Effect::Zone(3)));
    let conflict = VoidReason::Conflict { base: 1, current: 3 };
    assert_eq!(log.write(second, restore("a", 1)), Err(conflict));
    assert_eq!(zone_state(&log, "a"), ZoneState::Removed);
    assert_eq!(log.write(second, remove("a", 3)), Err(VoidReason::State));
    let unknown = log.write(second, remove("x", 0));
    assert_eq!(unknown, Err(VoidReason::Unknown("availability zone")));
}

fn log_in_two_zones() -> (Log, MemberId) {
    let (mut log, first, _) = Log::with_members();
    log.add_worker(first, "w1", "a", "sales");
    log.add_worker(first, "w2", "b", "sales");
    (log, first)
}

/// Guards against a zone removal that leaves a pool below its budget, also after another zone was removed.
#[rstest]
fn zone_removal_keeps_the_budget() {
    let (mut log, first) = log_in_two_zones();
    assert!(log.write(first, remove("a", 0)).is_ok());
    let budget = VoidReason::Budget { pool: "sales".into(), needed: 1, left: 0 };
    assert_eq!(log.write(first, remove("b", 0)), Err(budget));
    assert!(log.write(first, restore("a", 1)).is_ok());
    assert!(log.write(first, remove("b", 0)).is_ok());
}

/// Guards against starting a task in a zone that was removed before.
#[rstest]
fn removed_zone_takes_no_start() {
    let (mut log, first) = log_in_two_zones();
    let task = log.accept(first, non_idempotent_task(1, "ash", "sales"));
    let worker = log.fleet.worker("w1").expect("the worker exists");
    assert!(log.write(first, remove("a", 0)).is_ok());
    assert_eq!(log.start(first, task, 1, worker), Err(VoidReason::State));
    assert!(log.write(first, restore("a", 1)).is_ok());
    assert!(log.start(first, task, 1, worker).is_ok());
}
