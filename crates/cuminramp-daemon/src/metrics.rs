//! Metrics of the daemon and their export in the Prometheus text format.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Upper bounds of the histogram buckets for durations, in seconds.
const TIME_BOUNDS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.78, 1.0, 2.0, 5.0, 10.0];

/// Instruments of a daemon and the registry that they export to.
pub(crate) struct DaemonMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    borrows: Counter<u64>,
    items: Counter<u64>,
    peer_calls: Counter<u64>,
    first_byte: Histogram<f64>,
    generation: Gauge<u64>,
    live_hosts: Gauge<u64>,
    owned_shards: Gauge<u64>,
}

impl DaemonMetrics {
    /// Creates the instruments on a new registry, separate for each daemon in the process.
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
        Ok(DaemonMetrics {
            requests: counter("cuminramp.requests", "Requests of callers by route"),
            refusals: counter("cuminramp.refusals", "Refusals by code"),
            retries: counter("cuminramp.retries", "Further attempts"),
            borrows: counter("cuminramp.borrows", "Calls to other hosts for tokens"),
            items: counter("cuminramp.batch.items", "Batch items by outcome"),
            peer_calls: counter("cuminramp.peer.calls", "Calls between daemons"),
            first_byte: meter
                .f64_histogram("cuminramp.first.byte")
                .with_unit("s")
                .with_boundaries(TIME_BOUNDS.to_vec())
                .with_description("Time from a request to the head of its answer")
                .build(),
            generation: gauge("cuminramp.generation", "Generation in force"),
            live_hosts: gauge("cuminramp.hosts.live", "Hosts that take new work"),
            owned_shards: gauge("cuminramp.shards.owned", "Shards of rate that this host owns"),
            registry,
            _provider: provider,
        })
    }

    pub(crate) fn count_request(&self, route: &str) {
        self.requests.add(1, &[KeyValue::new("route", route.to_owned())]);
    }

    pub(crate) fn count_refusal(&self, code: u16) {
        self.refusals.add(1, &[KeyValue::new("code", i64::from(code))]);
    }

    pub(crate) fn count_retry(&self) {
        self.retries.add(1, &[]);
    }

    pub(crate) fn count_borrow(&self, granted: bool) {
        self.borrows.add(1, &[KeyValue::new("granted", granted)]);
    }

    pub(crate) fn count_item(&self, success: bool) {
        self.items.add(1, &[KeyValue::new("success", success)]);
    }

    pub(crate) fn count_peer_call(&self, call: &'static str) {
        self.peer_calls.add(1, &[KeyValue::new("call", call)]);
    }

    pub(crate) fn record_first_byte(&self, seconds: f64) {
        self.first_byte.record(seconds, &[]);
    }

    pub(crate) fn record_state(&self, generation: u64, live_hosts: usize, owned_shards: usize) {
        self.generation.record(generation, &[]);
        self.live_hosts.record(live_hosts as u64, &[]);
        self.owned_shards.record(owned_shards as u64, &[]);
    }

    /// Returns all metrics in the Prometheus text format; empty if they can't be encoded.
    pub(crate) fn render(&self) -> String {
        let mut text = Vec::new();
        if TextEncoder::new().encode(&self.registry.gather(), &mut text).is_err() {
            return String::new();
        }
        String::from_utf8(text).unwrap_or_default()
    }
}
