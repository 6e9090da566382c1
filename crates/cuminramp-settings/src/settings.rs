//! Settings of a daemon and their defaults.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Implements a method for each setting in milliseconds that returns it as a [`Duration`].
macro_rules! durations {
    ($section:ident { $($(#[$doc:meta])* $name:ident = $field:ident;)* }) => {
        impl $section {
            $($(#[$doc])* pub fn $name(&self) -> Duration {
                Duration::from_millis(self.$field)
            })*
        }
    };
}

/// Settings of a daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct DaemonSettings {
    /// Address that callers connect to, as `ip:port`; port 0 selects a free port.
    pub caller_address: String,
    /// Address that operators and metrics scrapers connect to, as `ip:port`.
    pub operator_address: String,
    /// Address that other daemons connect to, as `ip:port`.
    pub peer_address: String,
    /// Address advertised to callers, as `ip:port`; if empty, `caller-address`.
    pub advertised_caller_address: String,
    /// Address advertised to other daemons, as `ip:port`; if empty, `peer-address`.
    pub advertised_peer_address: String,
    /// Availability zone of this host.
    pub availability_zone: String,
    /// Bearer token required from operators; if empty, none is required.
    pub operator_token: String,
    /// Lowest level of log lines: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
    /// Seed of random choices; with 0, the operating system provides the seed.
    pub random_seed: u64,
    /// Access to the platform's services.
    pub platform: PlatformAccess,
    /// Limits on callers' connections and requests.
    pub limits: LimitSettings,
    /// Membership and calls between daemons.
    pub peers: PeerSettings,
    /// Distribution of declarations and keys by generation.
    pub configuration: ConfigurationSettings,
    /// Distribution of teams' rates and bursts over hosts.
    pub quota: QuotaSettings,
    /// Steering answers to callers.
    pub steering: SteeringSettings,
    /// Choice of targets and connections to them.
    pub targets: TargetSettings,
    /// Retries of requests and quarantine of poison requests.
    pub retries: RetrySettings,
    /// Start marks: table rows that record that a request that may not be repeated was started.
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

/// Access to the platform's services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlatformAccess {
    /// Address of the table, the objects and the host list, as `ip:port`.
    pub address: String,
    /// Timeout of one call, in milliseconds.
    pub timeout_ms: u64,
    /// Whether this host announces itself to the platform; off where the platform lists its hosts by
    /// itself.
    pub announce: bool,
    /// Maximum delay, in milliseconds, until a change of the hosts appears in the host list.
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
    /// Timeout of one call.
    timeout = timeout_ms;
    /// Maximum delay until a change of the hosts appears in the host list.
    list_lag = list_lag_ms;
});

/// Limits on callers' connections and requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of an uploaded file, in bytes.
    pub max_file_bytes: usize,
    /// Maximum size of a target's answer that is not a stream, in bytes.
    pub max_answer_bytes: usize,
    /// Timeout for receiving the head of a request, in milliseconds; also the idle timeout of a
    /// connection.
    pub head_timeout_ms: u64,
    /// Timeout for receiving the body of a request, in milliseconds.
    pub body_timeout_ms: u64,
    /// Maximum number of open connections from callers.
    pub connections: usize,
    /// Maximum number of items in one batch job.
    pub max_batch_items: usize,
    /// Maximum time, in milliseconds, that a draining host waits for work in flight.
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
    /// Timeout for receiving the head of a request.
    head_timeout = head_timeout_ms;
    /// Timeout for receiving the body of a request.
    body_timeout = body_timeout_ms;
    /// Maximum time that a draining host waits for work in flight.
    drain_timeout = drain_timeout_ms;
});

