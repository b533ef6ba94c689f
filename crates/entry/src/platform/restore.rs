//! Restores the state from a snapshot when the log no longer keeps the entries that this instance needs.

use std::time::Duration;

use rattanfall_core::fleet::{Fleet, SnapshotAssembler};
use rattanfall_core::record::{Record, decode};
use thiserror::Error;

use super::{LogCursor, LogRead, Platform};
use crate::peers::Peers;
use crate::upstreams::CallError;

/// Reason why no snapshot can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum RestoreError {
    /// The platform did not return log entries.
    #[error("cannot read the log: {0}")]
    LogRead(#[from] CallError),
    /// Entries were dropped from the log while it was read.
    #[error("entries were dropped from the log while it was read")]
    Dropped,
    /// Neither the log nor a peer has a snapshot that covers the dropped entries, so the state is unknown.
    #[error("neither the log nor a peer has a snapshot that covers the entries before offset {0}")]
    NoSnapshot(u64),
}

/// Restores the newest snapshot in the log or, if that does not cover the dropped entries, a peer's.
pub(super) async fn restore(
    log: &LogCursor,
    platform: &Platform,
    peers: &Peers,
    earliest: u64,
) -> Result<(), RestoreError> {
    let usable = |fleet: &Fleet| fleet.applied.is_some_and(|covers| covers.0 + 1 >= earliest);
    if let Some(fleet) = newest_snapshot(platform, earliest).await?.filter(usable) {
        log.restore(fleet);
        return Ok(());
    }
    for address in peers.addresses() {
        if let Some(fleet) = peers.snapshot(&address).await.filter(usable) {
            log.restore(fleet);
            return Ok(());
        }
    }
    Err(RestoreError::NoSnapshot(earliest))
}

/// Reads all entries that the log keeps and returns the newest complete snapshot.
async fn newest_snapshot(platform: &Platform, earliest: u64) -> Result<Option<Fleet>, RestoreError> {
    let mut assembler = SnapshotAssembler::default();
    let mut newest = None;
    let mut next = earliest;
    loop {
        let LogRead::Page { first, entries, end } = platform.read(next, Duration::ZERO).await? else {
            return Err(RestoreError::Dropped);
        };
        if first != next {
            return Err(RestoreError::Dropped);
        }
        next += entries.len() as u64;
        let at_end = entries.is_empty() || next >= end;
        for entry in entries {
            collect_snapshots(&mut assembler, &entry, &mut newest);
        }
        if at_end {
            return Ok(newest);
        }
    }
}

fn collect_snapshots(assembler: &mut SnapshotAssembler, entry: &[u8], newest: &mut Option<Fleet>) {
    let Ok(batch) = decode(entry) else {
        return;
    };
    for record in &batch.records {
        let Record::SnapshotPart(part) = record else {
            continue;
        };
        match assembler.add(part) {
            Ok(Some(fleet)) if newest.as_ref().is_none_or(|old| old.applied < fleet.applied) => {
                *newest = Some(fleet);
            }
            Ok(_) => {}
            Err(error) => log::warn!("skipping an unusable snapshot in the log: {error}"),
        }
    }
}
