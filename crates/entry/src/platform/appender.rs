//! Appends the engine's batches to the log, one at a time.

use std::sync::Arc;

use rattanfall_core::engine::Event;
use rattanfall_core::engine::event::AppendOutcome;
use rattanfall_core::record::{Batch, encode};
use tokio::sync::mpsc;

use super::Platform;
use crate::shell::Shell;
use crate::upstreams::CallError;

/// Appends each batch once and reports the outcome. Only the engine retries an append, because it sees in the log
/// whether the batch took effect.
pub async fn run_appends(shell: Arc<Shell>, platform: Arc<Platform>, mut batches: mpsc::Receiver<Batch>) {
    while let Some(batch) = batches.recv().await {
        let appended = platform.append(&encode(&batch)).await;
        if let Err(error) = &appended {
            log::warn!(sequence = batch.sequence; "append not confirmed: {error}");
        }
        let outcome = match appended {
            Ok(_) => AppendOutcome::Appended,
            Err(CallError::Unsent) => AppendOutcome::NotAppended,
            Err(_) => AppendOutcome::Unknown,
        };
        shell.handle(Event::AppendEnded { sequence: batch.sequence, outcome });
    }
}
