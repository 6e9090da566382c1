use std::time::Duration;

use cuminramp_core::{Host, HostId, SeededRandom};
use tokio::time::Instant;

use super::{ListedHost, MemberAction, MemberPolicy, MemberTable};

const SECOND: Duration = Duration::from_secs(1);

fn host(number: u32, incarnation: u64) -> Host {
    Host {
        id: HostId { address: format!("10.0.0.{number}:1").into(), incarnation },
        caller_address: format!("10.0.0.{number}:2").into(),
        zone: format!("zone-{}", number % 3).into(),
    }
}

fn table(number: u32, now: Instant) -> MemberTable {
    MemberTable::new(host(number, 1), MemberPolicy::default(), now)
}

fn listed(numbers: impl Iterator<Item = u32>) -> Vec<ListedHost> {
    numbers
        .map(|number| ListedHost { address: host(number, 1).id.address, leaving: false })
        .collect()
}

/// Creates tables of `count` hosts, each of which contains all the others.
fn connected_tables(count: u32, now: Instant) -> Vec<MemberTable> {
    let mut tables: Vec<MemberTable> = (0..count).map(|number| table(number, now)).collect();
    let states: Vec<_> = tables.iter().map(MemberTable::local_state).collect();
    for table in &mut tables {
        table.on_list(&listed(0..count), now);
        for state in &states {
            table.on_message(state, now);
        }
    }
    tables
}

/// Runs one step of every table over a network in which a message arrives if `reaches(from, to)`
/// returns true.
fn step(
    tables: &mut [MemberTable],
    random: &mut SeededRandom,
    reaches: &dyn Fn(usize, usize) -> bool,
    now: Instant,
) {
    for from in 0..tables.len() {
        for action in tables[from].tick(random, now) {
            let MemberAction::Probe(address) = action else {
                continue;
            };
            let to = index_of(tables, &address);
            if exchange(tables, from, to, reaches, now) {
                continue;
            }
            for action in tables[from].on_probe_failed(&address, random, now) {
                let MemberAction::IndirectProbe { relays, .. } = action else {
                    continue;
                };
                let relayed = relays.iter().any(|relay| {
                    let relay = index_of(tables, relay);
                    exchange(tables, from, relay, reaches, now)
                        && exchange(tables, relay, to, reaches, now)
                });
                if !relayed {
                    tables[from].on_unreachable(&address, now);
                }
            }
        }
    }
}

/// Returns the index of the table of the host at `address`.
fn index_of(tables: &[MemberTable], address: &str) -> usize {
    tables.iter().position(|table| *table.local_host().id.address == *address).unwrap()
}

/// Sends a probe and its answer. Returns whether both arrived.
fn exchange(
    tables: &mut [MemberTable],
    from: usize,
    to: usize,
    reaches: &dyn Fn(usize, usize) -> bool,
    now: Instant,
) -> bool {
    if !reaches(from, to) {
        return false;
    }
    let receiver = tables[to].local_host().id.address.clone();
    deliver(tables, from, to, Some(&receiver), now);
    if !reaches(to, from) {
        return false;
    }
    deliver(tables, to, from, None, now);
    true
}

/// Delivers one message with the sender's state and updates. `about` is the receiver's address if the
/// message includes the state that the sender records for it.
fn deliver(tables: &mut [MemberTable], from: usize, to: usize, about: Option<&str>, now: Instant) {
    let state = tables[from].local_state();
    let updates = tables[from].take_updates(about);
    for update in &updates {
        tables[to].on_update(update, now);
    }
    tables[to].on_message(&state, now);
}

// A host is killed. Callers that are steered to it wait until their requests time out.
#[test]
fn a_silent_host_is_unusable_on_all_hosts_within_two_seconds() {
    let start = Instant::now();
    let mut tables = connected_tables(11, start);
    let mut random = SeededRandom::new(1);
    let reaches = |from: usize, to: usize| from != 0 && to != 0;

    for tick in 1..=8 {
        step(&mut tables, &mut random, &reaches, start + Duration::from_millis(250) * tick);
    }

    assert!(tables[1..].iter().all(|table| table.usable_hosts().len() == 10));
}

// A link between two live hosts fails in one or both directions. If the hosts were declared dead for it,
// callers would no longer be steered to hosts that still serve.
#[test]
fn a_failed_link_between_two_hosts_does_not_make_them_dead() {
    let start = Instant::now();
    let mut tables = connected_tables(11, start);
    let mut random = SeededRandom::new(2);
    let reaches = |from: usize, to: usize| !matches!((from, to), (0, 1) | (2, 3) | (3, 2));

    for tick in 1..=80 {
        step(&mut tables, &mut random, &reaches, start + Duration::from_millis(250) * tick);
    }

    let dead = tables
        .iter()
        .any(|table| table.members().any(|member| member.status == super::MemberStatus::Dead));
    assert!(!dead);
}

