//! Follows the log, through the platform or, while that cannot be reached, through peers.

use std::sync::Arc;
use std::time::Duration;

use rattanfall_core::engine::Event;
use rattanfall_core::ids::Offset;
use rattanfall_wire::peer::Tail as PeerTail;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::restore::restore;
use super::{FeedError, Log, Platform, Read};
use crate::peers::Directions;

/// Pause after a failed read.
const BACKOFF: Duration = Duration::from_millis(100);
/// Pause after a failed start from a snapshot.
const RESTORE_BACKOFF: Duration = Duration::from_secs(1);
/// Time without an answer of the platform after which peers are asked. A read may wait for the platform's own limit
/// on top of it.
const UNREACHED: Duration = Duration::from_secs(2);
/// Interval of pulls from peers.
const PULL: Duration = Duration::from_millis(250);

/// Reads the log until the task is aborted.
pub async fn follow(log: Arc<Log>, platform: Arc<Platform>, peers: Arc<Directions>) {
    loop {
        match platform.read(log.next(), platform.read_wait()).await {
            Ok(read) => {
                log.note_reached();
                take(&log, &platform, &peers, read).await;
            }
            Err(error) => {
                log::debug!("a read of the log failed: {error}");
                sleep(BACKOFF).await;
            }
        }
    }
}

async fn take(log: &Log, platform: &Platform, peers: &Directions, read: Read) {
    let earliest = match read {
        Read::Gone { earliest } => earliest,
        Read::Page { end, .. } if end < log.next() => {
            log::error!(end = end, next = log.next(); "the log ends before entries that were applied");
            return sleep(RESTORE_BACKOFF).await;
        }
        Read::Page { first, entries, end } => {
            let last = first + entries.len() as u64;
            match log.feed(first, entries) {
                Ok(()) if last >= end => return log.shell().handle(Event::LogEnd),
                Ok(()) => return,
                Err(error @ FeedError::Version { .. }) => {
                    log::error!("{error}; replace this instance by one of the newer release");
                    return sleep(RESTORE_BACKOFF).await;
                }
                Err(error @ FeedError::Gap { .. }) => {
                    log::warn!("{error}");
                    first
                }
            }
        }
    };
    if let Err(error) = restore(log, platform, peers, earliest).await {
        log::error!(earliest = earliest; "the state cannot be restored: {error}");
        sleep(RESTORE_BACKOFF).await;
    }
}

/// Pulls tails from peers whenever the platform has not answered for a while.
pub async fn pull_tails(log: Arc<Log>, platform: Arc<Platform>, peers: Arc<Directions>) {
    let mut pulls = interval(PULL);
    pulls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        pulls.tick().await;
        if log.unreached() >= UNREACHED + platform.read_wait() {
            pull(&log, &peers).await;
        }
    }
}

async fn pull(log: &Log, peers: &Directions) {
    for address in peers.addresses() {
        match peers.tail(&address, Offset(log.next())).await {
            Some(PeerTail::Batches(batches)) => feed(log, batches),
            Some(PeerTail::NeedSnapshot) => {
                if let Some(fleet) = peers.snapshot(&address).await {
                    log.restore(fleet);
                }
            }
            None => {}
        }
    }
}

fn feed(log: &Log, batches: Vec<(Offset, Vec<u8>)>) {
    let Some(first) = batches.first().map(|(first, _)| first.0) else {
        return;
    };
    if let Err(error) = log.feed(first, batches.into_iter().map(|(_, entry)| entry).collect()) {
        log::debug!("a peer's tail does not fit: {error}");
    }
}
