//! Client of the platform: the log service, the list of instances and reboots.

mod appender;
mod follower;
mod lists;
mod log;
mod reboot;
mod restore;
mod tail;

use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::{Method, StatusCode};
use rattanfall_wire::platform::{Append, Appended, InstanceList, LogGone, LogPage, Reboot};

pub use appender::run_appends;
pub use follower::{follow, pull_tails};
pub use lists::{EntryInstances, poll_lists};
pub use log::{ApplyError, LogCursor};
pub use reboot::Reboots;
pub use tail::Tail;

use crate::config::PlatformConfig;
use crate::upstreams::{Call, CallError, Pool, call};

/// Time limit of a call. A log read may take its own wait longer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Most entries that one log read returns.
const MAX_READ_ENTRIES: u32 = 500;

/// Client of the fleet's platform.
#[derive(Debug)]
pub struct Platform {
    pool: Arc<Pool>,
    config: PlatformConfig,
}

/// Result of a log read.
#[derive(Debug)]
pub enum LogRead {
    /// Consecutive entries; empty if the log has none from the offset on.
    Page {
        /// Offset of the first entry.
        first: u64,
        /// Encoded batches.
        entries: Vec<Vec<u8>>,
        /// Offset after the last entry of the whole log.
        end: u64,
    },
    /// The log no longer keeps the offset.
    Gone {
        /// Lowest offset that the log keeps.
        earliest: u64,
    },
}

impl Platform {
    /// Creates a client. Its pool must not be the one for workers, so that neither uses up the other's connections.
    #[must_use]
    pub fn new(pool: Arc<Pool>, config: PlatformConfig) -> Arc<Self> {
        Arc::new(Self { pool, config })
    }

    /// Reads entries from an offset on. At the end of the log, the platform waits up to `wait` for a new one.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond or if its response cannot be parsed.
    pub async fn read(&self, from: u64, wait: Duration) -> Result<LogRead, CallError> {
        let wait_ms = wait.as_millis();
        let path = format!("/log/read?from={from}&max={MAX_READ_ENTRIES}&wait_ms={wait_ms}");
        let reply =
            call(&self.pool, &self.config.address, Call::new(Method::GET, path, wait + CALL_TIMEOUT)).await?;
        if reply.status == StatusCode::GONE {
            let gone: LogGone = serde_json::from_slice(&reply.body).map_err(|_| CallError::Unusable)?;
            return Ok(LogRead::Gone { earliest: gone.earliest });
        }
        let page: LogPage = reply.parse().ok_or(CallError::Unusable)?;
        // An entry that is not valid base64 is kept as it is: its checksum fails later and the offset is skipped.
        let decode = |text: String| STANDARD.decode(&text).unwrap_or_else(|_| text.into_bytes());
        let entries = page.entries.into_iter().map(decode).collect();
        Ok(LogRead::Page { first: page.first, entries, end: page.end })
    }

    /// Appends one entry and returns its offset.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not confirm; the entry may still be in the log.
    pub async fn append(&self, entry: &[u8]) -> Result<u64, CallError> {
        let body = Append { entries: vec![STANDARD.encode(entry)] };
        let request = Call::new(Method::POST, "/log/append", self.config.append_timeout).json(&body);
        let reply = call(&self.pool, &self.config.address, request).await?;
        // These statuses prove that the platform appended nothing.
        if matches!(reply.status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
            return Err(CallError::Unsent);
        }
        reply.parse::<Appended>().map(|appended| appended.first).ok_or(CallError::Unusable)
    }

    /// Reads the list of instances.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond or if its response cannot be parsed.
    pub async fn instances(&self) -> Result<InstanceList, CallError> {
        let request = Call::new(Method::GET, "/instances", CALL_TIMEOUT);
        let reply = call(&self.pool, &self.config.address, request).await?;
        reply.parse().ok_or(CallError::Unusable)
    }

    /// Asks the platform to reboot a worker into a pool.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not confirm; the reboot may still happen.
    pub async fn reboot(&self, worker: &str, pool: &str) -> Result<(), CallError> {
        let request = Call::new(Method::POST, format!("/workers/{worker}/reboot"), CALL_TIMEOUT);
        let request = request.json(&Reboot { pool: pool.to_owned() });
        let reply = call(&self.pool, &self.config.address, request).await?;
        if reply.status.is_success() { Ok(()) } else { Err(CallError::Unusable) }
    }

    /// Longest time that a log read waits for a new entry.
    #[must_use]
    pub const fn read_wait(&self) -> Duration {
        self.config.read_wait
    }

    /// Interval of list reads.
    #[must_use]
    pub const fn list_interval(&self) -> Duration {
        self.config.list_interval
    }
}
