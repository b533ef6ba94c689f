//! Escrow of the upper limits.

use rattanfall_core::fleet::VoidReason;
use rattanfall_core::ids::{MemberId, WorkerId};
use rattanfall_core::record::Record;
use rstest::rstest;

use crate::support::{BASE, Log, once};

fn give(to: MemberId, slots: u32) -> Record {
    Record::HoldGive { team: "ash".into(), to, slots }
}

fn release(slots: u32) -> Record {
    Record::HoldRelease { team: "ash".into(), slots }
}

/// Guards against a sum of holds above the limit when members claim at the same time.
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

/// Guards against slots that are given to a member that cannot return them.
#[rstest]
fn give_to_an_ended_member_is_void() {
    let (mut log, first, second) = Log::with_members();
    log.claim(first, "ash", 3);
    log.write(second, Record::Leave).expect("the member is live");
    assert_eq!(log.write(first, give(second, 1)), Err(VoidReason::Unknown("member")));
    assert_eq!(log.fleet.hold(log.team("ash"), first), 3);
}

/// Guards against rows without slots, which would make replicas of the same holds unequal to readers.
#[rstest]
fn empty_gives_leave_no_row() {
    let (mut log, first, second) = Log::with_members();
    assert!(log.write(first, give(second, 0)).is_ok());
    assert!(log.write(first, release(0)).is_ok());
    assert!(log.fleet.holds.is_empty());
}

/// Guards against new grants while holders still shrink to a lowered limit.
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

/// Guards against slots of a dead or silent member that others use while its work can still run.
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

/// Guards against a double reclaim that frees slots which others have claimed since.
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
    let worker = log.see_worker(first, "w1", "a", "sales");
    log.claim(second, "ash", 3);
    let task = log.accept(second, once(1, "ash", "sales"));
    log.accept(second, once(2, "ash", "sales"));
    log.start(second, task, 1, worker).expect("the task waits");
    (log, first, second, worker)
}

/// Guards against a started task that outlasts the reclaim: its new owner renews the lease, so its slot must not be
/// granted to others.
#[rstest]
fn started_task_takes_its_slot_to_the_new_owner() {
    let (mut log, first, second, _) = log_with_started_task();
    let ash = log.team("ash");
    log.write(first, Record::Gone { member: second }).expect("the member is live");
    assert_eq!((log.fleet.hold(ash, first), log.fleet.hold(ash, second)), (1, 2));
    log.write(first, Record::HoldReclaim { member: second }).expect("the member is gone");
    assert_eq!(log.fleet.held(ash), 1);
}

/// Guards against a clean exit that frees the slot of a task that runs on.
#[rstest]
fn leave_frees_all_but_the_slots_of_started_tasks() {
    let (mut log, first, second, _) = log_with_started_task();
    log.write(second, Record::Leave).expect("the member is live");
    assert_eq!(log.fleet.hold(log.team("ash"), first), 1);
    assert_eq!(log.fleet.held(log.team("ash")), 1);
}

/// Guards against slots of running tasks that are freed because the last member left before another joined.
#[rstest]
fn slots_of_started_tasks_wait_for_the_next_join() {
    let (mut log, first, second, _) = log_with_started_task();
    log.write(first, Record::Leave).expect("the member is live");
    log.write(second, Record::Leave).expect("the member is live");
    assert_eq!(log.fleet.held(log.team("ash")), 1);
    let third = log.join("entry-3", "a");
    assert_eq!(log.fleet.hold(log.team("ash"), third), 1);
}
