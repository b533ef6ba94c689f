//! Records of the store.
//!
//! Two keyed topics hold all that must last. `Intake` has what callers asked for and is written by every entry
//! instance. `Progress` has what became of it and is written by the owner alone, under its epoch. `Summaries` repeats
//! the states of jobs in short records for the instances that only answer callers. Each record is the whole state of
//! its key, so a reader may miss records as long as it reads the newest one.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::dispatch::WaveProgress;
use crate::ids::JobId;
use crate::spec::Submission;
use crate::summary::{Summary, SummaryChange};
use crate::table::Progress;

/// Version of the encoding; the first byte of each record.
const VERSION: u8 = 1;
/// Key of the owner record in `Progress` and `Summaries`.
const OWNER_KEY: &str = "owner";
/// Prefix of the keys of machines' last orders in `Progress`.
const ORDER_KEY: &str = "order/";
/// Prefix of the keys of waves in `Progress`.
const WAVE_KEY: &str = "wave/";

/// Key in `Summaries` of the offset up to which the owner has read the intake.
const TAKEN_KEY: &str = "taken";

/// Record that cannot be read.
#[derive(Debug, Error)]
pub enum BadRecord {
    /// The encoding is of another release.
    #[error("the record has an unknown version")]
    Version,
    /// The key is not one of ours.
    #[error("the record has an unknown key")]
    Key,
    /// The content does not decode.
    #[error("the record does not decode: {0}")]
    Content(#[from] postcard::Error),
}

/// Key and value of one record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Key; the newest record of each key is kept.
    pub key: String,
    /// Value; empty drops the key.
    pub value: Vec<u8>,
}

impl Entry {
    /// Bytes of key and value.
    #[must_use]
    pub const fn size(&self) -> usize {
        self.key.len() + self.value.len()
    }
}

/// Number of the first entries that fit into an append, at least one.
#[must_use]
pub fn fitting<'a>(entries: impl IntoIterator<Item = &'a Entry>, bytes: usize) -> usize {
    let mut total = 0;
    let fits = entries.into_iter().take_while(|entry| {
        total += entry.size();
        total <= bytes
    });
    fits.count().max(1)
}

/// Change of the intake.
#[derive(Clone, Debug, PartialEq)]
pub enum Intake {
    /// A job was accepted.
    Submitted(Submission),
    /// A job was cancelled.
    Canceled(JobId),
    /// A key was dropped.
    Dropped,
}

/// Current owner of the work.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Owner {
    /// Epoch; the fencing token of all orders.
    pub epoch: u64,
    /// Name of the instance.
    pub name: String,
}

impl Owner {
    /// Instance that the process belongs to, under which it gives its orders of machines.
    #[must_use]
    pub fn instance(&self) -> &str {
        self.name.rsplit_once('-').map_or(self.name.as_str(), |(instance, _)| instance)
    }
}

/// Last order of a machine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LastOrder {
    /// Time of day, in milliseconds since 1970.
    pub at: u64,
    /// Instance that gave it.
    pub instance: String,
}

/// Change of the progress.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Another owner took over.
    Owner(Owner),
    /// State of a job.
    Job(JobId, Progress),
    /// State of a wave of upkeep.
    Wave(u64, WaveProgress),
    /// Last order of a machine.
    Order(String, LastOrder),
    /// A job was dropped.
    Dropped(JobId),
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    match postcard::to_extend(value, vec![VERSION]) {
        Ok(encoded) => encoded,
        Err(error) => {
            // Encoding to a growing buffer fails only for types without a known length, which records have not.
            log::error!(error:% = error; "a record could not be encoded");
            Vec::new()
        }
    }
}

fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, BadRecord> {
    match bytes.split_first() {
        Some((&VERSION, content)) => Ok(postcard::from_bytes(content)?),
        _ => Err(BadRecord::Version),
    }
}

/// Record of an accepted job.
#[must_use]
pub fn submitted(submission: &Submission) -> Entry {
    Entry { key: format!("s{}", submission.id), value: encode(submission) }
}

