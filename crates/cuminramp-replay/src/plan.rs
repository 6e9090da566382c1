//! What is replayed.

use std::str::FromStr;
use std::time::Duration;

/// Loads and faults that a policy has to bear.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadPattern {
    /// Callers come in crests and troughs, jobs evenly.
    Waves,
    /// Six times as many jobs for three seconds.
    JobBurst,
    /// A third of the targets is lost at a crest and stays away.
    LostTargets,
    /// A tenth of the targets breaks every connection for six seconds while it counts as serving.
    FailingTargets,
    /// All hosts lose power for two seconds and start with nothing known.
    MassLoss,
    /// The same for half a second as a crest begins: targets still work on what the hosts had then.
    PowerDip,
}

impl LoadPattern {
    /// All patterns, by name.
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
            .ok_or_else(|| format!("no pattern {text}; there are {}", names.join(", ")))
    }
}

/// A load, the fleet that bears it, and the seed that decides the rest.
#[derive(Clone, Copy, Debug)]
pub struct ReplayPlan {
    /// Load and fault.
    pub pattern: LoadPattern,
    /// Hosts.
    pub hosts: usize,
    /// Targets.
    pub targets: usize,
    /// Requests that a target works on at once.
    pub slots: u32,
    /// Requests of callers a second and target, on average.
    pub requests_per_s: f64,
    /// Jobs a second and target.
    pub jobs_per_s: f64,
    /// How often hosts report what they have in flight.
    pub report_interval: Duration,
    /// Whether targets tell their load in answers.
    pub tells_load: bool,
    /// How long callers and jobs come.
    pub length: Duration,
    /// Decides arrivals and draws.
    pub seed: u64,
}

impl ReplayPlan {
    /// A fleet of 12 hosts and 12 targets that is three quarters full.
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
            tells_load: true,
            length: Duration::from_secs(40),
            seed,
        }
    }
}
