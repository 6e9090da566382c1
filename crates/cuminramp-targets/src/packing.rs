//! On how few targets online work is packed while batch has work for the rest.

use std::cmp::Reverse;
use std::time::Duration;

use cuminramp_core::rendezvous_score;
use tokio::time::Instant;

use crate::TargetSpec;

/// Online requests on a packed target, as a share of its slots.
const PACKED_SHARE: f64 = 0.25;
/// Targets beyond what the load asks for, so that a burst finds one awake.
const SPARE_TARGETS: usize = 1;
/// The number of targets shrinks by one in this time.
const SHRINK_TIME: Duration = Duration::from_secs(1);

/// How many targets of a pool online work uses while batch work is open.
///
/// Spread over all targets, a little online work keeps batch away from every one of them: batch stays
/// away from a target for a while after each online request. One would notice engines nearly idle with
/// jobs waiting. So online work keeps to the first few targets, in an order that all hosts share, as
/// many as its load asks for at a share of slots that hardly slows it.
#[derive(Clone, Debug)]
pub struct OnlinePacking {
    targets: usize,
    shrunk_at: Instant,
}

impl OnlinePacking {
    /// Starts with all targets in use.
    pub fn new(now: Instant) -> Self {
        OnlinePacking { targets: usize::MAX, shrunk_at: now }
    }

    /// The targets to use, given `in_flight` online requests of all hosts on the pool. Leaving targets
    /// are left out; the number grows at once and shrinks slowly.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")] async fn main() {
    /// use cuminramp_targets::{OnlinePacking, TargetSpec};
    /// let now = tokio::time::Instant::now();
    /// let spec = |index| TargetSpec { name: format!("e{index}").into(), slots: 16, leaving: false };
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
        let mut staying: Vec<&TargetSpec> = specs.iter().filter(|spec| !spec.leaving).collect();
        staying.sort_by_cached_key(|spec| Reverse(rendezvous_score("online", &spec.name)));
        let wanted = wanted_targets(&staying, in_flight);
        self.targets = self.targets.min(staying.len());
        if wanted >= self.targets {
            self.targets = wanted;
            self.shrunk_at = now;
        } else if now.saturating_duration_since(self.shrunk_at) >= SHRINK_TIME {
            self.targets -= 1;
            self.shrunk_at = now;
        }
        staying.into_iter().take(self.targets).cloned().collect()
    }
}

/// How many of the targets, in order, carry the load at the packed share.
fn wanted_targets(staying: &[&TargetSpec], in_flight: f64) -> usize {
    let mut carried = 0.0;
    let mut count = 0;
    while count < staying.len() && carried < in_flight {
        carried += f64::from(staying[count].slots) * PACKED_SHARE;
        count += 1;
    }
    (count + SPARE_TARGETS).min(staying.len())
}

#[cfg(test)]
mod tests;
