//! Which hosts a team's callers should use.

use std::time::Duration;

use cuminramp_core::{Host, HostId, rank_by_score};

/// What a caller learns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SteeringAnswer {
    /// Hosts to use, best first.
    pub hosts: Vec<Host>,
    /// How long the answer may be kept.
    pub keep: Duration,
}

/// Names hosts for a team.
#[derive(Clone, Debug)]
pub struct SteeringPlanner {
    /// How many hosts an answer names.
    pub homes: usize,
    /// How long an answer may be kept.
    pub keep: Duration,
}

impl SteeringPlanner {
    /// The hosts for a caller of `team` in `zone`.
    ///
    /// First come the live owners of the team's shards, where its tokens are and, since they see
    /// its requests, its prefixes are known; those in the caller's zone before the others. Then come
    /// other live hosts in the order that the team's name draws them, so that answers hardly change
    /// when a host comes or goes.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_core::{Host, HostId};
    /// use cuminramp_membership::SteeringPlanner;
    /// let planner = SteeringPlanner { homes: 2, keep: Duration::from_secs(30) };
    /// let id = HostId { address: "10.0.0.1:1".into(), incarnation: 1 };
    /// let host = Host { id, caller_address: "10.0.0.1:2".into(), zone: "a".into() };
    /// let answer = planner.plan("team", "a", &[host.clone()], &[]);
    /// assert_eq!(answer.hosts, [host]);
    /// ```
    pub fn plan(
        &self,
        team: &str,
        zone: &str,
        usable: &[Host],
        owners: &[HostId],
    ) -> SteeringAnswer {
        let mut ranked: Vec<&Host> = usable.iter().collect();
        rank_by_score(team, &mut ranked, |host| &host.id.address);
        ranked.sort_by_key(|host| (!owners.contains(&host.id), *host.zone != *zone));
        let hosts = ranked.into_iter().take(self.homes).cloned().collect();
        SteeringAnswer { hosts, keep: self.keep }
    }
}

#[cfg(test)]
mod tests;
