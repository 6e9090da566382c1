//! Which hosts a team's callers should use.

use std::time::Duration;

use cuminramp_core::{Host, HostId, rank_by_score};

/// What a caller is told.
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
mod tests {
    use std::time::Duration;

    use cuminramp_core::{Host, HostId};

    use super::SteeringPlanner;

    fn host(number: u32) -> Host {
        Host {
            id: HostId { address: format!("10.0.0.{number}:1").into(), incarnation: 1 },
            caller_address: format!("10.0.0.{number}:2").into(),
            zone: format!("zone-{}", number % 3).into(),
        }
    }

    fn planner() -> SteeringPlanner {
        SteeringPlanner { homes: 3, keep: Duration::from_secs(30) }
    }

    // Many hosts are replaced each day. If each replacement sent most teams elsewhere, their caches
    // would be cold all day.
    #[test]
    fn a_lost_host_moves_only_the_teams_that_used_it() {
        let all: Vec<Host> = (0..11).map(host).collect();
        let (lost, rest) = (all[10].clone(), all[..10].to_vec());

        let moved = (0..1_000).filter(|number| {
            let team = format!("team-{number}");
            let before = planner().plan(&team, "zone-0", &all, &[]).hosts;
            let after = planner().plan(&team, "zone-0", &rest, &[]).hosts;
            before[0] != after[0] && before[0] != lost
        });

        assert_eq!(moved.count(), 0);
    }

    #[test]
    fn owners_come_first_and_the_nearest_of_them_leads() {
        let all: Vec<Host> = (0..11).map(host).collect();
        let owners = [all[4].id.clone(), all[5].id.clone(), all[6].id.clone()];

        let answer = planner().plan("team", "zone-2", &all, &owners);

        assert_eq!(answer.hosts[0], all[5]);
        assert!(answer.hosts.iter().all(|host| owners.contains(&host.id)));
    }
}
