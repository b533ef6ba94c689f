//! Snapshots: complete, incomplete, old and damaged ones.

#[path = "fleet/support.rs"]
mod support;

use rattanfall_core::fleet::{Fleet, RestoreError, SnapshotAssembler, split_snapshot};
use rattanfall_core::ids::Offset;
use rattanfall_core::record::{Record, SnapshotPart, TaskAccepted};
use rstest::rstest;

use support::{Log, once};

/// A state whose snapshot has several parts.
fn large_log() -> Log {
    let (mut log, first, second) = Log::with_members();
    log.see_worker(first, "w1", "a", "sales");
    log.claim(second, "ash", 2);
    for number in 1..=12 {
        log.accept(first, TaskAccepted { payload: vec![7; 60 << 10], ..once(number, "ash", "sales") });
    }
    log
}

/// Guards against a restored replica that differs from one which replayed the whole log.
#[rstest]
fn restored_replica_equals_a_replayed_one() {
    let mut log = large_log();
    let mut restored = Fleet::restore(&log.fleet.snapshot()).expect("the snapshot is whole");
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

/// Guards against parts that arrive out of order or twice.
#[rstest]
fn parts_complete_in_any_order() {
    let log = large_log();
    let mut parts = split_snapshot(&log.fleet, 1);
    assert!(parts.len() > 2, "the state fits into {} parts", parts.len());
    parts.reverse();
    let mut collector = SnapshotAssembler::default();
    let last = parts.pop().expect("several parts");
    for part in parts.iter().chain(&parts) {
        assert_eq!(collector.add(part), Ok(None));
    }
    assert_eq!(collector.add(&last), Ok(Some(log.fleet)));
}

/// Guards against a state that is put together from an incomplete snapshot or from parts of two snapshots.
#[rstest]
fn parts_of_two_snapshots_do_not_mix() {
    let log = large_log();
    let (first, second) = (split_snapshot(&log.fleet, 1), split_snapshot(&log.fleet, 2));
    let mut collector = SnapshotAssembler::default();
    for (index, part) in first.iter().enumerate().skip(1) {
        let other = if index % 2 == 0 { part } else { &second[index] };
        assert_eq!(collector.add(other), Ok(None));
    }
    assert_eq!(collector.add(&second[0]), Ok(None));
}

/// Guards against a member that never finishes its snapshots and fills the memory of the others.
#[rstest]
fn old_incomplete_snapshots_are_dropped() {
    let mut collector = SnapshotAssembler::default();
    let part = |covers, index| SnapshotPart { id: 1, covers: Offset(covers), index, total: 2, bytes: vec![] };
    for covers in 0..20 {
        assert_eq!(collector.add(&part(covers, 0)), Ok(None));
    }
    assert_eq!(collector.add(&part(0, 1)), Ok(None));
    assert_eq!(collector.add(&part(19, 1)), Err(RestoreError::Malformed));
}

/// Guards against parts that do not belong to any set.
#[rstest]
#[case(0, 0)]
#[case(2, 2)]
fn parts_outside_their_set_are_refused(#[case] index: u32, #[case] total: u32) {
    let part = SnapshotPart { id: 1, covers: Offset(1), index, total, bytes: vec![] };
    assert_eq!(SnapshotAssembler::default().add(&part), Err(RestoreError::Malformed));
}

/// Guards against an old snapshot that takes a replica back, and with it the configuration.
#[rstest]
fn old_snapshot_does_not_take_a_replica_back() {
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

/// Guards against a state that is read from parts which name another offset.
#[rstest]
fn snapshot_of_another_offset_is_refused() {
    let (log, ..) = Log::with_members();
    let mut part = split_snapshot(&log.fleet, 1).remove(0);
    part.covers = Offset(part.covers.0 + 1);
    assert_eq!(SnapshotAssembler::default().add(&part), Err(RestoreError::Offset));
}

/// Guards against a state that is guessed from damaged bytes or from the layout of another release.
#[rstest]
fn damaged_snapshots_are_refused() {
    let (log, ..) = Log::with_members();
    let bytes = log.fleet.snapshot();
    for position in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[position] ^= 1;
        assert!(Fleet::restore(&damaged).is_err(), "the change of byte {position} goes unnoticed");
        assert!(Fleet::restore(&bytes[..position]).is_err(), "{position} bytes are taken for a snapshot");
    }
    let mut newer = bytes;
    newer[0] += 1;
    assert_eq!(Fleet::restore(&newer), Err(RestoreError::Version(newer[0])));
}

/// Guards against a snapshot of nothing, which would cover offsets that nobody applied.
#[rstest]
fn empty_replica_writes_no_snapshot() {
    assert!(split_snapshot(&Fleet::default(), 1).is_empty());
}