/// Membership (SWIM) and calls between daemons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PeerSettings {
    /// Interval between probes of other hosts, in milliseconds.
    pub probe_interval_ms: u64,
    /// Timeout of a probe, in milliseconds, after which other hosts are asked to probe the host.
    pub probe_timeout_ms: u64,
    /// Number of other hosts that are asked to probe a host after a probe timed out.
    pub indirect_probes: usize,
    /// Time, in milliseconds, in which a suspect member must show that it is alive before it counts as
    /// dead.
    pub suspicion_ms: u64,
    /// Timeout of calls other than probes, in milliseconds.
    pub call_timeout_ms: u64,
    /// Interval, in milliseconds, at which the platform's host list is read.
    pub list_poll_ms: u64,
    /// Maximum number of membership updates carried by one probe.
    pub updates_per_probe: usize,
    /// Time, in milliseconds, after which a host that is dead or has left is removed from the member
    /// table.
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
    /// Interval between probes of other hosts.
    probe_interval = probe_interval_ms;
    /// Timeout of a probe.
    probe_timeout = probe_timeout_ms;
    /// Time in which a suspect member must show that it is alive.
    suspicion_timeout = suspicion_ms;
    /// Timeout of calls other than probes.
    call_timeout = call_timeout_ms;
    /// Interval at which the platform's host list is read.
    list_poll = list_poll_ms;
    /// Time after which a host that is dead or has left is removed from the member table.
    forget_after = forget_after_ms;
});

/// Distribution of declarations and keys by generation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ConfigurationSettings {
    /// Interval, in milliseconds, at which the table is polled for a newer generation.
    pub poll_ms: u64,
    /// Time, in milliseconds, for which a host continues to accept keys while it receives nothing from
    /// the table or from other daemons.
    pub unconfirmed_after_ms: u64,
    /// Maximum number of change sets kept for peers with older generations; a peer that lacks more of them
    /// gets a snapshot.
    pub log_generations: usize,
    /// Number of generations after which a snapshot is written.
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
    /// Interval at which the table is polled for a newer generation.
    poll = poll_ms;
    /// Time for which a host continues to accept keys while it receives nothing from the table or from
    /// other daemons.
    unconfirmed_after = unconfirmed_after_ms;
});

/// Policy by which teams' rates and bursts are distributed over hosts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaPolicy {
    /// Each shard has an owner until the owner releases it or is confirmed dead.
    #[default]
    Shards,
    /// Baseline: the lease of an owner expires after a fixed time.
    ExpiringLease,
    /// Baseline: each host has an equal, fixed part.
    StaticSplit,
}

/// Distribution of teams' rates and bursts over hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct QuotaSettings {
    /// Policy by which rates and bursts are distributed.
    pub policy: QuotaPolicy,
    /// Number of shards; the same on every host and fixed for the lifetime of the table.
    pub shards: u32,
    /// Number of slices into which a team's rate is split, each on a shard of its own, before
    /// `slice-rate` adds more.
    pub slices: u32,
    /// Rate, in requests a second, for each multiple of which a team gets one further slice, up to
    /// `max-slices`.
    pub slice_rate: f64,
    /// Maximum number of slices of a team.
    pub max_slices: u32,
    /// Maximum time, in milliseconds, for which tokens borrowed from another host stay valid.
    pub borrow_valid_ms: u64,
    /// Maximum number of owners from which tokens are requested, one after the other, before a request
    /// is refused.
    pub borrow_attempts: usize,
    /// Interval, in milliseconds, at which shards are claimed, released and read.
    pub shard_poll_ms: u64,
    /// Maximum number of shards that a host hands over in one poll.
    pub moves_per_poll: usize,
    /// Duration of a lease under the baseline `expiring-lease`, in milliseconds.
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
    /// Maximum time for which tokens borrowed from another host stay valid.
    borrow_valid = borrow_valid_ms;
    /// Interval at which shards are claimed, released and read.
    shard_poll = shard_poll_ms;
    /// Duration of a lease under the baseline `expiring-lease`.
    lease = lease_ms;
});

/// Steering answers, which name the hosts that a caller should use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct SteeringSettings {
    /// Number of hosts that a steering answer names.
    pub homes: usize,
    /// Time, in milliseconds, for which a caller may cache a steering answer.
    pub keep_ms: u64,
}

impl Default for SteeringSettings {
    fn default() -> Self {
        SteeringSettings { homes: 3, keep_ms: 30_000 }
    }
}

durations!(SteeringSettings {
    /// Time for which a caller may cache a steering answer.
    ttl = keep_ms;
});

