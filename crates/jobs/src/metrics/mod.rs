//! Counters and histograms of a node.
//!
//! Refusals, retries, starts, ends and losses are counted by reason and exported in the Prometheus text format.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use thiserror::Error;

use crate::dispatch::{Counters, Known};
use crate::ports::Forwarded;

/// Bucket bounds of the latency histograms in milliseconds, from one round trip to the maximum wait of a caller.
const BOUNDS_MS: [f64; 11] = [2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0, 10_000.0];

/// Outcome of a call whose records have different ones.
const MIXED: &str = "mixed";

/// Failure to set up or export the metrics.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The exporter could not be set up.
    #[error("the metrics exporter failed: {0}")]
    Exporter(String),
    /// The metrics could not be encoded.
    #[error(transparent)]
    Page(#[from] prometheus::Error),
}

/// Instruments of a node, usable from any thread.
#[derive(Debug)]
pub struct Meters {
    registry: Registry,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    decisions: Counter<u64>,
    ownership: Counter<u64>,
    failures: Counter<u64>,
    bytes: Counter<u64>,
    forwards: Counter<u64>,
    declines: Counter<u64>,
    panics: Counter<u64>,
    begun: Gauge<u64>,
    accepted: Gauge<u64>,
    request_bytes: Gauge<u64>,
    request_refusals: Counter<u64>,
    interference: Gauge<u64>,
    answered: Histogram<f64>,
    stored: Histogram<f64>,
    late: Histogram<f64>,
    _provider: SdkMeterProvider,
}

