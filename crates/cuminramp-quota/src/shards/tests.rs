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

/// Claims everything that is free, host by host, as the table would let them.
fn settle(maps: &mut [ShardMap], hosts: &[Host], dead: &[HostId]) {
    let now = Instant::now();
    for index in 0..maps.len() {
        let moves = maps[index].plan_claims(hosts, |owner| dead.contains(owner));
        for change in moves {
            for map in maps.iter_mut() {
                map.observe(&change.to_row(), now);
            }
        }
    }
}

fn settled(hosts: &[Host]) -> Vec<ShardMap> {
    let mut maps: Vec<ShardMap> =
        hosts.iter().map(|host| ShardMap::new(host.id.clone(), SHARDS)).collect();
    settle(&mut maps, hosts, &[]);
    maps
}

#[test]
fn every_shard_has_one_owner_and_neighbours_lie_in_other_zones() {
    let hosts = hosts(11);

    let maps = settled(&hosts);

    let zone = |shard: u32| {
        let owner = maps[0].owner(shard).unwrap();
        hosts.iter().find(|host| host.id == *owner).unwrap().zone.clone()
    };
    let owned: usize = maps.iter().map(ShardMap::owned_count).sum();
    assert_eq!(owned, SHARDS as usize);
    assert!((1..SHARDS).all(|shard| zone(shard) != zone(shard - 1)));
}

// A host is suspected since a link is cut, yet goes on serving. If suspicion moved its shards,
// two hosts would spend the same tokens and teams would get more than their rate.
#[test]
fn a_suspect_keeps_its_shards() {
    let hosts = hosts(11);
    let maps = settled(&hosts);

    let claims = maps[0].plan_claims(&hosts[..10], |_| false);

    assert!(claims.is_empty());
}

// A host dies. Shards of hosts that live may be given to others later, but nobody may claim them.
#[test]
fn a_dead_host_is_replaced_and_nothing_of_the_living_is_claimed() {
    let hosts = hosts(11);
    let mut maps = settled(&hosts);
    let before = maps[0].clone();
    let dead = hosts[10].id.clone();

    settle(&mut maps[..10], &hosts[..10], std::slice::from_ref(&dead));

    for shard in 0..SHARDS {
        let owner = maps[0].owner(shard).unwrap();
        assert_ne!(*owner, dead);
        if before.owner(shard) != Some(&dead) {
            assert_eq!(before.owner(shard), Some(owner));
        }
    }
}

// Slices of one team on one host would all be lost with it.
#[test]
fn nearby_shards_lie_on_different_hosts() {
    let hosts = hosts(11);

    let maps = settled(&hosts);

    for group in 0..SHARDS / 24 {
        let owners: Vec<_> =
            (0..9).map(|index| maps[0].owner(group * 24 + index).unwrap()).collect();
        let mut distinct = owners.clone();
        distinct.sort();
        distinct.dedup();
        assert_eq!(distinct.len(), owners.len());
    }
}

// The write that gives a shard away loses its answer, and the table still shows the giver. If it
// went on spending, the write might land all the same and the next owner would spend too; if it
// never looked again, nobody might. A trace that the model check found.
#[test]
fn a_released_shard_is_not_spent_until_it_is_claimed_anew() {
    let hosts = hosts(6);
    let mut map = settled(&hosts[..5]).remove(0);
    let now = Instant::now();
    let given = map.release_moves(&hosts[1..], usize::MAX)[0].clone();
    let unchanged = ShardMove { owner: hosts[0].id.clone(), ..given.clone() };
    let row = ShardRow { epoch: given.from_epoch, ..unchanged.to_row() };

    map.observe(&row, now);
    let after_reading = map.is_mine(given.shard);
    let claims = map.plan_claims(&hosts, |_| false);
    map.observe(&unchanged.to_row(), now);

    assert!(!after_reading);
    assert!(claims.contains(&unchanged));
    assert!(map.is_mine(given.shard));
}

// A peer passes on a row that it read long ago. A host that took it back would spend a shard
// that another one owns by now.
#[test]
fn a_late_row_changes_nothing() {
    let hosts = hosts(5);
    let mut map = settled(&hosts).remove(0);
    let now = Instant::now();
    let newer = ShardRow { shard: 1, owner: "10.0.0.9:1".into(), owner_incarnation: 4, epoch: 9 };
    map.observe(&newer, now);

    let late = ShardRow { epoch: 8, owner: hosts[0].id.address.to_string(), ..newer };
    let news = map.observe(&late, now);

    assert!(!news);
    assert!(!map.is_mine(1));
}
