//! Results of measurements: a line for people, and a JSON line for a file.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::connection::CommandError;

/// Longest time that is distinguished, in microseconds.
const MOST_MICROS: u64 = 120_000_000;
/// Digits that are kept of each time.
const DIGITS: u8 = 3;

/// A histogram of times in microseconds.
pub(crate) fn new_histogram() -> Result<Histogram<u64>, CommandError> {
    Histogram::new_with_bounds(1, MOST_MICROS, DIGITS)
        .map_err(|error| CommandError::Failed(error.to_string()))
}

/// The usual figures of a histogram, in milliseconds.
pub(crate) fn summarize(histogram: &Histogram<u64>) -> Value {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    json!({
        "count": histogram.len(),
        "p50-ms": at(0.5),
        "p95-ms": at(0.95),
        "p99-ms": at(0.99),
        "max-ms": histogram.max() as f64 / 1_000.0,
    })
}

/// Prints a result and, where a file is named, appends it there.
pub(crate) fn record(out: Option<&Path>, result: &Value) -> Result<(), CommandError> {
    println!("{result}");
    let Some(path) = out else { return Ok(()) };
    let failed =
        |error: std::io::Error| CommandError::Failed(format!("{}: {error}", path.display()));
    let mut file = OpenOptions::new().append(true).create(true).open(path).map_err(failed)?;
    writeln!(file, "{result}").map_err(failed)
}

/// The straight line that fits points best: `y = base + slope * x`.
pub(crate) struct LineFit {
    /// Value at 0.
    pub(crate) base: f64,
    /// Growth for each step of x.
    pub(crate) slope: f64,
}

impl LineFit {
    /// Least squares over the points.
    pub(crate) fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let joint: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        LineFit { base: mean_y - slope * mean_x, slope }
    }
}