/// Record of a cancelled job.
#[must_use]
pub fn canceled(id: JobId) -> Entry {
    Entry { key: format!("c{id}"), value: vec![VERSION] }
}

/// Record of a job's progress.
#[must_use]
pub fn progress(id: JobId, progress: &Progress) -> Entry {
    Entry { key: id.to_string(), value: encode(progress) }
}

/// Record of a new owner.
#[must_use]
pub fn owner(owner: &Owner) -> Entry {
    Entry { key: OWNER_KEY.into(), value: encode(owner) }
}

/// Record of a wave of upkeep.
#[must_use]
pub fn wave(number: u64, wave: &WaveProgress) -> Entry {
    Entry { key: format!("{WAVE_KEY}{number}"), value: encode(wave) }
}

/// Record of a machine's last order.
#[must_use]
pub fn order(machine: &str, order: &LastOrder) -> Entry {
    Entry { key: format!("{ORDER_KEY}{machine}"), value: encode(order) }
}

/// Record of a job's state.
#[must_use]
pub fn summary(id: JobId, summary: &Summary) -> Entry {
    Entry { key: id.to_string(), value: encode(summary) }
}

/// Record that drops a job's state.
#[must_use]
pub fn dropped(id: JobId) -> Entry {
    Entry { key: id.to_string(), value: Vec::new() }
}

/// Record of the offset of the intake up to which all records are part of the summaries.
#[must_use]
pub fn taken(offset: u64) -> Entry {
    Entry { key: TAKEN_KEY.into(), value: encode(&offset) }
}

/// Decodes a record of the summaries.
///
/// # Errors
///
/// Fails if the record was not written by this release.
pub fn read_summary(entry: &Entry) -> Result<SummaryChange, BadRecord> {
    match entry.key.as_str() {
        OWNER_KEY => return Ok(SummaryChange::Owner(decode(&entry.value)?)),
        TAKEN_KEY => return Ok(SummaryChange::Taken(decode(&entry.value)?)),
        _ => {}
    }
    let id: JobId = entry.key.parse().map_err(|_| BadRecord::Key)?;
    if entry.value.is_empty() {
        return Ok(SummaryChange::Dropped(id));
    }
    Ok(SummaryChange::Job(id, decode(&entry.value)?))
}

/// Decodes a record of the intake.
///
/// # Errors
///
/// Fails if the record was not written by this release.
pub fn read_intake(entry: &Entry) -> Result<Intake, BadRecord> {
    if entry.value.is_empty() {
        return Ok(Intake::Dropped);
    }
    let id = entry.key.get(1..).and_then(|id| id.parse().ok()).ok_or(BadRecord::Key)?;
    match entry.key.as_bytes().first() {
        Some(b's') => Ok(Intake::Submitted(decode(&entry.value)?)),
        Some(b'c') => Ok(Intake::Canceled(id)),
        _ => Err(BadRecord::Key),
    }
}

/// Decodes a record of the progress.
///
/// # Errors
///
/// Fails if the record was not written by this release.
pub fn read_change(entry: &Entry) -> Result<Change, BadRecord> {
    if entry.key == OWNER_KEY {
        return Ok(Change::Owner(decode(&entry.value)?));
    }
    if let Some(number) = entry.key.strip_prefix(WAVE_KEY) {
        let number = number.parse().map_err(|_| BadRecord::Key)?;
        return Ok(Change::Wave(number, decode(&entry.value)?));
    }
    if let Some(machine) = entry.key.strip_prefix(ORDER_KEY) {
        return Ok(Change::Order(machine.to_owned(), decode(&entry.value)?));
    }
    let id: JobId = entry.key.parse().map_err(|_| BadRecord::Key)?;
    if entry.value.is_empty() {
        return Ok(Change::Dropped(id));
    }
    Ok(Change::Job(id, decode(&entry.value)?))
}