// A host is paused for longer than every timeout and resumes. The others have declared it dead.
#[test]
fn a_paused_host_is_usable_again_after_it_resumes() {
    let start = Instant::now();
    let mut tables = connected_tables(11, start);
    let mut random = SeededRandom::new(3);
    let reaches = |from: usize, to: usize| from != 0 && to != 0;
    for tick in 1..=40 {
        step(&mut tables, &mut random, &reaches, start + Duration::from_millis(250) * tick);
    }

    for tick in 41..=60 {
        step(&mut tables, &mut random, &|_, _| true, start + Duration::from_millis(250) * tick);
    }

    assert!(tables.iter().all(|table| table.usable_hosts().len() == 11));
}

// A paused host is declared dead while the platform still lists it. If its shards were taken over, their
// tokens would be spent twice once the host resumes.
#[test]
fn a_listed_host_is_never_confirmed_dead() {
    let start = Instant::now();
    let mut table = connected_tables(3, start).remove(0);
    let id = host(1, 1).id;
    table.on_unreachable(&id.address, start);
    table.tick(&mut SeededRandom::new(4), start + 4 * SECOND);
    let late = start + 60 * SECOND;

    let while_listed = table.is_confirmed_dead(&id, late);
    table.on_list(&listed([0, 2].into_iter()), late);
    let at_once = table.is_confirmed_dead(&id, late);
    let after_lag = table.is_confirmed_dead(&id, late + 11 * SECOND);

    assert_eq!((while_listed, at_once, after_lag), (false, false, true));
}

#[test]
fn a_later_incarnation_at_the_same_address_proves_that_the_earlier_one_ended() {
    let start = Instant::now();
    let mut table = connected_tables(3, start).remove(0);
    let restarted = MemberTable::new(host(1, 2), MemberPolicy::default(), start);

    table.on_message(&restarted.local_state(), start);

    assert!(table.is_confirmed_dead(&host(1, 1).id, start));
    assert!(!table.is_confirmed_dead(&host(1, 2).id, start));
}

// An availability zone is cut off. If each side declared the other dead and took over its shards, every
// token would be spent twice.
#[test]
fn only_the_larger_side_of_a_partition_has_a_majority() {
    let start = Instant::now();
    let mut tables = connected_tables(11, start);
    let mut random = SeededRandom::new(5);
    let reaches = |from: usize, to: usize| (from < 4) == (to < 4);

    for tick in 1..=60 {
        step(&mut tables, &mut random, &reaches, start + Duration::from_millis(250) * tick);
    }

    assert!(tables[..4].iter().all(|table| !table.has_majority()));
    assert!(tables[4..].iter().all(MemberTable::has_majority));
}

#[test]
fn a_leaving_host_gets_no_new_work_and_still_answers() {
    let start = Instant::now();
    let mut tables = connected_tables(3, start);
    tables[0].leave(start);

    let state = tables[0].local_state();
    tables[1].on_message(&state, start);

    assert_eq!(tables[1].usable_hosts().len(), 2);
    assert_eq!(tables[1].answering_peers().len(), 2);
}

// The platform is about to remove a host without notifying it. Callers steered to it would lose their
// connections.
#[test]
fn a_host_that_the_platform_is_removing_gets_no_new_work() {
    let start = Instant::now();
    let mut tables = connected_tables(3, start);
    let mut hosts = listed(0..3);
    hosts[2].leaving = true;

    for table in &mut tables {
        table.on_list(&hosts, start);
    }

    assert!(tables.iter().all(|table| table.usable_hosts().len() == 2));
    assert!(tables[..2].iter().all(|table| table.answering_peers().len() == 2));
}

/// A host starts while its clock is ahead, and again with the clock right. Guards against others that ignore the present
/// run for as long as it lives, and do not take over what the earlier one held.
#[test]
fn a_run_after_one_with_its_clock_ahead_learns_of_the_higher_incarnation() {
    let now = Instant::now();
    let mut tables = connected_tables(3, now);
    let ahead = MemberTable::new(host(0, 9), MemberPolicy::default(), now);
    tables[1].on_message(&ahead.local_state(), now);
    tables[2].on_message(&ahead.local_state(), now);

    tables[0] = MemberTable::new(host(0, 5), MemberPolicy::default(), now);
    exchange(&mut tables, 0, 1, &|_, _| true, now);
    exchange(&mut tables, 1, 0, &|_, _| true, now);
    let earlier = tables[0].earlier_run_ahead();
    tables[0].set_incarnation(10, now);
    exchange(&mut tables, 0, 1, &|_, _| true, now);

    assert_eq!(earlier, Some(9));
    assert_eq!(tables[0].earlier_run_ahead(), None);
    assert!(tables[1].is_dead_for(&host(0, 9).id, SECOND, now));
    assert!(!tables[1].is_dead_for(&host(0, 10).id, SECOND, now));
}
