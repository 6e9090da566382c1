//! Tests of the whole system over its real borders: daemons on loopback, each on a runtime of its
//! own that can be ended as a kill would end it, a shared platform stand-in and engines.

mod support;

mod batch;
mod configuration;
mod connections;
mod crashes;
mod examples;
mod keys;
mod membership;
mod online;
mod quota;
mod refusals;
mod services;
