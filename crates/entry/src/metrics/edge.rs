//! Counters of events outside the engine, such as malformed requests, and of open connections.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;
use parking_lot::Mutex;

use crate::server::{RequestBudget, RequestLimits};

/// Counters by event, and the number of open connections of callers and operators.
#[derive(Debug, Default)]
pub struct EdgeCounters {
    events: Mutex<BTreeMap<&'static str, u64>>,
    connections: AtomicU64,
    /// Budget of unfinished requests and connections.
    pub requests: Arc<RequestBudget>,
}

impl EdgeCounters {
    /// Creates counters of a process with these limits.
    #[must_use]
    pub fn new(limits: RequestLimits) -> Self {
        Self { requests: RequestBudget::new(limits), ..Self::default() }
    }

    /// Counts an event. Its name becomes a label value of the metric `edge_events`.
    pub fn count(&self, event: &'static str) {
        *self.events.lock().entry(event).or_default() += 1;
    }

    /// How often an event was counted; 0 if never.
    #[must_use]
    pub fn get(&self, event: &'static str) -> u64 {
        self.events.lock().get(event).copied().unwrap_or(0)
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    pub(crate) fn connection_opened(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn connection_closed(&self) {
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

pub(super) fn add_instruments(meter: &Meter, edge: &Arc<EdgeCounters>) {
    let events = Arc::clone(edge);
    let counter = meter.u64_observable_counter("edge_events").with_description("Events at the edge, by kind");
    let observe = move |observer: &dyn opentelemetry::metrics::AsyncInstrument<u64>| {
        for (event, count) in events.events.lock().iter() {
            observer.observe(*count, &[KeyValue::new("event", *event)]);
        }
    };
    counter.with_callback(observe).build();
    let connections = Arc::clone(edge);
    let gauge = meter.u64_observable_gauge("connections").with_description("Open connections");
    gauge.with_callback(move |observer| observer.observe(connections.connections(), &[])).build();
    let requests = Arc::clone(edge);
    let gauge = meter.u64_observable_gauge("request_bytes").with_description("Bytes of unfinished requests");
    let observe = move |observer: &dyn opentelemetry::metrics::AsyncInstrument<u64>| {
        observer.observe(requests.requests.usage().bytes, &[KeyValue::new("kind", "used")]);
        observer.observe(requests.requests.limits().budget_bytes, &[KeyValue::new("kind", "budget")]);
    };
    gauge.with_callback(observe).build();
    let refusals = Arc::clone(edge);
    let counter = meter.u64_observable_counter("request_refusals");
    let counter = counter.with_description("Requests and connections refused at the limits, by reason");
    let observe = move |observer: &dyn opentelemetry::metrics::AsyncInstrument<u64>| {
        for (reason, count) in refusals.requests.refusals() {
            observer.observe(count, &[KeyValue::new("reason", reason)]);
        }
    };
    counter.with_callback(observe).build();
}
