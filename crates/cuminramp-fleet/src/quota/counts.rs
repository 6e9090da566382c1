//! Admission counts received from other hosts.

use std::time::Duration;

use cuminramp_core::SortedMap;
use tokio::time::Instant;

use super::account::{AliveShare, TeamAccount};
use crate::heartbeat::{HostHeartbeat, TeamUsage};

/// Time after a grant by which the receiving host reports the request admitted with it. A grant that is
/// not reported by then got lost.
const GRANT_REPORT_TTL: Duration = Duration::from_secs(3);

/// Baseline that new counts of another host are compared with.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum CountBaseline {
    /// None: no full heartbeat of this incarnation has arrived.
    #[default]
    Unknown,
    /// The previous heartbeat. The count of a team that was never listed is 0.
    Current,
    /// The last heartbeat before the host fell silent.
    BeforeSilence,
}

/// Which admissions are deducted when a host reports those of a team for the first time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FirstReport {
    /// All since the start of the host.
    SinceStart,
    /// Those of the last few seconds.
    Recent,
    /// None: the local host has just started, and its level covers them.
    Covered,
}

/// Tokens of one team granted to a host that it has not reported as admitted requests yet.
#[derive(Clone, Copy, Debug)]
struct UnreportedGrants {
    tokens: u32,
    last_at: Instant,
}

/// Admission counts received from one incarnation of another host.
#[derive(Debug, Default)]
pub(super) struct ReceivedCounts {
    /// Last received count of each team, by the hash of its name.
    teams: SortedMap<u32, u32>,
    pub(super) baseline: CountBaseline,
    /// By team, the value of [`TeamAccount::reserved`] when the host fell silent.
    reserved_before: SortedMap<u32, f64>,
    /// By team, tokens that this host granted. They were deducted when they were granted.
    unreported: SortedMap<u32, UnreportedGrants>,
}

impl ReceivedCounts {
    /// Returns the counts of the next incarnation at the same address.
    ///
    /// Its requests count from 0, and the tokens reserved for a silent host are those of its address. If
    /// the new incarnation had no baseline, its requests up to the first full heartbeat would be deducted
    /// nowhere.
    pub(super) fn next_incarnation(self) -> Self {
        ReceivedCounts {
            teams: SortedMap::new(),
            baseline: self.baseline,
            reserved_before: self.reserved_before,
            unreported: SortedMap::new(),
        }
    }

    /// Records that the host fell silent.
    pub(super) fn mark_silent(&mut self, accounts: &SortedMap<u32, TeamAccount>) {
        if self.baseline == CountBaseline::Current {
            self.baseline = CountBaseline::BeforeSilence;
            self.reserved_before =
                accounts.iter().map(|(team, account)| (*team, account.reserved)).collect();
        }
    }

    /// Makes a full heartbeat the baseline for later ones.
    pub(super) fn set_baseline(&mut self, heartbeat: &HostHeartbeat) {
        self.teams =
            heartbeat.usage.iter().map(|reported| (reported.team, reported.admitted)).collect();
        self.baseline = CountBaseline::Current;
        self.reserved_before = SortedMap::new();
    }

    /// Records a token granted to the host.
    pub(super) fn record_grant(&mut self, team: u32, now: Instant) {
        let none = UnreportedGrants { tokens: 0, last_at: now };
        let grants = self.unreported.get_or_insert_with(team, || none);
        grants.tokens += 1;
        grants.last_at = now;
    }

    /// Returns the number of admissions since the baseline for which this host granted no token, and counts
    /// the others as reported.
    fn take_ungranted(
        &mut self,
        reported: &TeamUsage,
        first_report: FirstReport,
        now: Instant,
    ) -> f64 {
        let before = self.teams.get(&reported.team).copied().unwrap_or(match first_report {
            FirstReport::SinceStart => 0,
            FirstReport::Recent => reported.admitted.saturating_sub(reported.recent),
            FirstReport::Covered => reported.admitted,
        });
        let admitted = reported.admitted.saturating_sub(before);
        let Some(grants) = self.unreported.get_mut(&reported.team) else {
            return f64::from(admitted);
        };
        let covered = admitted.min(grants.tokens);
        grants.tokens -= covered;
        if grants.tokens == 0 || now.duration_since(grants.last_at) > GRANT_REPORT_TTL {
            self.unreported.remove(&reported.team);
        }
        f64::from(admitted - covered)
    }
}

/// Deducts the requests that a host admitted since its last heartbeat.
pub(super) fn deduct_usage(
    accounts: &mut SortedMap<u32, TeamAccount>,
    counts: &mut ReceivedCounts,
    heartbeat: &HostHeartbeat,
    first_report: FirstReport,
    alive_share: AliveShare,
    now: Instant,
) {
    for reported in &heartbeat.usage {
        let spent = counts.take_ungranted(reported, first_report, now);
        counts.teams.insert(reported.team, reported.admitted);
        let Some(account) = accounts.get_mut(&reported.team) else { continue };
        account.advance(now);
        if spent > 0.0 {
            account.deduct(spent, alive_share);
        }
    }
}

/// Reconciles every team's bucket with the full heartbeat of a host that was silent.
pub(super) fn reconcile_usage(
    accounts: &mut SortedMap<u32, TeamAccount>,
    counts: &mut ReceivedCounts,
    heartbeat: &HostHeartbeat,
    now: Instant,
) {
    for (team, account) in accounts.iter_mut() {
        let reported = heartbeat.usage.iter().find(|reported| reported.team == *team);
        let reserved_before = counts.reserved_before.get(team).copied().unwrap_or(account.reserved);
        account.advance(now);
        let spent = reported
            .map_or(0.0, |reported| counts.take_ungranted(reported, FirstReport::SinceStart, now));
        account.reconcile(reserved_before, spent);
    }
    counts.set_baseline(heartbeat);
}
