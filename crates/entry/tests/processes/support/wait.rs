//! Waiting for conditions.

use std::time::{Duration, Instant};

use tokio::time::sleep;

/// Time limit for a condition. Long, because other programs may load the machine at the same time.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Checks a condition repeatedly until it returns a value.
///
/// # Panics
///
/// Panics after [`TIMEOUT`].
pub(crate) async fn until<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(start.elapsed() < TIMEOUT, "{what}: not within {TIMEOUT:?}");
        sleep(POLL_INTERVAL).await;
    }
}
