//! Batches: duplicates, lost responses and ended authors.

use rattanfall_core::fleet::{MemberState, VoidReason};
use rattanfall_core::ids::{MemberId, Offset};
use rattanfall_core::record::{Batch, Origin, Record};
use rstest::rstest;

use crate::support::{Log, join_batch};

fn claim(slots: u32) -> Record {
    Record::HoldClaim { team: "ash".into(), slots }
}

/// Guards against applying a batch twice when its append was retried because the response was lost.
#[rstest]
fn repeated_append_has_no_effect() {
    let (mut log, first, _) = Log::with_members();
    let batch = log.next_batch(first, vec![claim(1)]);
    assert!(!log.append(batch.clone()).duplicate);
    assert!(log.append(batch).duplicate);
    assert_eq!(log.fleet.hold(log.team("ash"), first), 1);
}

/// Guards against applying a delayed duplicate that arrives after later batches of its author.
#[rstest]
fn delayed_append_has_no_effect_after_later_batches() {
    let (mut log, first, _) = Log::with_members();
    let early = log.next_batch(first, vec![claim(1)]);
    log.append(early.clone());
    let release = Record::HoldRelease { team: "ash".into(), slots: 1 };
    assert!(log.write(first, release).is_ok());
    assert!(log.append(early).duplicate);
    assert_eq!(log.fleet.held(log.team("ash")), 0);
}

/// Guards against applying an entry twice when a peer and the platform both deliver it.
#[rstest]
fn entries_below_the_applied_offset_are_ignored() {
    let (log, ..) = Log::with_members();
    let mut fleet = log.fleet.clone();
    for (offset, batch) in &log.entries {
        assert!(fleet.apply(*offset, batch).duplicate);
    }
    assert_eq!(fleet, log.fleet);
}

/// Guards against applying records of a member that was ended while its append was in flight.
#[rstest]
fn ended_author_changes_nothing() {
    let (mut log, first, second) = Log::with_members();
    log.write(first, Record::Gone { member: second }).expect("the member is live");
    let late = log.next_batch(second, vec![claim(1), Record::Leave]);
    let applied = log.append(late);
    assert_eq!(applied.results, vec![Err(VoidReason::AuthorEnded); 2]);
    assert_eq!(log.fleet.held(log.team("ash")), 0);
    assert!(matches!(log.fleet.members[&second].state, MemberState::Gone(_)));
}

/// Guards against giving holds to a member that has left: nobody may reclaim them, so they would be lost.
#[rstest]
fn records_after_a_leave_in_the_same_batch_are_void() {
    let (mut log, first, _) = Log::with_members();
    let batch = log.next_batch(first, vec![Record::Leave, claim(2)]);
    let applied = log.append(batch);
    assert_eq!(applied.results[1], Err(VoidReason::AuthorEnded));
    assert!(log.fleet.holds.is_empty());
}

/// Guards against reporting a batch as void that took effect before its author ended.
#[rstest]
fn repeat_of_an_ended_author_counts_as_duplicate() {
    let (mut log, first, _) = Log::with_members();
    let leave = log.next_batch(first, vec![Record::Leave]);
    assert!(!log.append(leave.clone()).duplicate);
    assert!(log.append(leave).duplicate);
}

/// Guards against applying records of authors that never joined.
#[rstest]
#[case(Origin::Member(MemberId(99)))]
#[case(Origin::Joining(5))]
fn unknown_author_changes_nothing(#[case] origin: Origin) {
    let (mut log, ..) = Log::with_members();
    let batch = Batch { origin, sequence: 1, records: vec![claim(1)] };
    assert_eq!(log.append(batch).results, vec![Err(VoidReason::AuthorEnded)]);
}

/// Guards against two members with the same id: the id is the offset of the join, so one batch may add only one.
#[rstest]
fn one_batch_creates_one_member_at_most() {
    let (mut log, first, _) = Log::with_members();
    let mut batch = join_batch("entry-3", "a", 7, &[]);
    batch.records.extend(join_batch("entry-4", "a", 8, &[]).records);
    assert_eq!(log.append(batch).results[1], Err(VoidReason::State));
    let foreign = join_batch("entry-5", "a", 9, &[]).records;
    let batch = log.next_batch(first, foreign);
    assert_eq!(log.append(batch).results, vec![Err(VoidReason::State)]);
    assert_eq!(log.fleet.members.len(), 3);
}

/// Guards against a replica that is stuck at an entry that cannot be decoded, or goes back when it skips one.
#[rstest]
fn skipped_entries_advance_and_never_go_back() {
    let (mut log, ..) = Log::with_members();
    log.fleet.skip(Offset(40));
    assert_eq!(log.fleet.applied, Some(Offset(40)));
    log.fleet.skip(Offset(3));
    assert_eq!(log.fleet.applied, Some(Offset(40)));
}
