//! Limits the batch requests in flight on a target.

use std::time::Duration;

use tokio::time::Instant;

use crate::LoadSnapshot;

/// Limits and times of batch windows.
#[derive(Clone, Debug)]
pub struct WindowPolicy {
    /// Maximum share of a target's slots that batch work may fill when no other work runs there.
    pub share: f64,
    /// Time for which a window stays closed after online work.
    pub online_cooldown: Duration,
    /// Minimum time between two doublings of a window.
    pub growth_interval: Duration,
    /// Age of a load report above which the window shrinks, linearly to 0 at twice this age.
    pub max_report_age: Duration,
}

impl Default for WindowPolicy {
    fn default() -> Self {
        WindowPolicy {
            share: 1.0,
            online_cooldown: Duration::from_millis(250),
            growth_interval: Duration::from_millis(50),
            max_report_age: Duration::from_secs(2),
        }
    }
}

/// Maximum number of batch requests in flight on one target, maintained by the target's batch owner.
///
/// Inference engines have no priorities: each batch sequence takes part of every step and so increases
/// the time between the tokens of the online sequences that run beside it. So the window opens only
/// while no online work is known on the target, closes at once when some arrives, and then grows again
/// by doubling.
#[derive(Clone, Debug)]
pub struct BatchWindow {
    policy: WindowPolicy,
    slots: u32,
    size: u32,
    /// Time at which the window last grew or was closed.
    grown_at: Instant,
    /// Time at which online work was last known on the target.
    online_at: Option<Instant>,
}

impl BatchWindow {
    /// Creates a closed window for a target with `slots` slots.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")] async fn main() {
    /// use cuminramp_targets::{BatchWindow, WindowPolicy};
    /// let now = tokio::time::Instant::now();
    /// let mut window = BatchWindow::new(WindowPolicy::default(), 8, now);
    /// let later = now + std::time::Duration::from_millis(50);
    /// assert!(window.update(0, None, 0, later) >= 1);
    /// assert_eq!(window.update(1, None, 0, later), 0);
    /// # }
    /// ```
    pub fn new(policy: WindowPolicy, slots: u32, now: Instant) -> Self {
        BatchWindow { policy, slots, size: 0, grown_at: now, online_at: None }
    }

    /// Closes the window because this or another host sends online work to the target.
    pub fn on_online(&mut self, now: Instant) {
        self.online_at = Some(now);
        self.size = 0;
        self.grown_at = now;
    }

    /// Updates the window and returns its size. `own_online` and `own_batch` are the requests that this
    /// host has in flight on the target, `report` is the target's last load report.
    pub fn update(
        &mut self,
        own_online: u32,
        report: Option<LoadSnapshot>,
        own_batch: u32,
        now: Instant,
    ) -> u32 {
        if own_online > 0 {
            self.on_online(now);
        }
        if self.is_in_cooldown(now) {
            return 0;
        }
        let max_size = (f64::from(self.slots) * self.policy.share) as u32;
        let allowed = self.allowed_size(report, own_batch, max_size, now);
        if self.size < allowed
            && now.saturating_duration_since(self.grown_at) >= self.policy.growth_interval
        {
            self.size = (self.size * 2).max(1);
            self.grown_at = now;
        }
        self.size = self.size.min(allowed);
        self.size
    }

    fn is_in_cooldown(&self, now: Instant) -> bool {
        let is_recent =
            |at: Instant| now.saturating_duration_since(at) < self.policy.online_cooldown;
        self.online_at.is_some_and(is_recent)
    }

    /// Returns the size that the report allows: the slots that no other host uses. Without a report it is
    /// half of the maximum, as other hosts' load is unknown; a report older than `max_report_age` reduces it.
    fn allowed_size(
        &self,
        report: Option<LoadSnapshot>,
        own_batch: u32,
        max_size: u32,
        now: Instant,
    ) -> u32 {
        let Some(report) = report else {
            return max_size / 2;
        };
        let others = report.requests.saturating_sub(own_batch.max(self.size));
        let free = max_size.saturating_sub(others);
        let age = now.saturating_duration_since(report.at);
        let limit = self.policy.max_report_age;
        if age <= limit {
            return free;
        }
        let overdue = (age - limit).as_secs_f64() / limit.as_secs_f64();
        (f64::from(free) * (1.0 - overdue).max(0.0)) as u32
    }
}

#[cfg(test)]
mod tests;
