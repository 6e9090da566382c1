//! Metrics of a gateway, and their text format for scrapers.

mod labels;

use std::sync::Mutex;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use self::labels::TeamLabels;
use crate::state::lock;

/// Bucket bounds of duration histograms, in seconds. One of them is the usual objective of 0.3 s, so that the
/// histogram shows how many requests met it.
const DURATION_BUCKETS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0];

/// Counters of the datagrams between hosts. Copies share their counts.
#[derive(Clone, Debug)]
pub(crate) struct DatagramCounters {
    datagrams: Counter<u64>,
    bytes: Counter<u64>,
}

impl DatagramCounters {
    /// Counts datagrams of one kind with `bytes` bytes each. The direction is `sent` or `received`.
    pub(crate) fn count(
        &self,
        direction: &'static str,
        kind: &'static str,
        datagrams: usize,
        bytes: usize,
    ) {
        let labels = [KeyValue::new("direction", direction), KeyValue::new("kind", kind)];
        self.datagrams.add(datagrams as u64, &labels);
        self.bytes.add((datagrams * bytes) as u64, &labels);
    }
}

/// The instruments of a gateway.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    items: Counter<u64>,
    store_failures: Counter<u64>,
    tokens: Counter<u64>,
    first_event: Histogram<f64>,
    answer: Histogram<f64>,
    acceptance: Histogram<f64>,
    placement: Histogram<f64>,
    declarations: Gauge<u64>,
    alive_hosts: Gauge<u64>,
    held_jobs: Gauge<u64>,
    drained_zones: Gauge<u64>,
    admissions: Counter<u64>,
    waiting_requests: Gauge<u64>,
    team_labels: Mutex<TeamLabels>,
    slow_targets: Gauge<u64>,
    ended_unread: Counter<u64>,
    held_for_readers: Gauge<u64>,
    datagrams: DatagramCounters,
}

impl GatewayMetrics {
    /// Creates the instruments with a registry of their own.
    pub(crate) fn new() -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("cuminramp");
        let counter = |name: &'static str, description: &'static str| {
            meter.u64_counter(name).with_description(description).build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        let histogram = |name: &'static str, description: &'static str| {
            let builder = meter.f64_histogram(name).with_unit("s").with_description(description);
            builder.with_boundaries(DURATION_BUCKETS_S.to_vec()).build()
        };
        Ok(GatewayMetrics {
            requests: counter("cuminramp.requests", "Requests by outcome"),
            refusals: counter("cuminramp.refusals", "Refusals by code"),
            attempts: counter("cuminramp.attempts", "Sends to targets by outcome"),
            items: counter("cuminramp.items", "Runs of batch items by outcome"),
            store_failures: counter("cuminramp.store.failures", "Calls to the store that failed"),
            tokens: counter("cuminramp.tokens", "Decisions on teams' rates, by who made them"),
            first_event: histogram("cuminramp.first.event", "From a request to its first event"),
            answer: histogram("cuminramp.answer", "From a request to the end of its answer"),
            acceptance: histogram("cuminramp.acceptance", "From a job to its acceptance"),
            placement: histogram("cuminramp.placement", "Search for a slot, by who chose it"),
            declarations: gauge("cuminramp.declarations", "Version of the declarations in force"),
            alive_hosts: gauge("cuminramp.hosts.heard", "Hosts heard lately, this one included"),
            held_jobs: gauge("cuminramp.jobs.held", "Jobs that this host works on"),
            drained_zones: gauge("cuminramp.zones.drained", "Zones whose targets get nothing new"),
            admissions: counter("cuminramp.admissions", "Requests to admission queues by outcome"),
            waiting_requests: gauge(
                "cuminramp.waiting.requests",
                "Requests that wait in the admission queues of this host",
            ),
            team_labels: Mutex::default(),
            slow_targets: gauge("cuminramp.targets.slow", "Targets whose work takes twice as long"),
            ended_unread: counter(
                "cuminramp.streams.ended.unread",
                "Responses that ended because their callers did not read, by reason",
            ),
            held_for_readers: gauge(
                "cuminramp.held.bytes",
                "Most bytes held at a time for callers that did not read, in the last 100 ms",
            ),
            datagrams: DatagramCounters {
                datagrams: counter("cuminramp.peer.datagrams", "Datagrams between hosts by kind"),
                bytes: counter("cuminramp.peer.bytes", "Bytes of datagrams between hosts by kind"),
            },
            registry,
            _provider: provider,
        })
    }

    pub(crate) fn count_request(&self, outcome: &'static str) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn count_refusal(&self, code: u16) {
        self.refusals.add(1, &[KeyValue::new("code", i64::from(code))]);
    }

    pub(crate) fn record_placement(&self, placed_by: &'static str, took: Duration) {
        self.placement.record(took.as_secs_f64(), &[KeyValue::new("placed_by", placed_by)]);
    }

    pub(crate) fn count_attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn count_item(&self, outcome: &'static str) {
        self.items.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn count_store_failure(&self, call: &'static str) {
        self.store_failures.add(1, &[KeyValue::new("call", call)]);
    }

    pub(crate) fn count_token(&self, decided_by: &'static str) {
        self.tokens.add(1, &[KeyValue::new("decided_by", decided_by)]);
    }

    /// Counts the outcome of a request to an admission queue. A bounded number of teams is listed by name.
    pub(crate) fn count_admission(&self, team: &str, outcome: &'static str) {
        let label = lock(&self.team_labels).count_request(team);
        self.admissions.add(1, &[KeyValue::new("team", label), KeyValue::new("outcome", outcome)]);
    }

    /// Records the number of requests that wait in the admission queues of this host.
    pub(crate) fn record_waiting(&self, requests: usize) {
        self.waiting_requests.record(requests as u64, &[]);
    }

    pub(crate) fn record_first_event(&self, time: Duration) {
        self.first_event.record(time.as_secs_f64(), &[]);
    }

    pub(crate) fn record_answer(&self, time: Duration) {
        self.answer.record(time.as_secs_f64(), &[]);
    }

    pub(crate) fn record_acceptance(&self, time: Duration) {
        self.acceptance.record(time.as_secs_f64(), &[]);
    }

    pub(crate) fn record_state(&self, declarations: u64, alive_hosts: usize, held_jobs: usize) {
        self.declarations.record(declarations, &[]);
        self.alive_hosts.record(alive_hosts as u64, &[]);
        self.held_jobs.record(held_jobs as u64, &[]);
    }

    pub(crate) fn record_drained(&self, zones: usize) {
        self.drained_zones.record(zones as u64, &[]);
    }

    pub(crate) fn record_slow_targets(&self, targets: usize) {
        self.slow_targets.record(targets as u64, &[]);
    }

    pub(crate) fn count_ended_unread(&self, reason: &'static str) {
        self.ended_unread.add(1, &[KeyValue::new("reason", reason)]);
    }

    pub(crate) fn record_held_for_readers(&self, bytes: u64) {
        self.held_for_readers.record(bytes, &[]);
    }

    /// Returns the counters of datagrams.
    pub(crate) fn datagrams(&self) -> DatagramCounters {
        self.datagrams.clone()
    }

    /// Returns the metrics in the text format for scrapers.
    pub(crate) fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

#[cfg(test)]
mod tests;
