//! HTTP client and server with timeouts for each connection.

mod client;
mod server;

pub use client::{CallError, CallTimeouts, HttpClient, read_body};
pub use server::{ServeLimits, accept_next, serve_router};
