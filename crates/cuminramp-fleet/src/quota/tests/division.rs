//! Whole fleets of books and tables of other hosts, while links between them fail.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::{Instant, advance};

use super::{heartbeat, team, tolerant};
use crate::declarations::{CallerLimits, FleetDeclarations, TeamRule};
use crate::heartbeat::{HostHeartbeat, KnownHost};
use crate::peers::{PeerPolicy, PeerRecord, PeerTable};
use crate::quota::{QuotaDecision, QuotaTable};

/// Rate and burst of a team that pays for a steady stream.
const STEADY: (f64, f64) = (20.5, 29.3);
/// And of one that comes rarely and with much at once.
const BURSTY: (f64, f64) = (10.0, 100.0);
const WINDOW: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(5);
/// Steps between two heartbeats of a host that admitted nothing.
const QUIET_STEPS: usize = 20;

struct FleetHost {
    table: QuotaTable,
    peers: PeerTable,
    sequence: u64,
    has_admitted: bool,
}

fn known(index: usize) -> KnownHost {
    KnownHost {
        address: index.to_string().into(),
        incarnation: 1,
        caller_address: "".into(),
        zone: "z".into(),
    }
}

fn host(index: usize, (rate, burst): (f64, f64)) -> FleetHost {
    let rule = TeamRule { name: team(), keys: vec![], rate, burst, homes: vec![] };
    let declarations =
        FleetDeclarations::new(1, CallerLimits::default(), vec![], vec![], vec![rule]);
    let mut table = QuotaTable::new(tolerant(), Instant::now());
    table.set_limits(&declarations, Instant::now());
    let policy = PeerPolicy { lost: Duration::from_millis(1_500) };
    let peers = PeerTable::new(known(index), policy);
    FleetHost { table, peers, sequence: 0, has_admitted: false }
}

impl FleetHost {
    fn make_heartbeat(&mut self, index: usize) -> HostHeartbeat {
        self.sequence += 1;
        // Hosts that hear one again after a silence ask it for a whole heartbeat; here all are whole.
        let told = heartbeat(&index.to_string(), &self.table, true);
        HostHeartbeat { host: known(index), sequence: self.sequence, ..told }
    }

    fn hear(&mut self, told: &HostHeartbeat) {
        let now = Instant::now();
        let was_heard =
            self.peers.get(&told.host.address).is_some_and(|host| self.peers.is_alive(host, now));
        if self.peers.receive_heartbeat(told.clone(), now) {
            self.renew_share();
            self.table.receive_heartbeat(told, !was_heard, now);
        }
    }

    fn renew_share(&mut self) {
        let now = Instant::now();
        let is_silent = |record: &&PeerRecord| !self.peers.is_alive(record, now);
        for record in self.peers.iter().filter(is_silent) {
            self.table.mark_silent(&record.id());
        }
        let (heard, all) = self.peers.count_alive(Instant::now());
        self.table.set_alive_share(heard, all);
    }

    fn admit(&mut self) -> bool {
        self.renew_share();
        let is_admitted =
            self.table.admit(&team(), false, Instant::now()) == QuotaDecision::Admitted;
        self.has_admitted |= is_admitted;
        is_admitted
    }
}

/// Fills the bucket in ten quiet seconds, and then lets each host that is asked admit in each step, and
/// send a heartbeat to the hosts of its part. Returns the most that was admitted in a window.
async fn flood(
    hosts: &mut [FleetHost],
    part_of: impl Fn(usize, Duration) -> usize,
    is_asked: impl Fn(usize, Duration) -> bool,
) -> usize {
    let begins = Instant::now() + Duration::from_secs(10);
    let (mut recent, mut most) = (VecDeque::new(), 0);
    for step in 0..4_400 {
        let passed = Instant::now().saturating_duration_since(begins);
        for (index, host) in hosts.iter_mut().enumerate() {
            if Instant::now() >= begins && is_asked(index, passed) && host.admit() {
                recent.push_back(passed);
            }
        }
        for index in 0..hosts.len() {
            let is_due = std::mem::take(&mut hosts[index].has_admitted)
                || (step + index).is_multiple_of(QUIET_STEPS);
            if !is_due {
                continue;
            }
            let told = hosts[index].make_heartbeat(index);
            let part = part_of(index, passed);
            for (other, host) in hosts.iter_mut().enumerate() {
                if other != index && part_of(other, passed) == part {
                    host.hear(&told);
                }
            }
        }
        while recent.front().is_some_and(|at| *at + WINDOW <= passed) {
            recent.pop_front();
        }
        most = most.max(recent.len());
        advance(STEP).await;
    }
    most
}

