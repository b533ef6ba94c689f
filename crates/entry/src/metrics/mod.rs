//! Prometheus metrics: the engine's counters, refusals and retries by reason, and the counters of the process's edge.

mod edge;

use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use parking_lot::RwLock;
use prometheus::{Encoder, Registry, TextEncoder};
use rattanfall_core::engine::Counters;
use thiserror::Error;

pub use edge::EdgeCounters;

use crate::shell::Shell;

/// Error of setting up or encoding the metrics.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The exporter could not be created.
    #[error("the metrics exporter failed: {0}")]
    Exporter(String),
    /// The page could not be encoded.
    #[error(transparent)]
    Encode(#[from] prometheus::Error),
}

/// Values that the instruments report. They are copied once per page, so that a page locks the engine only once.
#[derive(Clone, Debug, Default)]
struct Values {
    counters: Counters,
    ready: u64,
    view_age_ms: u64,
    applied: u64,
}

type SharedValues = Arc<RwLock<Values>>;

/// Metrics registry of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    values: SharedValues,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the registry and all instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be created.
    pub fn new(edge: &Arc<EdgeCounters>) -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let exporter = exporter.map_err(|error| MetricsError::Exporter(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("rattanfall");
        let values = SharedValues::default();
        add_totals(&meter, &values);
        add_reasons(&meter, &values);
        add_gauges(&meter, &values);
        edge::add_instruments(&meter, edge);
        Ok(Self { registry, values, _provider: provider })
    }

    /// Encodes the current values in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if the page cannot be encoded.
    pub fn page(&self, shell: &Shell) -> Result<Vec<u8>, MetricsError> {
        let now = shell.now();
        let values = shell.read(|engine| {
            let view = engine.view(now);
            Values {
                counters: engine.counters().clone(),
                ready: u64::from(view.ready && !view.stopping),
                view_age_ms: view.view_age_ms.unwrap_or(u64::MAX),
                applied: engine.fleet().applied.map_or(0, |offset| offset.0),
            }
        });
        *self.values.write() = values;
        let mut page = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut page)?;
        Ok(page)
    }
}

fn add_totals(meter: &Meter, values: &SharedValues) {
    let total = |name: &'static str, help: &'static str, read: fn(&Counters) -> u64| {
        let values = Arc::clone(values);
        let counter = meter.u64_observable_counter(name).with_description(help);
        counter.with_callback(move |observer| observer.observe(read(&values.read().counters), &[])).build();
    };
    total("submitted", "Requests and tasks taken in", |c| c.submitted);
    total("answered", "Requests answered", |c| c.answered);
    total("stale_view_dispatches", "Starts while the view was older than the bound", |c| c.stale_starts);
    total("void_records", "Own records that were void", |c| c.void_records);
    total("corrupt_entries", "Log entries that do not decode", |c| c.corrupt_entries);
    total("duplicate_batches", "Duplicate batches ignored", |c| c.duplicate_batches);
    total("ejections", "Workers ejected", |c| c.ejections);
    total("appends", "Batches appended, repeats included", |c| c.appends);
    total("moves", "Moves of workers proposed", |c| c.moves);
}

fn add_reasons(meter: &Meter, values: &SharedValues) {
    type Rows = Vec<(&'static str, u64)>;
    let reasons = |name: &'static str, help: &'static str, rows: fn(&Counters) -> Rows| {
        let values = Arc::clone(values);
        let counter = meter.u64_observable_counter(name).with_description(help);
        let observe = move |observer: &dyn opentelemetry::metrics::AsyncInstrument<u64>| {
            for (reason, count) in rows(&values.read().counters) {
                observer.observe(count, &[KeyValue::new("reason", reason)]);
            }
        };
        counter.with_callback(observe).build();
    };
    reasons("not_run", "Refusals of work that did not run", |c| {
        c.not_run.iter().map(|(reason, count)| (reason.name(), *count)).collect()
    });
    reasons("unknown", "Ends of work without a known outcome", |c| {
        c.unknown.iter().map(|(reason, count)| (reason.name(), *count)).collect()
    });
    reasons("retries", "Retries of requests", |c| {
        c.retries.iter().map(|(reason, count)| (reason.name(), *count)).collect()
    });
}

fn add_gauges(meter: &Meter, values: &SharedValues) {
    let gauge = |name: &'static str, help: &'static str, read: fn(&Values) -> u64| {
        let values = Arc::clone(values);
        let gauge = meter.u64_observable_gauge(name).with_description(help);
        gauge.with_callback(move |observer| observer.observe(read(&values.read()), &[])).build();
    };
    gauge("ready", "1 if the instance takes work", |v| v.ready);
    gauge("view_age_milliseconds", "Time since the log's end was last reached", |v| v.view_age_ms);
    gauge("applied_offset", "Last log offset applied", |v| v.applied);
}
