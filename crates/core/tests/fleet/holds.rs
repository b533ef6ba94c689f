//! Escrow of the teams' upper limits.

use rattanfall_core::fleet::VoidReason;
use rattanfall_core::ids::{MemberId, WorkerId};
use rattanfall_core::record::Record;
use rstest::rstest;

use crate::support::{BASE, Log, non_idempotent_task};

fn give(to: MemberId, slots: u32) -> Record {
    Record::HoldGive { team: "ash".into(), to, slots }
}

fn release(slots: u32) -> Record {
    Record::HoldRelease { team: "ash".into(), slots }
}

/// Guards against holds that exceed the limit in sum when several members claim.
#[rstest]
fn claims_share_the_unheld_rest() {
    let (mut log, first, second) = Log::with_members();
    assert_eq!(log.claim(first, "ash", 3), 3);
    assert_eq!(log.claim(second, "ash", 3), 1);
    assert_eq!(log.claim(second, "ash", 1), 0);
    assert_eq!(log.fleet.held(log.team("ash")), 4);
    assert_eq!(log.fleet.held(log.team("birch")), 0);
}

/// Guards against gives and releases that create or lose slots.
#[rstest]
fn gives_and_releases_keep_the_sum() {
    let (mut log, first, second) = Log::with_members();
    log.claim(first, "ash", 3);
    assert_eq!(log.write(first, give(second, 4)), Err(VoidReason::HoldTooSmall { held: 3 }));
    assert!(log.write(first, give(second, 2)).is_ok());
    assert_eq!(log.write(first, release(2)), Err(VoidReason::HoldTooSmall { held: 1 }));
    assert!(log.write(second, release(1)).is_ok());
    assert_eq!(log.fleet.held(log.team("ash")), 2);
    assert_eq!(log.fleet.unclaimed(log.team("ash")), 2);
}

/// Guards against giving slots to an ended member, which cannot return them.
#[rstest]
fn give_to_an_ended_member_is_void() {
    let (mut log, first, second) = Log::with_members();
    log.claim(first, "ash", 3);
    log.write(second, Record::Leave).expect("the member is live");
    assert_eq!(log.write(first, give(second, 1)), Err(VoidReason::Unknown("member")));
    assert_eq!(log.fleet.hold(log.team("ash"), first), 3);
}

/// Guards against rows with 0 slots: states with the same holds would compare unequal.
#[rstest]
fn gives_of_no_slots_add_no_row() {
    let (mut log, first, second) = Log::with_members();
    assert!(log.write(first, give(second, 0)).is_ok());
    assert!(log.write(first, release(0)).is_ok());
    assert!(log.fleet.holds.is_empty());
}

/// Guards against granting slots after the limit was lowered, while the holds still exceed it.
#[rstest]
fn lowered_limit_grants_nothing_until_the_holders_shrank() {
    let (mut log, first, second) = Log::with_members();
    log.claim(first, "ash", 4);
    log.configure(second, 1, &BASE.replace("limit = 4", "limit = 2")).expect("the change is valid");
    assert_eq!(log.fleet.held(log.team("ash")), 4);
    assert_eq!(log.claim(second, "ash", 1), 0);
    log.write(first, release(2)).expect("the author holds 4");
    assert_eq!(log.claim(second, "ash", 1), 0);
    log.write(first, release(1)).expect("the author holds 2");
    assert_eq!(log.claim(second, "ash", 5), 1);
}

/// Guards against granting the slots of a gone member to others while its work can still be running.
#[rstest]
fn holds_of_a_gone_member_return_only_by_reclaim() {
    let (mut log, first, second) = Log::with_members();
    log.claim(second, "ash", 4);
    assert_eq!(log.write(first, Record::HoldReclaim { member: second }), Err(VoidReason::State));
    log.write(first, Record::Gone { member: second }).expect("the member is live");
    assert_eq!(log.claim(first, "ash", 1), 0);
    log.write(first, Record::HoldReclaim { member: second }).expect("the member is gone");
    assert_eq!(log.claim(first, "ash", 4), 4);
}

/// Guards against a repeated reclaim that frees slots which others have claimed since.
#[rstest]
fn second_reclaim_frees_nothing() {
    let (mut log, first, second) = Log::with_members();
    log.claim(second, "ash", 2);
    log.write(first, Record::Gone { member: second }).expect("the member is live");
    log.write(first, Record::HoldReclaim { member: second }).expect("the member is gone");
    log.claim(first, "ash", 4);
    log.write(first, Record::HoldReclaim { member: second }).expect("the member is gone");
    assert_eq!(log.fleet.held(log.team("ash")), 4);
}

fn log_with_started_task() -> (Log, MemberId, MemberId, WorkerId) {
    let (mut log, first, second) = Log::with_members();
    let worker = log.add_worker(first, "w1", "a", "sales");
    log.claim(second, "ash", 3);
    let task = log.accept(second, non_idempotent_task(1, "ash", "sales"));
    log.accept(second, non_idempotent_task(2, "ash", "sales"));
    log.start(second, task, 1, worker).expect("the task waits");
    (log, first, second, worker)
}

/// Guards against granting the slot of a started task to others: the new owner renews its lease, so the task can run
/// past the reclaim.
#[rstest]
fn started_task_takes_its_slot_to_the_new_owner() {
    let (mut log, first, second, _) = log_with_started_task();
    let ash = log.team("ash");
    log.write(first, Record::Gone { member: second }).expect("the member is live");
    assert_eq!((log.fleet.hold(ash, first), log.fleet.hold(ash, second)), (1, 2));
    log.write(first, Record::HoldReclaim { member: second }).expect("the member is gone");
    assert_eq!(log.fleet.held(ash), 1);
}

/// Guards against a clean exit that frees the slots of tasks which keep running.
#[rstest]
fn leave_frees_all_but_the_slots_of_started_tasks() {
    let (mut log, first, second, _) = log_with_started_task();
    log.write(second, Record::Leave).expect("the member is live");
    assert_eq!(log.fleet.hold(log.team("ash"), first), 1);
    assert_eq!(log.fleet.held(log.team("ash")), 1);
}

/// Guards against freeing the slots of running tasks when the last member leaves before another joins.
#[rstest]
fn slots_of_started_tasks_wait_for_the_next_join() {
    let (mut log, first, second, _) = log_with_started_task();
    log.write(first, Record::Leave).expect("the member is live");
    log.write(second, Record::Leave).expect("the member is live");
    assert_eq!(log.fleet.held(log.team("ash")), 1);
    let third = log.join("entry-3", "a");
    assert_eq!(log.fleet.hold(log.team("ash"), third), 1);
}
