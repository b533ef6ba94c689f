//! Decisions that follow from what is known: workers without a harmful neighbour, and the neighbours that are slowed down.

use super::super::super::event::WorkerStatus;
use super::super::super::names::ImageKey;
use super::super::super::worker::{Worker, WorkerKey};
use super::super::super::{Counters, Dispatcher};
use super::super::throttling::{SLOW_DOWN_PERCENT, SPEED_UP_PERCENT};
use super::Interference;
use crate::spec::Step;

/// Workers with room but with a harmful neighbour that are examined for a task, so that a pass over a fleet in which
/// all have one costs little more.
const MAX_SKIPPED: usize = 64;
/// The same for all tasks of a pass. A pass places up to 256 tasks.
const MAX_SKIPPED_IN_PASS: usize = 1_024;
/// Average of failed runs that counts as one class of workers, in thousandths. A worker that fails more runs is no
/// better than one with a harmful neighbour.
const FAILURE_CLASS_PERMILLE: u64 = 100;
/// Speed up to which slowing a neighbour further has no effect, in percent of full speed.
const SLOWEST_PERCENT: u8 = 6;
/// Time for which all best-effort tasks of a worker are slowed after a choice that did not help, in milliseconds. The
/// half-life of an observation, in which wrong evidence fades.
const ALL_MS: u64 = 10_000;

/// Images beside which the tasks of a step should not run. Empty if none is known.
#[derive(Debug, Default)]
pub(in super::super) struct Harmful(Vec<ImageKey>);

impl Harmful {
    /// True if no such image runs on the worker.
    pub(in super::super) fn spares(&self, worker: &Worker) -> bool {
        self.0.is_empty() || !worker.images().any(|image| self.0.contains(&image))
    }
}

/// Search for a worker without a harmful neighbour, among workers on which a task fits, best first.
#[derive(Debug)]
pub(in super::super) struct Search<'a> {
    harmful: &'a Harmful,
    /// First worker, with its class of failed runs. It is taken if all have a harmful neighbour.
    first: Option<(WorkerKey, u64)>,
    /// First worker without such a neighbour.
    spared: Option<WorkerKey>,
    skipped: usize,
    /// Workers that may be skipped.
    limit: usize,
}

impl<'a> Search<'a> {
    /// Starts a search.
    pub(in super::super) fn new(harmful: &'a Harmful, interference: &Interference) -> Self {
        let limit = MAX_SKIPPED_IN_PASS.saturating_sub(interference.skipped).min(MAX_SKIPPED);
        Self { harmful, first: None, spared: None, skipped: 0, limit }
    }

    /// Adds a worker. True if the search is over.
    pub(in super::super) fn offer(&mut self, key: WorkerKey, worker: &Worker) -> bool {
        let class = worker.failure_permille / FAILURE_CLASS_PERMILLE;
        if self.first.is_some_and(|(_, first)| class > first) {
            return true;
        }
        if self.harmful.spares(worker) {
            self.spared = Some(key);
            return true;
        }
        self.first.get_or_insert((key, class));
        self.skipped += 1;
        self.skipped >= self.limit
    }

    /// Worker for the task; none if no worker was offered.
    pub(in super::super) fn finish(
        self,
        counters: &mut Counters,
        interference: &mut Interference,
    ) -> Option<WorkerKey> {
        interference.skipped += self.skipped;
        counters.moved_apart += u64::from(self.first.is_some() && self.spared.is_some());
        counters.left_beside += u64::from(self.first.is_some() && self.spared.is_none());
        self.spared.or(self.first.map(|(key, _)| key))
    }
}

/// Response times of a worker's serving tasks above their target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watch {
    /// Time of the first status in a row that shows one.
    over_since: Option<u64>,
    /// Time until which all best-effort tasks are slowed.
    all_until: u64,
}

impl Interference {
    /// Begins a placement pass.
    pub(in super::super) const fn begin_pass(&mut self) {
        self.skipped = 0;
    }
}

impl Dispatcher {
    /// Images beside which the tasks of a step should not run.
    pub(in super::super) fn harmful_neighbours(&self, step: &Step) -> Harmful {
        if self.interference.harmful.is_empty() {
            return Harmful::default();
        }
        let image = step.image.as_deref().and_then(|image| self.interference.images.key(image));
        let foes = image.and_then(|image| self.interference.foes.get(image));
        Harmful(foes.cloned().unwrap_or_default())
    }

    /// Images whose best-effort tasks are slowed for the serving tasks of a worker; none if all best-effort tasks are.
    /// `worst` is the largest share of its target that one of them uses, in percent.
    pub(in super::super) fn chosen_neighbours(
        &mut self,
        now: u64,
        key: WorkerKey,
        status: &WorkerStatus,
        worst: u64,
    ) -> Option<Vec<ImageKey>> {
        let worker = self.workers.get_mut(key)?;
        if worst <= 100 {
            worker.watch.over_since = None;
        } else {
            worker.watch.over_since.get_or_insert(now);
        }
        if worst < SPEED_UP_PERCENT || now < worker.watch.all_until || self.interference.harmful.is_empty() {
            return None;
        }
        let harmful = &self.interference.harmful;
        let mut chosen = Vec::new();
        for listed in &status.running {
            let Some(run) = worker.runs.get(&listed.task) else { continue };
            let Some(target) = run.target_ms.filter(|&target| target > 0) else { continue };
            if listed.metric.saturating_mul(100) / target < SPEED_UP_PERCENT {
                continue;
            }
            let victim = run.image?;
            let before = chosen.len();
            let slowable = worker.runs.values().filter(|run| run.best_effort && !run.stopping);
            chosen.extend(
                slowable.filter_map(|run| run.image).filter(|image| harmful.contains_key(&(victim, *image))),
            );
            if chosen.len() == before {
                return None;
            }
        }
        if worst <= SLOW_DOWN_PERCENT {
            return Some(chosen);
        }
        // The next status may come only after a whole poll.
        let next = now + self.options.poll_wait_ms + self.options.poll_gap_ms;
        let late = worker.watch.over_since.is_some_and(|since| next > since + self.options.harm_ms / 2);
        let is_chosen = |image: Option<ImageKey>| image.is_some_and(|image| chosen.contains(&image));
        let mut slowed = worker.runs.values().filter(|run| run.best_effort && is_chosen(run.image));
        if late || slowed.all(|run| run.speed_known && run.speed_percent <= SLOWEST_PERCENT) {
            worker.watch.all_until = now + ALL_MS;
            self.counters.throttled_all += 1;
            return None;
        }
        Some(chosen)
    }
}
