//! Periodic ticks of the engine.

use std::sync::Arc;
use std::time::Duration;

use rattanfall_core::engine::TICK_MS;
use tokio::time::{MissedTickBehavior, interval};

use super::Shell;

/// Ticks the engine until the task is aborted. Ticks that were missed during a pause are not made up.
pub async fn run_ticks(shell: Arc<Shell>) {
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shell.tick();
    }
}