/// Choice of targets and connections to them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct TargetSettings {
    /// Timeout for connecting to a target, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Timeout, in milliseconds, until the head of a target's answer arrives.
    pub first_byte_timeout_ms: u64,
    /// Timeout, in milliseconds, between two pieces of a stream or body.
    pub progress_timeout_ms: u64,
    /// Interval, in milliseconds, at which engines are polled for their load; 0 disables polling.
    pub load_poll_ms: u64,
    /// Path of an engine's load report.
    pub load_path: String,
    /// Name of the request header with the number of tokens after which an engine continues an answer;
    /// empty if engines can't.
    pub resume_header: String,
    /// Number of consecutive failures after which a target is ejected.
    pub eject_after: u32,
    /// Duration of a target's first ejection, in milliseconds; it doubles with each further ejection,
    /// up to eight times this value.
    pub eject_ms: u64,
    /// Maximum share of a pool's targets that may be ejected.
    pub eject_share: f64,
    /// Maximum time, in milliseconds, that a request waits for a free slot.
    pub queue_timeout_ms: u64,
    /// Maximum number of requests of one pool that wait for a free slot on this host.
    pub queue_length: usize,
    /// Maximum number of requests in flight on one target over all hosts, as a multiple of its slots.
    pub slot_factor: f64,
    /// Number of leading characters of a prompt that count as its prefix.
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
    /// Timeout for connecting to a target.
    connect_timeout = connect_timeout_ms;
    /// Timeout until the head of a target's answer arrives.
    first_byte_timeout = first_byte_timeout_ms;
    /// Timeout between two pieces of a stream or body.
    progress_timeout = progress_timeout_ms;
    /// Interval at which engines are polled for their load.
    load_poll = load_poll_ms;
    /// Duration of a target's first ejection.
    eject = eject_ms;
    /// Maximum time that a request waits for a free slot.
    queue_timeout = queue_timeout_ms;
});

/// Retries of requests and quarantine of poison requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct RetrySettings {
    /// Maximum number of attempts of one request, including the first.
    pub attempts: u32,
    /// Maximum rate of retries, as a share of the rate of requests.
    pub budget_share: f64,
    /// Maximum number of retries at once.
    pub budget_burst: f64,
    /// Time, in milliseconds, for which the fingerprint of a poison request stays quarantined.
    pub quarantine_ms: u64,
    /// Number of target crashes after which a fingerprint is quarantined.
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
    /// Time for which the fingerprint of a poison request stays quarantined.
    quarantine = quarantine_ms;
});

/// Start marks: table rows that record that a request that may not be repeated was started.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct MarkSettings {
    /// Minimum interval between two writes of marks, in milliseconds; marks that arrive in between go
    /// into the next write.
    pub group_ms: u64,
    /// Maximum number of marks in one write.
    pub group_size: usize,
    /// Maximum size, in bytes, of an answer that is stored for a caller that repeats its request.
    pub max_kept_bytes: usize,
}

impl Default for MarkSettings {
    fn default() -> Self {
        MarkSettings { group_ms: 50, group_size: 256, max_kept_bytes: 64 << 10 }
    }
}

durations!(MarkSettings {
    /// Minimum interval between two writes of marks.
    group = group_ms;
});

/// Batch jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct BatchSettings {
    /// Whether this host works on batch jobs.
    pub enabled: bool,
    /// Interval, in milliseconds, at which the table is polled for open jobs.
    pub poll_ms: u64,
    /// Minimum number of items in a chunk.
    pub min_chunk_items: u32,
    /// Maximum number of items in a chunk.
    pub max_chunk_items: u32,
    /// Maximum number of chunks that one host holds at once.
    pub chunks_per_host: usize,
    /// Time, in milliseconds, for which a host must be dead before its chunks are taken over.
    pub takeover_after_ms: u64,
    /// Number of attempts after which an item ends with an error.
    pub item_attempts: u32,
    /// Number of target crashes, with the item running alone, after which the item ends with an error.
    pub item_crashes: u32,
    /// Maximum share of an engine's slots that batch items may fill while nothing else runs.
    pub window_share: f64,
    /// Time, in milliseconds, after online work during which an engine gets no batch items.
    pub yield_ms: u64,
    /// Timeout of one item, in milliseconds.
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
    /// Interval at which the table is polled for open jobs.
    poll = poll_ms;
    /// Time for which a host must be dead before its chunks are taken over.
    takeover_after = takeover_after_ms;
    /// Time after online work during which an engine gets no batch items.
    online_cooldown = yield_ms;
    /// Timeout of one item.
    item_timeout = item_timeout_ms;
});
