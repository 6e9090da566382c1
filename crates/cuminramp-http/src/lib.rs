//! HTTP client and server plumbing with a liveness rule for each connection.

mod client;
mod server;

pub use client::{CallError, CallTimeouts, HttpClient, read_body};
pub use server::{ServeLimits, accept_next, serve_router};
