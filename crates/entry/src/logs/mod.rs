//! Logging as JSON, one object per line.

mod class;
mod limiter;
mod writer;

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::Target;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

pub use class::Class;
pub use limiter::{LimitedLogger, Limits, RateLimiter};
pub use writer::RateLimitedWriter;

/// Limits of [`start_bounded`] for the decisions and the other lines. A busy second stays below the totals, and writing as
/// many takes less than a tenth of a small instance's processor.
const LIMITS: [Limits; 2] = [Limits { total: 800, each: 100 }, Limits { total: 400, each: 20 }];

/// Starts logging to standard error with a filter such as `info` or `rattanfall_entry=debug`. Later calls have no
/// effect.
pub fn start(filter: &str) {
    start_on(filter, Target::Stderr);
}

/// Starts logging to standard output with rate limits and without blocking the caller. Records with the target
/// `decisions` are of [`Class::Decision`].
///
/// # Errors
///
/// Fails if the writer thread cannot be started.
pub fn start_bounded(filter: &str, decisions: &'static str) -> std::io::Result<()> {
    let logger = LimitedLogger::new(filter, decisions, LIMITS, std::io::stdout())?;
    let level = logger.filter();
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level);
    }
    Ok(())
}

fn start_on(filter: &str, target: Target) {
    let _ = builder(filter, target).try_init();
}

/// Logger that hands its lines to a writer.
fn pipe(filter: &str, writer: RateLimitedWriter) -> env_logger::Logger {
    builder(filter, Target::Pipe(Box::new(writer))).build()
}

fn builder(filter: &str, target: Target) -> env_logger::Builder {
    let mut builder = env_logger::Builder::new();
    builder.parse_filters(filter).target(target);
    builder.format(|buffer, record| writeln!(buffer, "{}", line(record)));
    builder
}

/// Formats a record as a JSON object.
#[must_use]
pub fn line(record: &Record<'_>) -> serde_json::Value {
    let mut fields = Fields(Map::new());
    let _ = record.key_values().visit(&mut fields);
    let mut object = fields.0;
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    object.insert("time_ms".into(), u64::try_from(since.as_millis()).unwrap_or(u64::MAX).into());
    object.insert("level".into(), record.level().as_str().to_lowercase().into());
    object.insert("target".into(), record.target().into());
    object.insert("message".into(), record.args().to_string().into());
    object.into()
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
