//! Package of the tests of the whole system; it has no code of its own.
