//! The settings and their defaults.

use std::time::Duration;

use serde::{Deserialize, Serialize};

macro_rules! durations {
    ($section:ident { $($(#[$doc:meta])* $name:ident = $field:ident;)* }) => {
        impl $section {
            $($(#[$doc])* pub fn $name(&self) -> Duration {
                Duration::from_millis(self.$field)
            })*
        }
    };
}

/// Everything a daemon is told at its start.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct DaemonSettings {
    /// Where callers connect, `ip:port`; port 0 takes a free one.
    pub caller_address: String,
    /// Where operators and scrapers connect, `ip:port`.
    pub operator_address: String,
    /// Where other daemons connect, `ip:port`.
    pub peer_address: String,
    /// What callers are told to connect to; empty: `caller-address`.
    pub advertised_caller_address: String,
    /// What other daemons are told to connect to; empty: `peer-address`.
    pub advertised_peer_address: String,
    /// The availability zone of this host.
    pub availability_zone: String,
    /// What operators send as bearer token; empty: none is asked for.
    pub operator_token: String,
    /// Lowest level of log lines: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
    /// Seed of random choices; 0 takes one from the system.
    pub random_seed: u64,
    /// Where the platform's services are.
    pub platform: PlatformAccess,
    /// Bounds on what callers may ask.
    pub limits: LimitSettings,
    /// Talk between daemons.
    pub peers: PeerSettings,
    /// Generations of declarations and keys.
    pub configuration: ConfigurationSettings,
    /// Rate and burst over all hosts.
    pub quota: QuotaSettings,
    /// What callers are told of hosts.
    pub steering: SteeringSettings,
    /// Choice of targets and their connections.
    pub targets: TargetSettings,
    /// Further attempts.
    pub retries: RetrySettings,
    /// Requests that may not be repeated.
    pub marks: MarkSettings,
    /// Batch jobs.
    pub batch: BatchSettings,
}

impl Default for DaemonSettings {
    fn default() -> Self {
        DaemonSettings {
            caller_address: "127.0.0.1:8080".into(),
            operator_address: "127.0.0.1:8081".into(),
            peer_address: "127.0.0.1:8082".into(),
            advertised_caller_address: String::new(),
            advertised_peer_address: String::new(),
            availability_zone: "zone-a".into(),
            operator_token: String::new(),
            log_level: "info".into(),
            random_seed: 0,
            platform: PlatformAccess::default(),
            limits: LimitSettings::default(),
            peers: PeerSettings::default(),
            configuration: ConfigurationSettings::default(),
            quota: QuotaSettings::default(),
            steering: SteeringSettings::default(),
            targets: TargetSettings::default(),
            retries: RetrySettings::default(),
            marks: MarkSettings::default(),
            batch: BatchSettings::default(),
        }
    }
}

/// Where the platform's services are.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlatformAccess {
    /// Table, objects and host list, `ip:port`.
    pub address: String,
    /// How long one call may take.
    pub timeout_ms: u64,
    /// Whether to tell the platform that this host stands; off where it knows by itself.
    pub announce: bool,
    /// How late the host list may be.
    pub list_lag_ms: u64,
}

impl Default for PlatformAccess {
    fn default() -> Self {
        PlatformAccess {
            address: "127.0.0.1:7000".into(),
            timeout_ms: 2_000,
            announce: true,
            list_lag_ms: 10_000,
        }
    }
}

durations!(PlatformAccess {
    /// How long one call may take.
    timeout = timeout_ms;
    /// How late the host list may be.
    list_lag = list_lag_ms;
});

/// Bounds on what callers may ask.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LimitSettings {
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Largest uploaded file.
    pub max_file_bytes: usize,
    /// Largest answer of a target that is not a stream.
    pub max_answer_bytes: usize,
    /// How long the head of a request may take; also how long a connection may idle.
    pub head_timeout_ms: u64,
    /// How long the body of a request may take.
    pub body_timeout_ms: u64,
    /// Connections of callers at once.
    pub connections: usize,
    /// Most items in one batch job.
    pub max_batch_items: usize,
    /// How long a host that leaves waits for what is in flight.
    pub drain_timeout_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            max_body_bytes: 4 << 20,
            max_file_bytes: 256 << 20,
            max_answer_bytes: 16 << 20,
            head_timeout_ms: 30_000,
            body_timeout_ms: 10_000,
            connections: 20_000,
            max_batch_items: 100_000,
            drain_timeout_ms: 60_000,
        }
    }
}

durations!(LimitSettings {
    /// How long the head of a request may take.
    head_timeout = head_timeout_ms;
    /// How long the body of a request may take.
    body_timeout = body_timeout_ms;
    /// How long a host that leaves waits.
    drain_timeout = drain_timeout_ms;
});

