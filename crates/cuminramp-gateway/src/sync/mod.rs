//! Follows the tables of the store.
//!
//! Changes come through watches. While the store is unreachable, this host receives updates from other
//! hosts and has them make its store calls. In a large fleet a few hosts follow the store, and the others
//! follow these.

mod drains;
mod follow;
mod follow_hosts;
mod hosts;
mod mirrors;
mod presence;
mod relay;
mod updates;

pub(crate) use drains::apply_drains;
pub(crate) use follow::{TableFollower, follow_table};
pub(crate) use follow_hosts::follow_hosts;
pub(crate) use hosts::{announce_host, check_fleet_size, read_earlier_run, withdraw_host};
pub(crate) use mirrors::{TableMirrors, answer_follow};
pub(crate) use relay::{RelayedStore, answer_store_call};
pub(crate) use updates::{
    DeclarationsFollower, TargetsFollower, UpdateRows, answer_updates, drop_missing_targets,
    is_behind, request_updates,
};
