//! Output of benchmark results as lines of JSON.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::connection::CommandError;

/// Maximum recorded time in microseconds; longer times are recorded as this one.
const MAX_MICROS: u64 = 120_000_000;
/// Number of significant decimal digits that are recorded of each time.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Creates a histogram of times in microseconds.
pub(crate) fn new_histogram() -> Result<Histogram<u64>, CommandError> {
    Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
        .map_err(|error| CommandError::Failed(error.to_string()))
}

/// Returns the count, quantiles and maximum of a histogram, with times in milliseconds.
pub(crate) fn summarize(histogram: &Histogram<u64>) -> Value {
    let quantile_ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    json!({
        "count": histogram.len(),
        "p50-ms": quantile_ms(0.5),
        "p95-ms": quantile_ms(0.95),
        "p99-ms": quantile_ms(0.99),
        "max-ms": histogram.max() as f64 / 1_000.0,
    })
}

/// Prints a result and, if `out` is given, appends it to that file.
pub(crate) fn record(out: Option<&Path>, result: &Value) -> Result<(), CommandError> {
    println!("{result}");
    let Some(path) = out else { return Ok(()) };
    let write_error =
        |error: std::io::Error| CommandError::Failed(format!("{}: {error}", path.display()));
    let mut file = OpenOptions::new().append(true).create(true).open(path).map_err(write_error)?;
    writeln!(file, "{result}").map_err(write_error)
}

/// Line fitted to points: `y = base + slope * x`.
pub(crate) struct LineFit {
    /// Value of y at `x = 0`.
    pub(crate) base: f64,
    /// Increase of y per unit of x.
    pub(crate) slope: f64,
}

impl LineFit {
    /// Fits a line to the points by least squares; the slope is 0 if all x are equal.
    pub(crate) fn least_squares(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        LineFit { base: mean_y - slope * mean_x, slope }
    }
}
