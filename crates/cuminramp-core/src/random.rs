//! The border to randomness, so that tests and benches repeat themselves.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// A source of random numbers.
pub trait RandomSource: Send {
    /// A number in `0..bound`; `0` where `bound` is `0`.
    fn below(&mut self, bound: usize) -> usize;

    /// A number in `0.0..1.0`.
    fn fraction(&mut self) -> f64;
}

/// A random source that repeats itself from a seed.
#[derive(Debug)]
pub struct SeededRandom(StdRng);

impl SeededRandom {
    /// Starts from a seed.
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

    fn fraction(&mut self) -> f64 {
        self.0.random()
    }
}
