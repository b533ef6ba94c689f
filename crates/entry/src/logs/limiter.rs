//! Rate limit of log records, checked before they are formatted.
//!
//! A surge makes a few kinds of lines frequent. They share a limit per second, so that logging does not slow the work. Each
//! place in the code may log some lines beyond it, so that frequent kinds do not hide rare ones.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use env_logger::Logger;
use log::{Level, Log, Metadata, Record};
use parking_lot::Mutex;

/// Window of the limits.
const WINDOW: Duration = Duration::from_secs(1);

/// Most records in a window.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Records of all places in the code.
    pub total: usize,
    /// Records of one place that pass even if the total is reached.
    pub each: usize,
}

/// Place in the code that logs: file and line.
type Place = (&'static str, u32);

/// Counts the records of a window.
#[derive(Debug)]
pub struct RateLimiter {
    limits: Limits,
    started: Instant,
    total: usize,
    places: HashMap<Place, usize>,
    dropped: usize,
}

impl RateLimiter {
    /// Starts the first window.
    #[must_use]
    pub fn new(limits: Limits, now: Instant) -> Self {
        Self { limits, started: now, total: 0, places: HashMap::new(), dropped: 0 }
    }

    /// True if a record of a place passes.
    pub fn admit(&mut self, place: Place) -> bool {
        let count = self.places.entry(place).or_default();
        let passes = self.total < self.limits.total || *count < self.limits.each;
        if passes {
            *count += 1;
            self.total += 1;
        } else {
            self.dropped += 1;
        }
        passes
    }

    /// Starts a new window if the last one has ended. Returns the number of records that were dropped in it.
    pub fn advance(&mut self, now: Instant) -> usize {
        if now.saturating_duration_since(self.started) < WINDOW {
            return 0;
        }
        self.started = now;
        self.total = 0;
        self.places.values_mut().for_each(|count| *count = 0);
        std::mem::take(&mut self.dropped)
    }
}

/// Logger that drops records above the limits and reports how many.
pub(super) struct LimitedLogger {
    logger: Logger,
    limiter: Mutex<RateLimiter>,
}

impl LimitedLogger {
    pub(super) fn new(logger: Logger, limits: Limits) -> Self {
        Self { logger, limiter: Mutex::new(RateLimiter::new(limits, Instant::now())) }
    }

    fn report(&self, dropped: usize) {
        let lines = [("lines", dropped)];
        let notice = Record::builder()
            .level(Level::Warn)
            .target(module_path!())
            .key_values(&lines)
            .args(format_args!("log lines were dropped"))
            .build();
        self.logger.log(&notice);
    }
}

impl Log for LimitedLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.logger.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.logger.matches(record) {
            return;
        }
        let now = Instant::now();
        let place = (record.file_static().unwrap_or(""), record.line().unwrap_or(0));
        let (dropped, passes) = {
            let mut limiter = self.limiter.lock();
            (limiter.advance(now), limiter.admit(place))
        };
        if dropped > 0 {
            self.report(dropped);
        }
        if passes {
            self.logger.log(record);
        }
    }

    fn flush(&self) {
        self.logger.flush();
    }
}
