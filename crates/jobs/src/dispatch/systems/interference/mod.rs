//! Interference between tasks: which images slow down which others, learned from the figures of the workers.
//!
//! The figures of a task are compared with and without another image beside it, for each pair of images. What is learned
//! fades within tens of seconds. It decides about neighbours when tasks are placed, and about who is slowed down when a
//! serving task nears its target. `docs/design/interference.md` has the reasons.

mod images;
mod neighbours;
mod review;
mod samples;
mod sums;

use std::collections::BTreeMap;

use slotmap::SecondaryMap;

use super::super::names::ImageKey;
use images::Images;
pub use neighbours::Watch;
pub(super) use neighbours::{Harmful, Search};
use samples::Neighbour;
pub use samples::Sampled;
use sums::{Effect, Pair, Sums};

/// Largest number of pairs of images that are known at a time. A pair takes about 100 bytes.
const MAX_PAIRS: usize = 8_192;
/// Pairs with the least evidence that are evicted at a time, so that the search for them is rare.
const EVICTED_PAIRS: usize = MAX_PAIRS / 4;
/// Effect from which a neighbour counts as harmful, on the logarithmic scale: a factor of 1.15.
const HARM: f64 = 0.14;
/// Standard errors by which an effect exceeds [`HARM`] when a pair begins to count as harmful. Hundreds of pairs are
/// compared again and again, so two would blame innocent images.
const BEGIN_ERRORS: f64 = 3.0;
/// Spread of the neighbour's speed, in independent observations, that this takes.
const BEGIN_WEIGHT: f64 = 1.0;
/// Share of [`HARM`] that the effect must exceed by one standard error to stay harmful.
const STAY_SHARE: f64 = 0.5;
/// Spread below which a pair is no longer harmful. A pair that is kept apart is tried again then, after about three
/// half-lives of its evidence.
const STAY_WEIGHT: f64 = 0.4;

/// A victim and the image beside it.
type PairKey = (ImageKey, ImageKey);

/// Pairs that begin or cease to be kept apart, with the effect.
type Change = (PairKey, Option<Effect>);

/// Learned effects between images.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct Interference {
    images: Images,
    /// All observations, by victim, without the effects of harmful neighbours.
    victims: SecondaryMap<ImageKey, Sums>,
    pairs: BTreeMap<PairKey, Pair>,
    /// Pairs that are kept apart.
    harmful: BTreeMap<PairKey, Effect>,
    /// The other images of these pairs, in either direction.
    foes: SecondaryMap<ImageKey, Vec<ImageKey>>,
    /// Changes that are not logged yet.
    changes: Vec<Change>,
    /// Time of the last review, in milliseconds.
    reviewed: u64,
    /// Workers that were skipped for a harmful neighbour in the placement pass.
    skipped: usize,
}

impl Interference {
    /// Key of an image.
    pub(super) fn intern(&mut self, now: u64, name: &str) -> ImageKey {
        self.images.intern(now, name)
    }

    /// Learns from an observation of a victim with the images on its worker. All others are absent.
    fn observe(&mut self, now: u64, victim: ImageKey, neighbours: &[Neighbour], weight: f64, value: f64) {
        if !self.images.contains(victim) {
            return;
        }
        // Without this, an image that often shares workers with a harmful one would be blamed as well.
        let effect = |of: &Neighbour| Some(self.harmful.get(&(victim, of.image))?.mean * of.speed);
        let own = value - neighbours.iter().filter_map(effect).sum::<f64>();
        let Some(all) = self.victims.entry(victim).map(|entry| entry.or_default()) else { return };
        all.add(now, weight, own);
        let all = *all;
        for &Neighbour { image, steady, speed } in neighbours {
            if !self.images.contains(image) {
                continue;
            }
            let key = (victim, image);
            let known = self.harmful.get(&key).map_or(0.0, |effect| effect.mean * speed);
            let pair = self.pairs.entry(key).or_default();
            if steady {
                pair.add(now, weight, speed, own, known);
            } else {
                pair.add_unsure(now, weight, own);
            }
            let effect = pair.effect(now, all);
            self.judge(key, effect);
        }
        if self.pairs.len() > MAX_PAIRS {
            self.evict(now);
        }
    }

    /// Decides whether a pair is kept apart.
    fn judge(&mut self, pair: PairKey, effect: Option<Effect>) {
        let was = self.harmful.contains_key(&pair);
        let harms = |effect: &Effect| {
            if was {
                effect.weight >= STAY_WEIGHT && effect.mean - effect.error > HARM * STAY_SHARE
            } else {
                effect.weight >= BEGIN_WEIGHT && effect.mean - BEGIN_ERRORS * effect.error > HARM
            }
        };
        match effect.filter(harms) {
            Some(effect) => {
                self.harmful.insert(pair, effect);
                if !was {
                    self.changes.push((pair, Some(effect)));
                    self.list_foes();
                }
            }
            None if was => {
                self.harmful.remove(&pair);
                self.changes.push((pair, None));
                self.list_foes();
            }
            None => {}
        }
    }

    /// Evicts the pairs with the least evidence.
    fn evict(&mut self, now: u64) {
        let mut weights: Vec<(f64, PairKey)> =
            self.pairs.iter().map(|(key, pair)| (pair.weight(now), *key)).collect();
        weights.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
        for (_, key) in weights.into_iter().take(EVICTED_PAIRS) {
            self.pairs.remove(&key);
            self.judge(key, None);
        }
    }

    /// Lists the images that are kept apart from each image.
    fn list_foes(&mut self) {
        self.foes.clear();
        for &(victim, image) in self.harmful.keys() {
            for (one, other) in [(victim, image), (image, victim)] {
                if let Some(entry) = self.foes.entry(one) {
                    entry.or_default().push(other);
                }
            }
        }
    }
}

/// Numbers of images, of pairs and of pairs that are kept apart.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Known {
    /// Images.
    pub images: u64,
    /// Pairs with evidence.
    pub pairs: u64,
    /// Pairs that are kept apart.
    pub apart: u64,
}
