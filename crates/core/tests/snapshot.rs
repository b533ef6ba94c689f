//! Snapshots of the replicated state: complete, incomplete, outdated and damaged ones.

#[path = "fleet/support.rs"]
mod support;

use rattanfall_core::fleet::{Fleet, RestoreError, SnapshotAssembler, split_snapshot};
use rattanfall_core::ids::Offset;
use rattanfall_core::record::{Record, SnapshotPart, TaskAccepted};
use rstest::rstest;

use support::{Log, non_idempotent_task};

/// A log whose state gives a snapshot of several parts.
fn large_log() -> Log {
    let (mut log, first, second) = Log::with_members();
    log.add_worker(first, "w1", "a", "sales");
    log.claim(second, "ash", 2);
    for number in 1..=12 {
        log.accept(
            first,
            TaskAccepted { payload: vec![7; 60 << 10], ..non_idempotent_task(number, "ash", "sales") },
        );
    }
    log
}

/// Guards against a restored replica that differs from one that replayed the whole log.
#[rstest]
fn restored_replica_equals_a_replayed_one() {
    let mut log = large_log();
    let mut restored = Fleet::restore(&log.fleet.snapshot()).expect("the snapshot is complete");
    assert_eq!(restored, log.replay());
    let covered = log.entries.len();
    let author = *log.fleet.members.keys().next().expect("two members");
    log.claim(author, "birch", 1);
    log.write(author, Record::Leave).expect("the member is live");
    for (offset, batch) in &log.entries[covered..] {
        restored.apply(*offset, batch);
    }
    assert_eq!(restored, log.replay());
    assert_eq!(restored.snapshot(), log.fleet.snapshot());
}

/// Guards against failing to assemble parts that arrive out of order or twice.
#[rstest]
fn parts_complete_in_any_order() {
    let log = large_log();
    let mut parts = split_snapshot(&log.fleet, 1);
    assert!(parts.len() > 2, "the state fits into {} parts", parts.len());
    parts.reverse();
    let mut assembler = SnapshotAssembler::default();
    let last = parts.pop().expect("several parts");
    for part in parts.iter().chain(&parts) {
        assert_eq!(assembler.add(part), Ok(None));
    }
    assert_eq!(assembler.add(&last), Ok(Some(log.fleet)));
}

/// Guards against assembling a state from an incomplete snapshot or from parts of two snapshots.
#[rstest]
fn parts_of_two_snapshots_do_not_mix() {
    let log = large_log();
    let (first, second) = (split_snapshot(&log.fleet, 1), split_snapshot(&log.fleet, 2));
    let mut assembler = SnapshotAssembler::default();
    for (index, part) in first.iter().enumerate().skip(1) {
        let other = if index % 2 == 0 { part } else { &second[index] };
        assert_eq!(assembler.add(other), Ok(None));
    }
    assert_eq!(assembler.add(&second[0]), Ok(None));
}

/// Guards against unbounded memory when a member never finishes its snapshots.
#[rstest]
fn oldest_incomplete_snapshots_are_evicted() {
    let mut assembler = SnapshotAssembler::default();
    let part = |covers, index| SnapshotPart { id: 1, covers: Offset(covers), index, total: 2, bytes: vec![] };
    for covers in 0..20 {
        assert_eq!(assembler.add(&part(covers, 0)), Ok(None));
    }
    assert_eq!(assembler.add(&part(0, 1)), Ok(None));
    assert_eq!(assembler.add(&part(19, 1)), Err(RestoreError::Malformed));
}

/// Guards against accepting parts whose index is outside their set.
#[rstest]
#[case(0, 0)]
#[case(2, 2)]
fn parts_outside_their_set_are_refused(#[case] index: u32, #[case] total: u32) {
    let part = SnapshotPart { id: 1, covers: Offset(1), index, total, bytes: vec![] };
    assert_eq!(SnapshotAssembler::default().add(&part), Err(RestoreError::Malformed));
}

/// Guards against an older snapshot that reverts a replica, and with it the configuration.
#[rstest]
fn older_snapshot_is_not_installed() {
    let (mut log, first, _) = Log::with_members();
    let old = log.fleet.clone();
    log.claim(first, "ash", 1);
    let newest = log.fleet.clone();
    let mut fleet = newest.clone();
    assert!(!fleet.advance(old.clone()));
    assert!(!fleet.advance(newest.clone()));
    assert!(!fleet.advance(Fleet::default()));
    assert_eq!(fleet, newest);
    fleet = old;
    assert!(fleet.advance(newest.clone()));
    assert_eq!(fleet, newest);
}

/// Guards against a snapshot whose state ends at another offset than its parts name.
#[rstest]
fn snapshot_of_another_offset_is_refused() {
    let (log, ..) = Log::with_members();
    let mut part = split_snapshot(&log.fleet, 1).remove(0);
    part.covers = Offset(part.covers.0 + 1);
    assert_eq!(SnapshotAssembler::default().add(&part), Err(RestoreError::Offset));
}

/// Guards against restoring a wrong state from damaged bytes or from the layout of another release.
#[rstest]
fn damaged_snapshots_are_refused() {
    let (log, ..) = Log::with_members();
    let bytes = log.fleet.snapshot();
    for position in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[position] ^= 1;
        assert!(Fleet::restore(&damaged).is_err(), "a change of byte {position} is not detected");
        assert!(Fleet::restore(&bytes[..position]).is_err(), "{position} bytes restore as a snapshot");
    }
    let mut newer = bytes;
    newer[0] += 1;
    assert_eq!(Fleet::restore(&newer), Err(RestoreError::Version(newer[0])));
}

/// Guards against a snapshot of an empty replica, which has no offset that it could cover.
#[rstest]
fn empty_replica_writes_no_snapshot() {
    assert!(split_snapshot(&Fleet::default(), 1).is_empty());
}
