//! Pace of the store, as this instance sees it in the answers to its calls.
//!
//! The store counts as slow for a while after each answer that took a multiple of the usual time, and after each call that it
//! refused or did not answer.

use std::time::Duration;

use tokio::time::Instant;

/// Multiple of the usual time from which an answer is slow.
const SLOW_FACTOR: u32 = 4;
/// Time below which no answer is slow. Longer than a round trip between regions.
const MIN_SLOW: Duration = Duration::from_millis(60);
/// Time for which the store counts as slow after an observation.
const SLOW_PERIOD: Duration = Duration::from_millis(1_500);
/// Shortest time after which an append is late.
const MIN_LATE: Duration = Duration::from_millis(80);
/// Longest time after which an append is late. Not above the time limit of a call to the store.
const MAX_LATE: Duration = Duration::from_millis(900);
/// Longest time between two failures that belong to one outage.
const OUTAGE_GAP: Duration = Duration::from_secs(2);
/// Age of the last records that were read from which the store counts as standing still. Longer than the interval between
/// two reads of the summaries.
const PROGRESS_AGE: Duration = Duration::from_millis(1_500);
/// Age from which the recent time of records is not used for a forecast.
const FORECAST_AGE: Duration = Duration::from_secs(1);

/// Call whose answer shows the pace of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// Append to the intake.
    Append,
    /// Records that another instance has stored.
    Forward,
    /// Join of a group.
    Join,
}

/// Consecutive failures.
#[derive(Clone, Copy, Debug)]
struct Outage {
    since: Instant,
    last: Instant,
}

/// Pace of the store.
#[derive(Clone, Copy, Debug, Default)]
pub(in super::super) struct Pace {
    /// Usual time of an append; none before the first.
    append: Option<Duration>,
    /// Usual time of a join.
    join: Option<Duration>,
    /// Time until which the store counts as slow, because of calls that took long.
    slow_until: Option<Instant>,
    /// Time until which it counts as slow because of calls that failed.
    failing_until: Option<Instant>,
    /// Smoothed time of recent appends.
    recent: Duration,
    /// Smoothed time from the first attempt to store a record until its answer, and the time of the last observation.
    record: Option<(Duration, Instant)>,
    outage: Option<Outage>,
    /// Time at which records that the store took were last read.
    progress: Option<Instant>,
}

impl Pace {
    /// Adds the time of a call that was answered.
    pub(super) fn add(&mut self, source: Source, took: Duration, now: Instant) {
        let usual = match source {
            Source::Append | Source::Forward => &mut self.append,
            Source::Join => &mut self.join,
        };
        let known = usual.unwrap_or(took.min(MIN_SLOW));
        let slow = took > (known * SLOW_FACTOR).max(MIN_SLOW);
        // A store that stays slower is the usual one after some minutes.
        let share = if slow { 256 } else { 16 };
        if source != Source::Forward {
            *usual = Some((known * (share - 1) + took) / share);
        }
        if slow {
            self.slow_until = Some(now + SLOW_PERIOD);
        }
        if source == Source::Append {
            self.recent = if self.recent.is_zero() { took } else { (self.recent * 3 + took) / 4 };
        }
        if source != Source::Join {
            self.outage = None;
        }
    }

    /// Adds the time that it took to store a record, from the call to its answer.
    pub(super) fn add_record(&mut self, took: Duration, now: Instant) {
        let smoothed = self.record.map_or(took, |(recent, _)| (recent * 3 + took) / 4);
        self.record = Some((smoothed, now));
    }

    /// Adds a call that was late, and is not answered yet.
    pub(super) fn add_late(&mut self, now: Instant) {
        self.slow_until = Some(now + SLOW_PERIOD);
    }

    /// Adds a call that was refused or not answered.
    pub(super) fn add_failure(&mut self, now: Instant) {
        self.failing_until = Some(now + SLOW_PERIOD);
        let current = self.outage.filter(|outage| now < outage.last + OUTAGE_GAP);
        self.outage = Some(Outage { since: current.map_or(now, |outage| outage.since), last: now });
    }

    /// Adds that records which the store took lately were read.
    pub(in super::super) fn add_progress(&mut self, now: Instant) {
        self.progress = Some(now);
    }

    /// True if the store has taken records lately, from whichever instance.
    pub(super) fn is_moving(&self, now: Instant) -> bool {
        self.progress.is_some_and(|at| now < at + PROGRESS_AGE)
    }

    /// True while appends are to be as few as possible.
    pub(super) fn is_slow(&self, now: Instant) -> bool {
        self.takes_long(now) || self.failing_until.is_some_and(|until| now < until)
    }

    /// True if calls took long lately. A refusal may then be due to the work that waits at the store.
    pub(super) fn takes_long(&self, now: Instant) -> bool {
        self.slow_until.is_some_and(|until| now < until)
    }

    /// Time after which an append is late.
    pub(super) fn late_after(&self) -> Duration {
        (self.recent * SLOW_FACTOR).clamp(MIN_LATE, MAX_LATE)
    }

    /// Time for which the store has answered no append; zero if it answers.
    pub(super) fn outage(&self, now: Instant) -> Duration {
        let current = self.outage.filter(|outage| now < outage.last + OUTAGE_GAP);
        current.map_or(Duration::ZERO, |outage| now.saturating_duration_since(outage.since))
    }

    /// Time that a new record is expected to take, if the store is slow.
    pub(super) fn forecast(&self, now: Instant) -> Option<Duration> {
        let (expected, at) = self.record.filter(|_| self.is_slow(now))?;
        (now < at + FORECAST_AGE).then_some(expected)
    }
}
