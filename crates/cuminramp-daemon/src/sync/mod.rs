//! Keeps declarations, shards, the list of hosts and the targets' load up to date.

mod configuration;
mod hosts;
mod publisher;
mod shards;
mod targets;

pub(crate) use configuration::{
    ConfigurationStore, handle_pull, merge_pull, poll_generations, pull_request, version_digest,
};
pub(crate) use hosts::{announce_host, poll_hosts};
pub(crate) use publisher::{PublishError, publish_changes, publish_withdrawals};
pub(crate) use shards::{hand_over_all_shards, poll_shards, tick_ledger};
pub(crate) use targets::{poll_loads, sync_targets};

/// Key of the head row, which names the newest generation.
const HEAD_KEY: &str = "config/head";

/// Returns the key of the row that holds one generation's changes.
fn change_key(generation: u64) -> String {
    format!("config/change/{generation:012}")
}

/// Returns the name of the object that holds the full configuration at one generation.
fn snapshot_name(generation: u64) -> String {
    format!("config/snapshot-{generation:012}")
}

/// Returns the key of a shard's row.
fn shard_key(shard: u32) -> String {
    format!("shard/{shard:06}")
}
