//! Start from a snapshot, when the log no longer keeps the entries that this instance needs.

use std::time::Duration;

use rattanfall_core::fleet::{Fleet, SnapshotAssembler};
use rattanfall_core::record::{Record, decode};
use thiserror::Error;

use super::{Log, Platform, Read};
use crate::peers::Directions;
use crate::upstreams::CallError;

/// Reason why no snapshot can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum RestoreError {
    /// The platform did not answer.
    #[error("the log cannot be read: {0}")]
    Read(#[from] CallError),
    /// The log moved on while it was read.
    #[error("the log moved on while it was read")]
    Moved,
    /// Neither the log nor a peer has a snapshot that covers the lost entries. The state is never guessed.
    #[error("neither the log nor a peer has a snapshot that covers the entries before offset {0}")]
    None(u64),
}

/// Restores the newest snapshot of the log, or a peer's.
pub(super) async fn restore(
    log: &Log,
    platform: &Platform,
    peers: &Directions,
    earliest: u64,
) -> Result<(), RestoreError> {
    let usable = |fleet: &Fleet| fleet.applied.is_some_and(|covers| covers.0 + 1 >= earliest);
    if let Some(fleet) = newest_in_log(platform, earliest).await?.filter(usable) {
        log.restore(fleet);
        return Ok(());
    }
    for address in peers.addresses() {
        if let Some(fleet) = peers.snapshot(&address).await.filter(usable) {
            log.restore(fleet);
            return Ok(());
        }
    }
    Err(RestoreError::None(earliest))
}

/// Reads all kept entries and returns the last complete snapshot.
async fn newest_in_log(platform: &Platform, earliest: u64) -> Result<Option<Fleet>, RestoreError> {
    let mut collector = SnapshotAssembler::default();
    let mut newest = None;
    let mut next = earliest;
    loop {
        let Read::Page { first, entries, end } = platform.read(next, Duration::ZERO).await? else {
            return Err(RestoreError::Moved);
        };
        if first != next {
            return Err(RestoreError::Moved);
        }
        next += entries.len() as u64;
        let at_end = entries.is_empty() || next >= end;
        for entry in entries {
            collect(&mut collector, &entry, &mut newest);
        }
        if at_end {
            return Ok(newest);
        }
    }
}

fn collect(collector: &mut SnapshotAssembler, entry: &[u8], newest: &mut Option<Fleet>) {
    let Ok(batch) = decode(entry) else {
        return;
    };
    for record in &batch.records {
        let Record::SnapshotPart(part) = record else {
            continue;
        };
        match collector.add(part) {
            Ok(Some(fleet)) if newest.as_ref().is_none_or(|old| old.applied < fleet.applied) => {
                *newest = Some(fleet);
            }
            Ok(_) => {}
            Err(error) => log::warn!("a snapshot in the log is passed over: {error}"),
        }
    }
}
