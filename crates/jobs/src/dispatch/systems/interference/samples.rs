//! Observations from the status of a worker: figures of its runs with the images beside them.

use std::collections::BTreeMap;

use super::super::super::Dispatcher;
use super::super::super::event::{RunStatus, WorkerStatus};
use super::super::super::names::ImageKey;
use super::super::super::worker::{Run, Worker, WorkerKey};

/// Shortest time between two observations of a serving task, in milliseconds. Its figure covers this time.
const SERVING_MS: u64 = 500;
/// Weight of an observation of a serving task. Surges of load last longer than one window, so successive
/// observations are not independent.
const SERVING_WEIGHT: f64 = 0.5;
/// Least progress from one observation of a task that does not serve to the next, in percent. It is listed as a whole
/// number, so over less progress the pace is inexact.
const PROGRESS_PERCENT: u8 = 10;
/// Multiple of its target above which a response time is not believed.
const ABSURD: u64 = 100;
/// Largest distance of an observation from the target or the declared pace, on the logarithmic scale: a factor of 20.
const MAX_VALUE: f64 = 3.0;
/// Last observation of a run.
#[derive(Clone, Copy, Debug)]
pub struct Sampled {
    /// Its time, in milliseconds.
    at: u64,
    /// Progress at that time, in percent.
    progress: u8,
}

/// Image on the worker of a victim.
#[derive(Clone, Copy, Debug)]
pub(super) struct Neighbour {
    pub(super) image: ImageKey,
    /// False if the speed of a run is not known or changed during the observation.
    pub(super) steady: bool,
    /// Sum of the speeds of its runs, as shares of full speed and of the time of the observation; 1 at most.
    pub(super) speed: f64,
}

/// Observation of a run on the logarithmic scale.
struct Sample {
    victim: ImageKey,
    weight: f64,
    value: f64,
    /// Begin of the time that it covers, in milliseconds.
    since: u64,
}

impl Dispatcher {
    /// Learns from the figures in a worker's status.
    pub(in super::super) fn learn_interference(&mut self, now: u64, key: WorkerKey, status: &WorkerStatus) {
        if !self.options.interference {
            return;
        }
        let table = &self.table;
        let Some(worker) = self.workers.get_mut(key) else { return };
        let mut samples = Vec::new();
        for listed in &status.running {
            let Some(run) = worker.runs.get_mut(&listed.task).filter(|run| run.number == listed.run) else {
                continue;
            };
            let declared = || {
                let job = table.get(listed.task.job)?;
                Some(job.submission.steps.get(usize::from(listed.task.step))?.estimate_ms)
            };
            samples.extend(sample(now, run, listed, declared).map(|sample| (listed.task, sample)));
        }
        let worker = &*worker;
        for (task, sample) in samples {
            let others = worker.runs.iter().filter(|(other, _)| **other != task).map(|(_, run)| run);
            let neighbours = neighbours(others, now, sample.since);
            self.interference.observe(now, sample.victim, &neighbours, sample.weight, sample.value);
        }
    }
}

/// Observation of a run if one is due and its figure can be used.
fn sample(
    now: u64,
    run: &mut Run,
    listed: &RunStatus,
    declared: impl FnOnce() -> Option<u64>,
) -> Option<Sample> {
    let victim = run.image?;
    if run.stopping || run.best_effort {
        return None;
    }
    let newest = Sampled { at: now, progress: listed.progress };
    let Some(last) = run.sampled else {
        run.sampled = Some(newest);
        return None;
    };
    if let Some(target) = run.target_ms {
        let due = run.progress >= 100 && now >= last.at + SERVING_MS;
        if !due || target == 0 || listed.metric == 0 || listed.metric > target.saturating_mul(ABSURD) {
            return None;
        }
        run.sampled = Some(newest);
        let since = now - SERVING_MS;
        let value = (listed.metric as f64 / target as f64).ln().clamp(-MAX_VALUE, MAX_VALUE);
        return Some(Sample { victim, weight: SERVING_WEIGHT, value, since });
    }
    if run.long_running {
        return None;
    }
    let Some(gained) = listed.progress.checked_sub(last.progress) else {
        // The work begins anew.
        run.sampled = Some(newest);
        return None;
    };
    if gained < PROGRESS_PERCENT || now <= last.at {
        return None;
    }
    run.sampled = Some(newest);
    let share = f64::from(gained.min(100)) / 100.0;
    let pace = (now - last.at) as f64 / (share * declared()?.max(1) as f64);
    Some(Sample { victim, weight: share, value: pace.ln().clamp(-MAX_VALUE, MAX_VALUE), since: last.at })
}

/// Images of other runs on the worker, since a time. Runs that ended meanwhile are missing.
fn neighbours<'a>(others: impl Iterator<Item = &'a Run>, now: u64, since: u64) -> Vec<Neighbour> {
    let mut images: BTreeMap<ImageKey, (bool, f64)> = BTreeMap::new();
    let length = now.saturating_sub(since).max(1) as f64;
    for run in others {
        let (Some(image), Some(begun)) = (run.image, run.confirmed) else { continue };
        // Only best-effort tasks are slowed down.
        let changed = run.last_change > run.placed.max(since);
        let steady = !run.best_effort || run.speed_known && !changed;
        let speed = if run.best_effort { f64::from(run.speed_percent) / 100.0 } else { 1.0 };
        let share = now.saturating_sub(begun.max(since)) as f64 / length;
        let (all_steady, sum) = images.entry(image).or_insert((true, 0.0));
        *all_steady &= steady;
        *sum += speed * share;
    }
    let neighbour = |(image, (steady, sum)): (_, (_, f64))| Neighbour { image, steady, speed: sum.min(1.0) };
    images.into_iter().map(neighbour).collect()
}

impl Worker {
    /// Images of the runs that are not being stopped.
    pub(super) fn images(&self) -> impl Iterator<Item = ImageKey> {
        self.runs.values().filter(|run| !run.stopping).filter_map(|run| run.image)
    }
}
