//! Joins and ends of members, and the reassignment of their tasks.

use rattanfall_core::fleet::{MemberState, VoidReason};
use rattanfall_core::ids::MemberId;
use rattanfall_core::record::Record;
use rstest::rstest;

use crate::support::{Log, idempotent_task, join_batch, non_idempotent_task};

/// Guards against adding a process twice when its join is appended twice.
#[rstest]
fn repeated_join_finds_the_first_member() {
    let mut log = Log::default();
    let batch = join_batch("entry-1", "a", 7, &[]);
    let id = log.append_join(batch.clone()).expect("a new process");
    assert_eq!(log.append_join(batch), Ok(id));
    assert_eq!(log.fleet.members.len(), 1);
}

/// Guards against reviving an ended member by a delayed duplicate of its join.
#[rstest]
fn repeated_join_of_an_ended_member_is_void() {
    let (mut log, first, _) = Log::with_members();
    let batch = join_batch("entry-3", "a", 7, &[]);
    let third = log.append_join(batch.clone()).expect("a new process");
    log.write(first, Record::Gone { member: third }).expect("the member is live");
    assert_eq!(log.append_join(batch), Err(VoidReason::AuthorEnded));
}

/// Guards against ending a live member by the delayed join of a dead process that it replaced.
#[rstest]
fn delayed_join_of_a_dead_process_does_not_end_its_successor() {
    let (mut log, first, _) = Log::with_members();
    let delayed = join_batch("entry-1", "a", 7, &[first]);
    let successor = log.append_join(join_batch("entry-1", "a", 8, &[first])).expect("a new process");
    assert!(matches!(log.fleet.members[&first].state, MemberState::Gone(_)));
    let stale = log.append_join(delayed).expect("the log cannot know that the process is dead");
    assert_eq!(log.fleet.members[&successor].state, MemberState::Live);
    log.write(successor, Record::Gone { member: stale }).expect("the list does not show its nonce");
    assert_eq!(log.fleet.live_members().count(), 2);
}

/// Guards against a join that ends members of another instance.
#[rstest]
fn join_ends_only_members_of_its_name() {
    let (mut log, first, second) = Log::with_members();
    let batch = join_batch("entry-1", "a", 7, &[first, second, MemberId(99)]);
    log.append_join(batch).expect("a new process");
    assert!(matches!(log.fleet.members[&first].state, MemberState::Gone(_)));
    assert_eq!(log.fleet.members[&second].state, MemberState::Live);
}

/// Guards against ending a member again after a clean exit, and against ends of unknown members.
#[rstest]
fn member_ends_once() {
    let (mut log, first, second) = Log::with_members();
    log.write(second, Record::Leave).expect("the member is live");
    assert_eq!(log.write(first, Record::Gone { member: second }), Err(VoidReason::State));
    assert_eq!(log.write(first, Record::HoldReclaim { member: second }), Err(VoidReason::State));
    let unknown = log.write(first, Record::Gone { member: MemberId(99) });
    assert_eq!(unknown, Err(VoidReason::Unknown("member")));
}

/// Guards against accepted tasks that remain with an ended member.
#[rstest]
#[case::gone(false)]
#[case::left(true)]
fn tasks_of_an_ended_member_pass_to_a_live_one(#[case] clean: bool) {
    let (mut log, first, second) = Log::with_members();
    let tasks: Vec<_> = (1..=8).map(|n| log.accept(second, non_idempotent_task(n, "ash", "sales"))).collect();
    let (author, record) =
        if clean { (second, Record::Leave) } else { (first, Record::Gone { member: second }) };
    log.write(author, record).expect("the member is live");
    assert!(tasks.iter().all(|id| log.fleet.tasks[id].owner == first));
}

/// Guards against losing tasks when all members end before a new one joins.
#[rstest]
fn tasks_wait_for_the_next_join_when_nobody_is_live() {
    let (mut log, first, second) = Log::with_members();
    let task = log.accept(second, idempotent_task(1, "ash", "sales"));
    log.write(second, Record::Leave).expect("the member is live");
    log.write(first, Record::Leave).expect("the member is live");
    let third = log.join("entry-3", "a");
    assert_eq!(log.fleet.tasks[&task].owner, third);
}

/// Guards against a choice of owner that depends on the toolchain, so that replicas of two releases would differ.
#[rstest]
fn owner_choice_is_fixed_by_the_format() {
    let (mut log, first, second) = Log::with_members();
    let third = log.join("entry-3", "a");
    let tasks: Vec<_> = (1..=6).map(|n| log.accept(third, non_idempotent_task(n, "ash", "sales"))).collect();
    log.write(third, Record::Leave).expect("the member is live");
    let owners: Vec<_> = tasks.iter().map(|id| log.fleet.tasks[id].owner).collect();
    // Computed independently: the member with the largest SHA-256 over the ids as little-endian integers.
    assert_eq!(owners, [first, first, first, first, first, second]);
}
