//! Encoding of the records in the store.
//!
//! Two keyed topics hold all durable state. `Intake` contains submissions and cancellations and is written by every
//! entry instance. `Progress` contains the state of jobs, machines and waves and is written only by the owner, fenced
//! by its epoch; the state of a large job is divided into parts. `Summaries` repeats the states of jobs in short records for instances that only serve callers. Each
//! record is the whole state of its key, so a reader may skip records as long as it reads the newest one of each key.

use std::collections::BTreeSet;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::dispatch::WaveProgress;
use crate::ids::{JobId, PartId};
use crate::spec::{BadJob, Submission};
use crate::summary::{Summary, SummaryChange};
use crate::table::{FailedRuns, Progress, Task};

/// Version of the encoding, stored in the first byte of each record.
const VERSION: u8 = 1;
/// Key of the owner record in `Progress` and `Summaries`.
const OWNER_KEY: &str = "owner";
/// Key prefix in `Progress` of the last order to each machine.
const ORDER_KEY: &str = "order/";
/// Key prefix of maintenance waves in `Progress`.
const WAVE_KEY: &str = "wave/";

/// Difference between the epochs of two successive owners. The numbers between are fencing tokens of the earlier one.
pub const EPOCH_STEP: u64 = 1_000_000;

/// Key in `Summaries` of the offset before which the summaries cover all records of the intake.
const INTAKE_OFFSET_KEY: &str = "taken";

/// Record that cannot be decoded.
#[derive(Debug, Error)]
pub enum BadRecord {
    /// The record was written by a release with another encoding.
    #[error("the record has an unknown version")]
    Version,
    /// The key does not belong to the topic.
    #[error("the record has an unknown key")]
    Key,
    /// The value cannot be decoded.
    #[error("the record cannot be decoded: {0}")]
    Content(#[from] postcard::Error),
    /// No caller can have submitted the job.
    #[error("the record holds an invalid job: {0}")]
    Job(#[from] BadJob),
}

/// Record of a keyed topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Key; the store retains the newest record of each key.
    pub key: String,
    /// Value; an empty one deletes the key.
    pub value: Vec<u8>,
}

impl Entry {
    /// Size of key and value in bytes.
    #[must_use]
    pub const fn size(&self) -> usize {
        self.key.len() + self.value.len()
    }
}

/// Returns how many leading entries fit into an append of `bytes`; at least one.
#[must_use]
pub fn count_fitting<'a>(entries: impl IntoIterator<Item = &'a Entry>, bytes: usize) -> usize {
    let mut total = 0;
    let fits = entries.into_iter().take_while(|entry| {
        total += entry.size();
        total <= bytes
    });
    fits.count().max(1)
}

/// Record of the intake.
#[derive(Clone, Debug, PartialEq)]
pub enum Intake {
    /// A job was accepted.
    Submitted(Submission),
    /// A caller cancelled a job, which may not be stored yet.
    Canceled(JobId),
    /// A cancellation was deleted.
    CancellationDropped(JobId),
    /// A submission was deleted.
    SubmissionDropped,
}

/// Owner: the instance that schedules the jobs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Owner {
    /// Epoch, which increases with each claim. Fencing tokens of its orders lie between it and the next epoch.
    pub epoch: u64,
    /// Name of the process: the instance, then `-` and the start of the process. Empty before the first claim.
    pub name: String,
}

/// Epoch of the owner that follows the one with an epoch.
#[must_use]
pub const fn next_epoch(epoch: u64) -> u64 {
    (epoch / EPOCH_STEP + 1) * EPOCH_STEP
}

impl Owner {
    /// Instance that the process belongs to, under which it sends orders about machines.
    #[must_use]
    pub fn instance(&self) -> &str {
        self.name.rsplit_once('-').map_or(self.name.as_str(), |(instance, _)| instance)
    }
}

/// Last order about a machine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LastOrder {
    /// Time at which it was sent, in milliseconds since 1970.
    pub at: u64,
    /// Instance that sent it.
    pub instance: String,
}

/// Record of the progress.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A process claimed ownership.
    Owner(Owner),
    /// Progress of a job.
    Job(JobId, Progress),
    /// Progress of a maintenance wave, by its number.
    Wave(u64, WaveProgress),
    /// The progress of a maintenance wave was deleted.
    WaveDropped(u64),
    /// Last order about a machine, by its name.
    Order(String, LastOrder),
    /// A job was deleted.
    Dropped(JobId),
    /// Tasks of a part of a job's progress.
    Part(PartId, Vec<Task>),
    /// A part was deleted.
    PartDropped(PartId),
}

