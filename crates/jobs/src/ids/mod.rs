//! Identifiers of jobs, tasks and parts of a job's progress.
//!
//! Callers choose the id of a job; tasks, steps and parts are identified by their position in the job. Each has one text form,
//! used in stored records, in logs and by workers.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Text that is not a valid id.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("not a valid id")]
pub struct BadId;

/// Job id, chosen by the caller. Text form: 16 lowercase hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = BadId;

    fn from_str(text: &str) -> Result<Self, BadId> {
        let digits = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let value = u64::from_str_radix(text, 16).map_err(|_| BadId)?;
        if digits { Ok(Self(value)) } else { Err(BadId) }
    }
}

/// Task id: the task's position in its job. Text form: `job.occurrence.step.index`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Occurrence of the job's schedule, from 0; always 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step in the job, from 0.
    pub step: u16,
    /// Index of the task in the step, from 0.
    pub index: u16,
}

impl TaskId {
    /// Step that the task belongs to.
    #[must_use]
    pub const fn step_id(self) -> StepId {
        StepId { job: self.job, occurrence: self.occurrence, step: self.step }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = BadId;

    fn from_str(text: &str) -> Result<Self, BadId> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(BadId);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| BadId)?;
        let step = next()?.parse().map_err(|_| BadId)?;
        let index = next()?.parse().map_err(|_| BadId)?;
        if parts.next().is_some() { Err(BadId) } else { Ok(Self { job, occurrence, step, index }) }
    }
}

/// Step of an occurrence. Text form: `job.occurrence.step`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StepId {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Occurrence of the job's schedule, from 0.
    pub occurrence: u32,
    /// Index of the step in the job, from 0.
    pub step: u16,
}

impl StepId {
    /// All steps of a job.
    #[must_use]
    pub const fn all_of(job: JobId) -> RangeInclusive<Self> {
        let first = Self { job, occurrence: 0, step: 0 };
        first..=Self { job, occurrence: u32::MAX, step: u16::MAX }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Part of the progress of an occurrence: some of its tasks. Text form: `job.occurrence.first`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PartId {
    /// Job that the part belongs to.
    pub job: JobId,
    /// Occurrence of the job's schedule.
    pub occurrence: u32,
    /// Position of its first task among the tasks of all steps.
    pub first: u32,
}

impl PartId {
    /// All parts of a job.
    #[must_use]
    pub const fn all_of(job: JobId) -> RangeInclusive<Self> {
        let first = Self { job, occurrence: 0, first: 0 };
        first..=Self { job, occurrence: u32::MAX, first: u32::MAX }
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.first)
    }
}

impl FromStr for PartId {
    type Err = BadId;

    fn from_str(text: &str) -> Result<Self, BadId> {
        let mut fields = text.split('.');
        let mut next = || fields.next().ok_or(BadId);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| BadId)?;
        let first = next()?.parse().map_err(|_| BadId)?;
        if fields.next().is_some() { Err(BadId) } else { Ok(Self { job, occurrence, first }) }
    }
}
