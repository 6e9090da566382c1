//! Counts of the datagrams between hosts.

use std::sync::Mutex;

use cuminramp_core::SortedMap;

use crate::metrics::DatagramCounters;
use crate::state::lock;

/// Number of datagrams of one kind, and their bytes.
#[derive(Clone, Copy, Debug, Default)]
struct DatagramCount {
    datagrams: u64,
    bytes: u64,
}

/// Counts of the datagrams that this host sent and received, by kind.
#[derive(Debug)]
pub(crate) struct PeerTraffic {
    counters: DatagramCounters,
    sent: Mutex<SortedMap<&'static str, DatagramCount>>,
    received: Mutex<SortedMap<&'static str, DatagramCount>>,
}

fn add(
    counts: &Mutex<SortedMap<&'static str, DatagramCount>>,
    kind: &'static str,
    datagrams: usize,
    bytes: usize,
) {
    let mut counts = lock(counts);
    let count = counts.get_or_insert_with(kind, DatagramCount::default);
    count.datagrams += datagrams as u64;
    count.bytes += (datagrams * bytes) as u64;
}

/// Returns the counts for a log line, such as `heartbeat=12/2400,probe=6/900`: datagrams and bytes.
fn describe(counts: &Mutex<SortedMap<&'static str, DatagramCount>>) -> String {
    let counts = lock(counts);
    let described =
        counts.iter().map(|(kind, count)| format!("{kind}={}/{}", count.datagrams, count.bytes));
    described.collect::<Vec<String>>().join(",")
}

impl PeerTraffic {
    /// Creates counts that are exported by `counters` too.
    pub(super) fn new(counters: DatagramCounters) -> Self {
        PeerTraffic { counters, sent: Mutex::default(), received: Mutex::default() }
    }

    /// Counts a datagram of `bytes` bytes that was sent to a number of hosts.
    pub(super) fn count_sent(&self, kind: &'static str, receivers: usize, bytes: usize) {
        add(&self.sent, kind, receivers, bytes);
        self.counters.count("sent", kind, receivers, bytes);
    }

    /// Counts a received datagram.
    pub(super) fn count_received(&self, kind: &'static str, bytes: usize) {
        add(&self.received, kind, 1, bytes);
        self.counters.count("received", kind, 1, bytes);
    }

    /// Logs the counts since the start.
    pub(crate) fn log(&self) {
        let (sent, received) = (describe(&self.sent), describe(&self.received));
        log::info!(sent = sent.as_str(), received = received.as_str(); "peer-traffic");
    }
}
