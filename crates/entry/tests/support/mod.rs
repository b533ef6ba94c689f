//! Fakes of the platform and of a worker, and an HTTP client that accepts incomplete responses.
#![allow(dead_code, reason = "each test binary uses a part of the support code")]

pub(crate) mod harness;
pub(crate) mod http;
pub(crate) mod platform;
pub(crate) mod worker;

use std::future::Future;
use std::time::Duration;

use tokio::time::{sleep, timeout};

/// Time limit for a condition, far above what any step needs.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition holds.
pub(crate) async fn until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let holds = async {
        while !condition().await {
            sleep(POLL_INTERVAL).await;
        }
    };
    assert!(timeout(TIMEOUT, holds).await.is_ok(), "{what} did not happen");
}
