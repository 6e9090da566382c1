//! The load, the faults and the size of the fleet that are replayed.

use std::str::FromStr;
use std::time::Duration;

/// Load and faults that a policy is replayed under.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadPattern {
    /// Requests alternate between peaks and troughs; jobs arrive at an even rate.
    Waves,
    /// Jobs arrive at six times their usual rate for three seconds.
    JobBurst,
    /// A third of the targets fails permanently during a peak.
    LostTargets,
    /// A tenth of the targets breaks every new connection for six seconds while listed as serving.
    FailingTargets,
    /// All hosts lose power for two seconds and restart with empty tables.
    MassLoss,
    /// All hosts lose power for half a second as a peak begins: targets still run the requests and
    /// items that the hosts had in flight.
    PowerDip,
}

impl LoadPattern {
    /// All patterns with their names.
    pub const ALL: [(&str, LoadPattern); 6] = [
        ("waves", LoadPattern::Waves),
        ("job-burst", LoadPattern::JobBurst),
        ("lost-targets", LoadPattern::LostTargets),
        ("failing-targets", LoadPattern::FailingTargets),
        ("mass-loss", LoadPattern::MassLoss),
        ("power-dip", LoadPattern::PowerDip),
    ];
}

impl FromStr for LoadPattern {
    type Err = String;

    /// ```
    /// use cuminramp_replay::LoadPattern;
    /// assert_eq!("job-burst".parse(), Ok(LoadPattern::JobBurst));
    /// assert!("calm".parse::<LoadPattern>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = LoadPattern::ALL.iter().find(|(name, _)| *name == text);
        let names: Vec<&str> = LoadPattern::ALL.iter().map(|(name, _)| *name).collect();
        found
            .map(|(_, pattern)| *pattern)
            .ok_or_else(|| format!("unknown pattern {text}; expected {}", names.join(", ")))
    }
}

/// Load, size of the fleet and random seed of a replay.
#[derive(Clone, Copy, Debug)]
pub struct ReplayPlan {
    /// Pattern of the load, with its fault.
    pub pattern: LoadPattern,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of targets.
    pub targets: usize,
    /// Requests that a target runs at once.
    pub slots: u32,
    /// Mean rate of callers' requests, in requests per second and target.
    pub requests_per_s: f64,
    /// Rate of jobs, in jobs per second and target.
    pub jobs_per_s: f64,
    /// Interval at which hosts report their load to the owner of the slots.
    pub report_interval: Duration,
    /// Whether targets report their load with the first event of an answer.
    pub targets_report_load: bool,
    /// Time during which requests and jobs arrive.
    pub length: Duration,
    /// Seed of arrivals and of random choices.
    pub seed: u64,
}

impl ReplayPlan {
    /// Returns a plan for 12 hosts and 12 targets with a load of three quarters of their capacity.
    ///
    /// ```
    /// use cuminramp_replay::{LoadPattern, ReplayPlan};
    /// assert_eq!(ReplayPlan::new(LoadPattern::Waves, 1).hosts, 12);
    /// ```
    pub fn new(pattern: LoadPattern, seed: u64) -> Self {
        ReplayPlan {
            pattern,
            hosts: 12,
            targets: 12,
            slots: 8,
            requests_per_s: 4.5,
            jobs_per_s: 0.055,
            report_interval: Duration::from_millis(10),
            targets_report_load: true,
            length: Duration::from_secs(40),
            seed,
        }
    }
}
