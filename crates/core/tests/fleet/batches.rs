//! Batches: duplicates, lost answers, ended authors.

use rattanfall_core::fleet::{MemberState, VoidReason};
use rattanfall_core::ids::{MemberId, Offset};
use rattanfall_core::record::{Batch, Origin, Record};
use rstest::rstest;

use crate::support::{Log, join_batch};

fn claim(slots: u32) -> Record {
    Record::HoldClaim { team: "ash".into(), slots }
}

/// Guards against a batch that takes effect twice after the answer to its append was lost.
#[rstest]
fn repeated_append_has_no_effect() {
    let (mut log, first, _) = Log::with_members();
    let batch = log.prepare(first, vec![claim(1)]);
    assert!(!log.append(batch.clone()).duplicate);
    assert!(log.append(batch).duplicate);
    assert_eq!(log.fleet.hold(log.team("ash"), first), 1);
}

/// Guards against an append that arrives after its author has moved on to later batches.
#[rstest]
fn delayed_append_has_no_effect_after_later_batches() {
    let (mut log, first, _) = Log::with_members();
    let early = log.prepare(first, vec![claim(1)]);
    log.append(early.clone());
    let release = Record::HoldRelease { team: "ash".into(), slots: 1 };
    assert!(log.write(first, release).is_ok());
    assert!(log.append(early).duplicate);
    assert_eq!(log.fleet.held(log.team("ash")), 0);
}

/// Guards against a replica that counts an entry twice when a peer and the platform both deliver it.
#[rstest]
fn entries_below_the_applied_offset_are_ignored() {
    let (log, ..) = Log::with_members();
    let mut fleet = log.fleet.clone();
    for (offset, batch) in &log.entries {
        assert!(fleet.apply(*offset, batch).duplicate);
    }
    assert_eq!(fleet, log.fleet);
}

/// Guards against records of a member that was ended while its append was on the way.
#[rstest]
fn ended_author_changes_nothing() {
    let (mut log, first, second) = Log::with_members();
    log.write(first, Record::Gone { member: second }).expect("the member is live");
    let late = log.prepare(second, vec![claim(1), Record::Leave]);
    let applied = log.append(late);
    assert_eq!(applied.results, vec![Err(VoidReason::AuthorEnded); 2]);
    assert_eq!(log.fleet.held(log.team("ash")), 0);
    assert!(matches!(log.fleet.members[&second].state, MemberState::Gone(_)));
}

/// Guards against holds of a member that has left: nobody may reclaim them, so they would be lost for good.
#[rstest]
fn records_after_a_leave_in_the_same_batch_are_void() {
    let (mut log, first, _) = Log::with_members();
    let batch = log.prepare(first, vec![Record::Leave, claim(2)]);
    let applied = log.append(batch);
    assert_eq!(applied.results[1], Err(VoidReason::AuthorEnded));
    assert!(log.fleet.holds.is_empty());
}

/// Guards against a void report for a batch that took effect before its author ended.
#[rstest]
fn repeat_of_an_ended_author_counts_as_duplicate() {
    let (mut log, first, _) = Log::with_members();
    let leave = log.prepare(first, vec![Record::Leave]);
    assert!(!log.append(leave.clone()).duplicate);
    assert!(log.append(leave).duplicate);
}

/// Guards against authors that never joined.
#[rstest]
#[case(Origin::Member(MemberId(99)))]
#[case(Origin::Joining(5))]
fn unknown_author_changes_nothing(#[case] origin: Origin) {
    let (mut log, ..) = Log::with_members();
    let batch = Batch { origin, sequence: 1, records: vec![claim(1)] };
    assert_eq!(log.append(batch).results, vec![Err(VoidReason::AuthorEnded)]);
}

/// Guards against two members with the same id, which is the offset of the join.
#[rstest]
fn one_batch_creates_one_member_at_most() {
    let (mut log, first, _) = Log::with_members();
    let mut batch = join_batch("entry-3", "a", 7, &[]);
    batch.records.extend(join_batch("entry-4", "a", 8, &[]).records);
    assert_eq!(log.append(batch).results[1], Err(VoidReason::State));
    let foreign = join_batch("entry-5", "a", 9, &[]).records;
    let batch = log.prepare(first, foreign);
    assert_eq!(log.append(batch).results, vec![Err(VoidReason::State)]);
    assert_eq!(log.fleet.members.len(), 3);
}

/// Guards against a replica that waits for good at an entry that no replica can decode.
#[rstest]
fn skipped_entries_advance_and_never_go_back() {
    let (mut log, ..) = Log::with_members();
    log.fleet.skip(Offset(40));
    assert_eq!(log.fleet.applied, Some(Offset(40)));
    log.fleet.skip(Offset(3));
    assert_eq!(log.fleet.applied, Some(Offset(40)));
}
