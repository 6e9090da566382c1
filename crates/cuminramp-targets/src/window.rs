//! How much batch work an engine may have.

use std::time::Duration;

use tokio::time::Instant;

use crate::LoadSnapshot;

/// How windows open and close.
#[derive(Clone, Debug)]
pub struct WindowPolicy {
    /// The share of an engine's slots that batch may fill when nothing else runs.
    pub share: f64,
    /// How long after online work batch stays away.
    pub yield_time: Duration,
    /// A window doubles no faster than this.
    pub refill: Duration,
    /// A report older than this closes the window step by step.
    pub report_limit: Duration,
}

impl Default for WindowPolicy {
    fn default() -> Self {
        WindowPolicy {
            share: 1.0,
            yield_time: Duration::from_millis(250),
            refill: Duration::from_millis(50),
            report_limit: Duration::from_secs(2),
        }
    }
}

/// The window of one engine, kept by the one host that is its steward.
///
/// Engines know no priorities: a batch sequence that is in slows each online sequence beside it by
/// its part of every step. One would notice the time between an online caller's tokens grow with
/// batch. So batch is only let in where no online work is known, leaves at once when some comes, and
/// returns by doubling.
#[derive(Clone, Debug)]
pub struct BatchWindow {
    policy: WindowPolicy,
    slots: u32,
    size: u32,
    grown_at: Instant,
    online_at: Option<Instant>,
}

impl BatchWindow {
    /// A closed window of an engine with `slots` slots.
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

    /// Another host, or this one, sends online work to the engine.
    pub fn on_online(&mut self, now: Instant) {
        self.online_at = Some(now);
        self.size = 0;
        self.grown_at = now;
    }

    /// The size now, given this host's own online requests there, the engine's last report and this
    /// host's batch requests there.
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
        if self.is_yielding(now) {
            return 0;
        }
        let most = (f64::from(self.slots) * self.policy.share) as u32;
        let allowed = self.allowed_by(report, own_batch, most, now);
        if self.size < allowed && now.saturating_duration_since(self.grown_at) >= self.policy.refill
        {
            self.size = (self.size * 2).max(1);
            self.grown_at = now;
        }
        self.size = self.size.min(allowed);
        self.size
    }

    fn is_yielding(&self, now: Instant) -> bool {
        let yielded = |at: Instant| now.saturating_duration_since(at) < self.policy.yield_time;
        self.online_at.is_some_and(yielded)
    }

    /// What the report leaves: slots that others don't use. An old report can only take away.
    fn allowed_by(
        &self,
        report: Option<LoadSnapshot>,
        own_batch: u32,
        most: u32,
        now: Instant,
    ) -> u32 {
        let Some(report) = report else {
            return most / 2;
        };
        let others = report.requests.saturating_sub(own_batch.max(self.size));
        let free = most.saturating_sub(others);
        let age = now.saturating_duration_since(report.at);
        let limit = self.policy.report_limit;
        if age <= limit {
            return free;
        }
        let overdue = (age - limit).as_secs_f64() / limit.as_secs_f64();
        (f64::from(free) * (1.0 - overdue).max(0.0)) as u32
    }
}

#[cfg(test)]
mod tests;