impl Meters {
    /// Registers all instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be set up.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let exporter = exporter.map_err(|error| MetricsError::Exporter(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("rattanfall");
        Ok(Self {
            registry,
            answers: counter(&meter, "answers", "Answers to callers, by kind"),
            refusals: counter(&meter, "refusals", "Calls refused as not run, by reason"),
            retries: counter(&meter, "retries", "Retried calls, by reason"),
            decisions: counter(&meter, "decisions", "Decisions of the owner, by kind"),
            ownership: counter(&meter, "ownership", "Claims and losses of ownership, by reason"),
            failures: counter(&meter, "store_failures", "Failed calls to the store, by topic and cause"),
            panics: counter(&meter, "task_failures", "Tasks of the instance that failed, by task"),
            begun: gauge(
                &meter,
                "begun_tasks",
                "Tasks of repeated jobs in occurrences that have begun, at the owner, and their budget",
            ),
            request_bytes: gauge(&meter, "request_bytes", "Bytes of unfinished requests, and their budget"),
            request_refusals: counter(
                &meter,
                "request_refusals",
                "Requests and connections refused at the limits, by reason",
            ),
            interference: gauge(
                &meter,
                "interference",
                "Images and pairs of images whose interference is measured, at the owner, and pairs that are kept apart",
            ),
            bytes: counter(&meter, "store_bytes", "Bytes read from the store, by topic"),
            forwards: counter(&meter, "forwards", "Calls that forward records, by direction and outcome"),
            declines: counter(&meter, "declines", "Submissions that the owner declined, by reason"),
            accepted: gauge(
                &meter,
                "accepted_bytes",
                "Estimated memory of the accepted jobs at the owner, and its budget",
            ),
            answered: histogram(&meter, "answer_milliseconds", "Time from a call to its answer"),
            stored: histogram(&meter, "store_milliseconds", "Time of an append that was answered"),
            late: histogram(&meter, "job_late_milliseconds", "Time of a job's end after its objective"),
            _provider: provider,
        })
    }

    /// Counts an answer and records its latency.
    pub fn answered(&self, kind: &'static str, time: Duration) {
        self.answers.add(1, &[KeyValue::new("kind", kind)]);
        self.answered.record(millis(time), &[]);
    }

    /// Counts a refused call.
    pub fn refused(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a retried call.
    pub fn retried(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a claim or loss of ownership.
    pub fn owned(&self, reason: &'static str) {
        self.ownership.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a failed call to the store.
    pub fn store_failed(&self, topic: &'static str, cause: &'static str) {
        self.failures.add(1, &[KeyValue::new("topic", topic), KeyValue::new("cause", cause)]);
    }

    /// Counts a call that forwards records to another instance.
    pub fn forward_sent(&self, outcomes: &[Forwarded]) {
        self.forwarded("sent", outcomes);
    }

    /// Counts a call in which another instance forwards records.
    pub fn forward_received(&self, outcomes: &[Forwarded]) {
        self.forwarded("received", outcomes);
    }

    fn forwarded(&self, direction: &'static str, outcomes: &[Forwarded]) {
        let Some((first, rest)) = outcomes.split_first() else { return };
        let same = rest.iter().all(|outcome| outcome.name() == first.name());
        let outcome = if same { first.name() } else { MIXED };
        let labels = [KeyValue::new("direction", direction), KeyValue::new("outcome", outcome)];
        self.forwards.add(1, &labels);
    }

    /// Counts a submission that the owner declined.
    pub fn declined(&self, reason: &'static str) {
        self.declines.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a task of the instance that failed.
    pub fn task_failed(&self, task: &'static str) {
        self.panics.add(1, &[KeyValue::new("task", task)]);
    }

    /// Counts bytes read from the store, including those of incomplete answers.
    pub fn store_read(&self, topic: &'static str, bytes: u64) {
        self.bytes.add(bytes, &[KeyValue::new("topic", topic)]);
    }

    /// Records the duration of an append.
    pub fn stored(&self, time: Duration) {
        self.stored.record(millis(time), &[]);
    }

    /// Records how long after its objective a job ended, in milliseconds.
    pub fn ended(&self, late_ms: u64) {
        self.late.record(millis(Duration::from_millis(late_ms)), &[]);
    }

    /// Adds the scheduler's decisions since an earlier count.
    pub fn decided(&self, before: &Counters, now: &Counters) {
        let kinds = [
            ("start", before.starts, now.starts),
            ("start_repeated", before.repeats, now.repeats),
            ("start_refused_room", before.refused_room, now.refused_room),
            ("start_refused_other", before.refused_other, now.refused_other),
            ("end", before.ends, now.ends),
            ("run_lost", before.lost, now.lost),
            ("run_outlived", before.outlived, now.outlived),
            ("stop", before.stops, now.stops),
            ("look", before.polls, now.polls),
            ("worker_examined", before.examined, now.examined),
            ("policy_request", before.policy_requests, now.policy_requests),
            ("policy_failure", before.policy_failures, now.policy_failures),
            ("job_completed", before.completed, now.completed),
            ("job_failed", before.failed, now.failed),
            ("job_admitted", before.admitted, now.admitted),
            ("job_surplus", before.surplus, now.surplus),
            ("job_declined_share", before.declined_share, now.declined_share),
            ("job_declined_deadline", before.declined_deadline, now.declined_deadline),
            ("moved_apart", before.moved_apart, now.moved_apart),
            ("left_beside", before.left_beside, now.left_beside),
            ("throttled_single", before.throttled_single, now.throttled_single),
            ("throttled_all", before.throttled_all, now.throttled_all),
        ];
        for (kind, old, new) in kinds {
            if new > old {
                self.decisions.add(new - old, &[KeyValue::new("kind", kind)]);
            }
        }
    }

    /// Records the tasks of repeated jobs in occurrences that have begun, and their budget.
    pub fn begun(&self, tasks: u64, budget: u64) {
        self.begun.record(tasks, &[KeyValue::new("kind", "begun")]);
        self.begun.record(budget, &[KeyValue::new("kind", "budget")]);
    }

    /// Records the estimated memory of the accepted jobs, and its budget; none if it is unlimited. Both in bytes.
    pub fn accepted(&self, held: u64, budget: Option<u64>) {
        self.accepted.record(held, &[KeyValue::new("kind", "held")]);
        if let Some(budget) = budget {
            self.accepted.record(budget, &[KeyValue::new("kind", "budget")]);
        }
    }

    /// Records the bytes of unfinished requests, and their budget.
    pub fn requests(&self, used: u64, budget: u64) {
        self.request_bytes.record(used, &[KeyValue::new("kind", "used")]);
        self.request_bytes.record(budget, &[KeyValue::new("kind", "budget")]);
    }

    /// Counts requests and connections that were refused at the limits.
    pub fn requests_refused(&self, reason: &'static str, count: u64) {
        self.request_refusals.add(count, &[KeyValue::new("reason", reason)]);
    }

    /// Records the numbers of images and pairs of images whose interference is measured.
    pub fn interference(&self, known: Known) {
        for (kind, count) in [("images", known.images), ("pairs", known.pairs), ("apart", known.apart)] {
            self.interference.record(count, &[KeyValue::new("kind", kind)]);
        }
    }
    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be encoded.
    pub fn page(&self) -> Result<Vec<u8>, MetricsError> {
        let mut page = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut page)?;
        Ok(page)
    }
}

fn counter(meter: &Meter, name: &'static str, help: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(help).build()
}

fn gauge(meter: &Meter, name: &'static str, help: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(help).build()
}

fn histogram(meter: &Meter, name: &'static str, help: &'static str) -> Histogram<f64> {
    meter.f64_histogram(name).with_description(help).with_boundaries(BOUNDS_MS.to_vec()).build()
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
