//! Reads the workers' journals.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;

use super::Start;
use crate::client::{CallError, get_json};

/// Journal entries in one page.
const PAGE: u64 = 50_000;

/// Starts of all workers.
#[derive(Clone, Debug, Default)]
pub struct Journals {
    /// Starts, of this run and of others.
    pub starts: Vec<Start>,
    /// Workers whose journal could not be read or is no longer whole.
    pub incomplete: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Page {
    end: u64,
    earliest: u64,
    entries: Vec<Start>,
}

/// Reads the journals of workers. Entries of other runs are dropped.
pub async fn fetch(workers: &BTreeSet<Arc<str>>, prefix: &str) -> Journals {
    let mut journals = Journals::default();
    for worker in workers {
        match read(worker, prefix).await {
            Ok((starts, whole)) => {
                journals.starts.extend(starts);
                if !whole {
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

async fn read(worker: &str, prefix: &str) -> Result<(Vec<Start>, bool), CallError> {
    let mut starts = Vec::new();
    let mut from = 0;
    let mut whole = true;
    loop {
        let page: Page = get_json(worker, &format!("/control/journal?from={from}&max={PAGE}")).await?;
        whole &= page.earliest <= from;
        from = from.max(page.earliest) + page.entries.len() as u64;
        let empty = page.entries.is_empty();
        starts.extend(page.entries.into_iter().filter(|start| start.token.starts_with(prefix)));
        if empty || from >= page.end {
            return Ok((starts, whole));
        }
    }
}
