//! Serves callers' requests and streams and runs batch jobs, on equal hosts that share a fleet of targets.
//!
//! `cuminramp-fleet` makes the decisions without I/O. This crate feeds it with events and carries out what it
//! decides:
//!
//! - `entry` accepts connections, reads heads and bodies, and serves steering, readiness and metrics;
//! - `online` serves a request from its admission to the end of its response;
//! - `jobs` accepts jobs, runs their items, lists results and takes over jobs of lost hosts;
//! - `readers` bounds the memory held for callers that don't read their responses;
//! - `slots` requests slots from the owners of slot groups, and grants those of groups that this host owns;
//! - `targets` pools connections to targets and sends requests over them;
//! - `sync` follows declarations, targets and hosts in the store, and relays store calls through other hosts;
//! - `peers` exchanges datagrams with other hosts, and carries calls between hosts that need a reply.
//!
//! Implementations of [`CallFormat`] and [`FleetFormat`] define the formats of callers' calls, of requests to
//! targets and of rows in the store.

mod drain;
mod entry;
mod gateway;
mod interfaces;
mod jobs;
mod metrics;
mod online;
mod parts;
mod peers;
mod readers;
mod slots;
mod state;
mod streams;
mod sync;
mod targets;
mod tokens;
mod upkeep;

pub use gateway::{Gateway, GatewayError};
pub use interfaces::{
    CallFormat, CallHead, CallerKey, CallerOperation, FleetFormat, FleetStore, FormatError,
    ListedResult, ResponseHead, ResultPage, SteeringRequest, TargetHead,
};
