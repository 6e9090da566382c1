//! Packs online work onto few targets while batch work is open for the rest.

use std::cmp::Reverse;
use std::time::Duration;

use cuminramp_core::rendezvous_score;
use tokio::time::Instant;

use crate::TargetSpec;

/// Share of a target's slots that online requests fill before packing adds another target.
const PACKED_SLOT_SHARE: f64 = 0.25;
/// Number of targets in use beyond those that the load requires, as a reserve for bursts.
const SPARE_TARGETS: usize = 1;
/// Minimum time between two reductions of the number of targets, each by one.
const SHRINK_INTERVAL: Duration = Duration::from_secs(1);

/// Limits the targets of a pool that online work uses while batch work is open.
///
/// Each online request keeps batch work off its target for a while. Spread over all targets, even a
/// light online load would keep batch work off every one, and jobs would wait while targets are nearly
/// idle. So online work uses only the first targets in an order that is the same on all hosts, as many
/// as the load requires when each fills a share of slots that hardly slows it.
#[derive(Clone, Debug)]
pub struct OnlinePacking {
    /// Number of targets in use; `usize::MAX` before the first choice.
    targets: usize,
    /// Time at which the number last changed or was last confirmed by the load.
    confirmed_at: Instant,
}

impl OnlinePacking {
    /// Creates a packing with all targets in use.
    pub fn new(now: Instant) -> Self {
        OnlinePacking { targets: usize::MAX, confirmed_at: now }
    }

    /// Returns the targets to use for `in_flight` online requests, counted over all hosts of the pool.
    /// Leaving targets are excluded. The number of targets grows at once and shrinks by one per interval.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")] async fn main() {
    /// use cuminramp_targets::{OnlinePacking, TargetSpec};
    /// let now = tokio::time::Instant::now();
    /// let spec = |index| TargetSpec { name: format!("e{index}").into(), slots: 16, is_leaving: false };
    /// let specs: Vec<TargetSpec> = (0..4).map(spec).collect();
    /// let mut packing = OnlinePacking::new(now);
    /// assert_eq!(packing.choose(&specs, 40.0, now).len(), 4);
    /// # }
    /// ```
    pub fn choose(
        &mut self,
        specs: &[TargetSpec],
        in_flight: f64,
        now: Instant,
    ) -> Vec<TargetSpec> {
        let mut available: Vec<&TargetSpec> =
            specs.iter().filter(|spec| !spec.is_leaving).collect();
        available.sort_by_cached_key(|spec| Reverse(rendezvous_score("online", &spec.name)));
        let required = required_targets(&available, in_flight);
        self.targets = self.targets.min(available.len());
        if required >= self.targets {
            self.targets = required;
            self.confirmed_at = now;
        } else if now.saturating_duration_since(self.confirmed_at) >= SHRINK_INTERVAL {
            self.targets -= 1;
            self.confirmed_at = now;
        }
        available.into_iter().take(self.targets).cloned().collect()
    }
}

/// Returns how many of the targets, in order, are required for the load, the reserve included.
fn required_targets(available: &[&TargetSpec], in_flight: f64) -> usize {
    let mut capacity = 0.0;
    let mut count = 0;
    while count < available.len() && capacity < in_flight {
        capacity += f64::from(available[count].slots) * PACKED_SLOT_SHARE;
        count += 1;
    }
    (count + SPARE_TARGETS).min(available.len())
}

#[cfg(test)]
mod tests;
