//! Scenarios of a replay of prompt parts, and its figures.

use std::time::Duration;

/// How a host decides which part crashes targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartRule {
    /// Crashes are counted by part: [`PartTable`](cuminramp_fleet::PartTable).
    Counts,
    /// Crashed and sound runs with a part are compared with the rate at which runs end without it.
    Likelihood,
}

/// What crashes targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartScenario {
    /// A part is in one of this many requests.
    Guilty(u32),
    /// Each of two parts is in one of this many requests.
    TwoGuilty(u32),
    /// Three in ten targets crash every six seconds.
    Waves,
    /// Such waves, and a part in one of this many requests.
    WavesAndGuilty(u32),
    /// Three in ten targets are silent for two seconds, every six seconds; zones are cut off for two seconds after it.
    Silences,
    /// All hosts start within 0.3 s, and a part is in one of this many requests from the beginning.
    Started(u32),
}

impl PartScenario {
    /// The number of guilty parts.
    pub(super) fn guilty(self) -> usize {
        match self {
            PartScenario::Waves | PartScenario::Silences => 0,
            PartScenario::TwoGuilty(_) => 2,
            _ => 1,
        }
    }

    /// Each guilty part is in one of this many requests.
    pub(super) fn one_in(self) -> u32 {
        match self {
            PartScenario::Guilty(one_in)
            | PartScenario::TwoGuilty(one_in)
            | PartScenario::WavesAndGuilty(one_in)
            | PartScenario::Started(one_in) => one_in,
            PartScenario::Waves | PartScenario::Silences => u32::MAX,
        }
    }
}

/// Size, faults and random seed of a replay of prompt parts.
#[derive(Clone, Copy, Debug)]
pub struct PartPlan {
    /// What crashes targets.
    pub scenario: PartScenario,
    /// How hosts decide.
    pub rule: PartRule,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of targets.
    pub targets: usize,
    /// Share of the targets' slots that requests fill if nothing crashes.
    pub load: f64,
    /// Emulated time.
    pub length: Duration,
    /// Seed of arrivals, of random choices and of losses.
    pub seed: u64,
}

impl PartPlan {
    /// Returns a plan for 40 s with three tenths of the slots filled.
    ///
    /// ```
    /// use cuminramp_replay::{PartPlan, PartRule, PartScenario};
    /// assert_eq!(PartPlan::new(PartScenario::Waves, PartRule::Counts, 11, 18, 1).targets, 18);
    /// ```
    pub fn new(
        scenario: PartScenario,
        rule: PartRule,
        hosts: usize,
        targets: usize,
        seed: u64,
    ) -> Self {
        let length = Duration::from_secs(40);
        PartPlan { scenario, rule, hosts, targets, load: 0.3, length, seed }
    }
}

/// Figures of a replay of prompt parts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PartFigures {
    /// Requests that callers made.
    pub requests: u32,
    /// Targets that ended, for any cause.
    pub ended: u32,
    /// Targets that ended under a guilty part after the fifth, of the part with the most.
    pub ended_after_fifth: u32,
    /// Sends of requests with a guilty part later than 3 s after its fifth crash, of the part with the most.
    pub late_sends: u32,
    /// Requests without a guilty part that were held back.
    pub sound_held: u32,
    /// Share of these in the sound requests with the same first part, of the part with the highest share.
    pub sound_held_share: f64,
    /// Sound requests that failed since the targets of both attempts ended.
    pub sound_failed: u32,
    /// Reports sent, in datagrams per host and second.
    pub datagrams: f64,
    /// Their payload in bytes per host and second.
    pub bytes: f64,
    /// Maximum number of datagrams that one host sent in a second.
    pub peak_datagrams: u32,
}
