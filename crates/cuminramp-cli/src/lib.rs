//! The operators' tool.