/// Talk between daemons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PeerSettings {
    /// How often a host probes another.
    pub probe_interval_ms: u64,
    /// How long a probe waits before others are asked to try.
    pub probe_timeout_ms: u64,
    /// How many others are asked to try.
    pub indirect_probes: usize,
    /// How long a suspect has to show that it lives before it counts as dead.
    pub suspicion_ms: u64,
    /// How long a call other than a probe may take.
    pub call_timeout_ms: u64,
    /// How often the platform's host list is read.
    pub list_poll_ms: u64,
    /// How many changes of other hosts ride on one probe.
    pub updates_per_probe: usize,
    /// How long a host that is dead or gone is remembered.
    pub forget_after_ms: u64,
}

impl Default for PeerSettings {
    fn default() -> Self {
        PeerSettings {
            probe_interval_ms: 250,
            probe_timeout_ms: 150,
            indirect_probes: 2,
            suspicion_ms: 3_000,
            call_timeout_ms: 500,
            list_poll_ms: 2_000,
            updates_per_probe: 8,
            forget_after_ms: 60_000,
        }
    }
}

durations!(PeerSettings {
    /// How often a host probes another.
    probe_interval = probe_interval_ms;
    /// How long a probe waits.
    probe_timeout = probe_timeout_ms;
    /// How long a suspect has to show that it lives.
    suspicion = suspicion_ms;
    /// How long a call other than a probe may take.
    call_timeout = call_timeout_ms;
    /// How often the platform's host list is read.
    list_poll = list_poll_ms;
    /// How long a dead host is remembered.
    forget_after = forget_after_ms;
});

/// Generations of declarations and keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ConfigurationSettings {
    /// How often the table is asked for a newer generation.
    pub poll_ms: u64,
    /// How long a host that hears neither from the table nor from another daemon goes on taking keys.
    pub unconfirmed_after_ms: u64,
    /// How many change sets are kept for others that are behind.
    pub log_generations: usize,
    /// After how many generations a snapshot is written.
    pub snapshot_every: u64,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        ConfigurationSettings {
            poll_ms: 2_000,
            unconfirmed_after_ms: 5_000,
            log_generations: 512,
            snapshot_every: 64,
        }
    }
}

durations!(ConfigurationSettings {
    /// How often the table is asked.
    poll = poll_ms;
    /// How long a host that hears from nobody goes on taking keys.
    unconfirmed_after = unconfirmed_after_ms;
});

/// How rate and burst are shared out over hosts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaPolicy {
    /// Shards that are owned until they are given back or their owner is surely dead.
    #[default]
    Shards,
    /// Baseline: an owner's lease that expires by time.
    ExpiringLease,
    /// Baseline: each host has an equal fixed part.
    StaticSplit,
}

/// Rate and burst over all hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct QuotaSettings {
    /// How the rate is shared out.
    pub policy: QuotaPolicy,
    /// Shards in all; the same on every host, fixed for the life of the table.
    pub shards: u32,
    /// Shards among which a team's rate is split.
    pub slices: u32,
    /// Further slices for each so many requests a second, up to `max-slices`.
    pub slice_rate: f64,
    /// Most slices of a team.
    pub max_slices: u32,
    /// How long tokens from another host stay valid.
    pub borrow_valid_ms: u64,
    /// How many owners are asked, one after the other, before a request is refused.
    pub borrow_attempts: usize,
    /// How often shards are claimed, given back and read.
    pub shard_poll_ms: u64,
    /// How many shards a host gives to another in one step.
    pub moves_per_poll: usize,
    /// Baseline `expiring-lease`: how long a lease lasts.
    pub lease_ms: u64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        QuotaSettings {
            policy: QuotaPolicy::Shards,
            shards: 128,
            slices: 3,
            slice_rate: 10.0,
            max_slices: 32,
            borrow_valid_ms: 1_000,
            borrow_attempts: 5,
            shard_poll_ms: 2_000,
            moves_per_poll: 16,
            lease_ms: 5_000,
        }
    }
}

durations!(QuotaSettings {
    /// How long tokens from another host stay valid.
    borrow_valid = borrow_valid_ms;
    /// How often shards are claimed, given back and read.
    shard_poll = shard_poll_ms;
    /// Baseline: how long a lease lasts.
    lease = lease_ms;
});

/// What callers are told of hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct SteeringSettings {
    /// How many hosts an answer names.
    pub homes: usize,
    /// How long a caller may keep an answer.
    pub keep_ms: u64,
}

impl Default for SteeringSettings {
    fn default() -> Self {
        SteeringSettings { homes: 3, keep_ms: 30_000 }
    }
}

durations!(SteeringSettings {
    /// How long a caller may keep an answer.
    keep = keep_ms;
});

