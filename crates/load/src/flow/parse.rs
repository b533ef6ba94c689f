//! Parser for flows given as comma-separated `key=value` pairs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rattanfall_core::record::Class;
use rattanfall_wire::caller::parse_class;

use super::{Flow, Pattern, Surges, Work};

/// Why the text of a flow is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum FlowError {
    /// A part is not of the form `key=value`.
    #[error("`{0}` is not of the form key=value")]
    Pair(String),
    /// The key is unknown or given twice.
    #[error("unknown or repeated key `{0}`")]
    Key(String),
    /// The value cannot be parsed for its key.
    #[error("`{value}` is no value for `{key}`")]
    Value {
        /// Key of the pair.
        key: String,
        /// Value as given.
        value: String,
    },
    /// A required key is absent.
    #[error("`{0}` is missing")]
    Missing(&'static str),
}

const KEYS: [&str; 13] = [
    "team",
    "key",
    "share",
    "class",
    "pool",
    "rate",
    "pattern",
    "work-ms",
    "idempotent",
    "tasks",
    "timeout-ms",
    "answer-bytes",
    "body-bytes",
];

/// Parses flows. `pool=a+b` makes one flow for each pool and divides the rate evenly. Pools surge in turn, in the order
/// of their first occurrence.
///
/// # Errors
///
/// Returns the first invalid pair or missing key.
pub fn parse(texts: &[String], surge: Duration) -> Result<Vec<Flow>, FlowError> {
    let mut flows = Vec::new();
    for text in texts {
        flows.extend(parse_one(text)?);
    }
    let mut pools: Vec<Arc<str>> = Vec::new();
    for flow in &flows {
        if !pools.contains(&flow.pool) {
            pools.push(flow.pool.clone());
        }
    }
    let pool_count = u32::try_from(pools.len()).unwrap_or(u32::MAX);
    for flow in flows.iter_mut().filter(|flow| flow.pattern != Pattern::Steady) {
        let pool_index = pools.iter().position(|pool| *pool == flow.pool).unwrap_or(0);
        let pool_index = u32::try_from(pool_index).unwrap_or(0);
        flow.pattern = Pattern::Waves(Surges { surge, pool_index, pool_count });
    }
    Ok(flows)
}

fn parse_one(text: &str) -> Result<Vec<Flow>, FlowError> {
    let mut pairs = Pairs::read(text)?;
    let pools: String = pairs.take("pool")?.ok_or(FlowError::Missing("pool"))?;
    let pools: Vec<&str> = pools.split('+').collect();
    let team: String = pairs.take("team")?.ok_or(FlowError::Missing("team"))?;
    let rate: f64 = pairs.take("rate")?.ok_or(FlowError::Missing("rate"))?;
    let flow = Flow {
        team: team.into(),
        key: pairs.take::<String>("key")?.unwrap_or_default().into(),
        share: pairs.take("share")?.unwrap_or(1),
        class: pairs.take_with("class", |text| parse_class(text).ok())?.unwrap_or(Class::Normal),
        pool: "".into(),
        rate: rate / pools.len() as f64,
        pattern: pairs.take_with("pattern", parse_pattern)?.unwrap_or(Pattern::Steady),
        work: pairs.take_with("work-ms", parse_work)?.unwrap_or(Work::Constant(0.0)),
        idempotent: pairs.take("idempotent")?.unwrap_or(1.0),
        tasks: pairs.take("tasks")?.unwrap_or(0.0),
        timeout: Duration::from_millis(pairs.take("timeout-ms")?.unwrap_or(5_000)),
        answer_bytes: pairs.take("answer-bytes")?.unwrap_or(64),
        body_bytes: pairs.take("body-bytes")?.unwrap_or(0),
    };
    Ok(pools.into_iter().map(|pool| Flow { pool: pool.into(), ..flow.clone() }).collect())
}

struct Pairs(BTreeMap<String, String>);

impl Pairs {
    fn read(text: &str) -> Result<Self, FlowError> {
        let mut pairs = BTreeMap::new();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            let (key, value) = part.split_once('=').ok_or_else(|| FlowError::Pair(part.into()))?;
            if !KEYS.contains(&key) || pairs.insert(key.to_owned(), value.to_owned()).is_some() {
                return Err(FlowError::Key(key.into()));
            }
        }
        Ok(Self(pairs))
    }

    fn take<T: std::str::FromStr>(&mut self, key: &str) -> Result<Option<T>, FlowError> {
        self.take_with(key, |text| text.parse().ok())
    }

    fn take_with<T>(&mut self, key: &str, parse: impl Fn(&str) -> Option<T>) -> Result<Option<T>, FlowError> {
        let Some(value) = self.0.remove(key) else { return Ok(None) };
        let parsed = parse(&value);
        parsed.map(Some).ok_or_else(|| FlowError::Value { key: key.into(), value })
    }
}

fn parse_pattern(text: &str) -> Option<Pattern> {
    match text {
        "steady" => Some(Pattern::Steady),
        "waves" => Some(Pattern::Waves(Surges { surge: Duration::ZERO, pool_index: 0, pool_count: 1 })),
        _ => None,
    }
}

fn parse_work(text: &str) -> Option<Work> {
    if let Some(mean) = text.strip_prefix("exp:") {
        return mean.parse().ok().map(Work::Exponential);
    }
    if let Some((low, high)) = text.split_once("..") {
        return Some(Work::Uniform(low.parse().ok()?, high.parse().ok()?));
    }
    text.parse().ok().map(Work::Constant)
}