/// Progress of a wave without the field that later releases append. Earlier releases ignore it.
#[derive(Deserialize)]
struct FormerWave {
    seen_ms: u64,
    begun: BTreeSet<String>,
    offset: Option<u64>,
    excluded: BTreeSet<String>,
}

impl From<FormerWave> for WaveProgress {
    fn from(wave: FormerWave) -> Self {
        let FormerWave { seen_ms, begun, offset, excluded } = wave;
        Self { seen_ms, begun, offset, excluded, digest: None }
    }
}

/// Progress of a wave without the fields that later releases append. Earlier releases ignore these.
#[derive(Deserialize)]
struct ShortWave {
    seen_ms: u64,
    begun: BTreeSet<String>,
}

impl From<ShortWave> for WaveProgress {
    fn from(wave: ShortWave) -> Self {
        Self { seen_ms: wave.seen_ms, begun: wave.begun, ..Self::default() }
    }
}

fn decode_wave(bytes: &[u8]) -> Result<WaveProgress, BadRecord> {
    let ends =
        |error: &BadRecord| matches!(error, BadRecord::Content(postcard::Error::DeserializeUnexpectedEnd));
    match decode(bytes) {
        Err(error) if ends(&error) => match decode::<FormerWave>(bytes) {
            Err(error) if ends(&error) => decode::<ShortWave>(bytes).map(WaveProgress::from),
            wave => wave.map(WaveProgress::from),
        },
        wave => wave,
    }
}

/// Failed runs of those among some tasks that have any, by position. They follow the tasks in a record; releases that know only the
/// bits in the tasks ignore them.
fn failed_runs<'a>(tasks: impl IntoIterator<Item = &'a Task>) -> Vec<(u32, &'a FailedRuns)> {
    let failed = (0..).zip(tasks).filter_map(|(position, task)| Some((position, task.failed_runs()?)));
    failed.collect()
}

fn set_failed_runs<'a>(tasks: impl Iterator<Item = &'a mut Task>, failed: Vec<(u32, FailedRuns)>) {
    let mut failed = failed.into_iter().peekable();
    for (position, task) in (0..).zip(tasks) {
        if let Some((_, runs)) = failed.next_if(|(failed, _)| *failed == position) {
            task.set_failed_runs(runs);
        }
    }
}