fn paid_for((rate, burst): (f64, f64)) -> f64 {
    rate * WINDOW.as_secs_f64() + burst
}

fn tolerated(limits: (f64, f64)) -> f64 {
    paid_for(limits) * 1.1 + 20.0
}

fn fleet(size: usize, limits: (f64, f64)) -> Vec<FleetHost> {
    let mut hosts: Vec<FleetHost> = (0..size).map(|index| host(index, limits)).collect();
    for index in 0..size {
        let told = hosts[index].make_heartbeat(index);
        for (other, host) in hosts.iter_mut().enumerate() {
            if other != index {
                host.hear(&told);
            }
        }
    }
    hosts
}

/// A team sends ten times its rate, and four of eleven hosts are cut off from the other seven. The
/// hosts of each part hear each other; where they charge each other's admissions less than their
/// own, the team gets 1.6 times its rate for as long as the cut lasts.
#[tokio::test(start_paused = true)]
async fn two_parts_of_several_hosts_stay_within_the_rate_together() {
    let mut hosts = fleet(11, STEADY);
    let part_of = |host: usize, passed: Duration| {
        let is_cut = passed >= Duration::from_secs(2) && passed < Duration::from_secs(7);
        usize::from(is_cut && host < 4)
    };

    let most = flood(&mut hosts, part_of, |_, _| true).await;

    assert!(most as f64 <= tolerated(STEADY), "{most} of {}", tolerated(STEADY));
}

/// Every link between hosts fails at once while a team sends ten times its rate: eleven parts of one.
#[tokio::test(start_paused = true)]
async fn a_fleet_without_any_link_stays_within_what_is_tolerated() {
    let mut hosts = fleet(11, STEADY);
    let part_of = |host: usize, passed: Duration| {
        if passed >= Duration::from_secs(2) { host + 1 } else { 0 }
    };

    let most = flood(&mut hosts, part_of, |_, _| true).await;

    assert!(most as f64 <= tolerated(STEADY), "{most} of {}", tolerated(STEADY));
}

/// Five of eleven hosts are cut off for two seconds, and the team's callers spend its whole burst
/// there. When the cut heals they reach the other six, whose buckets are still full: the team would
/// get almost half of its burst a second time.
#[tokio::test(start_paused = true)]
async fn a_burst_that_was_spent_in_one_part_is_not_left_in_the_other() {
    let mut hosts = fleet(11, BURSTY);
    let (cut, healed) = (Duration::from_millis(500), Duration::from_millis(2_500));
    let part_of =
        |host: usize, passed: Duration| usize::from(host < 5 && passed >= cut && passed < healed);
    let is_asked = |host: usize, passed: Duration| {
        let is_cut_off = host < 5 && passed >= cut + Duration::from_millis(600);
        is_cut_off || passed >= healed + Duration::from_millis(300)
    };

    let most = flood(&mut hosts, part_of, is_asked).await;

    assert!(most as f64 <= tolerated(BURSTY), "{most} of {}", tolerated(BURSTY));
    assert!(most as f64 >= 0.9 * paid_for(BURSTY), "{most} of {}", paid_for(BURSTY));
}

/// All hosts of a busy machine fall silent for 0.4 s again and again: heartbeats wait behind other work.
/// What each spends before the others notice would be forgiven each time, and add up to far more
/// than is tolerated.
#[tokio::test(start_paused = true)]
async fn silences_that_come_again_and_again_forgive_nothing() {
    let limits = (30.0, 15.0);
    let mut hosts = fleet(4, limits);
    let part_of = |host: usize, passed: Duration| {
        if passed.as_millis() % 450 < 400 { host } else { 0 }
    };

    let most = flood(&mut hosts, part_of, |_, _| true).await;

    assert!(most as f64 <= tolerated(limits), "{most} of {}", tolerated(limits));
    assert!(most as f64 >= 0.9 * paid_for(limits), "{most} of {}", paid_for(limits));
}
