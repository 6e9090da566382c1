//! Stand-ins for the platform and for inference engines, with fault injection.
//!
//! They run inside a daemon for the quickstart, inside tests, and as separate processes. Their
//! behavior is deliberately simple; faults are configurable, and random faults are drawn from a seed.

mod engine;
mod engine_core;
mod engine_http;
mod faulty_link;
mod loopback_network;
mod memory_platform;
mod platform_http;
mod text;

pub use engine::{Engine, EngineSettings};
pub use engine_core::{EngineStats, LoadReport};
pub use faulty_link::{FaultyLink, LinkMode};
pub use loopback_network::LoopbackNetwork;
pub use memory_platform::{MemoryPlatform, PlatformFaults, PlatformSettings, PlatformStats};
pub use platform_http::serve_platform;
pub use text::{expected_answer, expected_token};
