//! Binary format of batches.

#[path = "fleet/support.rs"]
mod support;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rattanfall_core::ids::MemberId;
use rattanfall_core::record::{Batch, DecodeError, Origin, Record, decode, encode};
use rstest::rstest;

use support::{BASE, Log, declaration, join_batch, non_idempotent_task, worker_seen};

fn batch() -> Batch {
    let records = vec![
        Record::ConfigChanged { base: 3, declaration: declaration(BASE) },
        Record::TaskAccepted(non_idempotent_task(1, "ash", "sales")),
        Record::WorkerSeen(worker_seen("w1", "a", "sales")),
        Record::Leave,
    ];
    Batch { origin: Origin::Member(MemberId(5)), sequence: 9, records }
}

/// Guards against a batch that decodes to a different one.
#[rstest]
#[case(batch())]
#[case(join_batch("entry-1", "a", u64::MAX, &[MemberId(0), MemberId(u64::MAX)]))]
#[case(Batch { origin: Origin::Member(MemberId(0)), sequence: 1, records: vec![] })]
fn batches_round_trip(#[case] batch: Batch) {
    assert_eq!(decode(&encode(&batch)), Ok(batch));
}

/// Guards against decoding a damaged or truncated entry.
#[rstest]
fn damaged_entries_are_refused() {
    let bytes = encode(&batch());
    for position in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[position] ^= 0x10;
        assert!(decode(&damaged).is_err(), "a change of byte {position} is not detected");
        assert!(decode(&bytes[..position]).is_err(), "{position} bytes decode as a batch");
    }
}

/// Guards against errors that do not tell an entry of another release from a damaged one.
#[rstest]
fn decode_errors_name_the_cause() {
    let mut bytes = encode(&batch());
    assert_eq!(decode(&bytes[..3]), Err(DecodeError::Short(3)));
    bytes[7] ^= 1;
    assert_eq!(decode(&bytes), Err(DecodeError::Checksum));
    bytes[0] = 2;
    assert_eq!(decode(&bytes), Err(DecodeError::Checksum));
    assert_eq!(decode(&entry(2, &[0xff; 3])), Err(DecodeError::Version(2)));
    assert_eq!(decode(&entry(1, &[0xff; 3])), Err(DecodeError::Body));
}

/// Entry of a format version, with a valid checksum.
fn entry(version: u8, body: &[u8]) -> Vec<u8> {
    let checksum = crc32fast::hash(&[&[version], body].concat());
    [&[version], &checksum.to_le_bytes()[..], body].concat()
}

/// Guards against a change of the binary format without a new format version: logs outlive releases.
#[rstest]
fn binary_form_is_fixed() {
    let batch = Batch {
        origin: Origin::Member(MemberId(300)),
        sequence: 2,
        records: vec![Record::Gone { member: MemberId(1) }, Record::Leave],
    };
    let bytes = encode(&batch);
    assert_eq!(bytes[5..], [1, 0xac, 2, 2, 2, 2, 1, 1]);
}

/// Guards against an encoding that loses information, so that replicas fed from the log and from memory differ.
#[rstest]
fn decoded_entries_apply_like_the_originals() {
    let (mut log, first, _) = Log::with_members();
    log.add_worker(first, "w1", "a", "sales");
    log.accept(first, non_idempotent_task(1, "ash", "sales"));
    let mut fleet = rattanfall_core::fleet::Fleet::default();
    for (offset, batch) in &log.entries {
        fleet.apply(*offset, &decode(&encode(batch)).expect("the entry is complete"));
    }
    assert_eq!(fleet, log.fleet);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against accepting arbitrary bytes, or panicking on them.
    #[test]
    fn arbitrary_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(decode(&bytes).is_err());
    }

    /// Guards against a panic on an arbitrary body with a valid checksum.
    #[test]
    fn arbitrary_bodies_do_not_crash(body in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut bytes = vec![1];
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        let _ = decode(&bytes);
    }
}
