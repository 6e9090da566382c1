//! Tests of the whole system.
