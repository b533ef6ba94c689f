//! Ageing, log lines and views of what is known about interference.

use super::super::super::Dispatcher;
use super::super::super::names::ImageKey;
use super::{Change, Effect, Interference, Known};
use crate::DECISIONS;
use crate::table::{Job, TaskState, each_task};

/// Interval between two reviews, in milliseconds.
const REVIEW_MS: u64 = 1_000;
/// Weight of the observations below which a pair is forgotten.
const FORGET_WEIGHT: f64 = 0.02;
/// Largest number of changes that are logged in a review. The others are counted.
const MAX_LINES: usize = 4;
/// Largest number of sentences in the view of a job.
const MAX_REASONS: usize = 8;

/// Slowdown by an effect on the logarithmic scale, in percent.
fn percent(effect: f64) -> u64 {
    (effect.exp_m1() * 100.0).max(0.0) as u64
}

impl Interference {
    /// Forgets what has faded, and decides anew about the pairs that are kept apart.
    fn review(&mut self, now: u64) {
        let Self { images, pairs, victims, .. } = self;
        pairs.retain(|(victim, image), pair| {
            let known = images.contains(*victim) && images.contains(*image);
            known && pair.weight(now) > FORGET_WEIGHT
        });
        victims.retain(|victim, _| images.contains(victim));
        for key in self.harmful.keys().copied().collect::<Vec<_>>() {
            let effect = self.pairs.get(&key).zip(self.victims.get(key.0));
            let effect = effect.and_then(|(pair, all)| pair.effect(now, *all));
            self.judge(key, effect);
        }
    }

    /// Numbers of what is known.
    fn known(&self) -> Known {
        Known {
            images: self.images.len() as u64,
            pairs: self.pairs.len() as u64,
            apart: self.harmful.len() as u64,
        }
    }

    /// Logs a change.
    fn log(&self, ((victim, image), effect): Change, unlogged: usize) {
        let (victim, image) = (self.images.name(victim), self.images.name(image));
        match effect {
            Some(effect) => log::info!(
                target: DECISIONS, image = image, victim = victim, slowdown_percent = percent(effect.mean),
                least_percent = percent(effect.mean - super::BEGIN_ERRORS * effect.error),
                weight = effect.weight, unlogged = unlogged;
                "tasks of the images are kept apart"
            ),
            None => log::info!(
                target: DECISIONS, image = image, victim = victim, unlogged = unlogged;
                "tasks of the images are no longer kept apart"
            ),
        }
    }

    /// Pairs that are kept apart and contain an image, as a sentence about it.
    fn sentences(&self, image: ImageKey) -> impl Iterator<Item = String> {
        let about = move |(&(victim, other), effect): (&(ImageKey, ImageKey), &Effect)| {
            let (percent, least) = (percent(effect.mean), percent(effect.mean - effect.error));
            let harm = format!("slows by {percent}% (at least {least}%)");
            if victim == image {
                Some(format!("image {}, which {harm}", self.images.name(other)))
            } else if other == image {
                Some(format!("image {}, which it {harm}", self.images.name(victim)))
            } else {
                None
            }
        };
        self.harmful.iter().filter_map(about)
    }
}

impl Dispatcher {
    /// Numbers of images and pairs that are known, and of pairs that are kept apart.
    #[must_use]
    pub fn interference(&self) -> Known {
        self.interference.known()
    }

    /// Forgets what has faded and logs the changes, once a second.
    pub(in super::super::super) fn review_interference(&mut self, now: u64) {
        if now < self.interference.reviewed + REVIEW_MS {
            return;
        }
        self.interference.reviewed = now;
        self.interference.review(now);
        let changes = std::mem::take(&mut self.interference.changes);
        let unlogged = changes.len().saturating_sub(MAX_LINES);
        for change in changes.into_iter().take(MAX_LINES) {
            self.interference.log(change, unlogged);
        }
    }

    /// Which images the tasks of a job are kept apart from, and which tasks are beside one nevertheless.
    pub(in super::super) fn explain_neighbours(&self, job: &Job) -> Vec<String> {
        let mut reasons = Vec::new();
        if self.interference.harmful.is_empty() {
            return reasons;
        }
        let steps = || job.submission.steps.iter().enumerate();
        for (number, step) in steps() {
            let image = step.image.as_deref().and_then(|image| self.interference.images.key(image));
            let apart = image.into_iter().flat_map(|image| self.interference.sentences(image));
            reasons.extend(apart.map(|from| format!("step {number} is kept apart from {from}")));
        }
        for occurrence in &job.progress.occurrences {
            for (task, row) in each_task(&job.submission, occurrence) {
                let TaskState::Placed(place) = &row.state else { continue };
                let Some(step) = job.submission.steps.get(usize::from(task.step)) else { continue };
                let key = self.worker_key(&place.worker);
                let Some(worker) = key.and_then(|key| self.workers.get(key)) else { continue };
                if !self.harmful_neighbours(step).spares(worker) {
                    reasons.push(format!(
                        "task {task} is on worker {} beside such an image: no other worker had room, or it was placed earlier",
                        place.worker
                    ));
                }
                if reasons.len() >= MAX_REASONS {
                    break;
                }
            }
        }
        reasons.truncate(MAX_REASONS);
        reasons
    }
}
