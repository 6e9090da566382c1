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
    SteeringPlanner { max_hosts: 3, ttl: Duration::from_secs(30) }
}

// Many hosts are replaced each day. If each replacement moved most teams to other hosts, the caches
// that hosts hold for teams would stay cold.
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
fn owners_come_first_and_those_in_the_callers_zone_lead() {
    let all: Vec<Host> = (0..11).map(host).collect();
    let owners = [all[4].id.clone(), all[5].id.clone(), all[6].id.clone()];

    let response = planner().plan("team", "zone-2", &all, &owners);

    assert_eq!(response.hosts[0], all[5]);
    assert!(response.hosts.iter().all(|host| owners.contains(&host.id)));
}
