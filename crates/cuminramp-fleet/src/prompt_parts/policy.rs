//! When parts of prompts are quarantined and tried again.

use std::time::Duration;

/// When parts are quarantined and tried again.
#[derive(Clone, Debug)]
pub struct PartPolicy {
    /// Time within which crashes of several targets count as one. A request that crashes targets one after the other
    /// takes longer, since each reads its prompt first.
    pub wave_window: Duration,
    /// Number of crashes, without a sound response between them, from which a part is quarantined: the last of
    /// the suspected parts of a request.
    pub last_part_crashes: u32,
    /// The same for a part that another suspected part follows in the request, which is the likelier cause.
    pub earlier_part_crashes: u32,
    /// The same for a part that has had a sound response before.
    pub sound_part_crashes: u32,
    /// Times from the begin of a quarantine after which one request with the part is let through, if the one before
    /// crashed a target. There are no further trials.
    pub trial_delays: [Duration; 2],
    /// Maximum number of trials that one host begins, those included that came to no result.
    pub max_begun_trials: u8,
    /// Time after which a trial counts as one that came to no result.
    pub trial_timeout: Duration,
    /// Time after a trial is due from which any host may begin it: the one that ranks first may get no request with
    /// the part.
    pub any_host_delay: Duration,
    /// Interval at which a host sends an item with a quarantined part, the first one this long after the quarantine
    /// began.
    pub item_interval: Duration,
    /// Time after the last crash for which a part without quarantine is remembered.
    pub suspicion_lifetime: Duration,
    /// Time after the last crash for which a quarantine lasts.
    pub quarantine_lifetime: Duration,
    /// Time for which a change is reported to other hosts.
    pub report_lifetime: Duration,
}

impl Default for PartPolicy {
    fn default() -> Self {
        PartPolicy {
            wave_window: Duration::from_millis(50),
            last_part_crashes: 3,
            earlier_part_crashes: 5,
            sound_part_crashes: 5,
            trial_delays: [Duration::from_secs(1), Duration::from_secs(30)],
            max_begun_trials: 4,
            trial_timeout: Duration::from_secs(10),
            any_host_delay: Duration::from_secs(20),
            item_interval: Duration::from_secs(4),
            suspicion_lifetime: Duration::from_secs(3_600),
            quarantine_lifetime: Duration::from_secs(3_600),
            report_lifetime: Duration::from_secs(2),
        }
    }
}