/// Choice of targets and their connections.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct TargetSettings {
    /// How long connecting may take.
    pub connect_timeout_ms: u64,
    /// How long a target may take until the head of its answer.
    pub first_byte_timeout_ms: u64,
    /// How long a stream or body may be silent.
    pub progress_timeout_ms: u64,
    /// How often engines are asked for their load; 0: never.
    pub load_poll_ms: u64,
    /// The path of an engine's load report.
    pub load_path: String,
    /// The header that asks an engine to go on with an answer after so many tokens; empty: engines
    /// can't.
    pub resume_header: String,
    /// Failures in a row after which a target is set aside.
    pub eject_after: u32,
    /// How long it is set aside at first; it doubles up to eight times that.
    pub eject_ms: u64,
    /// The largest share of a pool that may be set aside.
    pub eject_share: f64,
    /// How long requests may wait for a free slot.
    pub queue_timeout_ms: u64,
    /// Most requests of one pool that wait on this host.
    pub queue_length: usize,
    /// Requests in flight on one target, as a multiple of its slots, over all hosts.
    pub slot_factor: f64,
    /// How many characters of a prompt count as its prefix.
    pub prefix_chars: usize,
}

impl Default for TargetSettings {
    fn default() -> Self {
        TargetSettings {
            connect_timeout_ms: 500,
            first_byte_timeout_ms: 10_000,
            progress_timeout_ms: 5_000,
            load_poll_ms: 500,
            load_path: "/load".into(),
            resume_header: "x-resume-position".into(),
            eject_after: 3,
            eject_ms: 1_000,
            eject_share: 0.5,
            queue_timeout_ms: 5_000,
            queue_length: 1_000,
            slot_factor: 2.0,
            prefix_chars: 256,
        }
    }
}

durations!(TargetSettings {
    /// How long connecting may take.
    connect_timeout = connect_timeout_ms;
    /// How long a target may take until the head of its answer.
    first_byte_timeout = first_byte_timeout_ms;
    /// How long a stream or body may be silent.
    progress_timeout = progress_timeout_ms;
    /// How often engines are asked for their load.
    load_poll = load_poll_ms;
    /// How long a target is set aside at first.
    eject = eject_ms;
    /// How long requests may wait for a free slot.
    queue_timeout = queue_timeout_ms;
});

/// Further attempts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct RetrySettings {
    /// Attempts of one request in all.
    pub attempts: u32,
    /// Retries a second as a share of requests a second.
    pub budget_share: f64,
    /// Retries at once.
    pub budget_burst: f64,
    /// How long the fingerprint of a request that crashed targets is not run.
    pub quarantine_ms: u64,
    /// How many targets a fingerprint may take down before.
    pub quarantine_after: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings {
            attempts: 3,
            budget_share: 0.1,
            budget_burst: 20.0,
            quarantine_ms: 600_000,
            quarantine_after: 2,
        }
    }
}

durations!(RetrySettings {
    /// How long a fingerprint is not run.
    quarantine = quarantine_ms;
});

/// Requests that may not be repeated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct MarkSettings {
    /// Least time between two writes of marks; what comes meanwhile goes into the next one.
    pub group_ms: u64,
    /// Most marks in one write.
    pub group_size: usize,
    /// Largest answer that is kept for a caller who asks again.
    pub max_kept_bytes: usize,
}

impl Default for MarkSettings {
    fn default() -> Self {
        MarkSettings { group_ms: 50, group_size: 256, max_kept_bytes: 64 << 10 }
    }
}

durations!(MarkSettings {
    /// Least time between two writes of marks.
    group = group_ms;
});

/// Batch jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct BatchSettings {
    /// Whether this host works on batch jobs.
    pub enabled: bool,
    /// How often the table is asked for open jobs.
    pub poll_ms: u64,
    /// Fewest items in a chunk.
    pub min_chunk_items: u32,
    /// Most items in a chunk.
    pub max_chunk_items: u32,
    /// Chunks that one host holds at once.
    pub chunks_per_host: usize,
    /// How long a host must be gone before its chunks are taken over.
    pub takeover_after_ms: u64,
    /// Attempts of one item before it ends with an error.
    pub item_attempts: u32,
    /// Crashes of targets with an item alone before it ends with an error.
    pub item_crashes: u32,
    /// The share of an engine's slots that batch may fill when nothing else runs.
    pub window_share: f64,
    /// How long after online work batch stays away from an engine.
    pub yield_ms: u64,
    /// Time one item may take.
    pub item_timeout_ms: u64,
}

impl Default for BatchSettings {
    fn default() -> Self {
        BatchSettings {
            enabled: true,
            poll_ms: 1_000,
            min_chunk_items: 16,
            max_chunk_items: 500,
            chunks_per_host: 8,
            takeover_after_ms: 5_000,
            item_attempts: 5,
            item_crashes: 2,
            window_share: 1.0,
            yield_ms: 250,
            item_timeout_ms: 120_000,
        }
    }
}

durations!(BatchSettings {
    /// How often the table is asked for open jobs.
    poll = poll_ms;
    /// How long a host must be gone before its chunks are taken over.
    takeover_after = takeover_after_ms;
    /// How long after online work batch stays away from an engine.
    yield_time = yield_ms;
    /// Time one item may take.
    item_timeout = item_timeout_ms;
});
