//! Chooses the hosts that a team's callers should use.

use std::time::Duration;

use cuminramp_core::{Host, HostId, rank_by_score};

/// Hosts that a caller should use, and for how long.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SteeringResponse {
    /// Hosts to use, best first.
    pub hosts: Vec<Host>,
    /// Time for which the caller may cache the answer.
    pub ttl: Duration,
}

/// Chooses hosts for the callers of a team.
#[derive(Clone, Debug)]
pub struct SteeringPlanner {
    /// Maximum number of hosts in an answer.
    pub max_hosts: usize,
    /// Time for which a caller may cache an answer.
    pub ttl: Duration,
}

impl SteeringPlanner {
    /// Returns the hosts for a caller of `team` in `zone`, best first.
    ///
    /// Usable owners of the team's shards come first: they hold its tokens, so its requests seldom wait for
    /// tokens to be borrowed. The other usable hosts follow. In both groups, hosts in the caller's zone
    /// come first, and then the rendezvous score of the team's name decides the order, so that answers
    /// change little when a host is added or removed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_core::{Host, HostId};
    /// use cuminramp_membership::SteeringPlanner;
    /// let planner = SteeringPlanner { max_hosts: 2, ttl: Duration::from_secs(30) };
    /// let id = HostId { address: "10.0.0.1:1".into(), incarnation: 1 };
    /// let host = Host { id, caller_address: "10.0.0.1:2".into(), zone: "a".into() };
    /// let response = planner.plan("team", "a", &[host.clone()], &[]);
    /// assert_eq!(response.hosts, [host]);
    /// ```
    pub fn plan(
        &self,
        team: &str,
        zone: &str,
        usable: &[Host],
        owners: &[HostId],
    ) -> SteeringResponse {
        let mut ranked: Vec<&Host> = usable.iter().collect();
        rank_by_score(team, &mut ranked, |host| &host.id.address);
        ranked.sort_by_key(|host| (!owners.contains(&host.id), *host.zone != *zone));
        let hosts = ranked.into_iter().take(self.max_hosts).cloned().collect();
        SteeringResponse { hosts, ttl: self.ttl }
    }
}

#[cfg(test)]
mod tests;
