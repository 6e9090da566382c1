//! Keeps declarations, shards and the list of hosts up to date.

mod configuration;
mod hosts;
mod publisher;
mod shards;
mod targets;

pub(crate) use configuration::{
    ConfigurationStore, answer_pull, merge_pull, poll_generations, pull_request, version_digest,
};
pub(crate) use hosts::{announce_host, poll_hosts};
pub(crate) use publisher::{PublishError, publish_changes, publish_withdrawals};
pub(crate) use shards::{give_back_shards, poll_shards, tick_ledger};
pub(crate) use targets::{follow_targets, poll_loads};

/// The row that holds the newest generation's number.
const HEAD_KEY: &str = "config/head";

/// The row of one generation's changes.
fn change_key(generation: u64) -> String {
    format!("config/change/{generation:012}")
}

/// The object that holds everything in force at one generation.
fn snapshot_name(generation: u64) -> String {
    format!("config/snapshot-{generation:012}")
}

/// The row of one shard.
fn shard_key(shard: u32) -> String {
    format!("shard/{shard:06}")
}
