//! What the store knows, followed by watches, and by other hosts' news where the store is away.

mod drains;
mod follow;
mod hosts;
mod relay;
mod updates;

pub(crate) use drains::take_drains;
pub(crate) use follow::{TableFollower, follow_table};
pub(crate) use hosts::{announce_host, learn_hosts, withdraw_host};
pub(crate) use relay::{RelayedStore, answer_store_call};
pub(crate) use updates::{
    DeclarationsFollower, TargetsFollower, UpdateRows, answer_updates, drop_missing_targets,
    request_updates,
};
