//! Parts of the progress of large jobs.
//!
//! The whole progress of a job is one record as long as it is small. It answers repeated jobs with many overlapping
//! occurrences, whose progress would exceed the largest record that the store takes: from then on until the job ends, only
//! the parts that changed are stored.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::ids::{JobId, PartId};
use crate::record::{self, Entry};
use crate::table::{Job, Task};

/// Hash of the content of a stored part.
type Digest = u64;

/// Parts that are stored, for the jobs whose progress is divided.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredParts {
    jobs: BTreeMap<JobId, BTreeMap<PartId, Digest>>,
}

impl StoredParts {
    /// Records the parts that were read for a job.
    pub(super) fn adopt(&mut self, id: JobId, parts: &BTreeMap<PartId, Vec<Task>>) {
        if !parts.is_empty() {
            let digest = |(part, tasks): (&PartId, &Vec<Task>)| (*part, digest(&record::part(*part, tasks)));
            self.jobs.insert(id, parts.iter().map(digest).collect());
        }
    }

    /// Adds the records that store the progress of a job. One of more than `whole_bytes` is divided.
    pub(super) fn store(&mut self, job: &Job, whole_bytes: usize, entries: &mut Vec<Entry>) {
        let id = job.submission.id;
        if !self.jobs.contains_key(&id) {
            let whole = record::progress(id, &job.progress);
            if whole.size() <= whole_bytes {
                entries.push(whole);
                return;
            }
            log::info!(job:% = id, bytes = whole.size(); "the progress of the job is stored in parts from now on");
        }
        let stored = self.jobs.entry(id).or_default();
        let mut former = std::mem::take(stored);
        for (part, tasks) in job.progress.parts(&job.submission) {
            let entry = record::part(part, tasks);
            let digest = digest(&entry);
            if former.remove(&part) != Some(digest) {
                entries.push(entry);
            }
            stored.insert(part, digest);
        }
        entries.push(record::progress(id, &job.progress.head()));
        entries.extend(former.into_keys().map(record::dropped_part));
    }

    /// Adds the records that delete a job. Its own comes last, so that no part outlives it.
    pub(super) fn delete(&mut self, id: JobId, entries: &mut Vec<Entry>) {
        let parts = self.jobs.remove(&id).unwrap_or_default();
        entries.extend(parts.into_keys().map(record::dropped_part));
        entries.push(record::dropped(id));
    }
}

fn digest(entry: &Entry) -> Digest {
    let mut hasher = DefaultHasher::new();
    entry.value.hash(&mut hasher);
    hasher.finish()
}
