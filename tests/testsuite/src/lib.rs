//! Holds the tests of the whole; it has no code of its own.
