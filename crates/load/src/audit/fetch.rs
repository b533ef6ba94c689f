//! Reads the journals in which the stand-in workers record each start of a run.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;

use super::StartedRun;
use crate::client::{CallError, get_json};

/// Entries requested in one call.
const PAGE: u64 = 50_000;

/// Journal entries of all workers.
#[derive(Clone, Debug, Default)]
pub struct Journals {
    /// Work that the workers started, in the order of the journals.
    pub starts: Vec<StartedRun>,
    /// Workers whose journal could not be read or has lost its oldest entries.
    pub incomplete: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Page {
    end: u64,
    earliest: u64,
    entries: Vec<StartedRun>,
}

/// Reads the journals of workers. Drops entries of other runs, whose tokens do not start with `prefix`.
pub async fn fetch(workers: &BTreeSet<Arc<str>>, prefix: &str) -> Journals {
    let mut journals = Journals::default();
    for worker in workers {
        match read(worker, prefix).await {
            Ok((starts, complete)) => {
                journals.starts.extend(starts);
                if !complete {
                    journals.incomplete.push(worker.to_string());
                }
            }
            Err(error) => {
                log::warn!(worker = &**worker, error:% = error; "journal cannot be read");
                journals.incomplete.push(worker.to_string());
            }
        }
    }
    journals
}

async fn read(worker: &str, prefix: &str) -> Result<(Vec<StartedRun>, bool), CallError> {
    let mut starts = Vec::new();
    let mut from = 0;
    let mut complete = true;
    loop {
        let page: Page = get_json(worker, &format!("/control/journal?from={from}&max={PAGE}")).await?;
        complete &= page.earliest <= from;
        from = from.max(page.earliest) + page.entries.len() as u64;
        let empty = page.entries.is_empty();
        starts.extend(page.entries.into_iter().filter(|start| start.token.starts_with(prefix)));
        if empty || from >= page.end {
            return Ok((starts, complete));
        }
    }
}
