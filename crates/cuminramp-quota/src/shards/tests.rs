use cuminramp_core::{Host, HostId};
use cuminramp_wire::rows::ShardRow;
use tokio::time::Instant;

use super::{ShardMap, ShardMove};

const SHARDS: u32 = 96;

fn host(number: u64) -> Host {
    Host {
        id: HostId { address: format!("10.0.0.{number}:1").into(), incarnation: 1 },
        caller_address: format!("10.0.0.{number}:2").into(),
        zone: format!("zone-{}", number % 3).into(),
    }
}

fn hosts(count: u64) -> Vec<Host> {
    (0..count).map(host).collect()
}

/// Makes each host in turn claim the shards that it may, with every write succeeding.
fn claim_unowned(maps: &mut [ShardMap], hosts: &[Host], dead: &[HostId]) {
    let now = Instant::now();
    for index in 0..maps.len() {
        let moves = maps[index].plan_claims(hosts, |owner| dead.contains(owner));
        for change in moves {
            for map in maps.iter_mut() {
                map.apply_row(&change.to_row(), now);
            }
        }
    }
}

/// Returns one map for each host, with every shard claimed.
fn claimed_maps(hosts: &[Host]) -> Vec<ShardMap> {
    let mut maps: Vec<ShardMap> =
        hosts.iter().map(|host| ShardMap::new(host.id.clone(), SHARDS)).collect();
    claim_unowned(&mut maps, hosts, &[]);
    maps
}

#[test]
fn every_shard_has_one_owner_and_neighbours_lie_in_other_zones() {
    let hosts = hosts(11);

    let maps = claimed_maps(&hosts);

    let zone = |shard: u32| {
        let owner = maps[0].owner(shard).unwrap();
        hosts.iter().find(|host| host.id == *owner).unwrap().zone.clone()
    };
    let owned: usize = maps.iter().map(ShardMap::owned_count).sum();
    assert_eq!(owned, SHARDS as usize);
    assert!((1..SHARDS).all(|shard| zone(shard) != zone(shard - 1)));
}

// A host is suspect because a link is cut, yet it goes on serving. If suspicion moved its shards,
// two hosts would spend the same tokens and teams would get more than their rate.
#[test]
fn a_suspect_keeps_its_shards() {
    let hosts = hosts(11);
    let maps = claimed_maps(&hosts);

    let claims = maps[0].plan_claims(&hosts[..10], |_| false);

    assert!(claims.is_empty());
}

// A host dies. Shards of live hosts may be moved to others later, but no other host may claim them.
#[test]
fn a_dead_host_is_replaced_and_no_shard_of_a_live_host_is_claimed() {
    let hosts = hosts(11);
    let mut maps = claimed_maps(&hosts);
    let before = maps[0].clone();
    let dead = hosts[10].id.clone();

    claim_unowned(&mut maps[..10], &hosts[..10], std::slice::from_ref(&dead));

    for shard in 0..SHARDS {
        let owner = maps[0].owner(shard).unwrap();
        assert_ne!(*owner, dead);
        if before.owner(shard) != Some(&dead) {
            assert_eq!(before.owner(shard), Some(owner));
        }
    }
}

// If several slices of a team were on one host, the loss of that host would cost the team all of
// them.
#[test]
fn nearby_shards_lie_on_different_hosts() {
    let hosts = hosts(11);

    let maps = claimed_maps(&hosts);

    for group in 0..SHARDS / 24 {
        let owners: Vec<_> =
            (0..9).map(|index| maps[0].owner(group * 24 + index).unwrap()).collect();
        let mut distinct = owners.clone();
        distinct.sort();
        distinct.dedup();
        assert_eq!(distinct.len(), owners.len());
    }
}

// The response to the write that moves a shard away is lost, and the table still shows the previous
// owner. If that owner went on spending, the write might take effect all the same and the next
// owner would spend too; if it never checked again, nobody might spend. The model checker found
// this trace.
#[test]
fn a_released_shard_is_not_spent_until_it_is_claimed_again() {
    let hosts = hosts(6);
    let mut map = claimed_maps(&hosts[..5]).remove(0);
    let now = Instant::now();
    let released = map.release_moves(&hosts[1..], usize::MAX)[0].clone();
    let unchanged = ShardMove { owner: hosts[0].id.clone(), ..released.clone() };
    let row = ShardRow { epoch: released.from_epoch, ..unchanged.to_row() };

    map.apply_row(&row, now);
    let owned_after_reading = map.is_mine(released.shard);
    let claims = map.plan_claims(&hosts, |_| false);
    map.apply_row(&unchanged.to_row(), now);

    assert!(!owned_after_reading);
    assert!(claims.contains(&unchanged));
    assert!(map.is_mine(released.shard));
}

// A peer forwards a row that it read long ago. If a host applied it, it would spend a shard that
// another host owns by now.
#[test]
fn a_late_row_changes_nothing() {
    let hosts = hosts(5);
    let mut map = claimed_maps(&hosts).remove(0);
    let now = Instant::now();
    let newer = ShardRow { shard: 1, owner: "10.0.0.9:1".into(), owner_incarnation: 4, epoch: 9 };
    map.apply_row(&newer, now);

    let late = ShardRow { epoch: 8, owner: hosts[0].id.address.to_string(), ..newer };
    let is_newer = map.apply_row(&late, now);

    assert!(!is_newer);
    assert!(!map.is_mine(1));
}
