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
pub use lists::{Directory, poll_lists};
pub use log::{FeedError, Log};
pub use reboot::Reboots;
pub use tail::Tail;

use crate::config::PlatformConfig;
use crate::upstreams::{Call, CallError, Pool, call};

/// Time limit of short calls, and of a read beyond its own wait.
const CALL: Duration = Duration::from_secs(2);
/// Entries of one read.
const PAGE: u32 = 500;

/// Platform of the fleet.
#[derive(Debug)]
pub struct Platform {
    pool: Arc<Pool>,
    config: PlatformConfig,
}

/// Result of a read of the log.
#[derive(Debug)]
pub enum Read {
    /// Entries with the first offset; the offset after the log's last entry.
    Page {
        /// Offset of the first entry.
        first: u64,
        /// Entries.
        entries: Vec<Vec<u8>>,
        /// Offset after the last entry of the log.
        end: u64,
    },
    /// The offset is no longer kept.
    Gone {
        /// Lowest offset that is kept.
        earliest: u64,
    },
}

impl Platform {
    /// Creates a client. Its connections are its own, apart from those to workers.
    #[must_use]
    pub fn new(pool: Arc<Pool>, config: PlatformConfig) -> Arc<Self> {
        Arc::new(Self { pool, config })
    }

    /// Reads entries from an offset on. Waits for new ones at the end of the log.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer or answers something else.
    pub async fn read(&self, from: u64, wait: Duration) -> Result<Read, CallError> {
        let wait_ms = wait.as_millis();
        let path = format!("/log/read?from={from}&max={PAGE}&wait_ms={wait_ms}");
        let reply = call(&self.pool, &self.config.address, Call::new(Method::GET, path, wait + CALL)).await?;
        if reply.status == StatusCode::GONE {
            let gone: LogGone = serde_json::from_slice(&reply.body).map_err(|_| CallError::Unusable)?;
            return Ok(Read::Gone { earliest: gone.earliest });
        }
        let page: LogPage = reply.parse().ok_or(CallError::Unusable)?;
        // An entry that is not base64 is passed on as it is; its checksum then fails and the offset is passed over.
        let decode = |text: String| STANDARD.decode(&text).unwrap_or_else(|_| text.into_bytes());
        let entries = page.entries.into_iter().map(decode).collect();
        Ok(Read::Page { first: page.first, entries, end: page.end })
    }

    /// Appends one entry.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not confirm; the entry may still be in the log.
    pub async fn append(&self, entry: &[u8]) -> Result<u64, CallError> {
        let body = Append { entries: vec![STANDARD.encode(entry)] };
        let request = Call::new(Method::POST, "/log/append", self.config.append).json(&body);
        let reply = call(&self.pool, &self.config.address, request).await?;
        // The platform's refusals prove that it took nothing.
        if matches!(reply.status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
            return Err(CallError::Unsent);
        }
        reply.parse::<Appended>().map(|appended| appended.first).ok_or(CallError::Unusable)
    }

    /// Reads the list of instances.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub async fn instances(&self) -> Result<InstanceList, CallError> {
        let request = Call::new(Method::GET, "/instances", CALL);
        let reply = call(&self.pool, &self.config.address, request).await?;
        reply.parse().ok_or(CallError::Unusable)
    }

    /// Asks for the reboot of a worker into a pool.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not confirm; the reboot may still happen.
    pub async fn reboot(&self, worker: &str, pool: &str) -> Result<(), CallError> {
        let request = Call::new(Method::POST, format!("/workers/{worker}/reboot"), CALL);
        let request = request.json(&Reboot { pool: pool.to_owned() });
        let reply = call(&self.pool, &self.config.address, request).await?;
        if reply.status.is_success() { Ok(()) } else { Err(CallError::Unusable) }
    }

    /// Longest wait of a read.
    #[must_use]
    pub const fn read_wait(&self) -> Duration {
        self.config.read_wait
    }

    /// Interval of list reads.
    #[must_use]
    pub const fn list_interval(&self) -> Duration {
        self.config.list
    }
}
