//! Follows the log through the platform or, while the platform is unreachable, through peers.

use std::sync::Arc;
use std::time::Duration;

use rattanfall_core::engine::Event;
use rattanfall_core::ids::Offset;
use rattanfall_wire::peer::Tail as PeerTail;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::restore::restore;
use super::{ApplyError, LogCursor, LogRead, Platform};
use crate::peers::Peers;

/// Pause after a failed read.
const READ_BACKOFF: Duration = Duration::from_millis(100);
/// Pause after a failed restore from a snapshot, or at an entry that cannot be applied.
const RESTORE_BACKOFF: Duration = Duration::from_secs(1);
/// Time without a response from the platform after which the log is read from peers. The longest wait of a read is
/// added to it.
const PEER_FALLBACK_DELAY: Duration = Duration::from_secs(2);
/// Interval at which log entries are pulled from peers.
const PEER_PULL_INTERVAL: Duration = Duration::from_millis(250);

/// Reads the log until the task is aborted.
pub async fn follow(log: Arc<LogCursor>, platform: Arc<Platform>, peers: Arc<Peers>) {
    loop {
        match platform.read(log.next(), platform.read_wait()).await {
            Ok(read) => {
                log.mark_reached();
                apply_read(&log, &platform, &peers, read).await;
            }
            Err(error) => {
                log::debug!("log read failed: {error}");
                sleep(READ_BACKOFF).await;
            }
        }
    }
}

/// Applies the result of a read. Restores a snapshot if entries that this instance needs are no longer kept.
async fn apply_read(log: &LogCursor, platform: &Platform, peers: &Peers, read: LogRead) {
    let earliest = match read {
        LogRead::Gone { earliest } => earliest,
        LogRead::Page { end, .. } if end < log.next() => {
            log::error!(end = end, next = log.next(); "the log ends before entries that were already applied");
            return sleep(RESTORE_BACKOFF).await;
        }
        LogRead::Page { first, entries, end } => {
            let last = first + entries.len() as u64;
            match log.apply(first, entries) {
                Ok(()) if last >= end => return log.shell().handle(Event::LogEnd),
                Ok(()) => return,
                Err(error @ ApplyError::Version { .. }) => {
                    log::error!("{error}; replace this instance with one of the newer release");
                    return sleep(RESTORE_BACKOFF).await;
                }
                Err(error @ ApplyError::Gap { .. }) => {
                    log::warn!("{error}");
                    first
                }
            }
        }
    };
    if let Err(error) = restore(log, platform, peers, earliest).await {
        log::error!(earliest = earliest; "cannot restore the state: {error}");
        sleep(RESTORE_BACKOFF).await;
    }
}

/// Pulls log entries from peers while the platform does not respond.
pub async fn pull_tails(log: Arc<LogCursor>, platform: Arc<Platform>, peers: Arc<Peers>) {
    let mut pulls = interval(PEER_PULL_INTERVAL);
    pulls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        pulls.tick().await;
        if log.since_reached() >= PEER_FALLBACK_DELAY + platform.read_wait() {
            pull_from_peers(&log, &peers).await;
        }
    }
}

async fn pull_from_peers(log: &LogCursor, peers: &Peers) {
    for address in peers.addresses() {
        match peers.tail(&address, Offset(log.next())).await {
            Some(PeerTail::Batches(batches)) => apply_tail(log, batches),
            Some(PeerTail::NeedSnapshot) => {
                if let Some(fleet) = peers.snapshot(&address).await {
                    log.restore(fleet);
                }
            }
            None => {}
        }
    }
}

fn apply_tail(log: &LogCursor, batches: Vec<(Offset, Vec<u8>)>) {
    let Some(first) = batches.first().map(|(first, _)| first.0) else {
        return;
    };
    if let Err(error) = log.apply(first, batches.into_iter().map(|(_, entry)| entry).collect()) {
        log::debug!("cannot apply a peer's log entries: {error}");
    }
}