/// Decodes tasks with the failed runs that follow them; none in a record of an earlier release.
fn decode_with_failures<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, Vec<(u32, FailedRuns)>), BadRecord> {
    match decode(bytes) {
        Err(BadRecord::Content(postcard::Error::DeserializeUnexpectedEnd)) => {
            decode(bytes).map(|tasks| (tasks, Vec::new()))
        }
        decoded => decoded,
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    match postcard::to_extend(value, vec![VERSION]) {
        Ok(encoded) => encoded,
        Err(error) => {
            // Encoding to a growing buffer fails only for sequences of unknown length, which records do not contain.
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

/// Creates the intake record of an accepted job.
#[must_use]
pub fn submitted(submission: &Submission) -> Entry {
    Entry { key: format!("s{}", submission.id), value: encode(submission) }
}

/// Creates the record that deletes a submission from the intake.
#[must_use]
pub fn dropped_submission(id: JobId) -> Entry {
    Entry { key: format!("s{id}"), value: Vec::new() }
}

/// Creates the intake record of a cancelled job.
#[must_use]
pub fn canceled(id: JobId) -> Entry {
    Entry { key: format!("c{id}"), value: vec![VERSION] }
}

/// Creates the record that deletes a cancellation from the intake.
#[must_use]
pub fn dropped_cancellation(id: JobId) -> Entry {
    Entry { key: format!("c{id}"), value: Vec::new() }
}

/// Creates the progress record of a job.
#[must_use]
pub fn progress(id: JobId, progress: &Progress) -> Entry {
    let tasks = progress.occurrences.iter().flat_map(|occurrence| &occurrence.tasks);
    Entry { key: id.to_string(), value: encode(&(progress, failed_runs(tasks))) }
}

/// Creates the record of a part of a job's progress.
#[must_use]
pub fn part(id: PartId, tasks: &[Task]) -> Entry {
    Entry { key: id.to_string(), value: encode(&(tasks, failed_runs(tasks))) }
}

/// Creates the record that deletes a part of a job's progress.
#[must_use]
pub fn dropped_part(id: PartId) -> Entry {
    Entry { key: id.to_string(), value: Vec::new() }
}

/// Creates the owner record, for `Progress` and `Summaries`.
#[must_use]
pub fn owner(owner: &Owner) -> Entry {
    Entry { key: OWNER_KEY.into(), value: encode(owner) }
}

/// Creates the progress record of a maintenance wave.
#[must_use]
pub fn wave(number: u64, wave: &WaveProgress) -> Entry {
    Entry { key: format!("{WAVE_KEY}{number}"), value: encode(wave) }
}

/// Creates the record that deletes the progress of a maintenance wave.
#[must_use]
pub fn dropped_wave(number: u64) -> Entry {
    Entry { key: format!("{WAVE_KEY}{number}"), value: Vec::new() }
}

/// Creates the progress record of the last order about a machine.
#[must_use]
pub fn order(machine: &str, order: &LastOrder) -> Entry {
    Entry { key: format!("{ORDER_KEY}{machine}"), value: encode(order) }
}

/// Creates the summary record of a job.
#[must_use]
pub fn summary(id: JobId, summary: &Summary) -> Entry {
    Entry { key: id.to_string(), value: encode(summary) }
}

/// Creates the record that deletes a job from `Progress` or `Summaries`.
#[must_use]
pub fn dropped(id: JobId) -> Entry {
    Entry { key: id.to_string(), value: Vec::new() }
}

/// Creates the summary record of the intake offset before which the summaries cover all records.
#[must_use]
pub fn intake_offset(offset: u64) -> Entry {
    Entry { key: INTAKE_OFFSET_KEY.into(), value: encode(&offset) }
}

/// Decodes a record of `Summaries`.
///
/// # Errors
///
/// Fails on an unknown key or encoding version, or if the value cannot be decoded.
pub fn read_summary(entry: &Entry) -> Result<SummaryChange, BadRecord> {
    match entry.key.as_str() {
        OWNER_KEY => return Ok(SummaryChange::Owner(decode(&entry.value)?)),
        INTAKE_OFFSET_KEY => return Ok(SummaryChange::IntakeOffset(decode(&entry.value)?)),
        _ => {}
    }
    let id: JobId = entry.key.parse().map_err(|_| BadRecord::Key)?;
    if entry.value.is_empty() {
        return Ok(SummaryChange::Dropped(id));
    }
    Ok(SummaryChange::Job(id, decode(&entry.value)?))
}

/// Decodes a record of `Intake`. Any process can send or write one, so its job is validated like a caller's.
///
/// # Errors
///
/// Fails on an unknown key or encoding version, if the value cannot be decoded, or if the job is invalid.
pub fn read_intake(entry: &Entry) -> Result<Intake, BadRecord> {
    let id: JobId = entry.key.get(1..).and_then(|id| id.parse().ok()).ok_or(BadRecord::Key)?;
    match (entry.key.as_bytes().first(), entry.value.is_empty()) {
        (Some(b's'), false) => {
            let submission: Submission = decode(&entry.value)?;
            if submission.id != id {
                return Err(BadRecord::Key);
            }
            submission.check_content()?;
            Ok(Intake::Submitted(submission))
        }
        (Some(b's'), true) => Ok(Intake::SubmissionDropped),
        (Some(b'c'), false) => Ok(Intake::Canceled(id)),
        (Some(b'c'), true) => Ok(Intake::CancellationDropped(id)),
        _ => Err(BadRecord::Key),
    }
}

/// Decodes a record of `Progress`.
///
/// # Errors
///
/// Fails on an unknown key or encoding version, or if the value cannot be decoded.
pub fn read_change(entry: &Entry) -> Result<Change, BadRecord> {
    if entry.key == OWNER_KEY {
        return Ok(Change::Owner(decode(&entry.value)?));
    }
    if let Some(number) = entry.key.strip_prefix(WAVE_KEY) {
        let number = number.parse().map_err(|_| BadRecord::Key)?;
        let deleted = entry.value.is_empty();
        return Ok(if deleted {
            Change::WaveDropped(number)
        } else {
            Change::Wave(number, decode_wave(&entry.value)?)
        });
    }
    if let Some(machine) = entry.key.strip_prefix(ORDER_KEY) {
        return Ok(Change::Order(machine.to_owned(), decode(&entry.value)?));
    }
    if let Ok(part) = entry.key.parse::<PartId>() {
        let deleted = entry.value.is_empty();
        return Ok(if deleted {
            Change::PartDropped(part)
        } else {
            let (mut tasks, failed): (Vec<Task>, _) = decode_with_failures(&entry.value)?;
            set_failed_runs(tasks.iter_mut(), failed);
            Change::Part(part, tasks)
        });
    }
    let id: JobId = entry.key.parse().map_err(|_| BadRecord::Key)?;
    if entry.value.is_empty() {
        return Ok(Change::Dropped(id));
    }
    let (mut progress, failed): (Progress, _) = decode_with_failures(&entry.value)?;
    set_failed_runs(progress.occurrences.iter_mut().flat_map(|occurrence| &mut occurrence.tasks), failed);
    Ok(Change::Job(id, progress))
}
