//! Repeats of a call to the store whose answer is late.
//!
//! An answer can be lost, and the connection that it was lost on returns nothing further. The call is then repeated beside
//! the first attempt instead of after its time limit. When an answer counts as late follows from the recent ones: their
//! smoothed time plus four times its mean deviation, doubled with each attempt that had none, as in the retransmission
//! timer of TCP. A store that loses answers is told from a slow one by a repeat that is answered before earlier attempts:
//! the repeats then follow at an even pace. Only for calls that take effect once however often they are made.

use std::cell::Cell;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep};

use crate::ports::StoreError;

/// Time from which an answer counts as late in any case.
const MAX_DELAY: Duration = Duration::from_millis(900);
/// Answers in time after which the store no longer counts as losing some.
const LOSS_MEMORY: u8 = 8;
/// Attempts of a call while the store loses answers, as a multiple of the usual ones.
const LOSS_ATTEMPTS: u32 = 3;
/// Time that the first answer is expected to take.
const FIRST_ESTIMATE: Duration = Duration::from_millis(25);

/// Limits of the repeats of a kind of call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Time from which an answer may count as late. Longer than the processing time of a store without load.
    pub min_delay: Duration,
    /// Attempts of a call. More would load a store that answers nobody.
    pub attempts: u32,
}

/// Estimate of how long answers take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerTimes {
    limits: Limits,
    smoothed: Duration,
    deviation: Duration,
    /// Consecutive attempts without an answer.
    unanswered: u32,
    /// Answers in time until the store no longer counts as losing some.
    losses: u8,
}

impl AnswerTimes {
    /// Creates an estimate without any answer.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self { limits, smoothed: FIRST_ESTIMATE, deviation: FIRST_ESTIMATE / 2, unanswered: 0, losses: 0 }
    }

    /// Adds the time that an attempt took until its own answer.
    pub fn add(&mut self, took: Duration) {
        self.deviation = (self.deviation * 3 + took.abs_diff(self.smoothed)) / 4;
        self.smoothed = (self.smoothed * 7 + took) / 8;
        self.unanswered = 0;
    }

    /// Adds an attempt that ended without an answer.
    pub const fn add_unanswered(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Adds an answer to a first attempt.
    const fn add_first(&mut self) {
        self.losses = self.losses.saturating_sub(1);
    }

    /// Adds an answer to a repeat that came before those to earlier attempts.
    const fn add_overtaken(&mut self) {
        self.losses = LOSS_MEMORY;
    }

    /// True if answers were lost a moment ago.
    const fn loses_answers(&self) -> bool {
        self.losses > 0
    }

    /// Delay of the repeat after the next one.
    fn next_delay(&self, delay: Duration) -> Duration {
        if self.loses_answers() { delay } else { delay.saturating_mul(2).min(MAX_DELAY) }
    }

    /// Attempts of a call.
    const fn attempts(&self) -> u32 {
        if self.loses_answers() {
            self.limits.attempts.saturating_mul(LOSS_ATTEMPTS)
        } else {
            self.limits.attempts
        }
    }

    /// Smoothed time that answers take.
    #[must_use]
    pub const fn smoothed(&self) -> Duration {
        self.smoothed
    }

    /// Time after which an answer is late.
    #[must_use]
    pub fn late_after(&self) -> Duration {
        let expected = (self.smoothed + self.deviation * 4).max(self.limits.min_delay);
        expected.saturating_mul(1 << self.unanswered.min(4)).min(MAX_DELAY)
    }
}

/// Result of a call, with the number of its repeats.
#[derive(Debug, Eq, PartialEq)]
pub struct Answered<T> {
    /// First answer. Without one, `Unknown` if an attempt may have taken effect, and `Refused` otherwise.
    pub result: Result<T, StoreError>,
    /// Attempts after the first.
    pub repeats: u32,
}

/// Makes a call, and repeats it beside the attempts that are under way whenever their answer is late. Returns the first
/// answer other than a refusal.
pub async fn call_repeated<T>(
    times: &Cell<AnswerTimes>,
    call: impl AsyncFn() -> Result<T, StoreError>,
) -> Answered<T> {
    let attempt = async |number: u32| {
        let begun = Instant::now();
        (call().await, number, begun.elapsed())
    };
    let mut attempts = FuturesUnordered::new();
    attempts.push(attempt(0));
    let (mut repeats, mut unknown) = (0, false);
    let mut delay = times.get().late_after();
    let max_repeats = times.get().attempts().saturating_sub(1);
    loop {
        let late = sleep(delay);
        tokio::select! {
            biased;
            Some((result, number, took)) = attempts.next() => {
                let mut seen = times.get();
                match &result {
                    Err(StoreError::Unknown) => seen.add_unanswered(),
                    Err(StoreError::Refused) => {}
                    _ => seen.add(took),
                }
                times.set(seen);
                let failed = matches!(result, Err(StoreError::Unknown | StoreError::Refused));
                unknown |= matches!(result, Err(StoreError::Unknown));
                if !failed {
                    if number == 0 {
                        seen.add_first();
                    } else {
                        seen.add_overtaken();
                    }
                    times.set(seen);
                    return Answered { result, repeats };
                }
                if attempts.is_empty() {
                    let result = if unknown { Err(StoreError::Unknown) } else { result };
                    return Answered { result, repeats };
                }
            }
            () = late, if repeats < max_repeats => {
                repeats += 1;
                delay = times.get().next_delay(delay);
                attempts.push(attempt(repeats));
            }
        }
    }
}
