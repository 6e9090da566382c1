//! Serves callers' streams and whole jobs on equal hosts that share a fleet of targets.
//!
//! The decisions stand in `cuminramp-fleet`; this crate feeds them with events and carries their
//! actions out:
//!
//! - `entry` accepts connections, reads heads and bodies, and answers steering and readiness;
//! - `online` takes a request from admission to the end of its answer;
//! - `jobs` accepts jobs, runs their items, lists results and takes jobs over;
//! - `slots` asks the owners of targets for slots, and hands out those that this host owns;
//! - `targets` keeps connections to targets;
//! - `sync` follows declarations, targets and hosts in the store;
//! - `peers` sends and takes datagrams, and asks other hosts for what the store does not tell.
//!
//! How callers, targets and rows are spelled is the business of [`CallFormat`] and [`FleetFormat`].

mod entry;
mod gateway;
mod interfaces;
mod jobs;
mod metrics;
mod online;
mod peers;
mod slots;
mod state;
mod sync;
mod targets;

pub use gateway::{Gateway, GatewayError};
pub use interfaces::{
    AnswerHead, CallFormat, CallHead, CallerCall, CallerKey, FleetFormat, FleetStore, FormatError,
    ListedResult, ResultPage, SteeringCall, TargetHead,
};
