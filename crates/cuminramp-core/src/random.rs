//! Interface to random numbers, so that tests and benchmarks can use a seeded, repeatable source.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Source of random numbers.
pub trait RandomSource: Send {
    /// Returns a number in `0..bound`, or `0` if `bound` is `0`.
    fn below(&mut self, bound: usize) -> usize;

    /// Returns a number in `0.0..1.0`.
    fn unit_interval(&mut self) -> f64;
}

/// Random source that yields the same sequence for the same seed.
#[derive(Debug)]
pub struct SeededRandom(StdRng);

impl SeededRandom {
    /// Creates a source from a seed.
    ///
    /// ```
    /// use cuminramp_core::{RandomSource, SeededRandom};
    /// assert_eq!(SeededRandom::new(7).below(100), SeededRandom::new(7).below(100));
    /// ```
    pub fn new(seed: u64) -> Self {
        SeededRandom(StdRng::seed_from_u64(seed))
    }
}

impl RandomSource for SeededRandom {
    fn below(&mut self, bound: usize) -> usize {
        if bound == 0 { 0 } else { self.0.random_range(0..bound) }
    }

    fn unit_interval(&mut self) -> f64 {
        self.0.random()
    }
}
