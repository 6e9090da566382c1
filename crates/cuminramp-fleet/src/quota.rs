//! Rate and burst of teams over all hosts, by counts that hosts tell each other.
//!
//! Each host keeps, for each team, a bucket of the whole fleet: what it admits itself is taken out at
//! once, and what others admitted when their beat says so. A beat carries the count since the
//! sender's start, so a lost or repeated one changes nothing in the end.
//!
//! Between two beats hosts may spend the same token twice; the bucket then goes below zero, and the
//! debt is paid before the next request. The excess in any window is at most what arrives in the
//! time that a beat takes.
//!
//! A host that is not heard may be dead, or cut off and serving. Its equal share of each rate is
//! kept for it: the parts of a divided fleet then stay within the rate together, however long the
//! division lasts.

use std::time::Duration;

use cuminramp_core::{HostId, Name, SortedMap};
use tokio::time::Instant;

use crate::beat::{TeamUsage, name_hash};
use crate::declarations::FleetDeclarations;

/// Whether a request is within its team's rate and burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// It is, and was counted.
    Admitted,
    /// It is not; there may be room after so long.
    Exceeded(Duration),
}

#[derive(Debug)]
struct TeamAccount {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
    admitted: u32,
    changed_at: Instant,
}

impl TeamAccount {
    fn advance(&mut self, share: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.level = (self.level + passed * self.rate * share).min(self.burst * share);
    }
}

/// A debt larger than this many seconds of the rate is forgotten, so that a count which was read
/// wrongly can't stop a team for long.
const MOST_DEBT_SECONDS: f64 = 5.0;
/// How long a team's count is told after it changed last; later beats leave it out.
const TELL_FOR: Duration = Duration::from_secs(2);

/// What one run of another host has told of its counts.
#[derive(Debug, Default)]
struct HeardCounts {
    teams: SortedMap<u32, u32>,
    /// A whole beat has come, so a team that was never named began at 0.
    has_start: bool,
}

/// All teams' buckets as this host sees them.
#[derive(Debug)]
pub struct QuotaBook {
    teams: SortedMap<u32, TeamAccount>,
    heard: SortedMap<HostId, HeardCounts>,
    share: f64,
}

impl Default for QuotaBook {
    fn default() -> Self {
        QuotaBook { teams: SortedMap::new(), heard: SortedMap::new(), share: 1.0 }
    }
}

impl QuotaBook {
    /// Takes rates and bursts of new declarations. A team that is new here starts with an empty
    /// bucket: what it spent through other hosts before is not known.
    pub fn set_limits(&mut self, declarations: &FleetDeclarations, now: Instant) {
        for team in declarations.teams() {
            let share = self.share;
            let key = name_hash(&team.name);
            let account = self.teams.get_or_insert_with(key, || TeamAccount {
                rate: team.rate,
                burst: team.burst,
                level: 0.0,
                at: now,
                admitted: 0,
                changed_at: now,
            });
            account.advance(share, now);
            account.rate = team.rate;
            account.burst = team.burst;
            account.level = account.level.min(team.burst * share);
        }
    }

    /// Says which part of all hosts is heard, this one included. When it falls, the unheard hosts'
    /// part of what is left goes with them, for they may spend it.
    pub fn set_share(&mut self, heard: usize, all: usize, now: Instant) {
        let share = heard as f64 / all.max(1) as f64;
        if (share - self.share).abs() < f64::EPSILON {
            return;
        }
        let kept = (share / self.share).min(1.0);
        for (_, account) in self.teams.iter_mut() {
            account.advance(self.share, now);
            if account.level > 0.0 {
                account.level *= kept;
            }
        }
        self.share = share;
    }

    /// Empties all buckets, as after a pause in which others spent unseen.
    pub fn empty(&mut self, now: Instant) {
        for (_, account) in self.teams.iter_mut() {
            account.advance(self.share, now);
            account.level = account.level.min(0.0);
        }
    }

    /// Asks for one request of `team`.
    pub fn admit(&mut self, team: &Name, now: Instant) -> QuotaDecision {
        let share = self.share;
        let Some(account) = self.teams.get_mut(&name_hash(team)) else {
            return QuotaDecision::Admitted;
        };
        if account.rate <= 0.0 {
            return QuotaDecision::Admitted;
        }
        account.advance(share, now);
        if account.level >= 1.0 {
            account.level -= 1.0;
            account.admitted += 1;
            account.changed_at = now;
            return QuotaDecision::Admitted;
        }
        let rate = (account.rate * share).max(f64::MIN_POSITIVE);
        QuotaDecision::Exceeded(Duration::from_secs_f64(((1.0 - account.level) / rate).min(60.0)))
    }

    /// Takes the counts of another run. Its first whole beat is a starting point: what it admitted
    /// before flowed from time in which this host's bucket was empty or the run's share was kept
    /// for it. From then on a team that was not named had a count of 0.
    pub fn hear(&mut self, host: &HostId, usage: &[TeamUsage], is_whole: bool, now: Instant) {
        let share = self.share;
        if !self.heard.contains_key(host) {
            self.heard.retain(|held, _| held.address != host.address);
        }
        let counts = self.heard.get_or_insert_with(host.clone(), HeardCounts::default);
        for told in usage {
            let before = counts.teams.insert(told.team, told.admitted);
            let before = before.unwrap_or(if counts.has_start { 0 } else { told.admitted });
            let spent = told.admitted.saturating_sub(before);
            let Some(account) = self.teams.get_mut(&told.team) else { continue };
            if spent > 0 {
                account.advance(share, now);
                let floor = -account.rate * MOST_DEBT_SECONDS;
                account.level = (account.level - f64::from(spent)).max(floor);
            }
        }
        counts.has_start |= is_whole;
    }

    /// What this host tells others: counts that changed lately, or all of them.
    pub fn usage(&self, is_whole: bool, now: Instant) -> Vec<TeamUsage> {
        let told = self.teams.iter().filter(|(_, account)| {
            account.admitted > 0 && (is_whole || now.duration_since(account.changed_at) < TELL_FOR)
        });
        told.map(|(team, account)| TeamUsage { team: *team, admitted: account.admitted }).collect()
    }
}

#[cfg(test)]
mod tests;
