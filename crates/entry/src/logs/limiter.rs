//! Rate limits of log records, checked before they are formatted.
//!
//! A surge makes a few kinds of lines frequent. The lines of a class share a limit per second, so that logging does not slow
//! the work. Each place in the code may log some lines beyond it, so that frequent kinds do not hide rare ones. Decisions
//! have limits of their own, so that lines of each request or job do not hide them.

use std::collections::HashMap;
use std::io::{self, Write};
use std::time::{Duration, Instant};

use env_logger::Logger;
use log::{Level, LevelFilter, Log, Metadata, Record};
use parking_lot::Mutex;

use super::writer::RateLimitedWriter;
use super::{Class, pipe};

/// Most lines of a class per second that are handed to the writer, whatever places they come from.
const MAX_LINES_PER_SECOND: usize = 1_000;
/// Window of the limits.
const WINDOW: Duration = Duration::from_secs(1);

/// Most records of a class in a window.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Records of all places in the code.
    pub total: usize,
    /// Records of one place that pass even if the total is reached.
    pub each: usize,
}

/// Place in the code that logs: file and line.
type Place = (&'static str, u32);

/// Counts the records of a class in a window.
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

/// Logger that drops records above the limits of their class and reports how many.
pub struct LimitedLogger {
    decisions: &'static str,
    loggers: [Logger; 2],
    limiters: Mutex<[RateLimiter; 2]>,
}

impl LimitedLogger {
    /// Starts a thread that writes to `output`. Records with the target `decisions` are of [`Class::Decision`]; `limits` are
    /// those of [`Class::ALL`].
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn new(
        filter: &str,
        decisions: &'static str,
        limits: [Limits; 2],
        output: impl Write + Send + 'static,
    ) -> io::Result<Self> {
        let writer = RateLimitedWriter::new(output, Class::Decision, MAX_LINES_PER_SECOND)?;
        let other = writer.beside(Class::Other, MAX_LINES_PER_SECOND);
        let loggers = [writer, other].map(|writer| pipe(filter, writer));
        let now = Instant::now();
        Ok(Self {
            decisions,
            loggers,
            limiters: Mutex::new(limits.map(|limits| RateLimiter::new(limits, now))),
        })
    }

    /// Most verbose level that passes the filter.
    #[must_use]
    pub fn filter(&self) -> LevelFilter {
        self.logger(Class::Other).filter()
    }

    fn logger(&self, class: Class) -> &Logger {
        &self.loggers[class as usize]
    }

    fn class(&self, metadata: &Metadata<'_>) -> Class {
        if metadata.target() == self.decisions { Class::Decision } else { Class::Other }
    }

    fn report(&self, class: Class, dropped: usize) {
        let values: [(&str, log::kv::Value<'_>); 2] =
            [("class", class.name().into()), ("lines", dropped.into())];
        let notice = Record::builder()
            .level(Level::Warn)
            .target(module_path!())
            .key_values(&values)
            .args(format_args!("log lines were dropped"))
            .build();
        self.logger(class).log(&notice);
    }
}

impl Log for LimitedLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.logger(self.class(metadata)).enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        let class = self.class(record.metadata());
        let logger = self.logger(class);
        if !logger.matches(record) {
            return;
        }
        let now = Instant::now();
        let place = (record.file_static().unwrap_or(""), record.line().unwrap_or(0));
        let (dropped, passes) = {
            let mut limiters = self.limiters.lock();
            let dropped = Class::ALL.map(|class| limiters[class as usize].advance(now));
            (dropped, limiters[class as usize].admit(place))
        };
        for (class, dropped) in Class::ALL.into_iter().zip(dropped).filter(|(_, dropped)| *dropped > 0) {
            self.report(class, dropped);
        }
        if passes {
            logger.log(record);
        }
    }

    fn flush(&self) {
        self.loggers.iter().for_each(Logger::flush);
    }
}
